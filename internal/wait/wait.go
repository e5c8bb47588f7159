// Package wait blocks a goroutine for a time or at intervals, until a context ends.
package wait

import (
	"context"
	"time"
)

// For waits for a duration. It reports false if ctx ended first, or had already ended for a
// duration of 0 or less.
func For(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Until waits until a time. It reports false as For does.
func Until(ctx context.Context, at time.Time) bool { return For(ctx, time.Until(at)) }

// Every calls run at once and then at each interval until ctx ends. A call that takes longer
// than the interval delays or skips the next ones; calls never overlap.
func Every(ctx context.Context, interval time.Duration, run func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		run()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
