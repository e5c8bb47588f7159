package platformnode

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/blobstore"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/sharedlog"
	"github.com/pathbend/pathbend/internal/topicreader"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// jobTopic is the topic with the records of batch jobs, jobGroup the consumer group of
	// the nodes that may execute them.
	jobTopic = "pathbend-jobs"
	jobGroup = "pathbend-executors"
	// jobPartition is the partition of all jobs, so that a single executor sees the work on
	// all samplers; see docs/design/0012 for when there are more.
	jobPartition = 0
	// submitTimeout is how long a submission is retried before it is refused.
	submitTimeout = 2500 * time.Millisecond
	// appendTimeout bounds one append to a nearby log; the extra latency of a remote one is
	// added to it. After at most maxAppendHedgeDelay without an answer, a second append of the same
	// records is sent in parallel; readers drop duplicates. Further ones, up to maxAppends,
	// are sent only if the log is unreachable, in which case it never answers calls made
	// before it recovered, or if it answers other appends as usual, so that this answer must
	// have been lost. A log that is merely slow gets no more than two, as additional load
	// would slow it down further.
	appendTimeout       = 1500 * time.Millisecond
	maxAppendHedgeDelay = 250 * time.Millisecond
	maxAppends          = 6
	// appendRetryPause is the pause after a failed append.
	appendRetryPause = 100 * time.Millisecond
	// submitRetryAfter is the retry-after hint of a refused submission.
	submitRetryAfter = 500 * time.Millisecond
	// readRetryAfter is the retry-after hint of a refused read.
	readRetryAfter = 200 * time.Millisecond
	// expireInterval is how often expired jobs are removed from the ledger.
	expireInterval = 5 * time.Second
	// maxPageBytes bounds the total size of the texts in one page of results. A page has at
	// least one result, however large.
	maxPageBytes = 700 << 10
)

// jobStore holds the ledger of all jobs, follows the log to keep it up to date, and appends
// entries to the log.
type jobStore struct {
	node     *Node
	follower *sharedlog.Follower
	// feed reads the log, or asks a node that does, and serves other nodes.
	feed     *topicreader.RecordFeed
	appender *sharedlog.Appender
	blobs    *blobstore.Store
	// following is set once the node follows the log continuously; before that it reads the
	// log on demand.
	following atomic.Bool

	mutex  sync.Mutex
	ledger *ledger.Ledger
	// changed is closed and replaced whenever records are applied.
	changed chan struct{}
}

func newJobStore(n *Node) *jobStore {
	store := &jobStore{
		node: n, ledger: ledger.New(), changed: make(chan struct{}),
		blobs: blobstore.New(n.log, blobstore.Limits{
			MaxRecordBytes: n.settings.MaxRecordBytes, MaxCallBytes: n.settings.MaxCallBytes, Partitions: n.settings.Partitions,
		}, n.metrics.recordAppend),
	}
	store.feed = topicreader.NewRecordFeed(topicreader.RecordConfig{
		Log: n.log, Topic: jobTopic, Plan: n.readers.Plan, NeedsLog: n.needsJobsLog, Caller: n.peers,
		Limits: n.logLimits(), ExtraLatency: n.log.ExtraLatency, Counter: n.metrics, Logger: n.logger,
	})
	store.follower = &sharedlog.Follower{
		Log: store.feed, Partition: sharedlog.Partition{Topic: jobTopic, Number: jobPartition},
		Observer: n, Apply: store.apply, Pause: n.jobsPause, ExtraLatency: n.log.ExtraLatency, MaxRetryPause: n.RetryPauseLimit,
	}
	store.feed.SetFollower(store.follower)
	store.appender = &sharedlog.Appender{
		Log: n.log, Partition: store.follower.Partition, MaxBytes: n.settings.MaxCallBytes,
		Observe: n.metrics.recordAppend, ExtraLatency: n.log.AppendTime().ExtraLatency,
	}
	return store
}

// needsJobsLog reports whether this node reads the jobs' records from the log whatever its plan:
// the work of the executor depends on what it reads.
func (n *Node) needsJobsLog() bool {
	// The executor is asked last, as its mutex is held during each of its steps.
	return n.ownership.ShouldExecute(jobPartition, time.Now()) || n.executor.executing()
}

// appendHedgeDelay returns how long to wait for an append before sending it again in parallel,
// and whether the log answers other appends as usual meanwhile.
func (s *jobStore) appendHedgeDelay() (pause time.Duration, answers bool) {
	return s.node.log.AppendTimeout(maxAppendHedgeDelay)
}

// ReadFailed implements sharedlog.Observer.
func (n *Node) ReadFailed(partition sharedlog.Partition, err error) {
	n.logger.Log(event.LogReadFailed, "topic", partition.Topic, "partition", partition.Number, "detail", err.Error())
}

// ReadRecovered implements sharedlog.Observer.
func (n *Node) ReadRecovered(partition sharedlog.Partition, after time.Duration) {
	n.logger.Log(event.LogReadRecovered, "topic", partition.Topic, "partition", partition.Number, "after_ms", after.Milliseconds())
}

func (s *jobStore) apply(offset uint64, records [][]byte) {
	now := time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i, record := range records {
		change, err := s.ledger.Apply(record, now)
		s.node.metrics.ledgerBytes.WithLabelValues(string(change.Fact)).Add(float64(len(record)))
		if err != nil {
			s.node.logger.Log(event.RecordSkipped, "topic", jobTopic, "offset", offset+uint64(i), "detail", err.Error())
			continue
		}
		if change.Kind == ledger.RequestSuspected {
			s.applySuspect(offset+uint64(i), change.Suspect)
			continue
		}
		s.node.executor.jobChanged(change)
		s.node.worker.jobChanged(change)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *jobStore) applySuspect(offset uint64, suspect *pathbendv1.SuspectRequest) {
	if err := s.node.suspects.merge(suspect); err != nil {
		s.node.logger.Log(event.RecordSkipped, "topic", jobTopic, "offset", offset, "detail", err.Error())
	}
}

func (s *jobStore) expire(ctx context.Context) {
	wait.Every(ctx, expireInterval, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.ledger.Expire(time.Now().Add(-s.node.settings.JobRetention - jobRetentionMargin))
		s.node.suspects.expire()
	})
}

// await waits for a change of the ledger. It returns false if ctx ended first.
func (s *jobStore) await(ctx context.Context, changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}

// view calls read with a job, or nil if the job is unknown, under the ledger's lock. It
// returns a channel that is closed at the next change.
func (s *jobStore) view(id string, read func(job *ledger.Job)) <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	read(s.ledger.Job(id))
	return s.changed
}

// withLedger calls read with the entire ledger, under its lock.
func (s *jobStore) withLedger(read func(state *ledger.Ledger)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	read(s.ledger)
}

// open returns the open jobs in order of arrival.
func (s *jobStore) open() []*ledger.Job {
	var open []*ledger.Job
	s.withLedger(func(state *ledger.Ledger) {
		for _, job := range state.Jobs() {
			if job.Open() {
				open = append(open, job)
			}
		}
	})
	return open
}

// ensureCurrent ensures that the ledger holds the first from results of a job and was read
// within Settings.maxStateAge, so that it has every record acknowledged at least
// Settings.MaxStaleness ago. It reads the log if necessary, and returns an error if it cannot
// ensure this.
func (s *jobStore) ensureCurrent(ctx context.Context, id string, from int) error {
	behind := false
	inspect := func(job *ledger.Job) { behind = job == nil || len(job.Results) < from }
	s.view(id, inspect)
	if !behind && s.follower.Health.Age() < s.node.settings.maxStateAge() {
		return nil
	}
	if err := s.refresh(ctx); err != nil {
		return err
	}
	if s.view(id, inspect); behind {
		return result.New(result.LogUnavailable, "result position %d has not been read by this node yet", from).WithRetryAfter(readRetryAfter)
	}
	return nil
}

// hasCurrentLog reports whether the log was read within maxLogReadAge.
func (s *jobStore) hasCurrentLog() bool {
	return s.follower.Health.Age() < maxLogReadAge
}

// refresh reads all records that the log currently holds.
func (s *jobStore) refresh(ctx context.Context) error {
	if err := s.follower.CatchUp(ctx); err != nil {
		return result.Wrap(result.LogUnavailable, err, "read the log").WithRetryAfter(readRetryAfter)
	}
	return nil
}

// record appends entries and returns once they are stored. It retries the append until the
// timeout; every reader drops the duplicates. stored, if not nil, reports under the
// ledger's lock whether the entries were read back, which proves that they are stored even
// if the answer to the append was lost. If an append may have been stored, the error after
// the timeout is not LogUnavailable.
func (s *jobStore) record(ctx context.Context, timeout time.Duration, stored func() bool, entries ...*pathbendv1.LedgerEntry) error {
	calls, err := s.encode(entries)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var unknown error
	for {
		err := s.appendAll(ctx, calls, stored)
		if err == nil {
			return nil
		}
		if !result.Is(err, result.LogUnavailable) {
			unknown = err
		}
		s.node.logger.Log(event.LogAppendRetried, "job_id", entries[0].JobId, "entries", len(entries), "detail", err.Error())
		if !wait.For(ctx, appendRetryPause) {
			if unknown != nil {
				return unknown
			}
			return result.From(err).WithRetryAfter(submitRetryAfter)
		}
	}
}

// awaitReadBack reads the log until stored reports, under the ledger's lock, that an entry
// was read back. It returns false if the timeout or ctx ended first.
func (s *jobStore) awaitReadBack(ctx context.Context, timeout time.Duration, stored func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if _, ok := s.check(stored); ok {
		return true
	}
	for ctx.Err() == nil {
		err := s.refresh(ctx)
		if _, ok := s.check(stored); err == nil && ok {
			return true
		}
		wait.For(ctx, readBackPause)
	}
	return false
}

// readBackPause is the pause after a read that failed or did not contain the entry.
const readBackPause = 30 * time.Millisecond

// encode splits entries into records and groups these into appends of at most
// MaxCallBytes each.
func (s *jobStore) encode(entries []*pathbendv1.LedgerEntry) ([][][]byte, error) {
	var records [][]byte
	for _, entry := range entries {
		encoded, err := ledger.Encode(entry, rand.Uint64(), s.node.settings.MaxRecordBytes)
		if err != nil {
			return nil, err
		}
		records = append(records, encoded...)
	}
	var calls [][][]byte
	size := s.node.settings.MaxCallBytes
	for _, record := range records {
		if size+len(record)+sharedlog.MaxRecordOverheadBytes > s.node.settings.MaxCallBytes {
			calls = append(calls, nil)
			size = 0
		}
		calls[len(calls)-1] = append(calls[len(calls)-1], record)
		size += len(record) + sharedlog.MaxRecordOverheadBytes
	}
	return calls, nil
}

func (s *jobStore) appendAll(ctx context.Context, calls [][][]byte, stored func() bool) error {
	for _, records := range calls {
		if err := s.appendOne(ctx, records, stored); err != nil {
			return err
		}
	}
	return nil
}

// appendOne appends records. It sends a second append if the first gets no answer in time,
// and further ones only if the log is unreachable or loses answers.
func (s *jobStore) appendOne(ctx context.Context, records [][]byte, stored func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout+s.node.log.AppendTime().ExtraLatency())
	defer cancel()
	answers := make(chan error, maxAppends)
	send := func() { answers <- s.appender.Append(ctx, records) }
	go send()
	sent, failed, sentAt := 1, 0, time.Now()
	var unknown error
	pause, _ := s.appendHedgeDelay()
	hedge := time.NewTimer(pause)
	defer hedge.Stop()
	for {
		changed, ok := s.check(stored)
		if ok {
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
			pause, answers := s.appendHedgeDelay()
			if sent == 1 || answers || s.follower.Health.LostAfter(sentAt) {
				go send()
				sentAt = time.Now()
				sent++
			}
			if sent < maxAppends {
				hedge.Reset(pause)
			}
		case <-changed:
		}
	}
}

// check returns the channel that is closed at the next change of the ledger, and the result
// of stored, evaluated under the ledger's lock; false if stored is nil.
func (s *jobStore) check(stored func() bool) (<-chan struct{}, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed, stored != nil && stored()
}
