package quarantine

import (
	"slices"
	"time"
)

// Record holds the crashes and trials of one digest. Nodes exchange records to share their
// state.
type Record struct {
	Digest Digest
	// Epoch counts how often the digest was cleared. Records of an earlier epoch are
	// ignored.
	Epoch uint64
	// CrashedBackEnds holds the ids of the back ends that crashed while running the digest in
	// this epoch, ascending.
	CrashedBackEnds []string
	// Trials counts the trials of this epoch. Claimant identifies who claimed the latest
	// one.
	Trials   int
	Claimant uint64
	// ChangedAt is the time of the latest crash or trial, by the clock of the node that
	// recorded it.
	ChangedAt time.Time
}

// maxCrashedBackEnds limits the ids in a record. Further ids add no information.
const maxCrashedBackEnds = 16

// merge applies another record of the same digest and reports whether this record changed.
func (r *Record) merge(other Record) bool {
	switch {
	case other.Epoch < r.Epoch:
		return false
	case other.Epoch > r.Epoch:
		*r = other
		r.CrashedBackEnds = slices.Clone(other.CrashedBackEnds)
		return true
	}
	changed := false
	for _, id := range other.CrashedBackEnds {
		changed = r.addCrashed(id) || changed
	}
	if other.Trials > r.Trials {
		r.Trials, r.Claimant = other.Trials, other.Claimant
		changed = true
	}
	if changed && other.ChangedAt.After(r.ChangedAt) {
		r.ChangedAt = other.ChangedAt
	}
	return changed
}

// addCrashed adds the id of a crashed back end and reports whether the record changed.
func (r *Record) addCrashed(id string) bool {
	at, found := slices.BinarySearch(r.CrashedBackEnds, id)
	if found || len(r.CrashedBackEnds) == maxCrashedBackEnds {
		return false
	}
	r.CrashedBackEnds = slices.Insert(slices.Clip(r.CrashedBackEnds), at, id)
	return true
}

// hasCrashed reports whether the record lists a back end as crashed.
func (r *Record) hasCrashed(id string) bool {
	_, found := slices.BinarySearch(r.CrashedBackEnds, id)
	return found
}

// reachedLimit reports whether the digest has as many crashes as the policy's limit.
func (r *Record) reachedLimit(policy Policy) bool { return len(r.CrashedBackEnds) >= policy.CrashLimit }

// nextTrialAt returns when the next trial is due for a quarantined digest with the given
// number of crashes.
func (r *Record) nextTrialAt(policy Policy, crashes int) time.Time {
	return r.ChangedAt.Add(policy.trialDelay(max(crashes-policy.CrashLimit, r.Trials)))
}
