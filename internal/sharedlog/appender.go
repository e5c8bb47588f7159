package sharedlog

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pathbend/pathbend/internal/result"
)

const (
	// maxConcurrentCalls is the maximum number of concurrent calls of an Appender. A
	// partition processes its appends one at a time, so that more calls would only queue
	// there. With a single call, a lost response would block all later appends.
	maxConcurrentCalls = 4
	// callSlotTimeout is how long a call counts against maxConcurrentCalls. A call that takes
	// longer may never have a response, and waiting records are sent concurrently with it.
	callSlotTimeout = 250 * time.Millisecond
	// callTimeout is the timeout of one call.
	callTimeout = 1500 * time.Millisecond
)

// MaxRecordOverheadBytes is the maximum number of bytes that the log adds to a record.
const MaxRecordOverheadBytes = 16

// Appender batches the appends of concurrent callers to one partition. Records that arrive
// while calls are in flight are sent together: a burst of callers makes a few calls, where
// one call per caller would take longer than the callers wait. It is safe for concurrent
// use.
type Appender struct {
	Log       Log
	Partition Partition
	// MaxBytes is the maximum size of one call, including MaxRecordOverheadBytes for each
	// record.
	MaxBytes int
	// Observe receives the error and duration of each call. It may be nil.
	Observe func(err error, took time.Duration)
	// ExtraLatency returns how much longer the log's responses to appends take than those of a
	// log in the same data center. It may be nil.
	ExtraLatency func() time.Duration

	mutex   sync.Mutex
	waiting []*pendingAppend
	// senders is the number of running goroutines of send.
	senders int
}

// pendingAppend is the append of one caller.
type pendingAppend struct {
	// ctx is the context of the caller.
	ctx     context.Context
	records [][]byte
	done    chan error
}

func (p *pendingAppend) size() int {
	size := 0
	for _, record := range p.records {
		size += len(record) + MaxRecordOverheadBytes
	}
	return size
}

// Append appends all records or none. They must fit into one call. Errors are those of
// Log.Append. If ctx ends before the records were sent, the error is LogUnavailable, and
// they are never sent.
func (a *Appender) Append(ctx context.Context, records [][]byte) error {
	pending := &pendingAppend{ctx: ctx, records: records, done: make(chan error, 1)}
	a.add(pending)
	select {
	case err := <-pending.done:
		return err
	case <-ctx.Done():
	}
	if a.withdraw(pending) {
		return result.Wrap(result.LogUnavailable, ctx.Err(), "wait for appends in flight")
	}
	return result.Wrap(result.LogUnknown, ctx.Err(), "await the log's response")
}

func (a *Appender) add(pending *pendingAppend) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.waiting = append(a.waiting, pending)
	if a.senders < maxConcurrentCalls {
		a.senders++
		go a.send()
	}
}

// withdraw removes an append that was not sent yet, and reports whether it did.
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

// send makes calls until no append is waiting.
func (a *Appender) send() {
	for {
		batch := a.nextBatch()
		if len(batch) == 0 {
			return
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			a.call(batch)
		}()
		slotTimer := time.NewTimer(withExtraLatency(callSlotTimeout, a.ExtraLatency))
		select {
		case <-done:
		case <-slotTimer.C:
		}
		slotTimer.Stop()
	}
}

// nextBatch returns the appends of the next call. If none is waiting it returns nil, and the
// sender must return.
func (a *Appender) nextBatch() []*pendingAppend {
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
	ctx, cancel := context.WithTimeout(context.Background(), withExtraLatency(callTimeout, a.ExtraLatency))
	defer cancel()
	defer cancelWhenAllAreDone(batch, cancel)()
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

// cancelWhenAllAreDone cancels a call once the contexts of all its callers are done. It
// returns a function that releases its resources.
func cancelWhenAllAreDone(batch []*pendingAppend, cancel context.CancelFunc) (stop func()) {
	var remaining atomic.Int64
	remaining.Store(int64(len(batch)))
	stops := make([]func() bool, 0, len(batch))
	for _, pending := range batch {
		stops = append(stops, context.AfterFunc(pending.ctx, func() {
			if remaining.Add(-1) == 0 {
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
