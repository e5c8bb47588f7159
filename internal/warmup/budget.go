package warmup

import (
	"math"
	"time"
)

const (
	// window is the second of the bound.
	window = time.Second
	// senders is the number of nodes that may send without knowing of each other: two, an
	// executor and the one that took over from it.
	senders = 2
)

// Unlimited is the room of a sampler without a bound.
const Unlimited = math.MaxInt

// Limits are what the samplers of one service bear. The zero value means that they are
// never cold.
type Limits struct {
	// ColdFor is how long a sampler is cold from its start on.
	ColdFor time.Duration
	// Cold is the number of requests that one sender gives a cold sampler in any second,
	// Warm the number that it gives any other, which may have become cold unnoticed. Either
	// may be 0.
	Cold int
	Warm int
}

// NewLimits returns the limits of a service whose cold samplers bear so many requests a
// second for so long, of which all senders together may exceed over times as many and
// slack more.
func NewLimits(coldFor time.Duration, perSecond, over, slack float64) Limits {
	if coldFor <= 0 || perSecond <= 0 || over <= 0 {
		return Limits{}
	}
	share := (perSecond*over + slack) / senders
	return Limits{ColdFor: coldFor, Cold: atLeastOne(min(perSecond, share)), Warm: atLeastOne(share)}
}

func atLeastOne(requests float64) int { return max(int(requests), 1) }

// bounded reports whether there is anything to bound.
func (l Limits) bounded() bool { return l.ColdFor > 0 }

// Budget counts what one sender sends to one sampler. The zero value is that of a
// sampler that is not cold. It is not safe for concurrent use.
type Budget struct {
	limits Limits
	// coldUntil is when the sampler is warm.
	coldUntil time.Time
	// told is what the sampler's entry said last.
	told time.Duration
	// sent holds when the requests of the last window were sent, in order.
	sent []time.Time
}

// SetLimits applies the service's limits.
func (b *Budget) SetLimits(limits Limits) { b.limits = limits }

// Told records how much longer the sampler says that it is cold. An entry that says the
// same as before is taken for the one that is known already: the list is applied again
// and again, and that must not keep the sampler cold.
func (b *Budget) Told(coldFor time.Duration, now time.Time) {
	if coldFor == b.told {
		return
	}
	b.told = coldFor
	b.coldAtLeast(coldFor, now)
}

// Doubt records that the sampler may have started anew: it is new to this node while
// there is traffic, or it did not answer. It counts as cold for as long as after a start.
func (b *Budget) Doubt(now time.Time) { b.coldAtLeast(b.limits.ColdFor, now) }

func (b *Budget) coldAtLeast(coldFor time.Duration, now time.Time) {
	if until := now.Add(coldFor); coldFor > 0 && until.After(b.coldUntil) {
		b.coldUntil = until
	}
}

// Cold reports whether the sampler is cold, or may be.
func (b *Budget) Cold(now time.Time) bool { return b.limits.bounded() && now.Before(b.coldUntil) }

// Sent records a request. It counts whatever becomes of it.
func (b *Budget) Sent(now time.Time) {
	if !b.limits.bounded() {
		return
	}
	b.forget(now)
	b.sent = append(b.sent, now)
}

// Room is the number of requests that may be sent now.
func (b *Budget) Room(now time.Time) int {
	if !b.limits.bounded() {
		return Unlimited
	}
	b.forget(now)
	return max(b.limit(now)-len(b.sent), 0)
}

// Spent is the number of requests of the last second.
func (b *Budget) Spent(now time.Time) int {
	b.forget(now)
	return len(b.sent)
}

// Next is when there is room again; now if there is.
func (b *Budget) Next(now time.Time) time.Time {
	if b.Room(now) > 0 {
		return now
	}
	limit := b.limit(now)
	if limit == 0 {
		return b.coldUntil
	}
	return b.sent[len(b.sent)-limit].Add(window)
}

func (b *Budget) limit(now time.Time) int {
	if b.Cold(now) {
		return b.limits.Cold
	}
	return b.limits.Warm
}

// forget drops what was sent longer than a window ago. A clock that steps back keeps
// requests in the window for longer, never for less.
func (b *Budget) forget(now time.Time) {
	old := 0
	for old < len(b.sent) && now.Sub(b.sent[old]) > window {
		old++
	}
	b.sent = append(b.sent[:0], b.sent[old:]...)
}
