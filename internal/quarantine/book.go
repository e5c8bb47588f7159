package quarantine

import (
	"fmt"
	"slices"
	"time"
)

const (
	// mostRecords bounds the digests that are remembered.
	mostRecords = 4096
	// forgetAfter is how long a digest is remembered under which fewer back ends ended than
	// are allowed: longer than clients and jobs repeat a request (chosen).
	forgetAfter = 5 * time.Minute
	// forgetHeldAfter is how long one that is held is remembered after the last end or trial:
	// longer than the last pause.
	forgetHeldAfter = 2 * lastPause
)

// Standing is what a request may do.
type Standing int

// Standings of a request.
const (
	// Free requests go to back ends.
	Free Standing = iota
	// Suspect requests go to back ends one at a time: a back end ended under them, and one
	// more end would hold them.
	Suspect
	// Held requests go to no back end.
	Held
	// OnTrial requests may be tried by one node.
	OnTrial
)

// Book holds the records. It is not safe for concurrent use. The zero value is empty.
type Book struct {
	records map[Digest]*Record
}

// Empty reports whether no digest is known.
func (b *Book) Empty() bool { return len(b.records) == 0 }

// Standing returns what a request may do at a time. until is when a held one may be tried
// again.
func (b *Book) Standing(digest Digest, policy Policy, now time.Time) (standing Standing, until time.Time) {
	known := b.records[digest]
	ends := b.blamed(known, policy)
	switch {
	case ends == policy.Ends-1:
		return Suspect, time.Time{}
	case ends < policy.Ends:
		return Free, time.Time{}
	}
	if until = known.trialAt(policy, ends); now.Before(until) {
		return Held, until
	}
	return OnTrial, until
}

// blamed counts the ends that a digest is blamed for. One request took four back ends of a
// service with it within half a second, and what ran beside it on three of them is not to
// blame: an end counts for nothing under which also a digest ended that is held, and has more
// ends than this one.
func (b *Book) blamed(known *Record, policy Policy) int {
	if known == nil {
		return 0
	}
	ends := len(known.Ended)
	for _, id := range known.Ended {
		if b.explained(id, len(known.Ended), policy) {
			ends--
		}
	}
	return ends
}

// explained reports whether the end of a back end is that of a digest which is held and has
// more ends than so many.
func (b *Book) explained(backEnd string, ends int, policy Policy) bool {
	for _, other := range b.records {
		if len(other.Ended) > ends && other.held(policy) && other.has(backEnd) {
			return true
		}
	}
	return false
}

// Ends counts the back ends that ended under a digest.
func (b *Book) Ends(digest Digest) int {
	if known := b.records[digest]; known != nil {
		return len(known.Ended)
	}
	return 0
}

// sameEnd is how long several nodes may take to notice one end. A back end of which the id
// stands in a record ends once more if it does so later: it was started again meanwhile.
const sameEnd = 2 * time.Second

// NoteEnded notes that a back end ended under a digest. It returns the record to tell others,
// and whether that was news.
func (b *Book) NoteEnded(digest Digest, backEnd string, now time.Time) (Record, bool) {
	known := b.open(digest, now)
	name := backEnd
	for again := 2; known.has(name) && now.Sub(known.ChangedAt) > sameEnd; again++ {
		name = fmt.Sprintf("%s#%d", backEnd, again)
	}
	news := known.addEnded(name)
	if news {
		known.ChangedAt = now
	}
	return known.clone(), news
}

// NoteServed notes that a back end survived a digest, which clears it. It returns the record
// to tell others, and false if there is nothing to clear.
func (b *Book) NoteServed(digest Digest, now time.Time) (Record, bool) {
	known := b.records[digest]
	if known == nil || len(known.Ended) == 0 {
		return Record{}, false
	}
	*known = Record{Digest: digest, Epoch: known.Epoch + 1, ChangedAt: now}
	return known.clone(), true
}

// Claim returns the record to tell others before a trial, and false if the digest is not to
// be tried at this time. The trial is the claimant's once the record was merged here and
// Claims says so.
func (b *Book) Claim(digest Digest, policy Policy, claimant uint64, now time.Time) (Record, bool) {
	if standing, _ := b.Standing(digest, policy, now); standing != OnTrial {
		return Record{}, false
	}
	claimed := b.records[digest].clone()
	claimed.Trials++
	claimed.Claimant, claimed.ChangedAt = claimant, now
	return claimed, true
}

// Claims reports whether the last trial of a digest is a claimant's.
func (b *Book) Claims(digest Digest, claimant uint64) bool {
	known := b.records[digest]
	return known != nil && known.Trials > 0 && known.Claimant == claimant
}

// Merge takes in what another node told, and reports whether that was news.
func (b *Book) Merge(told Record, now time.Time) bool {
	if told.ChangedAt.After(now) {
		told.ChangedAt = now
	}
	return b.open(told.Digest, told.ChangedAt).merge(told)
}

// Held lists the records that are held under a policy, or on trial, by digest.
func (b *Book) Held(policy Policy) []Record {
	return b.list(func(known *Record) bool { return b.blamed(known, policy) >= policy.Ends })
}

// All lists all records, by digest.
func (b *Book) All() []Record { return b.list(func(*Record) bool { return true }) }

func (b *Book) list(wanted func(*Record) bool) []Record {
	var listed []Record
	for _, known := range b.records {
		if wanted(known) {
			listed = append(listed, known.clone())
		}
	}
	slices.SortFunc(listed, func(a, b Record) int { return slices.Compare(a.Digest[:], b.Digest[:]) })
	return listed
}

// Expire forgets the records that nothing was heard of for long.
func (b *Book) Expire(now time.Time) {
	for digest, known := range b.records {
		limit := forgetAfter
		if len(known.Ended) >= Ends {
			limit = forgetHeldAfter
		}
		if now.Sub(known.ChangedAt) > limit {
			delete(b.records, digest)
		}
	}
}

// open returns the record of a digest, a new one if there is none.
func (b *Book) open(digest Digest, now time.Time) *Record {
	if known := b.records[digest]; known != nil {
		return known
	}
	if b.records == nil {
		b.records = make(map[Digest]*Record)
	}
	if len(b.records) >= mostRecords {
		b.forgetOne()
	}
	opened := &Record{Digest: digest, ChangedAt: now}
	b.records[digest] = opened
	return opened
}

// forgetOne forgets the record with the fewest ends, the oldest of these.
func (b *Book) forgetOne() {
	var least *Record
	for _, known := range b.records {
		if least == nil || len(known.Ended) < len(least.Ended) ||
			len(known.Ended) == len(least.Ended) && known.ChangedAt.Before(least.ChangedAt) {
			least = known
		}
	}
	delete(b.records, least.Digest)
}

func (r *Record) clone() Record {
	cloned := *r
	cloned.Ended = slices.Clone(r.Ended)
	return cloned
}
