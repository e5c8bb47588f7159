package weights

import (
	"math"
	"time"
)

const (
	// slowdown is how much longer than the shortest a load may take before it counts as
	// slowed down by others under way.
	slowdown = 1.5
	// backOff is what is left of the limit after loads that were slowed down.
	backOff = 0.5
	// baseDrift lets the shortest time seen grow old: a store may have become slower.
	baseDrift = 1.01
)

// concurrency learns how many loads may be under way before they slow each other down
// much: half as many after one that took long, one more after one that did not. It begins
// with as many as a fleet allows.
type concurrency struct {
	limit float64
	// base is the shortest time of a load of late, 0 before the first.
	base time.Duration
	// reducedAt is when the limit was last reduced: loads that began before it say
	// nothing of the new one.
	reducedAt time.Time
}

func newConcurrency() concurrency { return concurrency{limit: math.Inf(1)} }

// loaded records a load that began and ended.
func (c *concurrency) loaded(began, ended time.Time, least int) {
	took := ended.Sub(began)
	if c.base == 0 || took < c.base {
		c.base = took
	}
	if float64(took) > slowdown*float64(c.base) {
		c.reduce(began, ended, least)
	} else {
		c.limit++
	}
	c.base = time.Duration(float64(c.base) * baseDrift)
}

// reduce takes the limit back, once for the loads that were under way together.
func (c *concurrency) reduce(began, now time.Time, least int) {
	if began.Before(c.reducedAt) {
		return
	}
	c.limit = max(c.limit*backOff, float64(least))
	c.reducedAt = now
}

// bound returns how many loads may be under way of those that a fleet allows, and keeps
// what was learned within them.
func (c *concurrency) bound(most int) int {
	c.limit = min(c.limit, float64(most))
	return int(c.limit)
}
