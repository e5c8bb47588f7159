package event

import (
	"sync"
	"time"
)

// mostLines is how many lines of one cause are written in limitWindow: what other writers
// put into a log is not bounded, and each line costs processor time (chosen).
const (
	mostLines   = 10
	limitWindow = 10 * time.Second
)

// Limiter bounds the lines of one cause. The zero value is ready for use. It is safe for
// concurrent use.
type Limiter struct {
	mutex   sync.Mutex
	began   time.Time
	written int
}

// Allow reports whether one more line may be written now.
func (l *Limiter) Allow(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now.Sub(l.began) >= limitWindow {
		l.began, l.written = now, 0
	}
	l.written++
	return l.written <= mostLines
}
