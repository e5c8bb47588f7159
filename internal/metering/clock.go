package metering

import (
	"sync"
	"time"
)

const (
	// stepSize is how far the time of day must jump to be a step: drift and its
	// correction stay below.
	stepSize = 300 * time.Millisecond
	// stepTrust is how long a step must last until it is taken for the true time:
	// machines' clocks were seen to jump by seconds and back after some seconds.
	stepTrust = 30 * time.Second
)

// Clock tells the time of day without the jumps of the machine's clock: it goes on with
// the steady clock from the first reading and follows a jump only once it has lasted. It
// is safe for concurrent use.
type Clock struct {
	// Now reads the machine's clock; its steady reading must be set.
	Now func() time.Time
	// Slept tells for how long the machine was suspended, which the steady reading does not
	// count; nil if it never is.
	Slept func() time.Duration

	mutex sync.Mutex
	// base is the reading that time is told from, slept the suspension before it, offset what
	// a jump added since.
	base      time.Time
	slept     time.Duration
	offset    time.Duration
	steppedAt time.Time
	stepped   time.Duration
}

// Read returns the time of day.
func (c *Clock) Read() time.Time { return c.At(c.Now()) }

// At returns the time of day of a reading of the machine's clock.
func (c *Clock) At(reading time.Time) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.base.IsZero() {
		c.base, c.slept = reading, c.suspended()
	}
	steady := c.base.Round(0).Add(reading.Sub(c.base) + c.suspended() - c.slept)
	c.follow(reading, reading.Round(0).Sub(steady))
	return steady.Add(c.offset)
}

func (c *Clock) suspended() time.Duration {
	if c.Slept == nil {
		return 0
	}
	return c.Slept()
}

// follow takes the difference to the machine's clock over once it has lasted.
func (c *Clock) follow(reading time.Time, difference time.Duration) {
	jump := difference - c.offset
	if jump.Abs() < stepSize {
		c.steppedAt = time.Time{}
		return
	}
	if c.steppedAt.IsZero() || (difference-c.stepped).Abs() >= stepSize {
		c.steppedAt, c.stepped = reading, difference
		return
	}
	if reading.Sub(c.steppedAt) >= stepTrust {
		c.offset, c.steppedAt = difference, time.Time{}
	}
}
