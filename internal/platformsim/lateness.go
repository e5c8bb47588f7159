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

// lateWake is a timer that fired late.
type lateWake struct {
	at    time.Time
	delay time.Duration
}

// WatchLateness measures by how much timers fire late on this machine, until ctx ends. Time
// bounds are widened by this delay, since a program cannot react faster than the machine schedules
// it. Timers of a virtual clock are never late.
func (t *Truth) WatchLateness(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(wakeInterval)
		t.RecordWakeDelay(time.Since(began) - wakeInterval)
	}
}

// RecordWakeDelay records by how much a timer fired late.
func (t *Truth) RecordWakeDelay(delay time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	for len(t.late) > 0 && now.Sub(t.late[0].at) > wakeDelayRetention {
		t.late = t.late[1:]
	}
	// Drop earlier delays that are not longer: the new one outlives them.
	for len(t.late) > 0 && t.late[len(t.late)-1].delay <= delay {
		t.late = t.late[:len(t.late)-1]
	}
	t.late = append(t.late, lateWake{at: now, delay: delay})
	t.latest = max(t.latest, delay)
}

// lateness returns the longest wake-up delay within wakeDelayRetention. The caller holds t.mutex.
func (t *Truth) lateness(now time.Time) time.Duration {
	for _, wake := range t.late {
		if now.Sub(wake.at) <= wakeDelayRetention {
			return max(wake.delay, 0)
		}
	}
	return 0
}

// Latest returns the longest wake-up delay of the whole run.
func (t *Truth) Latest() time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.latest
}

// allowance returns the tolerance for times that are measured at the far end of a link. The caller
// holds t.mutex.
func (t *Truth) allowance(now time.Time) time.Duration { return slack + t.lateness(now) }
