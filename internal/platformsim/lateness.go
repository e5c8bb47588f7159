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
func (t *Checker) MeasureWakeDelays(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(wakeInterval)
		t.RecordWakeDelay(time.Since(began) - wakeInterval)
	}
}

// RecordWakeDelay records by how much a timer fired late.
func (t *Checker) RecordWakeDelay(delay time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	for len(t.wakeDelays) > 0 && now.Sub(t.wakeDelays[0].at) > wakeDelayRetention {
		t.wakeDelays = t.wakeDelays[1:]
	}
	// Drop earlier delays that are not longer: the new one outlives them.
	for len(t.wakeDelays) > 0 && t.wakeDelays[len(t.wakeDelays)-1].delay <= delay {
		t.wakeDelays = t.wakeDelays[:len(t.wakeDelays)-1]
	}
	t.wakeDelays = append(t.wakeDelays, wakeDelaySample{at: now, delay: delay})
	t.maxWakeDelay = max(t.maxWakeDelay, delay)
}

// recentWakeDelay returns the longest wake-up delay within wakeDelayRetention. The caller holds t.mutex.
func (t *Checker) recentWakeDelay(now time.Time) time.Duration {
	for _, wake := range t.wakeDelays {
		if now.Sub(wake.at) <= wakeDelayRetention {
			return max(wake.delay, 0)
		}
	}
	return 0
}

// MaxWakeDelay returns the longest wake-up delay of the whole run.
func (t *Checker) MaxWakeDelay() time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.maxWakeDelay
}

// tolerance returns the tolerance for times that are measured at the far end of a link. The caller
// holds t.mutex.
func (t *Checker) tolerance(now time.Time) time.Duration {
	return linkTolerance + t.recentWakeDelay(now)
}
