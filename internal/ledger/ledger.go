package ledger

import (
	"slices"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
)

// Result is the outcome of one item.
type Result struct {
	ItemID string
	// Dead is set for an item that was given up; it has no text.
	Dead bool
	// Text names the data of all events, separated by line feeds.
	Text *pathbendv1.Blob
	// Versions are the weight versions that made events of the text, ascending.
	Versions []uint64
	// Score is the stamp of the reward call's answer; RewardID names that call.
	Score    string
	RewardID string
}

// Progress is the text of an item that is not finished.
type Progress struct {
	// ID names the last part of the text.
	ID uint64
	// Events counts the events of the text.
	Events uint64
	// Parts name the text; a line feed lies between two of them.
	Parts    []*pathbendv1.Blob
	Versions []uint64
}

// Job is the state of one batch job.
type Job struct {
	ID   string
	Spec *pathbendv1.BatchJob
	// ReceivedAt is when this process read the submission.
	ReceivedAt time.Time
	Ended      bool
	// Results are the listed results; a result's position is its index.
	Results []Result

	items  map[string]struct{}
	listed map[string]int
}

// Total is the number of items.
func (j *Job) Total() int { return len(j.Spec.ItemIds) }

// Has reports whether an item belongs to the job.
func (j *Job) Has(itemID string) bool {
	_, ok := j.items[itemID]
	return ok
}

// Listed reports whether an item has a result.
func (j *Job) Listed(id string) bool {
	_, ok := j.listed[id]
	return ok
}

// Complete reports whether every item has a result.
func (j *Job) Complete() bool { return len(j.Results) == len(j.items) }

// Open reports whether work on the job is wanted.
func (j *Job) Open() bool { return !j.Ended && !j.Complete() }

// Ledger holds all jobs. It is not safe for concurrent use.
type Ledger struct {
	assembler *assembler
	jobs      map[string]*Job
	// order lists the jobs by arrival.
	order []*Job
	// progress is kept by item id: a later job may bring an item again.
	progress map[string]Progress
	// finished finds a finished text by item id.
	finished map[string]Result
	// ended holds ends that came before their job, which a reader that begins
	// in the middle of the log may see.
	ended  map[string]bool
	claims claims
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		assembler: newAssembler(),
		jobs:      make(map[string]*Job),
		progress:  make(map[string]Progress),
		finished:  make(map[string]Result),
		ended:     make(map[string]bool),
		claims:    newClaims(),
	}
}

// Kind tells what an applied record changed.
type Kind int

// Kinds of changes.
const (
	// Nothing was changed: a repetition, or a part of a larger entry.
	Nothing Kind = iota
	Submitted
	Ended
	Listed
	Progressed
	// Suspected tells of a request under which back ends ended; the ledger keeps nothing of
	// it.
	Suspected
)

// Change is what an applied record changed. It may be read without the lock,
// but for the parts of Job that change.
type Change struct {
	Kind Kind
	Job  *Job
	// Listed are the new results of a Listed change.
	Listed []Result
	// Results counts all results of the job; Complete is set if every item has
	// one.
	Results  int
	Complete bool
	// Suspect is what a Suspected change tells.
	Suspect *pathbendv1.SuspectRequest
}

// Apply applies the next record of the log at a time.
func (l *Ledger) Apply(record []byte, now time.Time) (Change, error) {
	entry, err := l.assembler.add(record)
	if err != nil || entry == nil {
		return Change{}, err
	}
	switch fact := entry.Fact.(type) {
	case *pathbendv1.LedgerEntry_Submitted:
		return l.submit(entry.JobId, fact.Submitted, now), nil
	case *pathbendv1.LedgerEntry_Ended:
		return l.end(entry.JobId), nil
	case *pathbendv1.LedgerEntry_Listed:
		return l.list(entry.JobId, fact.Listed.Results), nil
	case *pathbendv1.LedgerEntry_Progress:
		return l.advance(entry.JobId, fact.Progress.Items), nil
	case *pathbendv1.LedgerEntry_Claimed:
		l.claims.note(fact.Claimed, now)
	case *pathbendv1.LedgerEntry_Suspect:
		return Change{Kind: Suspected, Suspect: fact.Suspect}, nil
	}
	return Change{}, nil
}

func (l *Ledger) submit(id string, spec *pathbendv1.BatchJob, now time.Time) Change {
	if _, known := l.jobs[id]; known {
		return Change{}
	}
	job := &Job{
		ID: id, Spec: spec, ReceivedAt: now, Ended: l.ended[id],
		items: make(map[string]struct{}, len(spec.ItemIds)), listed: make(map[string]int),
	}
	for _, itemID := range spec.ItemIds {
		job.items[itemID] = struct{}{}
	}
	delete(l.ended, id)
	l.jobs[id] = job
	l.order = append(l.order, job)
	return Change{Kind: Submitted, Job: job}
}

func (l *Ledger) end(id string) Change {
	job, ok := l.jobs[id]
	if !ok {
		l.ended[id] = true
		return Change{}
	}
	if job.Ended {
		return Change{}
	}
	job.Ended = true
	return Change{Kind: Ended, Job: job, Results: len(job.Results)}
}

func (l *Ledger) list(id string, results []*pathbendv1.BatchResult) Change {
	job, ok := l.jobs[id]
	if !ok {
		return Change{}
	}
	from := len(job.Results)
	for _, listed := range results {
		l.listOne(job, listed)
	}
	if len(job.Results) == from {
		return Change{}
	}
	return Change{
		Kind: Listed, Job: job, Listed: job.Results[from:], Results: len(job.Results), Complete: job.Complete(),
	}
}

func (l *Ledger) listOne(job *Job, listed *pathbendv1.BatchResult) {
	if !job.Has(listed.ItemId) || job.Listed(listed.ItemId) {
		return
	}
	added := Result{
		ItemID: listed.ItemId, Dead: listed.Dead, Text: listed.Text, Versions: listed.Versions,
		Score: listed.Score, RewardID: listed.RewardId,
	}
	job.listed[listed.ItemId] = len(job.Results)
	job.Results = append(job.Results, added)
	delete(l.progress, listed.ItemId)
	if !listed.Dead {
		l.finished[listed.ItemId] = added
	}
}

func (l *Ledger) advance(id string, items []*pathbendv1.ItemProgress) Change {
	job, ok := l.jobs[id]
	if !ok {
		return Change{}
	}
	for _, item := range items {
		kept := l.progress[item.ItemId]
		if !job.Has(item.ItemId) || job.Listed(item.ItemId) {
			continue
		}
		if item.Previous != 0 && item.Previous != kept.ID {
			continue
		}
		if item.Previous == 0 {
			kept = Progress{}
		}
		l.progress[item.ItemId] = kept.extended(item)
	}
	return Change{Kind: Progressed, Job: job}
}

func (p Progress) extended(item *pathbendv1.ItemProgress) Progress {
	return Progress{
		ID:       item.Id,
		Events:   p.Events + item.Events,
		Parts:    append(slices.Clip(p.Parts), item.Text),
		Versions: MergeVersions(p.Versions, item.Versions),
	}
}

// MergeVersions returns the versions of both lists, ascending and once each.
func MergeVersions(a, b []uint64) []uint64 {
	merged := append(slices.Clone(a), b...)
	slices.Sort(merged)
	return slices.Compact(merged)
}

// Job returns a job by id, nil if it is not known.
func (l *Ledger) Job(id string) *Job { return l.jobs[id] }

// Jobs returns all jobs by arrival. The caller must not modify the slice.
func (l *Ledger) Jobs() []*Job { return l.order }

// Progress returns the kept text of an item that is not finished.
func (l *Ledger) Progress(itemID string) (Progress, bool) {
	kept, ok := l.progress[itemID]
	return kept, ok
}

// Finished returns a listed text of an item, from whichever job.
func (l *Ledger) Finished(itemID string) (Result, bool) {
	listed, ok := l.finished[itemID]
	return listed, ok
}

// Expire forgets the jobs received before a time, and the claims read before it.
func (l *Ledger) Expire(before time.Time) {
	kept := slices.IndexFunc(l.order, func(job *Job) bool { return !job.ReceivedAt.Before(before) })
	if kept < 0 {
		kept = len(l.order)
	}
	for _, job := range l.order[:kept] {
		delete(l.jobs, job.ID)
		for id := range job.items {
			delete(l.progress, id)
			delete(l.finished, id)
		}
	}
	l.order = slices.Clone(l.order[kept:])
	l.claims.expire(before)
}
