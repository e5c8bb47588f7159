package sharedlog

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pathbend/pathbend/internal/result"
)

const (
	// callsTogether is how many calls of an Appender are under way at once. A
	// partition takes its appends in turn, so more would only queue there; with one,
	// a lost answer would hold up all that comes after it (chosen).
	callsTogether = 4
	// callHold is how long a call counts as under way. One that takes longer may
	// never be answered, and what waits goes out beside it.
	callHold = 250 * time.Millisecond
	// callTimeout bounds one call.
	callTimeout = 1500 * time.Millisecond
)

// RecordFraming is what the log adds to a record, in bytes, at most.
const RecordFraming = 16

// Appender appends to one partition for many callers at once. Records that wait
// while calls are under way go out together: a burst of callers costs a few calls,
// where one call each would take longer than any of them waits. It is safe for
// concurrent use.
type Appender struct {
	Log       Log
	Partition Partition
	// MaxBytes bounds one call.
	MaxBytes int
	// Observe is told how each call ended; it may be nil.
	Observe func(err error, took time.Duration)
	// Beyond is that of Follower, for appends.
	Beyond func() time.Duration

	mutex   sync.Mutex
	waiting []*pendingAppend
	senders int
}

// pendingAppend is what one caller appends.
type pendingAppend struct {
	// ctx is the caller's.
	ctx     context.Context
	records [][]byte
	done    chan error
}

func (p *pendingAppend) size() int {
	size := 0
	for _, record := range p.records {
		size += len(record) + RecordFraming
	}
	return size
}

// Append adds records, all or none. They must fit one call. Errors are those of
// Log.Append; if ctx ends before the records were sent, LogUnavailable promises that
// they never will be.
func (a *Appender) Append(ctx context.Context, records [][]byte) error {
	pending := &pendingAppend{ctx: ctx, records: records, done: make(chan error, 1)}
	a.add(pending)
	select {
	case err := <-pending.done:
		return err
	case <-ctx.Done():
	}
	if a.withdraw(pending) {
		return result.Wrap(result.LogUnavailable, ctx.Err(), "wait for appends under way")
	}
	return result.Wrap(result.LogUnknown, ctx.Err(), "await the log's answer")
}

func (a *Appender) add(pending *pendingAppend) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.waiting = append(a.waiting, pending)
	if a.senders < callsTogether {
		a.senders++
		go a.send()
	}
}

// withdraw takes back what was not sent yet.
func (a *Appender) withdraw(pending *pendingAppend) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for i, other := range a.waiting {
		if other == pending {
			a.waiting = append(a.waiting[:i:i], a.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// send makes calls until nothing waits.
func (a *Appender) send() {
	for {
		batch := a.take()
		if len(batch) == 0 {
			return
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			a.call(batch)
		}()
		hold := time.NewTimer(lengthened(callHold, a.Beyond))
		select {
		case <-ended:
		case <-hold.C:
		}
		hold.Stop()
	}
}

// take returns what the next call holds. If nothing waits the sender is over.
func (a *Appender) take() []*pendingAppend {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if len(a.waiting) == 0 {
		a.senders--
		return nil
	}
	count, size := 1, a.waiting[0].size()
	for count < len(a.waiting) && size+a.waiting[count].size() <= a.MaxBytes {
		size += a.waiting[count].size()
		count++
	}
	batch := a.waiting[:count:count]
	a.waiting = a.waiting[count:]
	return batch
}

func (a *Appender) call(batch []*pendingAppend) {
	ctx, cancel := context.WithTimeout(context.Background(), lengthened(callTimeout, a.Beyond))
	defer cancel()
	defer cancelWithAll(batch, cancel)()
	var records [][]byte
	for _, pending := range batch {
		records = append(records, pending.records...)
	}
	began := time.Now()
	_, err := a.Log.Append(ctx, a.Partition, records)
	if a.Observe != nil {
		a.Observe(err, time.Since(began))
	}
	for _, pending := range batch {
		pending.done <- err
	}
}

// cancelWithAll ends a call once all its callers have left, and not before: it
// serves each of them. It returns what stops that.
func cancelWithAll(batch []*pendingAppend, cancel context.CancelFunc) (stop func()) {
	var left atomic.Int64
	left.Store(int64(len(batch)))
	stops := make([]func() bool, 0, len(batch))
	for _, pending := range batch {
		stops = append(stops, context.AfterFunc(pending.ctx, func() {
			if left.Add(-1) == 0 {
				cancel()
			}
		}))
	}
	return func() {
		for _, stop := range stops {
			stop()
		}
	}
}
