package hosted

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/sharedlog"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// jobPartition is the partition that holds all jobs. One executor sees all
	// work on all samplers; docs/design/0012 tells when there are more.
	jobPartition = 0
	// submitPatience is how long a submission is tried before it is refused.
	submitPatience = 2500 * time.Millisecond
	// appendTimeout bounds one append; appendHedge is when a second one of the
	// same records is sent beside it: repetitions are harmless.
	appendTimeout = 1500 * time.Millisecond
	appendHedge   = 250 * time.Millisecond
	// appendPause is the pause between appends that failed.
	appendPause = 100 * time.Millisecond
	// submitHint is when to come back after a refused submission.
	submitHint = 500 * time.Millisecond
	// readHint is when to come back after a refused read.
	readHint = 200 * time.Millisecond
	// expireInterval is how often old jobs are forgotten.
	expireInterval = 5 * time.Second
	// maxPageBytes bounds the texts of one page of results.
	maxPageBytes = 700 << 10
)

// jobBook holds the ledger of all jobs and follows the log.
type jobBook struct {
	node     *Node
	follower *sharedlog.Follower
	blobs    *blobs

	mutex  sync.Mutex
	ledger *ledger.Ledger
	// changed is closed and replaced at every change.
	changed chan struct{}
}

func newJobBook(n *Node) *jobBook {
	book := &jobBook{
		node: n, ledger: ledger.New(), changed: make(chan struct{}),
		blobs: &blobs{log: n.ports.Log, settings: n.settings, metrics: n.metrics},
	}
	book.follower = &sharedlog.Follower{
		Log: n.ports.Log, Partition: sharedlog.Partition{Topic: jobTopic, Number: jobPartition},
		Observer: n, Apply: book.apply, Pause: n.jobsPause,
	}
	return book
}

// ReadFailed implements sharedlog.Observer.
func (n *Node) ReadFailed(partition sharedlog.Partition, err error) {
	n.logger.Log(event.LogReadFailed, "topic", partition.Topic, "partition", partition.Number, "detail", err.Error())
}

// ReadRecovered implements sharedlog.Observer.
func (n *Node) ReadRecovered(partition sharedlog.Partition, after time.Duration) {
	n.logger.Log(event.LogReadRecovered, "topic", partition.Topic, "partition", partition.Number, "after_ms", after.Milliseconds())
}

func (b *jobBook) apply(offset uint64, records [][]byte) {
	now := time.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for i, record := range records {
		change, err := b.ledger.Apply(record, now)
		if err != nil {
			b.node.logger.Log(event.RecordSkipped, "topic", jobTopic, "offset", offset+uint64(i), "detail", err.Error())
			continue
		}
		b.node.executor.jobChanged(change)
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *jobBook) expire(ctx context.Context) {
	wait.Every(ctx, expireInterval, func() {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		b.ledger.Expire(time.Now().Add(-b.node.settings.KeepJobs - keepMargin))
	})
}

// await waits for a change of the ledger. It reports false if ctx ended first.
func (b *jobBook) await(ctx context.Context, changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}

// view reads a job, nil if it is not known, and returns the channel that is
// closed at the next change.
func (b *jobBook) view(id string, read func(job *ledger.Job)) <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	read(b.ledger.Job(id))
	return b.changed
}

// withLedger runs a read of the whole ledger under its lock.
func (b *jobBook) withLedger(read func(known *ledger.Ledger)) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	read(b.ledger)
}

// open returns the jobs on which work is wanted, by arrival.
func (b *jobBook) open() []*ledger.Job {
	var open []*ledger.Job
	b.withLedger(func(known *ledger.Ledger) {
		for _, job := range known.Jobs() {
			if job.Open() {
				open = append(open, job)
			}
		}
	})
	return open
}

// current makes sure that the node knows every record that was acknowledged
// before the settle time ago, and all positions before from. It returns an
// error if it cannot tell.
func (b *jobBook) current(ctx context.Context, id string, from int) error {
	behind := false
	look := func(job *ledger.Job) { behind = job == nil || len(job.Results) < from }
	b.view(id, look)
	if !behind && time.Since(b.follower.Health.CurrentAt()) < b.node.settings.freshness() {
		return nil
	}
	if err := b.refresh(ctx); err != nil {
		return err
	}
	if b.view(id, look); behind {
		return result.New(result.LogUnavailable, "position %d is not known here", from).WithRetryAfter(readHint)
	}
	return nil
}

// refresh reads the records that the log holds now.
func (b *jobBook) refresh(ctx context.Context) error {
	if err := b.follower.CatchUp(ctx); err != nil {
		return result.Wrap(result.LogUnavailable, err, "read the log").WithRetryAfter(readHint)
	}
	return nil
}

// record appends entries and returns once they are kept. It repeats the append
// until patience is over; repetitions are dropped by every reader. kept
// reports, under the ledger's lock, whether the entries were read back already,
// which proves that they are kept even if the answer to the append was lost.
func (b *jobBook) record(ctx context.Context, patience time.Duration, kept func() bool, entries ...*pathbendv1.LedgerEntry) error {
	calls, err := b.encode(entries)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	var unknown error
	for {
		err := b.appendAll(ctx, calls, kept)
		if err == nil {
			return nil
		}
		if !result.Is(err, result.LogUnavailable) {
			unknown = err
		}
		b.node.logger.Log(event.LogAppendRetried, "job_id", entries[0].JobId, "entries", len(entries), "detail", err.Error())
		if !wait.For(ctx, appendPause) {
			if unknown != nil {
				return unknown
			}
			return result.From(err).WithRetryAfter(submitHint)
		}
	}
}

// encode cuts entries into the records of one or more appends.
func (b *jobBook) encode(entries []*pathbendv1.LedgerEntry) ([][][]byte, error) {
	var records [][]byte
	for _, entry := range entries {
		encoded, err := ledger.Encode(entry, rand.Uint64(), b.node.settings.MaxRecordBytes)
		if err != nil {
			return nil, err
		}
		records = append(records, encoded...)
	}
	const framing = 16
	var calls [][][]byte
	size := b.node.settings.MaxCallBytes
	for _, record := range records {
		if size+len(record)+framing > b.node.settings.MaxCallBytes {
			calls = append(calls, nil)
			size = 0
		}
		calls[len(calls)-1] = append(calls[len(calls)-1], record)
		size += len(record) + framing
	}
	return calls, nil
}

func (b *jobBook) appendAll(ctx context.Context, calls [][][]byte, kept func() bool) error {
	for _, records := range calls {
		if err := b.appendOne(ctx, records, kept); err != nil {
			return err
		}
	}
	return nil
}

// appendOne appends records. A second append goes out if the first has no
// answer in time.
func (b *jobBook) appendOne(ctx context.Context, records [][]byte, kept func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	const both = 2
	answers := make(chan error, both)
	send := func() {
		began := time.Now()
		_, err := b.node.ports.Log.Append(ctx, b.follower.Partition, records)
		b.node.metrics.logAppend(err, time.Since(began))
		answers <- err
	}
	go send()
	sent, failed := 1, 0
	var unknown error
	hedge := time.NewTimer(appendHedge)
	defer hedge.Stop()
	for {
		changed, seen := b.seen(kept)
		if seen {
			return nil
		}
		select {
		case err := <-answers:
			if err == nil {
				return nil
			}
			if !result.Is(err, result.LogUnavailable) {
				unknown = err
			}
			if failed++; failed == sent {
				return firstOf(unknown, err)
			}
		case <-hedge.C:
			go send()
			sent++
		case <-changed:
		}
	}
}

// firstOf returns the first error unless it is nil.
func firstOf(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

func (b *jobBook) seen(kept func() bool) (<-chan struct{}, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.changed, kept != nil && kept()
}

// Submit keeps a batch job. An error of LogUnavailable promises that it was
// not taken; LogUnknown promises nothing.
func (n *Node) Submit(ctx context.Context, id string, spec *pathbendv1.BatchJob, items []*pathbendv1.BatchItem) error {
	n.active.Add(1)
	defer n.active.Add(-1)
	began := time.Now()
	known := func() bool { return n.jobs.ledger.Job(id) != nil }
	if _, already := n.jobs.seen(known); already {
		return nil
	}
	err := n.jobs.submit(ctx, id, spec, items, known)
	took := time.Since(began)
	n.metrics.submission(err, took)
	if err != nil {
		n.logger.Log(event.BatchRefused, "job_id", id, "step", spec.Step, "took_ms", took.Milliseconds(), "detail", err.Error())
		return spread(err)
	}
	n.logger.Log(event.BatchSubmitted, "job_id", id, "step", spec.Step, "model", spec.Model,
		"min_version", spec.MinVersion, "items", len(items), "took_ms", took.Milliseconds())
	return nil
}

// submit keeps the items of a job and then the job itself. Items without their
// job never run.
func (b *jobBook) submit(ctx context.Context, id string, spec *pathbendv1.BatchJob, items []*pathbendv1.BatchItem, known func() bool) error {
	began := time.Now()
	named, err := b.blobs.putItems(ctx, submitPatience, items)
	if err != nil {
		return notTaken(err)
	}
	spec.ItemIds, spec.Items = itemIDs(items), named
	entry := &pathbendv1.LedgerEntry{JobId: id, Fact: &pathbendv1.LedgerEntry_Submitted{Submitted: spec}}
	return b.record(ctx, submitPatience-time.Since(began), known, entry)
}

func itemIDs(items []*pathbendv1.BatchItem) []string {
	ids := make([]string, 0, len(items))
	for _, item := range items {
		ids = append(ids, item.Id)
	}
	return ids
}

// notTaken turns a failure to keep a job's items into a promise that the job was
// not taken, whatever became of the append.
func notTaken(err error) error {
	if result.Is(err, result.LogUnknown) || result.Is(err, result.LogUnavailable) {
		return result.Wrap(result.LogUnavailable, err, "keep the items").WithRetryAfter(submitHint)
	}
	return err
}

// End ends a batch job.
func (n *Node) End(ctx context.Context, id string) error {
	n.active.Add(1)
	defer n.active.Add(-1)
	ended := func() bool {
		job := n.jobs.ledger.Job(id)
		return job != nil && job.Ended
	}
	if _, already := n.jobs.seen(ended); already {
		return nil
	}
	if err := n.requireJob(ctx, id); err != nil {
		return err
	}
	entry := &pathbendv1.LedgerEntry{JobId: id, Fact: &pathbendv1.LedgerEntry_Ended{Ended: &pathbendv1.BatchEnd{}}}
	return spread(n.jobs.record(ctx, submitPatience, ended, entry))
}

// requireJob returns an error unless the job is known, after asking the log if
// it is not.
func (n *Node) requireJob(ctx context.Context, id string) error {
	known := false
	look := func(job *ledger.Job) { known = job != nil }
	n.jobs.view(id, look)
	if known {
		return nil
	}
	if err := n.jobs.refresh(ctx); err != nil {
		n.logger.Log(event.BatchReadRefused, "job_id", id, "detail", err.Error())
		return err
	}
	n.jobs.view(id, look)
	if !known {
		return result.New(result.JobUnknown, "no batch job %q", id)
	}
	return nil
}

// Page is a part of a job's results.
type Page struct {
	Total   int
	Results []ledger.Result
	// Texts are those of the results, in order, nil for dead items.
	Texts [][]byte
	// Next is the position after the last result of the page.
	Next int
}

// Results returns the results of a job from a position on. It waits up to hold
// for one.
func (n *Node) Results(ctx context.Context, id string, from int, hold time.Duration) (Page, error) {
	n.active.Add(1)
	defer n.active.Add(-1)
	if err := n.requireJob(ctx, id); err != nil {
		return Page{}, err
	}
	holdCtx, cancel := context.WithTimeout(ctx, hold)
	defer cancel()
	for {
		page, changed, settled := n.jobs.page(id, from)
		if len(page.Results) > 0 {
			return n.withTexts(ctx, id, page)
		}
		if settled || n.Draining() || !n.jobs.await(holdCtx, changed) {
			break
		}
	}
	if err := n.jobs.current(ctx, id, from); err != nil {
		n.logger.Log(event.BatchReadRefused, "job_id", id, "from", from, "detail", err.Error())
		return Page{}, spread(err)
	}
	page, _, _ := n.jobs.page(id, from)
	return n.withTexts(ctx, id, page)
}

// withTexts reads the texts of a page.
func (n *Node) withTexts(ctx context.Context, id string, page Page) (Page, error) {
	var wanted []*pathbendv1.Blob
	for _, listed := range page.Results {
		if listed.Text != nil {
			wanted = append(wanted, listed.Text)
		}
	}
	texts, err := n.jobs.blobs.get(ctx, wanted)
	if err != nil {
		n.logger.Log(event.BatchReadRefused, "job_id", id, "texts", len(wanted), "detail", err.Error())
		return Page{}, spread(err)
	}
	page.Texts = make([][]byte, len(page.Results))
	for i, listed := range page.Results {
		if listed.Text != nil {
			page.Texts[i], texts = texts[0], texts[1:]
		}
	}
	return page, nil
}

// page reads a page. settled is set if no further result can come.
func (b *jobBook) page(id string, from int) (page Page, changed <-chan struct{}, settled bool) {
	page.Results = []ledger.Result{}
	changed = b.view(id, func(job *ledger.Job) {
		if job == nil {
			settled = true
			return
		}
		page.Total = job.Total()
		page.Next = from
		settled = job.Ended || job.Complete()
		bytes := 0
		for _, listed := range job.Results[min(from, len(job.Results)):] {
			if bytes += int(listed.Text.GetBytes()); bytes > maxPageBytes && len(page.Results) > 0 {
				break
			}
			page.Results = append(page.Results, listed)
		}
		page.Next += len(page.Results)
	})
	return page, changed, settled
}

// Body returns the body of an item that is not listed yet.
func (n *Node) Body(ctx context.Context, id, itemID string) ([]byte, error) {
	if err := n.requireJob(ctx, id); err != nil {
		return nil, err
	}
	var spec *pathbendv1.BatchJob
	n.jobs.view(id, func(job *ledger.Job) {
		if job != nil && job.Has(itemID) && !job.Listed(itemID) {
			spec = job.Spec
		}
	})
	if spec != nil {
		items, err := n.jobs.blobs.getItems(ctx, spec)
		if err != nil {
			n.logger.Log(event.BatchReadRefused, "job_id", id, "item_id", itemID, "detail", err.Error())
			return nil, spread(err)
		}
		for _, item := range items {
			if item.Id == itemID {
				return item.Body, nil
			}
		}
	}
	return nil, result.New(result.ItemUnknown, "batch job %q has no open item %q", id, itemID)
}
