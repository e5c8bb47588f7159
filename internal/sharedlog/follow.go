package sharedlog

import (
	"context"
	"sync"
	"time"

	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// pollWait is how long one read waits at the service for a record. It also
	// bounds how long a follower that hears nothing counts as current.
	pollWait = 600 * time.Millisecond
	// leastPollWait bounds it below: more reads would cost more than they tell (chosen).
	leastPollWait = 200 * time.Millisecond
	// readTimeout is added to pollWait to bound an entire read.
	readTimeout = 700 * time.Millisecond
	// bulkTimeout bounds a read of records that are there already.
	bulkTimeout = 2 * time.Second
	// retryPause is the pause after a failed read.
	retryPause = 100 * time.Millisecond
	// probeTimeout bounds a read after a failed one: the service may come back at
	// any moment, and a read that was sent before is never answered. Every
	// probesPerRead-th has the time of a usual read, in case the service is slow.
	probeTimeout  = 400 * time.Millisecond
	probesPerRead = 4
)

// Health tells how a follower fares. It is safe for concurrent use.
type Health struct {
	mutex     sync.Mutex
	currentAt clock.Moment
	lost      bool
	// failures counts the failed reads in a row.
	failures int
}

// CurrentAt is the time as of which the follower has every record: the start
// of the last read that was answered. It is zero before the first.
func (h *Health) CurrentAt() time.Time {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.currentAt.Time()
}

// Age is for how long the follower may have missed records, suspension of the machine
// included.
func (h *Health) Age() time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.currentAt.Age()
}

// Lost reports whether the last read failed.
func (h *Health) Lost() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.lost
}

// answered notes a read that began at a time. It reports whether reads failed
// before, and for how long the follower was not current.
func (h *Health) answered(began clock.Moment) (regained bool, after time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	regained, after = h.lost, h.currentAt.Age()-began.Age()
	h.lost, h.failures = false, 0
	if began.Time().After(h.currentAt.Time()) {
		h.currentAt = began
	}
	return regained, after
}

// failed notes a failed read and reports whether it is the first in a row.
func (h *Health) failed() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	first := !h.lost
	h.lost = true
	h.failures++
	return first
}

// probes reports whether the next read is a probe, which is to be answered at once
// and soon.
func (h *Health) probes() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.failures%probesPerRead != 0
}

// Observer is told of a follower's lost and regained contact.
type Observer interface {
	ReadFailed(partition Partition, err error)
	ReadRecovered(partition Partition, after time.Duration)
}

// Follower reads a partition from its oldest record on, forever.
type Follower struct {
	Log       Log
	Partition Partition
	Observer  Observer
	// Apply applies records in order; offset is that of the first.
	Apply func(offset uint64, records [][]byte)
	// Pause is waited after a read that returned records, so that several join
	// one read; none if it is nil.
	Pause func() time.Duration
	// Beyond tells how much longer the log's answers take than those of one next door,
	// for which the constants were chosen; nil if they do not.
	Beyond func() time.Duration
	Health Health

	reading sync.Mutex
	next    uint64

	rounds sync.Mutex
	round  *catchUpRound
}

// Run follows the partition until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	// The first reading is shared with callers that need it at once.
	for ctx.Err() == nil && f.CatchUp(ctx) != nil {
		wait.For(ctx, retryPause)
	}
	for ctx.Err() == nil {
		caughtUp, err := f.step(ctx, pollFor(f.Beyond))
		switch {
		case err != nil:
			wait.For(ctx, retryPause)
		case caughtUp:
			rest(ctx, f.Pause)
		}
	}
}

// CatchUp returns once the follower has the records that the partition held at
// the time of the call. Callers share reads: of those that come while one is
// under way, one makes the next read and the others wait for it, so that a crowd
// of callers does not read the same records again and again.
func (f *Follower) CatchUp(ctx context.Context) error {
	began := time.Now()
	for {
		round, mine := f.joinRound()
		if mine {
			round.err = f.catchUp(ctx)
			f.endRound(round)
			return round.err
		}
		select {
		case <-round.done:
		case <-ctx.Done():
			return ctx.Err()
		}
		if !round.began.Before(began) {
			return round.err
		}
	}
}

// catchUpRound is one shared catch-up.
type catchUpRound struct {
	began time.Time
	done  chan struct{}
	// err is set before done is closed.
	err error
}

// joinRound returns the round under way, or begins one that is the caller's.
func (f *Follower) joinRound() (round *catchUpRound, mine bool) {
	f.rounds.Lock()
	defer f.rounds.Unlock()
	if f.round != nil {
		return f.round, false
	}
	f.round = &catchUpRound{began: time.Now(), done: make(chan struct{})}
	return f.round, true
}

func (f *Follower) endRound(round *catchUpRound) {
	f.rounds.Lock()
	defer f.rounds.Unlock()
	f.round = nil
	close(round.done)
}

func (f *Follower) catchUp(ctx context.Context) error {
	for {
		caughtUp, err := f.step(ctx, 0)
		if err != nil || caughtUp {
			return err
		}
	}
}

// step makes one read. It reports whether every record was read: one read
// returns a bounded part of what is there.
func (f *Follower) step(ctx context.Context, poll time.Duration) (caughtUp bool, err error) {
	f.reading.Lock()
	from := f.next
	f.reading.Unlock()
	began := clock.Mark()
	timeout := poll + f.readTime(poll)
	if poll > 0 && f.Health.probes() {
		poll, timeout = 0, probeTimeout
	}
	timeout = lengthened(timeout, f.Beyond)
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	batch, err := f.Log.Read(callCtx, f.Partition, from, poll)
	if result.Is(err, result.LogTruncated) {
		f.skipTo(batch.First)
		return false, err
	}
	if err != nil {
		if ctx.Err() == nil && f.Health.failed() {
			f.Observer.ReadFailed(f.Partition, err)
		}
		return false, err
	}
	f.apply(from, batch.Records)
	if from+uint64(len(batch.Records)) < batch.End {
		return false, nil
	}
	if len(batch.Records) == 0 {
		// The service waited in vain: there was nothing new at the end of the
		// wait, which began no earlier than the call.
		began = began.Add(poll)
	}
	if regained, after := f.Health.answered(began); regained {
		f.Observer.ReadRecovered(f.Partition, after)
	}
	return true, nil
}

// readTime bounds the transfer of one answer: a catch-up after a start moves as
// much as an answer holds, while many nodes read at once.
func (f *Follower) readTime(poll time.Duration) time.Duration {
	if poll > 0 {
		return readTimeout
	}
	return bulkTimeout
}

// lengthened returns a time-out that was chosen for a log next door, for one that is as far
// away as beyond tells.
func lengthened(timeout time.Duration, beyond func() time.Duration) time.Duration {
	if beyond == nil {
		return timeout
	}
	return timeout + beyond()
}

// pollFor returns how long a read may wait at a service that is as far away as beyond
// tells: what the way takes is not waited, so that a follower that hears nothing counts as
// current for as long as one next door.
func pollFor(beyond func() time.Duration) time.Duration {
	if beyond == nil {
		return pollWait
	}
	return max(pollWait-beyond(), leastPollWait)
}

// apply hands over the records that were not handed over yet: two reads may
// run at once and return the same ones.
func (f *Follower) apply(from uint64, records [][]byte) {
	f.reading.Lock()
	defer f.reading.Unlock()
	if from > f.next {
		return
	}
	seen := f.next - from
	if seen >= uint64(len(records)) {
		return
	}
	f.Apply(f.next, records[seen:])
	f.next = from + uint64(len(records))
}

func (f *Follower) skipTo(first uint64) {
	f.reading.Lock()
	defer f.reading.Unlock()
	f.next = max(f.next, first)
}

func rest(ctx context.Context, pause func() time.Duration) {
	if pause != nil {
		wait.For(ctx, pause())
	}
}
