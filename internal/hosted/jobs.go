package hosted

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/content"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/sharedlog"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// jobTopic holds the records of batch jobs; its holders form jobGroup.
	jobTopic = "pathbend-jobs"
	jobGroup = "pathbend-executors"
	// jobPartition is the partition that holds all jobs. One executor sees all
	// work on all samplers; docs/design/0012 tells when there are more.
	jobPartition = 0
	// submitPatience is how long a submission is tried before it is refused.
	submitPatience = 2500 * time.Millisecond
	// appendTimeout bounds one append at a log next door; appendHedge is when, at the latest
	// there, a second one of the same records is sent beside it: repetitions are harmless. While the log is
	// lost, which never answers what was sent before it is back, or answers others as
	// usual, so that this answer is lost, a further one is sent each time, up to
	// mostAppends; a log that is merely slow would get slower.
	appendTimeout = 1500 * time.Millisecond
	appendHedge   = 250 * time.Millisecond
	mostAppends   = 6
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
	appender *sharedlog.Appender
	contents *content.Store
	// followed is set once the node follows the log; before, it reads it on demand.
	followed atomic.Bool

	mutex  sync.Mutex
	ledger *ledger.Ledger
	// changed is closed and replaced at every change.
	changed chan struct{}
}

func newJobBook(n *Node) *jobBook {
	book := &jobBook{
		node: n, ledger: ledger.New(), changed: make(chan struct{}),
		contents: content.New(n.log, content.Limits{
			MaxRecordBytes: n.settings.MaxRecordBytes, MaxCallBytes: n.settings.MaxCallBytes, Partitions: n.settings.Partitions,
		}, n.metrics.logAppend),
	}
	book.follower = &sharedlog.Follower{
		Log: n.log, Partition: sharedlog.Partition{Topic: jobTopic, Number: jobPartition},
		Observer: n, Apply: book.apply, Pause: n.jobsPause, Beyond: n.log.Beyond,
	}
	book.appender = &sharedlog.Appender{
		Log: n.log, Partition: book.follower.Partition, MaxBytes: n.settings.MaxCallBytes,
		Observe: n.metrics.logAppend, Beyond: n.log.Appends().Beyond,
	}
	return book
}

// hedgeAfter is how long an append is waited for before another one goes out beside
// it, and whether the log answers others as usual meanwhile.
func (b *jobBook) hedgeAfter() (pause time.Duration, answers bool) {
	return b.node.log.OverdueAppend(appendHedge)
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
		if change.Kind == ledger.Suspected {
			b.takeSuspect(offset+uint64(i), change.Suspect)
			continue
		}
		b.node.executor.jobChanged(change)
		b.node.worker.jobChanged(change)
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *jobBook) takeSuspect(offset uint64, told *pathbendv1.SuspectRequest) {
	if err := b.node.suspects.take(told); err != nil {
		b.node.logger.Log(event.RecordSkipped, "topic", jobTopic, "offset", offset, "detail", err.Error())
	}
	b.node.executor.wake()
}

func (b *jobBook) expire(ctx context.Context) {
	wait.Every(ctx, expireInterval, func() {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		b.ledger.Expire(time.Now().Add(-b.node.settings.KeepJobs - keepMargin))
		b.node.suspects.expire()
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

// withLedger runs a read of the entire ledger under its lock.
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
	if !behind && b.follower.Health.Age() < b.node.settings.freshness() {
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

// inTouch reports whether the log was read of late.
func (b *jobBook) inTouch() bool {
	return b.follower.Health.Age() < contactLimit
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

// awaitReadBack reads the log until kept reports, under the ledger's lock, that an
// entry was read back, or patience is over.
func (b *jobBook) awaitReadBack(ctx context.Context, patience time.Duration, kept func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	if _, seen := b.seen(kept); seen {
		return true
	}
	for ctx.Err() == nil {
		err := b.refresh(ctx)
		if _, seen := b.seen(kept); err == nil && seen {
			return true
		}
		wait.For(ctx, readBackPause)
	}
	return false
}

// readBackPause is the pause after a read that failed or did not show the entry.
const readBackPause = 30 * time.Millisecond

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
	var calls [][][]byte
	size := b.node.settings.MaxCallBytes
	for _, record := range records {
		if size+len(record)+sharedlog.RecordFraming > b.node.settings.MaxCallBytes {
			calls = append(calls, nil)
			size = 0
		}
		calls[len(calls)-1] = append(calls[len(calls)-1], record)
		size += len(record) + sharedlog.RecordFraming
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
// answer in time, further ones only to a log that is lost or loses answers.
func (b *jobBook) appendOne(ctx context.Context, records [][]byte, kept func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout+b.node.log.Appends().Beyond())
	defer cancel()
	answers := make(chan error, mostAppends)
	send := func() { answers <- b.appender.Append(ctx, records) }
	go send()
	sent, failed := 1, 0
	var unknown error
	pause, _ := b.hedgeAfter()
	hedge := time.NewTimer(pause)
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
				return cmp.Or(unknown, err)
			}
		case <-hedge.C:
			pause, answers := b.hedgeAfter()
			if sent == 1 || answers || b.follower.Health.Lost() {
				go send()
				sent++
			}
			if sent < mostAppends {
				hedge.Reset(pause)
			}
		case <-changed:
		}
	}
}

func (b *jobBook) seen(kept func() bool) (<-chan struct{}, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.changed, kept != nil && kept()
}
