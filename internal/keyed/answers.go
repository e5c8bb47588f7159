package keyed

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pathbend/pathbend/internal/idempotency"
)

const (
	// maxStoredBytes is the size limit of one stored answer.
	maxStoredBytes = 64 << 10
	// maxStoreBytes is the size limit of all stored answers of a node together.
	maxStoreBytes = 64 << 20
)

// Outcome is the result of an execution, stored for duplicate requests.
type Outcome struct {
	Status int
	Header http.Header
	Body   []byte
	// Err is the error of an execution that ended without an answer, else nil.
	Err error
	// TooLarge is set if the answer was returned to the caller but exceeded the
	// size limit of a stored answer. Header and Body are empty then.
	TooLarge bool
}

// execution is one run of a request under its key.
type execution struct {
	requestID string
	// done is closed when outcome is set.
	done      chan struct{}
	outcome   Outcome
	startedAt time.Time
}

// executionStore stores the executions of this node by key. It is safe for concurrent
// use.
type executionStore struct {
	mutex sync.Mutex
	byKey map[string]*execution
	// keysByStart holds the keys in the order in which their executions started. It may
	// contain keys that were discarded.
	keysByStart []string
	// storedBytes is the size of all stored bodies.
	storedBytes int
}

func newExecutionStore() *executionStore { return &executionStore{byKey: make(map[string]*execution)} }

// start records the start of an execution under a key.
func (s *executionStore) start(key, requestID string) *execution {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := &execution{requestID: requestID, done: make(chan struct{}), startedAt: time.Now()}
	s.byKey[key] = current
	s.keysByStart = append(s.keysByStart, key)
	return current
}

// finish records the outcome of an execution and wakes the duplicates that wait for
// it.
func (s *executionStore) finish(current *execution, outcome Outcome) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current.outcome = outcome
	s.storedBytes += len(outcome.Body)
	close(current.done)
	s.evict()
}

// discard removes an execution whose request did not run, so that a duplicate can run.
// Waiting duplicates get the given outcome.
func (s *executionStore) discard(key string, current *execution, outcome Outcome) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current.outcome = outcome
	close(current.done)
	if s.byKey[key] == current {
		delete(s.byKey, key)
	}
}

// evict removes executions, oldest first, that are older than
// idempotency.KeyLifetime or exceed maxStoreBytes. It stops at the first one that is
// still running. The caller holds s.mutex.
func (s *executionStore) evict() {
	now := time.Now()
	for len(s.keysByStart) > 0 {
		key := s.keysByStart[0]
		oldest, ok := s.byKey[key]
		expired := ok && now.Sub(oldest.startedAt) >= idempotency.KeyLifetime
		if ok && !expired && s.storedBytes <= maxStoreBytes {
			return
		}
		if ok {
			select {
			case <-oldest.done:
			default:
				return
			}
			s.storedBytes -= len(oldest.outcome.Body)
			delete(s.byKey, key)
		}
		s.keysByStart = s.keysByStart[1:]
	}
}

// await returns the outcome under a key, waiting while the execution runs. It
// returns false if this node has no execution under the key or ctx ends first.
func (s *executionStore) await(ctx context.Context, key string) (Outcome, bool) {
	s.mutex.Lock()
	current, ok := s.byKey[key]
	s.mutex.Unlock()
	if !ok {
		return Outcome{}, false
	}
	select {
	case <-current.done:
		return current.outcome, true
	case <-ctx.Done():
		return Outcome{}, false
	}
}
