package fanout

import (
	"sync"
	"time"
)

const (
	// fallbackShare is the fraction of what the log serves that the nodes whose readers are gone
	// use together when they begin to read the log themselves.
	fallbackShare = 0.25
	// maxSpread bounds the time over which these nodes spread their first reads, so that a node
	// that is alone in this does not stay without data.
	maxSpread = 4 * time.Second
	// MinEntriesPause, MinRecordsPause and MinPagePause are the longest pauses after fast reads
	// of entries, of records without keys and of pages of the newest entries. With jitter they
	// are up to a half shorter.
	MinEntriesPause = 350 * time.Millisecond
	MinRecordsPause = 600 * time.Millisecond
	MinPagePause    = 20 * time.Millisecond
	// slowRead is the duration from which on a read counts as slow: other reads wait at the log.
	slowRead = 400 * time.Millisecond
	// minSlowPause and maxFallbackPause bound the pause after a slow or failed read.
	minSlowPause     = 250 * time.Millisecond
	maxFallbackPause = 8 * time.Second
)

// LogLimits is what the log serves to all nodes together. Zero values are unknown.
type LogLimits struct {
	BytesPerSecond, ReadsPerSecond float64
}

// Spread returns the time over which a number of nodes must spread one read each of a size in
// bytes, so that they use at most fallbackShare of the limits. It is at most maxSpread, and 0 if
// the limits are unknown.
func (l LogLimits) Spread(nodes, bytes int) time.Duration {
	var seconds float64
	if l.BytesPerSecond > 0 {
		seconds = float64(nodes) * float64(bytes) / (fallbackShare * l.BytesPerSecond)
	}
	if l.ReadsPerSecond > 0 {
		seconds = max(seconds, float64(nodes)/(fallbackShare*l.ReadsPerSecond))
	}
	return time.Duration(min(seconds, maxSpread.Seconds()) * float64(time.Second))
}

// Fallback paces the reads by which a node reads the log itself because no reader answers. All
// nodes of a cluster may do so at the same time, and no node knows how many do: the first reads
// are spread at random, then each node shortens its pauses while the log answers fast and
// lengthens them while it is slow or fails. It is safe for concurrent use.
type Fallback struct {
	// random returns a random number in [0, 1).
	random func() float64

	mutex  sync.Mutex
	active bool
	// pause is the longest pause after the next read, readAt the time of that read.
	pause  time.Duration
	readAt time.Time
}

// NewFallback returns the state of a node whose readers answer. random returns a random number
// in [0, 1).
func NewFallback(random func() float64) *Fallback { return &Fallback{random: random} }

// NextRead returns the time of the next read, now or later. The first one is at a random time
// within spread.
func (f *Fallback) NextRead(now time.Time, spread time.Duration) time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.active {
		f.active, f.pause = true, spread
		f.readAt = now.Add(time.Duration(f.random() * float64(spread)))
	}
	return f.readAt
}

// ReadEnded records that a read which took a duration has ended. The next one follows after
// minPause if the log answers fast. The longest pause after a slow or failed read is slowPause at
// least.
func (f *Fallback) ReadEnded(now time.Time, took time.Duration, answered bool, minPause, slowPause time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if answered && took < slowRead {
		f.pause = max(f.pause/2, minPause)
	} else {
		f.pause = min(max(2*f.pause, slowPause, minSlowPause), maxFallbackPause)
	}
	// The jitter keeps nodes that read at the same time from doing so again.
	f.readAt = now.Add(time.Duration((1 + f.random()) / 2 * float64(f.pause)))
}

// End records that a reader has answered.
func (f *Fallback) End() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.active = false
}

// Active reports whether no reader has answered since the last call of NextRead.
func (f *Fallback) Active() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.active
}
