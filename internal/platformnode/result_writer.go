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
	// concurrently, as the answers of the previous one may be lost. maxConcurrentRounds bounds
	// the concurrent rounds.
	roundOverlapDelay   = 200 * time.Millisecond
	maxConcurrentRounds = 4
	// progressTimeout is the timeout of appending partial texts. It is short because newer
	// ones follow soon.
	progressTimeout = time.Second
)

// pendingResult is a result that has not been read back from the log yet.
type pendingResult struct {
	entry *pathbendv1.BatchResult
	// text is stored as a blob first, unless entry already refers to one.
	text []byte
}

// resultsByJob maps job ids to pending results.
type resultsByJob map[string][]pendingResult

// partsByJob maps job ids to unsaved parts of texts.
type partsByJob map[string][]schedule.TextPart

// resultWriter appends results and progress of items to the log in batches.
type resultWriter struct {
	node   *Node
	wakeup chan struct{}
	// rounds is a semaphore with one token per round of appends in progress.
	rounds chan struct{}

	mutex    sync.Mutex
	results  resultsByJob
	progress partsByJob
}

func newResultWriter(n *Node) *resultWriter {
	return &resultWriter{
		node: n, wakeup: make(chan struct{}, 1), rounds: make(chan struct{}, maxConcurrentRounds),
		results:  make(resultsByJob),
		progress: make(partsByJob),
	}
}

func (w *resultWriter) addResult(jobID string, entry *pathbendv1.BatchResult, text []byte) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.results[jobID] = append(w.results[jobID], pendingResult{entry: entry, text: text})
	w.wake()
}

func (w *resultWriter) addProgress(unsaved partsByJob) {
	if len(unsaved) == 0 {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for jobID, items := range unsaved {
		w.progress[jobID] = append(w.progress[jobID], items...)
	}
	w.wake()
}

func (w *resultWriter) wake() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// run starts rounds of appends whenever results or progress are added, until ctx ends.
func (w *resultWriter) run(ctx context.Context) {
	var rounds conc.WaitGroup
	defer rounds.Wait()
	for {
		select {
		case <-w.wakeup:
		case <-ctx.Done():
			return
		}
		wait.For(ctx, resultLinger)
		if !w.acquireRound(ctx) {
			return
		}
		ended := make(chan struct{})
		rounds.Go(func() {
			defer close(ended)
			defer w.releaseRounds(1)
			w.round(ctx)
		})
		overlap := time.NewTimer(roundOverlapDelay + w.node.log.AppendTime().ExtraLatency())
		select {
		case <-ended:
		case <-overlap.C:
		}
		overlap.Stop()
	}
}

// flush appends everything pending and waits for the rounds in progress, until all results
// are stored or no longer needed, or ctx ends.
func (w *resultWriter) flush(ctx context.Context) {
	if w.acquireRound(ctx) {
		w.round(ctx)
		w.releaseRounds(1)
	}
	for acquired := range maxConcurrentRounds {
		if !w.acquireRound(ctx) {
			w.releaseRounds(acquired)
			return
		}
	}
	w.releaseRounds(maxConcurrentRounds)
}

func (w *resultWriter) acquireRound(ctx context.Context) bool {
	select {
	case w.rounds <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (w *resultWriter) releaseRounds(count int) {
	for range count {
		<-w.rounds
	}
}

// round appends everything pending, until it is stored or no longer needed, or ctx ends. A
// round may last as long as the log is down.
func (w *resultWriter) round(ctx context.Context) {
	results, progress := w.takePending()
	for ctx.Err() == nil {
		results = w.withoutRecorded(results)
		if len(results) == 0 || w.appendResults(ctx, results) == nil {
			break
		}
	}
	if len(progress) > 0 && ctx.Err() == nil {
		w.appendProgress(ctx, progress)
	}
}

// appendResults stores the texts, then the entries that refer to them. Reading the entries
// back proves that they are stored, even if the answer to the append was lost.
func (w *resultWriter) appendResults(ctx context.Context, results resultsByJob) error {
	if err := w.storeResultTexts(ctx, results); err != nil {
		return err
	}
	stored := func() bool { return w.allRecorded(results) }
	return w.node.jobs.record(ctx, storeTimeout, stored, resultEntries(results)...)
}

// appendProgress stores parts of texts. It does not retry beyond its timeout: what is lost
// is generated again.
func (w *resultWriter) appendProgress(ctx context.Context, progress partsByJob) {
	err := w.storeProgressTexts(ctx, progress)
	if err == nil {
		err = w.node.jobs.record(ctx, progressTimeout, nil, progressEntries(progress)...)
	}
	if err != nil {
		w.node.logger.Log(event.LogAppendRetried, "jobs", len(progress), "detail", err.Error())
	}
}

func (w *resultWriter) storeResultTexts(ctx context.Context, results resultsByJob) error {
	var unstored []*pathbendv1.BatchResult
	var texts [][]byte
	for _, jobID := range slices.Sorted(maps.Keys(results)) {
		for _, result := range results[jobID] {
			if result.entry.Text == nil && !result.entry.Dead {
				unstored, texts = append(unstored, result.entry), append(texts, result.text)
			}
		}
	}
	return w.storeTexts(ctx, blobstore.Texts, texts, func(i int, blob *pathbendv1.Blob) { unstored[i].Text = blob })
}

func (w *resultWriter) storeProgressTexts(ctx context.Context, progress partsByJob) error {
	var unstored []*pathbendv1.ItemProgress
	var texts [][]byte
	for _, jobID := range slices.Sorted(maps.Keys(progress)) {
		for _, part := range progress[jobID] {
			unstored, texts = append(unstored, part.Progress), append(texts, part.Text)
		}
	}
	return w.storeTexts(ctx, blobstore.TextParts, texts, func(i int, blob *pathbendv1.Blob) { unstored[i].Text = blob })
}

// storeTexts stores texts as blobs and calls name with the reference of each that was stored,
// even if it returns an error because others were not.
func (w *resultWriter) storeTexts(ctx context.Context, kind blobstore.Kind, texts [][]byte, name func(i int, blob *pathbendv1.Blob)) error {
	blobs, err := w.node.jobs.blobs.Put(ctx, kind, storeTimeout, texts)
	for i, blob := range blobs {
		name(i, blob)
	}
	return err
}

// takePending removes and returns everything pending.
func (w *resultWriter) takePending() (resultsByJob, partsByJob) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	results, progress := w.results, w.progress
	w.results = make(resultsByJob)
	w.progress = make(partsByJob)
	return results, progress
}

// withoutRecorded returns the results without those that the ledger already has and those of
// jobs that are no longer open.
func (w *resultWriter) withoutRecorded(results resultsByJob) resultsByJob {
	remaining := make(resultsByJob, len(results))
	for jobID, jobResults := range results {
		w.node.jobs.view(jobID, func(job *ledger.Job) {
			if job == nil || !job.Open() {
				return
			}
			for _, result := range jobResults {
				if !job.HasResult(result.entry.ItemId) {
					remaining[jobID] = append(remaining[jobID], result)
				}
			}
		})
	}
	return remaining
}

// allRecorded reports whether all results were read back, ignoring those of unknown and
// ended jobs. The caller holds the ledger's lock.
func (w *resultWriter) allRecorded(results resultsByJob) bool {
	for jobID, jobResults := range results {
		job := w.node.jobs.ledger.Job(jobID)
		if job == nil || job.Ended {
			continue
		}
		if !slices.ContainsFunc(jobResults, func(result pendingResult) bool { return !job.HasResult(result.entry.ItemId) }) {
			continue
		}
		return false
	}
	return true
}

func resultEntries(results resultsByJob) []*pathbendv1.LedgerEntry {
	var entries []*pathbendv1.LedgerEntry
	for _, jobID := range slices.Sorted(maps.Keys(results)) {
		batch := &pathbendv1.BatchResults{}
		for _, result := range results[jobID] {
			batch.Results = append(batch.Results, result.entry)
		}
		entries = append(entries, &pathbendv1.LedgerEntry{JobId: jobID, Fact: &pathbendv1.LedgerEntry_Listed{Listed: batch}})
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
