package ledger

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
)

// Result is the outcome of one item.
type Result struct {
	ItemID string
	// Dead is set if the item was abandoned; it has no text then.
	Dead bool
	// Text refers to the data of all events, separated by line feeds.
	Text *pathbendv1.Blob
	// Versions are the weight versions that generated events of the text, in ascending order.
	Versions []uint64
	// Score is the score from the reward call's response; RewardID identifies that call.
	Score    string
	RewardID string
}

// Progress is the partial text of an item whose generation is not finished.
type Progress struct {
	// ID identifies the last part of the text.
	ID uint64
	// Events is the number of events in the text.
	Events uint64
	// Parts refer to the parts of the text, which are joined by line feeds.
	Parts []*pathbendv1.Blob
	// Versions are the weight versions that generated events of the text, in ascending order.
	Versions []uint64
}

// Job is the state of one batch job.
type Job struct {
	ID   string
	Spec *pathbendv1.BatchJob
	// ReceivedAt is when this process read the submission.
	ReceivedAt time.Time
	// Ended is set once the end of the job was read, whether or not it is complete.
	Ended bool
	// Results are the results of items; a result's position is its index.
	Results []Result
	// resultReadAt is when this process read the latest result.
	resultReadAt time.Time

	items map[string]struct{}
	// positions maps the ids of items with a result to the result's position.
	positions map[string]int
}

// ItemCount returns the number of items, including those that have a result.
func (j *Job) ItemCount() int { return len(j.Spec.ItemIds) }

// HasItem reports whether an item belongs to the job.
func (j *Job) HasItem(itemID string) bool {
	_, ok := j.items[itemID]
	return ok
}

// HasResult reports whether an item has a result.
func (j *Job) HasResult(itemID string) bool {
	_, ok := j.positions[itemID]
	return ok
}

// Complete reports whether every item has a result.
func (j *Job) Complete() bool { return len(j.Results) == len(j.items) }

// Open reports whether the job still needs work: it has not ended, and items lack a result.
func (j *Job) Open() bool { return !j.Ended && !j.Complete() }

// inUse reports whether callers may still need the job: it is open, or was completed since a time
// and has not ended.
func (j *Job) inUse(since time.Time) bool {
	return j.Open() || !j.Ended && !j.resultReadAt.Before(since)
}

// finishedResult is a result with a finished text.
type finishedResult struct {
	Result
	// readAt is when this process first read a result with the text.
	readAt time.Time
}

// Ledger is the state of all jobs and claims. It is not safe for concurrent use.
type Ledger struct {
	assembler *assembler
	jobs      map[string]*Job
	// order lists the jobs in order of arrival.
	order []*Job
	// progress is indexed by item id, without the job id: a later job may submit an item
	// again.
	progress map[string]Progress
	// finished maps item ids to results with a finished text that a later job may reuse.
	finished map[string]finishedResult
	// jobsOfItem counts the known jobs that have an item, by item id.
	jobsOfItem map[string]int
	// ended holds the ids of jobs whose end was read before their submission, which can
	// happen to a reader that starts in the middle of the log.
	ended  map[string]bool
	claims claims
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		assembler:  newAssembler(),
		jobs:       make(map[string]*Job),
		progress:   make(map[string]Progress),
		finished:   make(map[string]finishedResult),
		jobsOfItem: make(map[string]int),
		ended:      make(map[string]bool),
		claims:     newClaims(),
	}
}

// ChangeKind is the kind of a change.
type ChangeKind int

// Kinds of changes.
const (
	// NoChange means that no job changed: the record is a duplicate, part of an incomplete
	// entry, or refers to no known job.
	NoChange ChangeKind = iota
	// JobSubmitted means that a job was added.
	JobSubmitted
	// JobEnded means that a job ended.
	JobEnded
	// ResultsAdded means that results were added to a job.
	ResultsAdded
	// ProgressSaved means that progress of a job's items was read.
	ProgressSaved
	// RequestSuspected reports a request during which back ends crashed; the ledger does not
	// store it.
	RequestSuspected
)

// Fact is the kind of a ledger entry. Its values are metric labels.
type Fact string

// Facts of ledger entries. Incomplete is a record that completes no entry.
const (
	Submitted  Fact = "submitted"
	Ended      Fact = "ended"
	Listed     Fact = "listed"
	Progressed Fact = "progress"
	Claimed    Fact = "claimed"
	Suspected  Fact = "suspect"
	Incomplete Fact = "incomplete"
)

// factOf returns the kind of an entry. Entries that only earlier releases wrote count as
// Incomplete.
func factOf(entry *pathbendv1.LedgerEntry) Fact {
	switch entry.Fact.(type) {
	case *pathbendv1.LedgerEntry_Submitted:
		return Submitted
	case *pathbendv1.LedgerEntry_Ended:
		return Ended
	case *pathbendv1.LedgerEntry_Listed:
		return Listed
	case *pathbendv1.LedgerEntry_Progress:
		return Progressed
	case *pathbendv1.LedgerEntry_Claimed:
		return Claimed
	case *pathbendv1.LedgerEntry_Suspect:
		return Suspected
	}
	return Incomplete
}

// Change describes the effect of an applied record. It may be read without the caller's
// lock, except for the fields of Job that later records change.
type Change struct {
	Kind ChangeKind
	// Fact is the kind of the entry that the record completes.
	Fact Fact
	// Job is the job that changed, nil for NoChange and RequestSuspected.
	Job *Job
	// NewResults are the new results of a ResultsAdded change.
	NewResults []Result
	// ResultCount is the number of all results of the job; Complete is set if every item has
	// one.
	ResultCount int
	Complete    bool
	// Suspect is the request that a RequestSuspected change reports.
	Suspect *pathbendv1.SuspectRequest
}

// Apply applies the next record of the log. now is stored as the time at which a submission
// or claim was read. The error is RecordMalformed if the record cannot be decoded.
func (l *Ledger) Apply(record []byte, now time.Time) (Change, error) {
	entry, err := l.assembler.add(record)
	if err != nil || entry == nil {
		return Change{Fact: Incomplete}, err
	}
	change := l.applyEntry(entry, now)
	change.Fact = factOf(entry)
	return change, nil
}

func (l *Ledger) applyEntry(entry *pathbendv1.LedgerEntry, now time.Time) Change {
	switch fact := entry.Fact.(type) {
	case *pathbendv1.LedgerEntry_Submitted:
		return l.submit(entry.JobId, fact.Submitted, now)
	case *pathbendv1.LedgerEntry_Ended:
		return l.end(entry.JobId)
	case *pathbendv1.LedgerEntry_Listed:
		return l.addResults(entry.JobId, fact.Listed.Results, now)
	case *pathbendv1.LedgerEntry_Progress:
		return l.addProgress(entry.JobId, fact.Progress.Items)
	case *pathbendv1.LedgerEntry_Claimed:
		l.claims.record(fact.Claimed, now)
	case *pathbendv1.LedgerEntry_Suspect:
		return Change{Kind: RequestSuspected, Suspect: fact.Suspect}
	}
	return Change{}
}

func (l *Ledger) submit(id string, spec *pathbendv1.BatchJob, now time.Time) Change {
	if _, known := l.jobs[id]; known {
		return Change{}
	}
	job := &Job{
		ID: id, Spec: spec, ReceivedAt: now, Ended: l.ended[id],
		items: make(map[string]struct{}, len(spec.ItemIds)), positions: make(map[string]int),
	}
	for _, itemID := range spec.ItemIds {
		job.items[itemID] = struct{}{}
	}
	for itemID := range job.items {
		l.jobsOfItem[itemID]++
	}
	delete(l.ended, id)
	l.jobs[id] = job
	l.order = append(l.order, job)
	return Change{Kind: JobSubmitted, Job: job}
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
	return Change{Kind: JobEnded, Job: job, ResultCount: len(job.Results)}
}

func (l *Ledger) addResults(id string, results []*pathbendv1.BatchResult, now time.Time) Change {
	job, ok := l.jobs[id]
	if !ok {
		return Change{}
	}
	before := len(job.Results)
	for _, itemResult := range results {
		l.addResult(job, itemResult, now)
	}
	if len(job.Results) == before {
		return Change{}
	}
	job.resultReadAt = now
	return Change{
		Kind: ResultsAdded, Job: job, NewResults: job.Results[before:], ResultCount: len(job.Results), Complete: job.Complete(),
	}
}

func (l *Ledger) addResult(job *Job, itemResult *pathbendv1.BatchResult, now time.Time) {
	if !job.HasItem(itemResult.ItemId) || job.HasResult(itemResult.ItemId) {
		return
	}
	added := Result{
		ItemID: itemResult.ItemId, Dead: itemResult.Dead, Text: itemResult.Text, Versions: itemResult.Versions,
		Score: itemResult.Score, RewardID: itemResult.RewardId,
	}
	job.positions[itemResult.ItemId] = len(job.Results)
	job.Results = append(job.Results, added)
	delete(l.progress, itemResult.ItemId)
	if !itemResult.Dead {
		l.recordFinished(added, now)
	}
}

// recordFinished records a result with a finished text. A result that reuses the text of an earlier
// one keeps the time of that.
func (l *Ledger) recordFinished(added Result, now time.Time) {
	if known, ok := l.finished[added.ItemID]; ok && proto.Equal(known.Text, added.Text) {
		now = known.readAt
	}
	l.finished[added.ItemID] = finishedResult{Result: added, readAt: now}
}

func (l *Ledger) addProgress(id string, items []*pathbendv1.ItemProgress) Change {
	job, ok := l.jobs[id]
	if !ok {
		return Change{}
	}
	for _, item := range items {
		saved := l.progress[item.ItemId]
		if !job.HasItem(item.ItemId) || job.HasResult(item.ItemId) {
			continue
		}
		if item.Previous != 0 && item.Previous != saved.ID {
			continue
		}
		if item.Previous == 0 {
			saved = Progress{}
		}
		l.progress[item.ItemId] = saved.withPart(item)
	}
	return Change{Kind: ProgressSaved, Job: job}
}

// withPart returns the progress with another part appended, and leaves p unchanged.
func (p Progress) withPart(item *pathbendv1.ItemProgress) Progress {
	return Progress{
		ID:       item.Id,
		Events:   p.Events + item.Events,
		Parts:    append(slices.Clip(p.Parts), item.Text),
		Versions: MergeVersions(p.Versions, item.Versions),
	}
}

// MergeVersions returns the versions of both lists in ascending order, without duplicates.
func MergeVersions(a, b []uint64) []uint64 {
	merged := append(slices.Clone(a), b...)
	slices.Sort(merged)
	return slices.Compact(merged)
}

// Job returns a job by id, or nil if the job is unknown.
func (l *Ledger) Job(id string) *Job { return l.jobs[id] }

// Jobs returns all jobs in order of arrival. The caller must not modify the slice.
func (l *Ledger) Jobs() []*Job { return l.order }

// Progress returns the partial text of an item that has no result, and false if there is
// none.
func (l *Ledger) Progress(itemID string) (Progress, bool) {
	saved, ok := l.progress[itemID]
	return saved, ok
}

// FinishedResult returns the result of an item with a finished text, whichever job it belongs
// to, and false if there is none.
func (l *Ledger) FinishedResult(itemID string) (Result, bool) {
	finished, ok := l.finished[itemID]
	return finished.Result, ok
}

// remove removes a job, the finished texts of its items, and the partial texts of the items that no
// other known job has. A finished text is removed even if another job has the item: the log keeps
// texts for a limited time, and a later job must not reuse one that can no longer be read.
func (l *Ledger) remove(job *Job) {
	delete(l.jobs, job.ID)
	for id := range job.items {
		delete(l.finished, id)
		if l.jobsOfItem[id]--; l.jobsOfItem[id] == 0 {
			delete(l.jobsOfItem, id)
			delete(l.progress, id)
		}
	}
}

// Expire removes the jobs that were received before a time and are no longer in use, and the finished
// texts and claims that were read before it.
func (l *Ledger) Expire(before time.Time) {
	l.order = slices.DeleteFunc(slices.Clone(l.order), func(job *Job) bool {
		if !job.ReceivedAt.Before(before) || job.inUse(before) {
			return false
		}
		l.remove(job)
		return true
	})
	maps.DeleteFunc(l.finished, func(_ string, finished finishedResult) bool { return finished.readAt.Before(before) })
	l.claims.expire(before)
}
