package keyed

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pathbend/pathbend/internal/idempotency"
)

const (
	// maxStoredBytes bounds one stored answer, maxStoreBytes all of them.
	maxStoredBytes = 64 << 10
	maxStoreBytes  = 64 << 20
)

// Stored is the outcome of an execution.
type Stored struct {
	Status int
	Header http.Header
	Body   []byte
	// Err is set if the execution ended without an answer.
	Err error
	// TooLarge is set if the answer was passed on but not kept.
	TooLarge bool
}

type execution struct {
	requestID string
	done      chan struct{}
	outcome   Stored
	began     time.Time
}

// answers keeps the executions of this node by key. It is safe for concurrent
// use.
type answers struct {
	mutex sync.Mutex
	byKey map[string]*execution
	order []string
	bytes int
}

func newAnswers() *answers { return &answers{byKey: make(map[string]*execution)} }

// begin records that a request runs under a key.
func (a *answers) begin(key, requestID string) *execution {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	current := &execution{requestID: requestID, done: make(chan struct{}), began: time.Now()}
	a.byKey[key] = current
	a.order = append(a.order, key)
	return current
}

// finish records the outcome and wakes repeats.
func (a *answers) finish(current *execution, outcome Stored) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	current.outcome = outcome
	a.bytes += len(outcome.Body)
	close(current.done)
	a.evict()
}

// forget drops an execution that did not run, so that a repeat may.
func (a *answers) forget(key string, current *execution, outcome Stored) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	current.outcome = outcome
	close(current.done)
	if a.byKey[key] == current {
		delete(a.byKey, key)
	}
}

// evict drops the oldest finished executions over the limits.
func (a *answers) evict() {
	now := time.Now()
	for len(a.order) > 0 {
		key := a.order[0]
		oldest, ok := a.byKey[key]
		expired := ok && now.Sub(oldest.began) >= idempotency.KeyLifetime
		if ok && !expired && a.bytes <= maxStoreBytes {
			return
		}
		if ok {
			select {
			case <-oldest.done:
			default:
				return // still running
			}
			a.bytes -= len(oldest.outcome.Body)
			delete(a.byKey, key)
		}
		a.order = a.order[1:]
	}
}

// await returns the outcome under a key; false if this node has none or it does
// not come before ctx ends.
func (a *answers) await(ctx context.Context, key string) (Stored, bool) {
	a.mutex.Lock()
	found, ok := a.byKey[key]
	a.mutex.Unlock()
	if !ok {
		return Stored{}, false
	}
	select {
	case <-found.done:
		return found.outcome, true
	case <-ctx.Done():
		return Stored{}, false
	}
}
