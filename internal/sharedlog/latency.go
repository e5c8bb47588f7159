package sharedlog

import (
	"sync"
	"time"
)

const (
	// latencyWeight is the share of a new answer in the moving average.
	latencyWeight = 0.2
	// latencyMemory is how long answers tell of the log: it may have become slow since.
	latencyMemory = 3 * time.Second
	// overdueRatio is how many times the usual time an answer may take before it counts
	// as lost, and leastOverdue the least such time: the processor may be shared out in
	// slices of a tenth of a second (chosen).
	overdueRatio = 6
	leastOverdue = 80 * time.Millisecond
)

// Latency learns how soon the log answers appends, which tells a lost answer from one of
// a slow log. It is safe for concurrent use; the zero value knows nothing.
type Latency struct {
	mutex sync.Mutex
	usual time.Duration
	at    time.Time
}

// Note records an append that was answered.
func (l *Latency) Note(took time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	if l.at.IsZero() || now.Sub(l.at) > latencyMemory {
		l.usual = took
	}
	l.usual += time.Duration(latencyWeight * float64(took-l.usual))
	l.at = now
}

// Overdue returns after how long an answer counts as lost, and false if the log answered
// nothing of late, by which that could be told.
func (l *Latency) Overdue() (time.Duration, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.at.IsZero() || time.Since(l.at) > latencyMemory {
		return 0, false
	}
	return max(overdueRatio*l.usual, leastOverdue), true
}
