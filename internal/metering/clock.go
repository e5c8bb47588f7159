package metering

import (
	"sync"
	"time"
)

const (
	// minStep is the smallest step of the wall clock that counts as a step. Drift and its
	// correction stay below it.
	minStep = 300 * time.Millisecond
	// stepConfirmTime is how long a step must persist before it is adopted, since the wall
	// clock of a machine may step by seconds and return after some seconds.
	stepConfirmTime = 30 * time.Second
)

// Clock tells the time of day without the transient jumps of the machine's wall clock. It
// advances with the monotonic clock from the first reading and adopts a step of the wall
// clock only after the step has persisted for stepConfirmTime. It is safe for concurrent
// use.
type Clock struct {
	// Now reads the machine's clock; its result must carry a monotonic clock reading.
	Now func() time.Time
	// SuspendedTime returns for how long the machine has been suspended, which the monotonic clock
	// does not count; nil if it never is.
	SuspendedTime func() time.Duration

	mutex sync.Mutex
	// base is the first reading and baseSuspended the suspended time up to it. offset is the
	// sum of the steps adopted since.
	base          time.Time
	baseSuspended time.Duration
	offset        time.Duration
	// candidateSince is when the offset candidateOffset was first seen; it is zero while no
	// step is pending.
	candidateSince  time.Time
	candidateOffset time.Duration
}

// Read returns the time of day.
func (c *Clock) Read() time.Time { return c.At(c.Now()) }

// At returns the time of day for a reading of the machine's clock.
func (c *Clock) At(reading time.Time) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.base.IsZero() {
		c.base, c.baseSuspended = reading, c.suspended()
	}
	monotonic := c.base.Round(0).Add(reading.Sub(c.base) + c.suspended() - c.baseSuspended)
	c.adoptStep(reading, reading.Round(0).Sub(monotonic))
	return monotonic.Add(c.offset)
}

// suspended returns the time for which the machine has been suspended, 0 if no function
// reports it.
func (c *Clock) suspended() time.Duration {
	if c.SuspendedTime == nil {
		return 0
	}
	return c.SuspendedTime()
}

// adoptStep makes the difference to the wall clock the offset once it has persisted for
// stepConfirmTime. The caller holds c.mutex.
func (c *Clock) adoptStep(reading time.Time, difference time.Duration) {
	step := difference - c.offset
	if step.Abs() < minStep {
		c.candidateSince = time.Time{}
		return
	}
	if c.candidateSince.IsZero() || (difference-c.candidateOffset).Abs() >= minStep {
		c.candidateSince, c.candidateOffset = reading, difference
		return
	}
	if reading.Sub(c.candidateSince) >= stepConfirmTime {
		c.offset, c.candidateSince = difference, time.Time{}
	}
}
