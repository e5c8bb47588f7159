// Package roundtrip estimates the round-trip time of calls to a service from its answers,
// so that timeouts and hedging delays fit the distance to the service. It only estimates:
// it sets no timers and reads no clock.
package roundtrip

import (
	"sync"
	"time"
)

const (
	// meanWeight is the weight of a new sample in the smoothed round-trip time (alpha in
	// RFC 6298, section 2).
	meanWeight = 1.0 / 8
	// deviationWeight is the weight of a new sample in the mean deviation (beta in RFC
	// 6298, section 2).
	deviationWeight = 1.0 / 4
	// deviationFactor is the number of mean deviations between the smoothed round-trip time
	// and the timeout (K in RFC 6298, section 2).
	deviationFactor = 4
	// Granularity is the minimum difference between the smoothed round-trip time and the
	// timeout (G in RFC 6298). CPU quotas may be enforced in periods of 100 ms: a process
	// limited to 0.2 of a CPU is then throttled for 80 ms of each period.
	Granularity = 80 * time.Millisecond
	// backoffFactor multiplies the timeout for each lost call (RFC 6298, section 5.5).
	backoffFactor = 2
)

// Bounds limit the timeout of an estimator, whatever the round-trip times are.
type Bounds struct {
	// MinTimeout is the minimum timeout. It is also the timeout for a nearby service, relative
	// to which ExtraLatency is counted.
	MinTimeout time.Duration
	// MaxTimeout is the maximum timeout.
	MaxTimeout time.Duration
}

// Estimator estimates the round-trip time of calls of one kind to one destination with the
// algorithm that TCP uses for its retransmission timeout (RFC 6298). Every call has its own
// answer, so the answer to one call is never attributed to a repetition of it (Karn's
// algorithm). Abandoned calls give no sample. Calls that the service holds open on purpose
// must not be recorded. An Estimator is safe for concurrent use.
type Estimator struct {
	bounds Bounds

	mutex     sync.Mutex
	hasSample bool
	smoothed  time.Duration
	deviation time.Duration
	// backoff multiplies the timeout. It is 1 after an answer and last grew at backedOffAt.
	backoff     time.Duration
	backedOffAt time.Time
	answeredAt  time.Time
}

// Estimate is the state of an estimator at one time.
type Estimate struct {
	// Smoothed is the smoothed round-trip time, 0 before the first answer.
	Smoothed time.Duration
	// Deviation is the mean deviation of the round-trip time, 0 before the first answer.
	Deviation time.Duration
	// Timeout is the time after which an answer counts as lost.
	Timeout time.Duration
}

// New returns an estimator without samples. Its timeout is the minimum of the bounds, or
// Granularity if that is longer.
func New(bounds Bounds) *Estimator {
	return &Estimator{bounds: bounds, backoff: 1}
}

// RecordAnswer records an answer that arrived at the time now, with the round-trip time of
// its call. It resets the backoff.
func (e *Estimator) RecordAnswer(roundTrip time.Duration, now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.hasSample {
		e.deviation += time.Duration(deviationWeight * float64((e.smoothed-roundTrip).Abs()-e.deviation))
		e.smoothed += time.Duration(meanWeight * float64(roundTrip-e.smoothed))
	} else {
		e.hasSample, e.smoothed, e.deviation = true, roundTrip, roundTrip/2
	}
	e.backoff, e.answeredAt = 1, now
}

// RecordContact records that the service answered at the time now, over a path whose
// round-trip time does not apply, such as through another node. It counts for AnsweredSince
// only.
func (e *Estimator) RecordContact(now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.answeredAt = now
}

// RecordAbandoned records that a call was abandoned at the time now, waited after it was
// sent. The call counts as lost, and the timeout is backed off, if it waited for the timeout
// or longer. Lost calls that were in flight at the same time back off once.
func (e *Estimator) RecordAbandoned(waited time.Duration, now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	alreadyCounted := now.Add(-waited).Before(e.backedOffAt)
	if alreadyCounted || waited < e.timeout() || e.timeout() >= e.bounds.MaxTimeout {
		return
	}
	e.backoff *= backoffFactor
	e.backedOffAt = now
}

// Estimate returns the current estimate.
func (e *Estimator) Estimate() Estimate {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return Estimate{Smoothed: e.smoothed, Deviation: e.deviation, Timeout: e.timeout()}
}

// ExtraLatency returns how much longer an answer may take than that of a nearby service.
// Callers add it to a timeout that fits a nearby service. Lost calls do not increase it: a
// service that is down may come back at any time, and is then no farther away.
func (e *Estimator) ExtraLatency() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.clamp(e.baseTimeout()) - e.bounds.MinTimeout
}

// AnsweredSince reports whether the service has answered at or after a time.
func (e *Estimator) AnsweredSince(since time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return !e.answeredAt.IsZero() && !e.answeredAt.Before(since)
}

// timeout returns the timeout with backoff. The caller holds the lock.
func (e *Estimator) timeout() time.Duration {
	return e.clamp(e.backoff * e.baseTimeout())
}

// baseTimeout returns the timeout without backoff and bounds. The caller holds the lock.
func (e *Estimator) baseTimeout() time.Duration {
	return e.smoothed + max(Granularity, deviationFactor*e.deviation)
}

// clamp limits a timeout to the bounds.
func (e *Estimator) clamp(timeout time.Duration) time.Duration {
	return min(max(timeout, e.bounds.MinTimeout), e.bounds.MaxTimeout)
}
