package event

import (
	"sync"
	"time"
)

// At most maxLinesPerWindow lines of one cause are written in each limitWindow. What
// other processes write to a log is unbounded, and each line about it costs processor time.
const (
	maxLinesPerWindow = 10
	limitWindow       = 10 * time.Second
)

// Limiter limits the rate of log lines with one cause, in fixed windows. The zero value
// is ready for use. It is safe for concurrent use.
type Limiter struct {
	mutex       sync.Mutex
	windowStart time.Time
	// requested counts the calls of Allow in the current window, also the refused ones.
	requested int
}

// Allow reports whether a line may be written at the given time, and counts it.
func (l *Limiter) Allow(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now.Sub(l.windowStart) >= limitWindow {
		l.windowStart, l.requested = now, 0
	}
	l.requested++
	return l.requested <= maxLinesPerWindow
}
