package platformnode

import "time"

const (
	// minClaimBackoff is the pause after the first group of claims that the log did not return
	// in time. It doubles with each further one, up to maxClaimBackoff.
	minClaimBackoff = 400 * time.Millisecond
	maxClaimBackoff = 3200 * time.Millisecond
)

// claimBackoff is the pause of claims while the log does not return them: more claims would
// only add to its load. Its zero value is not active.
type claimBackoff struct {
	pause time.Duration
	until time.Time
}

// active reports whether no claim may be made now.
func (b *claimBackoff) active(now time.Time) bool { return now.Before(b.until) }

// fail begins the next pause and returns its length. A group that was already in progress when
// the current pause began does not lengthen it. random, from 0 to 1, chooses the length
// between half of the pause and all of it.
func (b *claimBackoff) fail(now time.Time, random float64) time.Duration {
	if b.active(now) {
		return b.until.Sub(now)
	}
	b.pause = min(max(2*b.pause, minClaimBackoff), maxClaimBackoff)
	jittered := b.pause/2 + time.Duration(random*float64(b.pause/2))
	b.until = now.Add(jittered)
	return jittered
}

// reset ends the pause after a group that was read back in time.
func (b *claimBackoff) reset() { *b = claimBackoff{} }
