package sharedlog

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// pollWait is how long the service waits for a record in one read (long poll). It also
	// limits for how long a follower counts as current without a response.
	pollWait = 600 * time.Millisecond
	// minPollWait is the lower limit of the wait at a distant service. Shorter waits cause
	// more reads without more information.
	minPollWait = 200 * time.Millisecond
	// readTimeout plus the poll wait is the timeout of a read that waits for records.
	readTimeout = 700 * time.Millisecond
	// bulkReadTimeout is the timeout of a read of records that exist already.
	bulkReadTimeout = 2 * time.Second
)

// Health is the health of a follower. The zero value has read nothing. It is safe for
// concurrent use.
type Health struct {
	mutex          sync.Mutex
	currentAt      clock.Moment
	lastReadFailed bool
	// recoveredAt is the time of the last successful read that followed a failed one.
	recoveredAt time.Time
}

// CurrentAt returns the time as of which the follower has read every record: the start of
// the last successful read that reached the end of the partition, or the end of its wait if
// it returned no records. It is zero before the first one.
func (h *Health) CurrentAt() time.Time {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.currentAt.Time()
}

// Age returns the time since CurrentAt, during which the follower may have missed records.
// It includes time for which the machine was suspended.
func (h *Health) Age() time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.currentAt.Age()
}

// Lost reports whether the last read failed.
func (h *Health) Lost() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.lastReadFailed
}

// LostAfter reports whether the last read failed, or a read that followed a failed one was
// successful only after a time. A call that was made then may have got no answer for the same
// reason as the failed read.
func (h *Health) LostAfter(at time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.lastReadFailed || h.recoveredAt.After(at)
}

// recordSuccess records a successful read that is current as of a given time. It reports
// whether the previous read failed, and for how long the follower was not current.
func (h *Health) recordSuccess(asOf clock.Moment) (recovered bool, after time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	recovered, after = h.lastReadFailed, h.currentAt.Age()-asOf.Age()
	if recovered {
		h.recoveredAt = time.Now()
	}
	h.lastReadFailed = false
	if asOf.Time().After(h.currentAt.Time()) {
		h.currentAt = asOf
	}
	return recovered, after
}

// recordFailure records a failed read and reports whether it is the first of consecutive
// failed reads.
func (h *Health) recordFailure() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	first := !h.lastReadFailed
	h.lastReadFailed = true
	return first
}

// Observer is notified when a follower loses and regains contact with the log.
type Observer interface {
	// ReadFailed is called for the first of consecutive failed reads.
	ReadFailed(partition Partition, err error)
	// ReadRecovered is called for the first successful read after failed ones. after is how
	// long the follower was not current.
	ReadRecovered(partition Partition, after time.Duration)
}

// Follower reads a partition from its oldest record and applies all records in order.
type Follower struct {
	Log       Log
	Partition Partition
	Observer  Observer
	// Apply applies records in order; offset is that of the first.
	Apply func(offset uint64, records [][]byte)
	// Pause returns the pause after a read that reached the end of the partition, so that
	// the next read returns several records. There is no pause if it is nil.
	Pause func() time.Duration
	// ExtraLatency returns how much longer the log's responses take than those of a log in
	// the same data center, to which the timeouts apply. It may be nil, which means 0.
	ExtraLatency func() time.Duration
	// MaxRetryPause returns the maximum pause after a failed read. It may be nil, which means
	// half a second.
	MaxRetryPause func() time.Duration
	Health        Health

	retry retrier
	// applyMutex guards next and serializes calls of Apply.
	applyMutex sync.Mutex
	next       uint64

	roundMutex sync.Mutex
	round      *catchUpRound
}

// Run follows the partition until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	// The initial read is shared with callers of CatchUp.
	for ctx.Err() == nil && f.CatchUp(ctx) != nil {
		f.retry.wait(ctx)
	}
	for ctx.Err() == nil {
		caughtUp, err := f.readOnce(ctx, pollWaitFor(f.ExtraLatency))
		switch {
		case err != nil:
			f.retry.wait(ctx)
		case caughtUp:
			pauseAfterRead(ctx, f.Pause)
		}
	}
}

// CatchUp returns once the follower has applied the records that the partition held at
// the time of the call, or ctx has ended. Concurrent callers share reads: of the callers that
// arrive during a read, one starts the next read and all wait for it, so that many callers do not
// read the same records repeatedly.
func (f *Follower) CatchUp(ctx context.Context) error {
	began := time.Now()
	for ctx.Err() == nil {
		round := f.joinRound(ctx)
		select {
		case <-round.done:
		case <-ctx.Done():
			f.leaveRound(ctx, round)
			return ctx.Err()
		}
		if !round.startedAt.Before(began) && !round.abandoned {
			return round.err
		}
	}
	return ctx.Err()
}

// catchUpRound is a catch-up that concurrent callers share. It does not end with the caller that
// started it.
type catchUpRound struct {
	startedAt time.Time
	cancel    context.CancelFunc
	// waiting is the number of callers that have joined and not left early. roundMutex guards it.
	waiting int
	done    chan struct{}
	// err and abandoned are set before done is closed. An abandoned round ended early because
	// no caller waited for it.
	err       error
	abandoned bool
}

// joinRound returns the current round, or starts one.
func (f *Follower) joinRound(ctx context.Context) *catchUpRound {
	f.roundMutex.Lock()
	defer f.roundMutex.Unlock()
	if f.round == nil {
		roundCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		f.round = &catchUpRound{startedAt: time.Now(), cancel: cancel, done: make(chan struct{})}
		go f.runRound(roundCtx, f.round)
	}
	f.round.waiting++
	return f.round
}

// leaveRound is called by a caller whose ctx has ended. If no other one waits, the current read of
// the round goes on after a deadline, since a read that is given up costs the log as much as an
// answered one. After a cancellation it ends before leaveRound returns.
func (f *Follower) leaveRound(ctx context.Context, round *catchUpRound) {
	f.roundMutex.Lock()
	round.waiting--
	last := round.waiting == 0
	f.roundMutex.Unlock()
	if last && errors.Is(ctx.Err(), context.Canceled) {
		round.cancel()
		<-round.done
	}
}

// isAwaited reports whether a caller waits for a round.
func (f *Follower) isAwaited(round *catchUpRound) bool {
	f.roundMutex.Lock()
	defer f.roundMutex.Unlock()
	return round.waiting > 0
}

// runRound executes a round and ends it.
func (f *Follower) runRound(ctx context.Context, round *catchUpRound) {
	defer round.cancel()
	round.abandoned, round.err = f.catchUp(ctx, round)
	f.roundMutex.Lock()
	defer f.roundMutex.Unlock()
	f.round = nil
	close(round.done)
}

// catchUp reads up to the end of the partition. It gives up between two reads if no caller waits.
func (f *Follower) catchUp(ctx context.Context, round *catchUpRound) (abandoned bool, err error) {
	if !f.retry.waitAtMost(ctx, defaultMaxRetryPause) {
		return true, ctx.Err()
	}
	for {
		caughtUp, err := f.readOnce(ctx, 0)
		switch {
		case err != nil:
			return ctx.Err() != nil, err
		case caughtUp:
			return false, nil
		case !f.isAwaited(round):
			return true, nil
		}
	}
}

// readOnce makes one read and applies its records. It reports whether the end of the
// partition was reached: one read returns a limited number of records.
func (f *Follower) readOnce(ctx context.Context, poll time.Duration) (caughtUp bool, err error) {
	f.applyMutex.Lock()
	from := f.next
	f.applyMutex.Unlock()
	var asOf clock.Moment
	var batch Batch
	poll, err = f.retry.read(ctx, readAttempt{
		hold: poll, timeout: f.transferTimeout(poll), maxTimeout: maxReadTimeout, extraLatency: f.ExtraLatency, maxPause: f.MaxRetryPause,
		read: func(ctx context.Context, hold time.Duration) (readErr error) {
			asOf = clock.CurrentMoment()
			batch, readErr = f.Log.Read(ctx, f.Partition, from, hold)
			return readErr
		},
		probe: func(ctx context.Context) error {
			_, probeErr := f.Log.ReadAvailable(ctx, f.Partition, from, probeBytes)
			return probeErr
		},
	})
	if result.Is(err, result.LogTruncated) {
		f.skipTo(batch.OldestOffset)
		return false, err
	}
	if err != nil {
		if ctx.Err() == nil && f.Health.recordFailure() {
			f.Observer.ReadFailed(f.Partition, err)
		}
		return false, err
	}
	f.apply(from, batch.Records)
	if from+uint64(len(batch.Records)) < batch.EndOffset {
		return false, nil
	}
	if len(batch.Records) == 0 {
		// The service waited without a new record. The wait started no earlier than the
		// call, so that the follower is current as of the call's start plus the wait.
		asOf = asOf.Add(poll)
	}
	if recovered, after := f.Health.recordSuccess(asOf.Add(-batch.Age)); recovered {
		f.Observer.ReadRecovered(f.Partition, after)
	}
	return true, nil
}

// transferTimeout returns the timeout for the transfer of one response. It is longer for a
// catch-up, whose responses are as large as the log permits while many nodes read
// concurrently after a start.
func (f *Follower) transferTimeout(poll time.Duration) time.Duration {
	if poll > 0 {
		return readTimeout
	}
	return bulkReadTimeout
}

// withExtraLatency returns the timeout for a distant log, given the one for a log in the
// same data center. extraLatency may be nil.
func withExtraLatency(timeout time.Duration, extraLatency func() time.Duration) time.Duration {
	if extraLatency == nil {
		return timeout
	}
	return timeout + extraLatency()
}

// pollWaitFor returns how long a read may wait at the service. The extra latency is
// subtracted, so that a follower that receives no records stays as current as one in the
// same data center.
func pollWaitFor(extraLatency func() time.Duration) time.Duration {
	if extraLatency == nil {
		return pollWait
	}
	return max(pollWait-extraLatency(), minPollWait)
}

// apply applies the records that were not applied yet: two concurrent reads may return the
// same records.
func (f *Follower) apply(from uint64, records [][]byte) {
	f.applyMutex.Lock()
	defer f.applyMutex.Unlock()
	if from > f.next {
		return
	}
	applied := f.next - from
	if applied >= uint64(len(records)) {
		return
	}
	f.Apply(f.next, records[applied:])
	f.next = from + uint64(len(records))
}

// skipTo moves the next offset forward to the oldest retained one.
func (f *Follower) skipTo(oldest uint64) {
	f.applyMutex.Lock()
	defer f.applyMutex.Unlock()
	f.next = max(f.next, oldest)
}

// pauseAfterRead waits for the duration that pause returns. pause may be nil.
func pauseAfterRead(ctx context.Context, pause func() time.Duration) {
	if pause != nil {
		wait.For(ctx, pause())
	}
}
