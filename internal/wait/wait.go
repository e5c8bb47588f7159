// Package wait pauses a goroutine until a time or the end of a context.
package wait

import (
	"context"
	"time"
)

// For waits for a duration. It reports false if ctx ended first.
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

// Until waits until a time. It reports false if ctx ended first.
func Until(ctx context.Context, at time.Time) bool { return For(ctx, time.Until(at)) }

// Every runs a step at once and then at each interval until ctx ends.
func Every(ctx context.Context, interval time.Duration, step func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		step()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
