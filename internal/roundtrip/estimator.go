// Package roundtrip estimates how long a service far or near takes to answer, from the
// answers themselves, so that time-outs and hedges fit the way to it. It decides
// nothing and reads no clock.
package roundtrip

import (
	"sync"
	"time"
)

const (
	// meanWeight is the share of a new sample in the smoothed round trip,
	// deviationWeight that in its deviation (RFC 6298, section 2).
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	// deviations is how many deviations a time-out lies above the smoothed round trip
	// (RFC 6298).
	deviations = 4
	// Granularity is the least distance between the two: the processor may be shared out
	// in slices of a tenth of a second, of which a process with a share of 0.2 waits 80 ms
	// (chosen; the RFC's G).
	Granularity = 80 * time.Millisecond
	// backoffFactor lengthens the time-out with each lost call (RFC 6298, 5.5).
	backoffFactor = 2
)

// Bounds hold the time-out of an estimator, whatever was measured.
type Bounds struct {
	// Floor is the least time-out. It is also that of a service next door, from which
	// Beyond counts.
	Floor time.Duration
	// Ceiling is the greatest.
	Ceiling time.Duration
}

// Estimator estimates the round trips of calls of one kind to one destination, as TCP
// does for its segments. Each call has an answer of its own, so that the answer to a
// repeated call is never taken for that to another (Karn's rule); what was given up has
// no sample. A call that the service holds on purpose must not be observed. It is safe
// for concurrent use.
type Estimator struct {
	bounds Bounds

	mutex     sync.Mutex
	known     bool
	smoothed  time.Duration
	deviation time.Duration
	// backoff multiplies the time-out; it last grew at backedOffAt.
	backoff     time.Duration
	backedOffAt time.Time
	answeredAt  time.Time
}

// Estimate is what an estimator tells.
type Estimate struct {
	// Smoothed is the round trip, 0 before the first answer; Deviation is its mean
	// deviation.
	Smoothed  time.Duration
	Deviation time.Duration
	// Timeout is after how long an answer counts as lost.
	Timeout time.Duration
}

// New returns an estimator that knows nothing: its time-out is the floor.
func New(bounds Bounds) *Estimator {
	return &Estimator{bounds: bounds, backoff: 1}
}

// Answered records an answer that came at a time, so long after its call.
func (e *Estimator) Answered(took time.Duration, now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.known {
		e.deviation += time.Duration(deviationWeight * float64((e.smoothed-took).Abs()-e.deviation))
		e.smoothed += time.Duration(meanWeight * float64(took-e.smoothed))
	} else {
		e.known, e.smoothed, e.deviation = true, took, took/2
	}
	e.backoff, e.answeredAt = 1, now
}

// Reached records that the service answered at a time, by a way whose length tells nothing.
func (e *Estimator) Reached(now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.answeredAt = now
}

// GivenUp records that a call was given up at a time, so long after it was sent. It was
// lost if its answer was overdue. Calls that were under way together and are lost
// together count once.
func (e *Estimator) GivenUp(after time.Duration, now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	together := now.Add(-after).Before(e.backedOffAt)
	if together || after < e.timeout() || e.timeout() >= e.bounds.Ceiling {
		return
	}
	e.backoff *= backoffFactor
	e.backedOffAt = now
}

// Read returns the estimate.
func (e *Estimator) Read() Estimate {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return Estimate{Smoothed: e.smoothed, Deviation: e.deviation, Timeout: e.timeout()}
}

// Beyond returns how much longer an answer may take than from a service next door. A
// time-out that was chosen for such a service is lengthened by it. Losses do not count: a
// service that is down may come back at any moment, and is no farther away then.
func (e *Estimator) Beyond() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.within(e.measured()) - e.bounds.Floor
}

// AnsweredSince reports whether an answer came since a time.
func (e *Estimator) AnsweredSince(since time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return !e.answeredAt.IsZero() && !e.answeredAt.Before(since)
}

// timeout is called under the lock.
func (e *Estimator) timeout() time.Duration {
	return e.within(e.backoff * e.measured())
}

// measured is the time-out by the answers alone. It is called under the lock.
func (e *Estimator) measured() time.Duration {
	return e.smoothed + max(Granularity, deviations*e.deviation)
}

func (e *Estimator) within(timeout time.Duration) time.Duration {
	return min(max(timeout, e.bounds.Floor), e.bounds.Ceiling)
}
