package platformsim

import (
	"context"
	"time"
)

const (
	// wakeInterval is the sleep time whose overrun is measured as wake-up delay.
	wakeInterval = 20 * time.Millisecond
	// wakeDelayRetention is how long a wake-up delay counts. It must be longer than the bounds
	// that the delay widens.
	wakeDelayRetention = 5 * time.Second
)

// wakeDelaySample is a timer that fired late.
type wakeDelaySample struct {
	at    time.Time
	delay time.Duration
}

// MeasureWakeDelays measures by how much timers fire late on this machine, until ctx ends. Time
// bounds are widened by this delay, since a program cannot react faster than the machine schedules
// it. Timers of a virtual clock are never late.
func (c *Checker) MeasureWakeDelays(ctx context.Context) {
	for ctx.Err() == nil {
		startedAt := time.Now()
		time.Sleep(wakeInterval)
		c.RecordWakeDelay(time.Since(startedAt) - wakeInterval)
	}
}

// RecordWakeDelay records by how much a timer fired late.
func (c *Checker) RecordWakeDelay(delay time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	for len(c.wakeDelays) > 0 && now.Sub(c.wakeDelays[0].at) > wakeDelayRetention {
		c.wakeDelays = c.wakeDelays[1:]
	}
	// Drop earlier delays that are not longer: the new one outlives them.
	for len(c.wakeDelays) > 0 && c.wakeDelays[len(c.wakeDelays)-1].delay <= delay {
		c.wakeDelays = c.wakeDelays[:len(c.wakeDelays)-1]
	}
	c.wakeDelays = append(c.wakeDelays, wakeDelaySample{at: now, delay: delay})
	c.maxWakeDelay = max(c.maxWakeDelay, delay)
}

// recentWakeDelay returns the longest wake-up delay within wakeDelayRetention. The caller holds
// c.mutex.
func (c *Checker) recentWakeDelay(now time.Time) time.Duration {
	for _, wake := range c.wakeDelays {
		if now.Sub(wake.at) <= wakeDelayRetention {
			return max(wake.delay, 0)
		}
	}
	return 0
}

// MaxWakeDelay returns the longest wake-up delay of the whole run.
func (c *Checker) MaxWakeDelay() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.maxWakeDelay
}

// tolerance returns the tolerance for times that are measured at the far end of a link. The caller
// holds c.mutex.
func (c *Checker) tolerance(now time.Time) time.Duration {
	return linkTolerance + c.recentWakeDelay(now)
}
