package sharedlog

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// probeTimeout is the timeout of a probe, and the time after which the first probe is sent
	// beside a read that follows a failed one.
	probeTimeout = 400 * time.Millisecond
	// probeBytes is the number of bytes that a probe requests. The log returns at least one
	// record.
	probeBytes = 1
)

// readAttempt describes one read of a follower.
type readAttempt struct {
	// hold is how long the log may wait for a record. A read that follows a failed one has none.
	hold time.Duration
	// timeout is the timeout without the hold if no read has failed, maxTimeout that after any
	// number of reads that ran out of time.
	timeout, maxTimeout time.Duration
	// extraLatency and maxPause are those of the follower. Both may be nil.
	extraLatency, maxPause func() time.Duration
	read                   func(ctx context.Context, hold time.Duration) error
	// probe requests the smallest possible answer. It may be nil.
	probe func(ctx context.Context) error
}

// retrier makes the reads of one follower. It is safe for concurrent use.
type retrier struct {
	mutex   sync.Mutex
	backoff readBackoff
}

// wait waits until the next read may be made. It reports false if ctx ended first.
func (r *retrier) wait(ctx context.Context) bool { return wait.For(ctx, r.delay()) }

// waitAtMost is wait with a maximum. It is for reads for which a caller waits.
func (r *retrier) waitAtMost(ctx context.Context, limit time.Duration) bool {
	return wait.For(ctx, min(r.delay(), limit))
}

func (r *retrier) delay() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Until(r.backoff.notBefore)
}

// read makes a read and returns the hold that it had. Beside a read that follows a failed one
// it sends probes: the read has a long timeout in case that the log is slow, but if the log
// was silent, it never answers reads that were sent before it is back. Upon the answer to a
// probe the read is made again.
func (r *retrier) read(ctx context.Context, attempt readAttempt) (hold time.Duration, err error) {
	failing, timeout := r.plan(attempt)
	if !failing {
		return attempt.hold, r.readOnce(ctx, attempt, attempt.hold, timeout)
	}
	if attempt.probe != nil {
		readCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		answered := false
		var probes conc.WaitGroup
		probes.Go(func() {
			if answered = r.probe(readCtx, attempt); answered {
				cancel()
			}
		})
		err = r.readOnce(WithoutMeasurement(readCtx), attempt, 0, timeout)
		cancel()
		probes.Wait()
		if err == nil || !answered {
			return 0, err
		}
	}
	return 0, r.readOnce(WithoutMeasurement(ctx), attempt, 0, timeout)
}

// plan returns whether the last read failed, and the timeout of the next one without its hold.
func (r *retrier) plan(attempt readAttempt) (failing bool, timeout time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.backoff.failures > 0, r.backoff.timeout(attempt.timeout, attempt.maxTimeout)
}

func (r *retrier) readOnce(ctx context.Context, attempt readAttempt, hold, timeout time.Duration) error {
	callCtx, cancel := context.WithTimeout(ctx, withExtraLatency(hold+timeout, attempt.extraLatency))
	defer cancel()
	began := time.Now()
	err := attempt.read(callCtx, hold)
	now, maxPause := time.Now(), attempt.pauseLimit()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case err == nil:
		r.backoff.recordAnswer(now.Sub(began)-hold, attempt.timeout)
	case result.Is(err, result.LogTruncated):
		r.backoff.recordAnswer(now.Sub(began)-hold, attempt.timeout)
		r.backoff.delayUntil(now.Add(retryInterval))
	case ctx.Err() == nil:
		r.backoff.recordFailure(callCtx.Err() != nil, maxPause, rand.Float64, now)
	}
	return err
}

// probe sends probes until one is answered or ctx ends. It reports whether one was answered.
func (r *retrier) probe(ctx context.Context, attempt readAttempt) (answered bool) {
	pause := probeTimeout
	for sent := 1; wait.For(ctx, pause); sent++ {
		callCtx, cancel := context.WithTimeout(ctx, withExtraLatency(probeTimeout, attempt.extraLatency))
		err := attempt.probe(callCtx)
		cancel()
		if err == nil || result.Is(err, result.LogTruncated) {
			return true
		}
		maxPause := attempt.pauseLimit()
		r.mutex.Lock()
		pause = r.backoff.pause(sent, maxPause, rand.Float64)
		r.mutex.Unlock()
	}
	return false
}

// pauseLimit returns the upper limit of the pause after a failed read.
func (a readAttempt) pauseLimit() time.Duration {
	if a.maxPause == nil {
		return defaultMaxRetryPause
	}
	return a.maxPause()
}
