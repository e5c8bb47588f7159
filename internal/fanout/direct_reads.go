package fanout

import (
	"sync"
	"time"
)

const (
	// minDirectReadInterval is the interval between two reads of the log by a node that no
	// reader serves. It doubles with each slow or failed read, up to maxDirectReadInterval.
	minDirectReadInterval = 300 * time.Millisecond
	maxDirectReadInterval = 5 * time.Second
	// slowDirectRead is the duration from which on such a read counts as slow.
	slowDirectRead = 500 * time.Millisecond
)

// DirectReadPacer bounds the reads of the log by a node that no reader serves, so that all
// nodes together do not overload the log when many readers have failed. It is safe for
// concurrent use.
type DirectReadPacer struct {
	mutex    sync.Mutex
	interval time.Duration
	nextAt   time.Time
}

// NewDirectReadPacer returns a pacer that allows a read at once.
func NewDirectReadPacer() *DirectReadPacer {
	return &DirectReadPacer{interval: minDirectReadInterval}
}

// Allow reports whether the log may be read now. If so, the next read is allowed an interval
// later.
func (p *DirectReadPacer) Allow(now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if now.Before(p.nextAt) {
		return false
	}
	p.nextAt = now.Add(p.interval)
	return true
}

// Record records the duration and the error of an allowed read.
func (p *DirectReadPacer) Record(took time.Duration, err error, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err == nil && took < slowDirectRead {
		p.interval = minDirectReadInterval
		return
	}
	p.interval = min(2*p.interval, maxDirectReadInterval)
	p.nextAt = now.Add(p.interval)
}
