package ledger

import (
	"maps"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
)

// Claim is a call that was about to be made, of those that only one node at a time may
// make.
type Claim struct {
	Holder string
	// Fence is the right under which it was made; a later holder's is higher.
	Fence uint64
	// Serial was drawn for this claim.
	Serial uint64
	// ReadAt is when this process read of it, which is after it was written.
	ReadAt time.Time
}

// claims holds, by subject, the last claim of each holder, and the one with the highest
// fence of all.
type claims struct {
	bySubject map[string]map[string]Claim
	newest    Claim
}

func newClaims() claims { return claims{bySubject: make(map[string]map[string]Claim)} }

func (c *claims) note(claim *pathbendv1.Claim, now time.Time) {
	noted := Claim{Holder: claim.Holder, Fence: claim.Fence, Serial: claim.Serial, ReadAt: now}
	if c.bySubject[claim.Subject] == nil {
		c.bySubject[claim.Subject] = make(map[string]Claim)
	}
	c.bySubject[claim.Subject][claim.Holder] = noted
	if noted.Fence >= c.newest.Fence {
		c.newest = noted
	}
}

func (c *claims) expire(before time.Time) {
	maps.DeleteFunc(c.bySubject, func(_ string, holders map[string]Claim) bool {
		maps.DeleteFunc(holders, func(_ string, last Claim) bool { return last.ReadAt.Before(before) })
		return len(holders) == 0
	})
}

// LastClaim returns the last claim of a holder on a subject, false if none is known.
func (l *Ledger) LastClaim(subject, holder string) (Claim, bool) {
	last, ok := l.claims.bySubject[subject][holder]
	return last, ok
}

// LastClaimByOthers returns when this process read of the last claim on a subject by
// any other holder, the zero time if none is known.
func (l *Ledger) LastClaimByOthers(subject, holder string) time.Time {
	var last time.Time
	for other, claim := range l.claims.bySubject[subject] {
		if other != holder && claim.ReadAt.After(last) {
			last = claim.ReadAt
		}
	}
	return last
}

// NewestClaim returns the claim with the highest fence, on any subject.
func (l *Ledger) NewestClaim() Claim { return l.claims.newest }
