package fanout

import (
	"sync"
	"time"
)

const (
	// failedReaderBackoff is how long a reader that failed is not asked. A
	// process that stopped is back after about 2 s, and its entry in the directory remains
	// meanwhile.
	failedReaderBackoff = 3 * time.Second
	// MaxReaderAge is the age of a reader's entries beyond which another reader is asked too. A
	// reader that reaches the log gets an answer from it every 0.6 s and pauses for 0.1 s. On
	// the users' smallest deployments a leaving sampler must get no new work after 2 s: this age,
	// the 0.6 s for which a request is held and a pause of 0.1 s add up to less.
	MaxReaderAge = 1200 * time.Millisecond
	// startTimeout is how long a node without entries retries readers that it cannot reach before
	// it reads all entries itself. If all nodes start at once, about 35 readers of 20 pages each
	// read 280 MB, which is 3.5 s of the log's 80 MB/s; all 985 nodes would read 7.9 GB.
	startTimeout = 4 * time.Second
	// notReadyTimeout is the same for readers that answer that they have no entries yet. They
	// read the log, which a read of all entries by this node would only delay; after this time
	// they are probably stuck.
	notReadyTimeout = 20 * time.Second
	// notReadyMemory is how long such an answer counts although other readers are unreachable.
	notReadyMemory = 2 * time.Second
	// RetryInterval is the pause between two such retries.
	RetryInterval = 250 * time.Millisecond
)

// ReaderSelector selects the readers that a node asks, and avoids those that failed recently.
// It is safe for concurrent use.
type ReaderSelector struct {
	mutex sync.Mutex
	// firstRequestAt is when the node first selected readers to ask since the last answer,
	// notReadyAt when a reader last answered that it has no entries yet.
	firstRequestAt, notReadyAt time.Time
	// avoidUntil holds when failed readers may be asked again, by name.
	avoidUntil map[string]time.Time
}

// NewReaderSelector returns a selector for a node that has asked no reader yet.
func NewReaderSelector() *ReaderSelector {
	return &ReaderSelector{avoidUntil: make(map[string]time.Time)}
}

// Select returns the readers to ask now, in order of preference.
func (s *ReaderSelector) Select(plan Plan, now time.Time) []Node {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.firstRequestAt.IsZero() {
		s.firstRequestAt = now
	}
	var available []Node
	for _, reader := range plan.Parents {
		if now.Before(s.avoidUntil[reader.Name]) {
			continue
		}
		if available = append(available, reader); len(available) == maxReadersPerRequest {
			break
		}
	}
	return available
}

// RecordFailure records that a reader gave no usable answer, or a later one than another reader.
func (s *ReaderSelector) RecordFailure(name string, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.avoidUntil[name] = now.Add(failedReaderBackoff)
	for other, until := range s.avoidUntil {
		if now.After(until) {
			delete(s.avoidUntil, other)
		}
	}
}

// RecordAnswer records that a reader answered with entries.
func (s *ReaderSelector) RecordAnswer() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.firstRequestAt = time.Time{}
}

// RecordNotReady records that a reader answered that it has no entries yet.
func (s *ReaderSelector) RecordNotReady(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.notReadyAt = now
}

// MayWaitForReaders reports whether a node without entries should retry the readers rather
// than read the log itself.
func (s *ReaderSelector) MayWaitForReaders(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.firstRequestAt.IsZero() {
		return true
	}
	timeout := startTimeout
	if now.Sub(s.notReadyAt) < notReadyMemory {
		timeout = notReadyTimeout
	}
	return now.Sub(s.firstRequestAt) < timeout
}
