package coldlimit

import (
	"math"
	"time"
)

const (
	// window is the length of the sliding window in which requests are counted.
	window = time.Second
	// maxSenders is the number of nodes that may send to a sampler without knowing of each
	// other: a former executor and the one that took over from it.
	maxSenders = 2
)

// Unlimited is the number of requests that a sampler without limits may be sent.
const Unlimited = math.MaxInt

// Limits are the limits of one sender for the samplers of one service. The zero value
// means that the samplers are never cold and have no limits.
type Limits struct {
	// ColdDuration is how long a sampler is cold after its start.
	ColdDuration time.Duration
	// ColdPerSecond is the maximum number of requests in any second to a cold sampler. It may
	// be 0.
	ColdPerSecond int
	// WarmPerSecond is the maximum number of requests in any second to any other sampler, which
	// may have restarted without this node having noticed. It may be 0.
	WarmPerSecond int
}

// NewLimits returns the limits of a service whose samplers are cold for coldDuration after a
// start and handle perSecond requests per second while they are cold. All senders together may
// send a cold sampler perSecond*factor+slack requests in any second. Each sender gets an equal
// share, and no more than perSecond for a sampler known to be cold. The limits are at least one
// request per second. A coldDuration, perSecond or factor of 0 or less gives the zero Limits.
func NewLimits(coldDuration time.Duration, perSecond, factor, slack float64) Limits {
	if coldDuration <= 0 || perSecond <= 0 || factor <= 0 {
		return Limits{}
	}
	share := (perSecond*factor + slack) / maxSenders
	return Limits{ColdDuration: coldDuration, ColdPerSecond: atLeastOne(min(perSecond, share)), WarmPerSecond: atLeastOne(share)}
}

func atLeastOne(requests float64) int { return max(int(requests), 1) }

// limited reports whether samplers are ever cold, so that the limits apply.
func (l Limits) limited() bool { return l.ColdDuration > 0 }

// Budget counts the requests that this node sends to one sampler against the limits of its
// service. The zero value is the budget of a warm sampler without limits. It is not safe
// for concurrent use.
type Budget struct {
	limits Limits
	// coldUntil is when the sampler becomes warm.
	coldUntil time.Time
	// listedCold is the remaining cold time in the sampler's newest list entry.
	listedCold time.Duration
	// sent holds the times at which the requests in the window were sent, in order.
	sent []time.Time
}

// SetLimits replaces the limits. Requests already counted stay counted.
func (b *Budget) SetLimits(limits Limits) { b.limits = limits }

// UpdateColdRemaining records the remaining cold time in the sampler's list entry; it never
// shortens the cold time known so far. A value equal to the previous one is ignored: it belongs
// to the same entry, which is applied repeatedly with the list, and must not keep the sampler
// cold.
func (b *Budget) UpdateColdRemaining(remaining time.Duration, now time.Time) {
	if remaining == b.listedCold {
		return
	}
	b.listedCold = remaining
	b.extendCold(remaining, now)
}

// AssumeColdStart records that the sampler may have restarted, because it is new to this node
// while there is traffic, or because it did not answer. It counts as cold for
// Limits.ColdDuration from now on.
func (b *Budget) AssumeColdStart(now time.Time) { b.extendCold(b.limits.ColdDuration, now) }

// extendCold makes the sampler cold for at least a duration from now on.
func (b *Budget) extendCold(remaining time.Duration, now time.Time) {
	if until := now.Add(remaining); remaining > 0 && until.After(b.coldUntil) {
		b.coldUntil = until
	}
}

// Cold reports whether the sampler is cold or may be cold.
func (b *Budget) Cold(now time.Time) bool { return b.limits.limited() && now.Before(b.coldUntil) }

// RecordSent records a request sent to the sampler. It counts regardless of its outcome.
func (b *Budget) RecordSent(now time.Time) {
	if !b.limits.limited() {
		return
	}
	b.dropExpired(now)
	b.sent = append(b.sent, now)
}

// Available returns the number of requests that may be sent now, Unlimited if the limits are
// zero.
func (b *Budget) Available(now time.Time) int {
	if !b.limits.limited() {
		return Unlimited
	}
	b.dropExpired(now)
	return max(b.limit(now)-len(b.sent), 0)
}

// SentLastSecond returns the number of requests sent in the last second.
func (b *Budget) SentLastSecond(now time.Time) int {
	b.dropExpired(now)
	return len(b.sent)
}

// NextAvailable returns the earliest time at which a request may be sent; now if one may be
// sent at once.
func (b *Budget) NextAvailable(now time.Time) time.Time {
	if b.Available(now) > 0 {
		return now
	}
	limit := b.limit(now)
	if limit == 0 {
		return b.coldUntil
	}
	return b.sent[len(b.sent)-limit].Add(window)
}

// limit returns the number of requests allowed in a window at the time now.
func (b *Budget) limit(now time.Time) int {
	if b.Cold(now) {
		return b.limits.ColdPerSecond
	}
	return b.limits.WarmPerSecond
}

// dropExpired removes the requests that have left the window. If the clock steps back,
// requests stay in the window longer, never shorter.
func (b *Budget) dropExpired(now time.Time) {
	expired := 0
	for expired < len(b.sent) && now.Sub(b.sent[expired]) > window {
		expired++
	}
	b.sent = append(b.sent[:0], b.sent[expired:]...)
}
