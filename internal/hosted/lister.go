package hosted

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/content"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/schedule"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// listLinger is how long a result waits for others to share an append.
	listLinger = 20 * time.Millisecond
	// listPatience bounds one round of appends; what is left is tried again.
	listPatience = 5 * time.Second
	// listHold is how long a round is waited for before the next begins beside it: its
	// answers may be lost. roundsTogether bounds the rounds under way.
	listHold       = 200 * time.Millisecond
	roundsTogether = 4
	// progressPatience bounds the appends of partial texts: newer ones follow soon.
	progressPatience = time.Second
)

// pendingResult is a result that waits for its place in the log.
type pendingResult struct {
	listed *pathbendv1.BatchResult
	// text is kept as a blob first, unless listed names one already.
	text []byte
}

// resultsByJob are results that wait, by job id.
type resultsByJob map[string][]pendingResult

// partsByJob are parts of texts that wait, by job id.
type partsByJob map[string][]schedule.Part

// lister appends results and progress of items to the log, many in one call.
type lister struct {
	node  *Node
	woken chan struct{}
	// rounds holds a token for each round of appends under way.
	rounds chan struct{}

	mutex    sync.Mutex
	results  resultsByJob
	progress partsByJob
}

func newLister(n *Node) *lister {
	return &lister{
		node: n, woken: make(chan struct{}, 1), rounds: make(chan struct{}, roundsTogether),
		results:  make(resultsByJob),
		progress: make(partsByJob),
	}
}

func (l *lister) addResult(jobID string, listed *pathbendv1.BatchResult, text []byte) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.results[jobID] = append(l.results[jobID], pendingResult{listed: listed, text: text})
	l.wake()
}

func (l *lister) addProgress(unsaved partsByJob) {
	if len(unsaved) == 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for jobID, items := range unsaved {
		l.progress[jobID] = append(l.progress[jobID], items...)
	}
	l.wake()
}

func (l *lister) wake() {
	select {
	case l.woken <- struct{}{}:
	default:
	}
}

// run makes rounds of appends until ctx ends.
func (l *lister) run(ctx context.Context) {
	var rounds conc.WaitGroup
	defer rounds.Wait()
	for {
		select {
		case <-l.woken:
		case <-ctx.Done():
			return
		}
		wait.For(ctx, listLinger)
		if !l.enter(ctx) {
			return
		}
		ended := make(chan struct{})
		rounds.Go(func() {
			defer close(ended)
			defer l.leave(1)
			l.round(ctx)
		})
		hold := time.NewTimer(listHold + l.node.log.Appends().Beyond())
		select {
		case <-ended:
		case <-hold.C:
		}
		hold.Stop()
	}
}

// flush appends all that waits and waits for the rounds under way, until all is kept,
// not wanted any more, or ctx ends.
func (l *lister) flush(ctx context.Context) {
	if l.enter(ctx) {
		l.round(ctx)
		l.leave(1)
	}
	for taken := range roundsTogether {
		if !l.enter(ctx) {
			l.leave(taken)
			return
		}
	}
	l.leave(roundsTogether)
}

func (l *lister) enter(ctx context.Context) bool {
	select {
	case l.rounds <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *lister) leave(count int) {
	for range count {
		<-l.rounds
	}
}

// round appends what waits, until it is kept, not wanted any more, or ctx ends. A round
// may last as long as the log is down.
func (l *lister) round(ctx context.Context) {
	results, progress := l.take()
	for ctx.Err() == nil {
		results = l.unlisted(results)
		if len(results) == 0 || l.appendResults(ctx, results) == nil {
			break
		}
	}
	if len(progress) > 0 && ctx.Err() == nil {
		l.appendProgress(ctx, progress)
	}
}

// appendResults keeps the texts, then the entries that name them. That these were read
// back proves that they are kept, whatever became of the answer.
func (l *lister) appendResults(ctx context.Context, results resultsByJob) error {
	if err := l.keepTexts(ctx, results); err != nil {
		return err
	}
	kept := func() bool { return l.allListed(results) }
	return l.node.jobs.record(ctx, listPatience, kept, resultEntries(results)...)
}

// appendProgress keeps parts of texts. What cannot be saved in time is not worth more
// tries.
func (l *lister) appendProgress(ctx context.Context, progress partsByJob) {
	err := l.keepParts(ctx, progress)
	if err == nil {
		err = l.node.jobs.record(ctx, progressPatience, nil, progressEntries(progress)...)
	}
	if err != nil {
		l.node.logger.Log(event.LogAppendRetried, "jobs", len(progress), "detail", err.Error())
	}
}

func (l *lister) keepTexts(ctx context.Context, results resultsByJob) error {
	var unnamed []*pathbendv1.BatchResult
	var texts [][]byte
	for _, jobID := range slices.Sorted(maps.Keys(results)) {
		for _, one := range results[jobID] {
			if one.listed.Text == nil && !one.listed.Dead {
				unnamed, texts = append(unnamed, one.listed), append(texts, one.text)
			}
		}
	}
	return l.keep(ctx, content.Texts, texts, func(i int, blob *pathbendv1.Blob) { unnamed[i].Text = blob })
}

func (l *lister) keepParts(ctx context.Context, progress partsByJob) error {
	var unnamed []*pathbendv1.ItemProgress
	var texts [][]byte
	for _, jobID := range slices.Sorted(maps.Keys(progress)) {
		for _, part := range progress[jobID] {
			unnamed, texts = append(unnamed, part.Progress), append(texts, part.Text)
		}
	}
	return l.keep(ctx, content.Parts, texts, func(i int, blob *pathbendv1.Blob) { unnamed[i].Text = blob })
}

// keep keeps texts as blobs and hands over the name of each that was kept, also
// if not all were.
func (l *lister) keep(ctx context.Context, kind content.Kind, texts [][]byte, name func(i int, blob *pathbendv1.Blob)) error {
	named, err := l.node.jobs.contents.Put(ctx, kind, listPatience, texts)
	for i, blob := range named {
		name(i, blob)
	}
	return err
}

func (l *lister) take() (resultsByJob, partsByJob) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	results, progress := l.results, l.progress
	l.results = make(resultsByJob)
	l.progress = make(partsByJob)
	return results, progress
}

// unlisted drops the results of jobs that are over and those that are listed.
func (l *lister) unlisted(results resultsByJob) resultsByJob {
	left := make(resultsByJob, len(results))
	for jobID, listed := range results {
		l.node.jobs.view(jobID, func(job *ledger.Job) {
			if job == nil || !job.Open() {
				return
			}
			for _, one := range listed {
				if !job.Listed(one.listed.ItemId) {
					left[jobID] = append(left[jobID], one)
				}
			}
		})
	}
	return left
}

// allListed reports whether all results were read back. It is called under the
// ledger's lock.
func (l *lister) allListed(results resultsByJob) bool {
	for jobID, listed := range results {
		job := l.node.jobs.ledger.Job(jobID)
		if job == nil || job.Ended {
			continue
		}
		if !slices.ContainsFunc(listed, func(one pendingResult) bool { return !job.Listed(one.listed.ItemId) }) {
			continue
		}
		return false
	}
	return true
}

func resultEntries(results resultsByJob) []*pathbendv1.LedgerEntry {
	var entries []*pathbendv1.LedgerEntry
	for _, jobID := range slices.Sorted(maps.Keys(results)) {
		listed := &pathbendv1.BatchResults{}
		for _, one := range results[jobID] {
			listed.Results = append(listed.Results, one.listed)
		}
		entries = append(entries, &pathbendv1.LedgerEntry{JobId: jobID, Fact: &pathbendv1.LedgerEntry_Listed{Listed: listed}})
	}
	return entries
}

func progressEntries(progress partsByJob) []*pathbendv1.LedgerEntry {
	var entries []*pathbendv1.LedgerEntry
	for _, jobID := range slices.Sorted(maps.Keys(progress)) {
		made := &pathbendv1.BatchProgress{}
		for _, part := range progress[jobID] {
			made.Items = append(made.Items, part.Progress)
		}
		entries = append(entries, &pathbendv1.LedgerEntry{JobId: jobID, Fact: &pathbendv1.LedgerEntry_Progress{Progress: made}})
	}
	return entries
}
