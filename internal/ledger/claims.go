package ledger

import (
	"maps"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
)

// Claim announces a call that only one node at a time may make for a subject. The holder
// writes it to the log before it makes the call.
type Claim struct {
	Holder string
	// FencingToken is the fencing token of the claim; a later holder's token is higher.
	FencingToken uint64
	// Serial identifies the claims that were made together with this one.
	Serial uint64
	// ReadAt is when this process read the claim, which is after it was written.
	ReadAt time.Time
}

// claims stores the last claim of each holder by subject, and the claim with the highest
// fencing token of all subjects.
type claims struct {
	bySubject map[string]map[string]Claim
	newest    Claim
}

func newClaims() claims { return claims{bySubject: make(map[string]map[string]Claim)} }

func (c *claims) record(claim *pathbendv1.Claim, now time.Time) {
	recorded := Claim{Holder: claim.Holder, FencingToken: claim.Fence, Serial: claim.Serial, ReadAt: now}
	c.recordSubject(claim.Subject, recorded)
	for _, subject := range claim.FurtherSubjects {
		c.recordSubject(subject, recorded)
	}
	if recorded.FencingToken >= c.newest.FencingToken {
		c.newest = recorded
	}
}

func (c *claims) recordSubject(subject string, recorded Claim) {
	if c.bySubject[subject] == nil {
		c.bySubject[subject] = make(map[string]Claim)
	}
	c.bySubject[subject][recorded.Holder] = recorded
}

func (c *claims) expire(before time.Time) {
	maps.DeleteFunc(c.bySubject, func(_ string, holders map[string]Claim) bool {
		maps.DeleteFunc(holders, func(_ string, last Claim) bool { return last.ReadAt.Before(before) })
		return len(holders) == 0
	})
}

// LastClaim returns the last claim of a holder on a subject, and false if none is known.
func (l *Ledger) LastClaim(subject, holder string) (Claim, bool) {
	last, ok := l.claims.bySubject[subject][holder]
	return last, ok
}

// LastClaimByOthersReadAt returns when this process read the last claim on a subject by
// any other holder. The zero time means that none is known.
func (l *Ledger) LastClaimByOthersReadAt(subject, holder string) time.Time {
	var last time.Time
	for other, claim := range l.claims.bySubject[subject] {
		if other != holder && claim.ReadAt.After(last) {
			last = claim.ReadAt
		}
	}
	return last
}

// NewestClaim returns the claim with the highest fencing token on any subject.
func (l *Ledger) NewestClaim() Claim { return l.claims.newest }
