package quarantine

import (
	"fmt"
	"slices"
	"time"
)

const (
	// maxRecords limits the number of digests in the registry.
	maxRecords = 4096
	// recordTTL is the retention of a digest below the crash limit. It exceeds the time
	// over which clients and jobs repeat a request.
	recordTTL = 5 * time.Minute
	// quarantinedRecordTTL is the retention of a quarantined digest after its last crash or
	// trial. It exceeds the longest delay between trials.
	quarantinedRecordTTL = 2 * maxTrialDelay
)

// Status tells whether a request may be sent to a back end.
type Status int

// Statuses of a request.
const (
	// Allowed requests go to back ends without restriction.
	Allowed Status = iota
	// Suspect requests go to one back end at a time: they have caused crashes, and one more
	// would quarantine them.
	Suspect
	// Quarantined requests go to no back end.
	Quarantined
	// TrialDue requests are quarantined, and one node may send them once as a trial.
	TrialDue
)

// Registry is the set of crash records of one node, by digest. It is not safe for concurrent
// use. The zero value is empty.
type Registry struct {
	records map[Digest]*Record
}

// Empty reports whether the registry holds no records.
func (r *Registry) Empty() bool { return len(r.records) == 0 }

// Status returns the status of a request at the given time. until is when the next trial of
// a quarantined request is due.
func (r *Registry) Status(digest Digest, policy Policy, now time.Time) (status Status, until time.Time) {
	record := r.records[digest]
	crashes := r.attributedCrashes(record, policy)
	switch {
	case crashes == policy.CrashLimit-1:
		return Suspect, time.Time{}
	case crashes < policy.CrashLimit:
		return Allowed, time.Time{}
	}
	if until = record.nextTrialAt(policy, crashes); now.Before(until) {
		return Quarantined, until
	}
	return TrialDue, until
}

// attributedCrashes counts the crashes that a digest is held responsible for. A single
// request can crash four back ends of a service within half a second, and the requests that
// ran on three of them at that time are innocent. So a crash does not count if a
// quarantined digest with more crashes was also running on the same back end.
func (r *Registry) attributedCrashes(record *Record, policy Policy) int {
	if record == nil {
		return 0
	}
	crashes := len(record.CrashedBackEnds)
	for _, id := range record.CrashedBackEnds {
		if r.attributedElsewhere(id, len(record.CrashedBackEnds), policy) {
			crashes--
		}
	}
	return crashes
}

// attributedElsewhere reports whether the crash of a back end is attributed to another
// digest: one that has reached the crash limit and has more crashes than the given number.
func (r *Registry) attributedElsewhere(backEnd string, crashes int, policy Policy) bool {
	for _, other := range r.records {
		if len(other.CrashedBackEnds) > crashes && other.reachedLimit(policy) && other.hasCrashed(backEnd) {
			return true
		}
	}
	return false
}

// CrashCount returns the number of back ends that crashed while running a digest.
func (r *Registry) CrashCount(digest Digest) int {
	if record := r.records[digest]; record != nil {
		return len(record.CrashedBackEnds)
	}
	return 0
}

// sameCrashWindow is how long after the last change of a record another report of a back end in
// it counts as the same crash, since several nodes detect a crash at different times. A later
// report under the same id is another crash: the back end has been restarted in between.
const sameCrashWindow = 2 * time.Second

// AddCrash records that a back end crashed while running a digest. It returns the record to
// publish to the other nodes, and whether it has changed.
func (r *Registry) AddCrash(digest Digest, backEnd string, now time.Time) (Record, bool) {
	record := r.getOrCreate(digest, now)
	id := backEnd
	for restart := 2; record.hasCrashed(id) && now.Sub(record.ChangedAt) > sameCrashWindow; restart++ {
		id = fmt.Sprintf("%s#%d", backEnd, restart)
	}
	changed := record.addCrashed(id)
	if changed {
		record.ChangedAt = now
	}
	return record.clone(), changed
}

// Clear deletes the crashes of a digest after a back end ran it without crashing. It
// returns the record to publish to the other nodes, or false if there was nothing to clear.
func (r *Registry) Clear(digest Digest, now time.Time) (Record, bool) {
	record := r.records[digest]
	if record == nil || len(record.CrashedBackEnds) == 0 {
		return Record{}, false
	}
	*record = Record{Digest: digest, Epoch: record.Epoch + 1, ChangedAt: now}
	return record.clone(), true
}

// ClaimTrial returns the record to publish before a trial, or false if no trial of the
// digest is due. It does not store the record: the claimant owns the trial once the record
// has been merged and OwnsTrial returns true.
func (r *Registry) ClaimTrial(digest Digest, policy Policy, claimant uint64, now time.Time) (Record, bool) {
	if status, _ := r.Status(digest, policy, now); status != TrialDue {
		return Record{}, false
	}
	claimed := r.records[digest].clone()
	claimed.Trials++
	claimed.Claimant, claimed.ChangedAt = claimant, now
	return claimed, true
}

// OwnsTrial reports whether the claimant made the latest claim on a trial of the digest
// that was merged.
func (r *Registry) OwnsTrial(digest Digest, claimant uint64) bool {
	record := r.records[digest]
	return record != nil && record.Trials > 0 && record.Claimant == claimant
}

// Merge applies a published record and reports whether it changed anything. A record that
// was changed in the future is treated as changed now.
func (r *Registry) Merge(received Record, now time.Time) bool {
	if received.ChangedAt.After(now) {
		received.ChangedAt = now
	}
	return r.getOrCreate(received.Digest, received.ChangedAt).merge(received)
}

// Quarantined returns the records at or above a policy's crash limit, including those due
// for a trial, ordered by digest.
func (r *Registry) Quarantined(policy Policy) []Record {
	return r.filter(func(record *Record) bool { return r.attributedCrashes(record, policy) >= policy.CrashLimit })
}

// All returns every record, ordered by digest.
func (r *Registry) All() []Record { return r.filter(func(*Record) bool { return true }) }

func (r *Registry) filter(include func(*Record) bool) []Record {
	var records []Record
	for _, record := range r.records {
		if include(record) {
			records = append(records, record.clone())
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return slices.Compare(a.Digest[:], b.Digest[:]) })
	return records
}

// Expire deletes the records that have not changed within their retention period.
func (r *Registry) Expire(now time.Time) {
	for digest, record := range r.records {
		limit := recordTTL
		if len(record.CrashedBackEnds) >= CrashLimit {
			limit = quarantinedRecordTTL
		}
		if now.Sub(record.ChangedAt) > limit {
			delete(r.records, digest)
		}
	}
}

// getOrCreate returns the record of a digest, creating it if there is none. It evicts a
// record if the registry is full.
func (r *Registry) getOrCreate(digest Digest, now time.Time) *Record {
	if record := r.records[digest]; record != nil {
		return record
	}
	if r.records == nil {
		r.records = make(map[Digest]*Record)
	}
	if len(r.records) >= maxRecords {
		r.evictOne()
	}
	created := &Record{Digest: digest, ChangedAt: now}
	r.records[digest] = created
	return created
}

// evictOne deletes the record with the fewest crashes, and the oldest of these.
func (r *Registry) evictOne() {
	var candidate *Record
	for _, record := range r.records {
		if candidate == nil || len(record.CrashedBackEnds) < len(candidate.CrashedBackEnds) ||
			len(record.CrashedBackEnds) == len(candidate.CrashedBackEnds) && record.ChangedAt.Before(candidate.ChangedAt) {
			candidate = record
		}
	}
	delete(r.records, candidate.Digest)
}

func (r *Record) clone() Record {
	cloned := *r
	cloned.CrashedBackEnds = slices.Clone(r.CrashedBackEnds)
	return cloned
}
