package platformsim

import (
	"context"
	"time"
)

const (
	// beatInterval is how often WatchLateness asks to be woken.
	beatInterval = 20 * time.Millisecond
	// latenessKept is how long a late wake counts: longer than the bounds that it widens.
	latenessKept = 5 * time.Second
)

// lateWake is a timer that fired late.
type lateWake struct {
	at time.Time
	by time.Duration
}

// WatchLateness measures how late this machine wakes a program, until ctx ends. Bounds are
// judged that much wider: a program cannot be punctual on a machine that is not. Timers of
// a virtual clock are never late.
func (t *Truth) WatchLateness(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(beatInterval)
		t.Late(time.Since(began) - beatInterval)
	}
}

// Late notes that this machine wakes programs late.
func (t *Truth) Late(by time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	for len(t.late) > 0 && now.Sub(t.late[0].at) > latenessKept {
		t.late = t.late[1:]
	}
	// A later wake that is as late stands for the ones before it.
	for len(t.late) > 0 && t.late[len(t.late)-1].by <= by {
		t.late = t.late[:len(t.late)-1]
	}
	t.late = append(t.late, lateWake{at: now, by: by})
	t.latest = max(t.latest, by)
}

// lateness is how late the machine was of late. It is called under the lock.
func (t *Truth) lateness(now time.Time) time.Duration {
	for _, wake := range t.late {
		if now.Sub(wake.at) <= latenessKept {
			return max(wake.by, 0)
		}
	}
	return 0
}

// Latest is the latest that this machine ever woke a program.
func (t *Truth) Latest() time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.latest
}

// allowance is given to what is measured at the far end of a link. It is called under the
// lock.
func (t *Truth) allowance(now time.Time) time.Duration { return slack + t.lateness(now) }
