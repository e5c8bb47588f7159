package platformnode

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/blobstore"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/schedule"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// resultLinger is how long a result waits for others to share its append.
	resultLinger = 20 * time.Millisecond
	// storeTimeout is the timeout of one attempt to store results, which is then repeated.
	storeTimeout = 5 * time.Second
	// roundOverlapDelay is how long the next round waits for the previous one before it starts
	// concurrently, as the answers of the previous one may be lost. maxConcurrentRounds bounds the
	// concurrent rounds.
	roundOverlapDelay   = 200 * time.Millisecond
	maxConcurrentRounds = 4
	// progressTimeout is the timeout of appending partial texts. It is short because newer
	// ones follow soon.
	progressTimeout = time.Second
)

// pendingResult is a result that has not been read back from the log yet.
type pendingResult struct {
	listed *pathbendv1.BatchResult
	// text is stored as a blob first, unless listed already refers to one.
	text []byte
}

// resultsByJob maps job ids to pending results.
type resultsByJob map[string][]pendingResult

// partsByJob maps job ids to unsaved parts of texts.
type partsByJob map[string][]schedule.TextPart

// resultWriter appends results and progress of items to the log in batches.
type resultWriter struct {
	node  *Node
	woken chan struct{}
	// rounds is a semaphore with one token per round of appends in progress.
	rounds chan struct{}

	mutex    sync.Mutex
	results  resultsByJob
	progress partsByJob
}

func newResultWriter(n *Node) *resultWriter {
	return &resultWriter{
		node: n, woken: make(chan struct{}, 1), rounds: make(chan struct{}, maxConcurrentRounds),
		results:  make(resultsByJob),
		progress: make(partsByJob),
	}
}

func (l *resultWriter) addResult(jobID string, listed *pathbendv1.BatchResult, text []byte) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.results[jobID] = append(l.results[jobID], pendingResult{listed: listed, text: text})
	l.wake()
}

func (l *resultWriter) addProgress(unsaved partsByJob) {
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

func (l *resultWriter) wake() {
	select {
	case l.woken <- struct{}{}:
	default:
	}
}

// run starts rounds of appends whenever results or progress are added, until ctx ends.
func (l *resultWriter) run(ctx context.Context) {
	var rounds conc.WaitGroup
	defer rounds.Wait()
	for {
		select {
		case <-l.woken:
		case <-ctx.Done():
			return
		}
		wait.For(ctx, resultLinger)
		if !l.acquireRound(ctx) {
			return
		}
		ended := make(chan struct{})
		rounds.Go(func() {
			defer close(ended)
			defer l.releaseRounds(1)
			l.round(ctx)
		})
		overlap := time.NewTimer(roundOverlapDelay + l.node.log.AppendTime().ExtraLatency())
		select {
		case <-ended:
		case <-overlap.C:
		}
		overlap.Stop()
	}
}

// flush appends everything pending and waits for the rounds in progress, until all results
// are stored or no longer needed, or ctx ends.
func (l *resultWriter) flush(ctx context.Context) {
	if l.acquireRound(ctx) {
		l.round(ctx)
		l.releaseRounds(1)
	}
	for acquired := range maxConcurrentRounds {
		if !l.acquireRound(ctx) {
			l.releaseRounds(acquired)
			return
		}
	}
	l.releaseRounds(maxConcurrentRounds)
}

func (l *resultWriter) acquireRound(ctx context.Context) bool {
	select {
	case l.rounds <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *resultWriter) releaseRounds(count int) {
	for range count {
		<-l.rounds
	}
}

// round appends everything pending, until it is stored or no longer needed, or ctx ends. A
// round may last as long as the log is down.
func (l *resultWriter) round(ctx context.Context) {
	results, progress := l.takePending()
	for ctx.Err() == nil {
		results = l.withoutListed(results)
		if len(results) == 0 || l.appendResults(ctx, results) == nil {
			break
		}
	}
	if len(progress) > 0 && ctx.Err() == nil {
		l.appendProgress(ctx, progress)
	}
}

// appendResults stores the texts, then the entries that refer to them. Reading the entries
// back proves that they are stored, even if the answer to the append was lost.
func (l *resultWriter) appendResults(ctx context.Context, results resultsByJob) error {
	if err := l.storeResultTexts(ctx, results); err != nil {
		return err
	}
	stored := func() bool { return l.allListed(results) }
	return l.node.jobs.record(ctx, storeTimeout, stored, resultEntries(results)...)
}

// appendProgress stores parts of texts. It does not retry beyond its timeout: what is lost
// is generated again.
func (l *resultWriter) appendProgress(ctx context.Context, progress partsByJob) {
	err := l.storeProgressTexts(ctx, progress)
	if err == nil {
		err = l.node.jobs.record(ctx, progressTimeout, nil, progressEntries(progress)...)
	}
	if err != nil {
		l.node.logger.Log(event.LogAppendRetried, "jobs", len(progress), "detail", err.Error())
	}
}

func (l *resultWriter) storeResultTexts(ctx context.Context, results resultsByJob) error {
	var unstored []*pathbendv1.BatchResult
	var texts [][]byte
	for _, jobID := range slices.Sorted(maps.Keys(results)) {
		for _, result := range results[jobID] {
			if result.listed.Text == nil && !result.listed.Dead {
				unstored, texts = append(unstored, result.listed), append(texts, result.text)
			}
		}
	}
	return l.storeTexts(ctx, blobstore.Texts, texts, func(i int, blob *pathbendv1.Blob) { unstored[i].Text = blob })
}

func (l *resultWriter) storeProgressTexts(ctx context.Context, progress partsByJob) error {
	var unstored []*pathbendv1.ItemProgress
	var texts [][]byte
	for _, jobID := range slices.Sorted(maps.Keys(progress)) {
		for _, part := range progress[jobID] {
			unstored, texts = append(unstored, part.Progress), append(texts, part.Text)
		}
	}
	return l.storeTexts(ctx, blobstore.TextParts, texts, func(i int, blob *pathbendv1.Blob) { unstored[i].Text = blob })
}

// storeTexts stores texts as blobs and calls name with the reference of each that was stored,
// even if it returns an error because others were not.
func (l *resultWriter) storeTexts(ctx context.Context, kind blobstore.Kind, texts [][]byte, name func(i int, blob *pathbendv1.Blob)) error {
	blobs, err := l.node.jobs.contents.Put(ctx, kind, storeTimeout, texts)
	for i, blob := range blobs {
		name(i, blob)
	}
	return err
}

// takePending removes and returns everything pending.
func (l *resultWriter) takePending() (resultsByJob, partsByJob) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	results, progress := l.results, l.progress
	l.results = make(resultsByJob)
	l.progress = make(partsByJob)
	return results, progress
}

// withoutListed returns the results without those that the ledger already lists and those of
// jobs that are no longer open.
func (l *resultWriter) withoutListed(results resultsByJob) resultsByJob {
	remaining := make(resultsByJob, len(results))
	for jobID, listed := range results {
		l.node.jobs.view(jobID, func(job *ledger.Job) {
			if job == nil || !job.Open() {
				return
			}
			for _, result := range listed {
				if !job.HasResult(result.listed.ItemId) {
					remaining[jobID] = append(remaining[jobID], result)
				}
			}
		})
	}
	return remaining
}

// allListed reports whether all results were read back, ignoring those of unknown and
// ended jobs. The caller holds the ledger's lock.
func (l *resultWriter) allListed(results resultsByJob) bool {
	for jobID, listed := range results {
		job := l.node.jobs.ledger.Job(jobID)
		if job == nil || job.Ended {
			continue
		}
		if !slices.ContainsFunc(listed, func(result pendingResult) bool { return !job.HasResult(result.listed.ItemId) }) {
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
		for _, result := range results[jobID] {
			listed.Results = append(listed.Results, result.listed)
		}
		entries = append(entries, &pathbendv1.LedgerEntry{JobId: jobID, Fact: &pathbendv1.LedgerEntry_Listed{Listed: listed}})
	}
	return entries
}

func progressEntries(progress partsByJob) []*pathbendv1.LedgerEntry {
	var entries []*pathbendv1.LedgerEntry
	for _, jobID := range slices.Sorted(maps.Keys(progress)) {
		batch := &pathbendv1.BatchProgress{}
		for _, part := range progress[jobID] {
			batch.Items = append(batch.Items, part.Progress)
		}
		entries = append(entries, &pathbendv1.LedgerEntry{JobId: jobID, Fact: &pathbendv1.LedgerEntry_Progress{Progress: batch}})
	}
	return entries
}
