package quarantine

import (
	"slices"
	"time"
)

// Record is what is known of one digest. It is also what nodes tell each other.
type Record struct {
	Digest Digest
	// Epoch counts how often the digest was cleared. A record of an earlier epoch says
	// nothing any more.
	Epoch uint64
	// Ended are the back ends that ended under the digest in this epoch, by id, ascending.
	Ended []string
	// Trials counts the trials of this epoch, Claimant is who made the last one.
	Trials   int
	Claimant uint64
	// ChangedAt is when the last end or trial was, by the clock of the node that holds the
	// record.
	ChangedAt time.Time
}

// mostEnded bounds the ids that a record keeps: more say nothing new.
const mostEnded = 16

// merge takes in what another record of the same digest says, and reports whether that
// was news.
func (r *Record) merge(other Record) bool {
	switch {
	case other.Epoch < r.Epoch:
		return false
	case other.Epoch > r.Epoch:
		*r = other
		r.Ended = slices.Clone(other.Ended)
		return true
	}
	news := false
	for _, id := range other.Ended {
		news = r.addEnded(id) || news
	}
	if other.Trials > r.Trials {
		r.Trials, r.Claimant = other.Trials, other.Claimant
		news = true
	}
	if news && other.ChangedAt.After(r.ChangedAt) {
		r.ChangedAt = other.ChangedAt
	}
	return news
}

// addEnded adds the id of a back end, and reports whether it is news.
func (r *Record) addEnded(id string) bool {
	at, known := slices.BinarySearch(r.Ended, id)
	if known || len(r.Ended) == mostEnded {
		return false
	}
	r.Ended = slices.Insert(slices.Clip(r.Ended), at, id)
	return true
}

// has reports whether a back end is known to have ended.
func (r *Record) has(id string) bool {
	_, known := slices.BinarySearch(r.Ended, id)
	return known
}

// held reports whether as many back ends ended under the digest as a policy allows.
func (r *Record) held(policy Policy) bool { return len(r.Ended) >= policy.Ends }

// trialAt is when a digest may be tried again that is held for a number of ends.
func (r *Record) trialAt(policy Policy, ends int) time.Time {
	return r.ChangedAt.Add(policy.pause(max(ends-policy.Ends, r.Trials)))
}
