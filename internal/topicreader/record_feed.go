package topicreader

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/fanout"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/sharedlog"
)

// RecordCounter counts a record feed's reads and responses.
type RecordCounter interface {
	// RecordsRead counts a read, by its source and whether it succeeded.
	RecordsRead(source Source, succeeded bool)
	// RecordsServed counts a response to another node, by its compressed size in bytes.
	RecordsServed(bytes int)
}

// RecordConfig holds the settings and dependencies of a record feed.
type RecordConfig struct {
	Log   sharedlog.Log
	Topic string
	// Plan returns this node's current role and its readers.
	Plan func() fanout.Plan
	// NeedsLog reports whether this node reads the log itself whatever its plan, because a
	// reader would delay its work.
	NeedsLog func() bool
	Caller   Caller
	// Limits is what the log serves to all nodes together.
	Limits fanout.LogLimits
	// ExtraLatency is that of Config.
	ExtraLatency func() time.Duration
	Counter      RecordCounter
	Logger       *event.Logger
}

// RecordFeed reads a partition of a topic without keys from the log or through a reader. It is
// safe for concurrent use.
type RecordFeed struct {
	sharedlog.Log
	config   RecordConfig
	selector *fanout.ReaderSelector
	// fallback paces the reads of the log while no reader answers.
	fallback pacedLog
	cache    *fanout.RecordCache
	// logLimiter limits the rate of log entries about failed readers.
	logLimiter event.Limiter
	// order changes the order of the readers while their answers are late.
	order fanout.LateReaders
	// slots limits the requests of other nodes that are served at once.
	slots chan struct{}
	// follower follows the partition through this feed. It is nil until it is set.
	follower atomic.Pointer[sharedlog.Follower]
}

// NewRecordFeed returns a feed that has read nothing.
func NewRecordFeed(config RecordConfig) *RecordFeed {
	recordRead := func(succeeded bool) { config.Counter.RecordsRead(FromLog, succeeded) }
	return &RecordFeed{
		Log: config.Log, config: config, selector: fanout.NewReaderSelector(),
		fallback: newPacedLog(config.Limits, config.ExtraLatency, recordRead), cache: fanout.NewRecordCache(),
		slots: make(chan struct{}, maxHeldRequests),
	}
}

// SetFollower sets the follower that reads through this feed. Requests of other nodes are refused
// before it is set.
func (f *RecordFeed) SetFollower(follower *sharedlog.Follower) { f.follower.Store(follower) }

// age returns the age of what this node has read.
func (f *RecordFeed) age() time.Duration {
	follower := f.follower.Load()
	if follower == nil {
		return unknownAge
	}
	return min(follower.Health.Age(), unknownAge)
}

// Read implements sharedlog.Log. Without a wait, it returns records up to the end that the log
// had at the time of the call, or as many as fit into a batch that says that there are more.
func (f *RecordFeed) Read(ctx context.Context, partition sharedlog.Partition, from uint64, hold time.Duration) (sharedlog.Batch, error) {
	plan := f.config.Plan()
	if plan.ReadsLog || f.config.NeedsLog() {
		return f.readLog(ctx, plan, partition, from, hold)
	}
	f.cache.Clear()
	batch, err := f.fetch(ctx, plan, from, hold)
	if err == nil {
		return batch, nil
	}
	return f.readPastReaders(ctx, f.pastReaders(plan, err), partition, from, hold)
}

// pastReaders describes the reads of the log after the readers failed with an error. A reader that
// answers, but does not keep the offset, serves the other nodes: only the calls of nodes that start
// together are spread, most of which learn that the log does not keep the offset either.
func (f *RecordFeed) pastReaders(plan fanout.Plan, err error) fallbackRead {
	kind := f.fallback.offsetRead(plan.Nodes, fanout.MinRecordsPause)
	if result.Is(err, result.LogTruncated) {
		kind.spread = f.fallback.callSpread(plan.Nodes)
	}
	return kind
}

// readLog reads the log, and keeps the records for other nodes if this node is a reader.
func (f *RecordFeed) readLog(ctx context.Context, plan fanout.Plan, partition sharedlog.Partition, from uint64, hold time.Duration) (sharedlog.Batch, error) {
	asOf := clock.CurrentMoment()
	batch, err := f.Log.Read(ctx, partition, from, hold)
	f.config.Counter.RecordsRead(FromLog, err == nil)
	switch {
	case !isReader(plan):
		f.cache.Clear()
	case err == nil:
		if len(batch.Records) == 0 {
			// The service waited, starting no earlier than the call.
			asOf = asOf.Add(hold)
		}
		f.cache.Add(from, batch.Records, batch.EndOffset, asOf)
	}
	return batch, err
}

// isReader reports whether a node with this plan reads the log for others.
func isReader(plan fanout.Plan) bool { return plan.Shared && plan.ReadsLog }

// readPastReaders reads the log because no reader gave a usable answer. The log is not asked to
// wait, so that a node whose readers are back asks them soon.
func (f *RecordFeed) readPastReaders(ctx context.Context, kind fallbackRead, partition sharedlog.Partition, from uint64, hold time.Duration) (sharedlog.Batch, error) {
	var batch sharedlog.Batch
	err := f.fallback.read(ctx, kind, func(ctx context.Context) (more bool, err error) {
		batch, err = f.Log.Read(ctx, partition, from, 0)
		return err == nil && from+uint64(len(batch.Records)) < batch.EndOffset, err
	})
	if err == nil && len(batch.Records) == 0 {
		// The age counts from the end of the wait, which there was none of.
		batch.Age = hold
	}
	return batch, err
}

// ReadAvailable implements sharedlog.Log, for probes as that of Feed.
func (f *RecordFeed) ReadAvailable(ctx context.Context, partition sharedlog.Partition, from uint64, maxBytes int) (sharedlog.Batch, error) {
	plan := f.config.Plan()
	plan.ReadsLog = plan.ReadsLog || f.config.NeedsLog()
	return readAvailableIfDirect(ctx, f.Log, plan, partition, from, maxBytes)
}

// fetch asks the readers in turn until one gives a usable answer. If none did it fails with
// result.LogTruncated if one of them answered, but does not keep the offset.
// A reader that is unreachable or gives an invalid answer is avoided for a while. A late answer is
// used, and another reader is asked next.
func (f *RecordFeed) fetch(ctx context.Context, plan fanout.Plan, from uint64, hold time.Duration) (sharedlog.Batch, error) {
	began := time.Now()
	requestHold := hold
	if hold > 0 {
		requestHold += readerPause
	}
	plan.Parents = f.order.Apply(plan.Parents, began)
	unusable := error(result.New(result.LogUnavailable, "no reader gave a usable answer"))
	for _, reader := range f.selector.Select(plan, began) {
		sentAfter := time.Since(began)
		request := &pathbendv1.ReadLogRecords{
			Topic: f.config.Topic, From: from, HoldMs: max(requestHold-sentAfter, 0).Milliseconds(), AgeMs: f.age().Milliseconds(),
		}
		batch, err := f.fetchFrom(ctx, reader, request)
		f.config.Counter.RecordsRead(FromReader, err == nil)
		if err == nil {
			f.fallback.End()
			if isLate(batch, request) {
				f.order.RecordLate(time.Now())
			}
			// fetchFrom gives the age at the time of its call.
			batch.Age -= sentAfter
			if len(batch.Records) == 0 {
				batch.Age += hold
			}
			return batch, nil
		}
		if ctx.Err() == context.Canceled {
			return sharedlog.Batch{}, unusable
		}
		if result.Is(err, result.LogTruncated) {
			unusable = err
		}
		f.recordFailure(reader, request, err)
	}
	return sharedlog.Batch{}, unusable
}

// isLate reports whether a reader held a request without a new record and without having read
// the log in the meantime. The age of the batch is relative to the time of the call.
func isLate(batch sharedlog.Batch, request *pathbendv1.ReadLogRecords) bool {
	known := time.Duration(request.AgeMs) * time.Millisecond
	return request.HoldMs > 0 && len(batch.Records) == 0 && batch.Age > known-minRenewal/2
}

// recordFailure records and logs that a reader gave no usable answer. The reader is avoided for a
// while, unless it does not keep the requested records, does not consider itself a reader yet,
// or could not read the log, or not in time: then the fault may lie with the log.
func (f *RecordFeed) recordFailure(reader fanout.Node, request *pathbendv1.ReadLogRecords, err error) {
	now := time.Now()
	switch {
	case result.Is(err, result.NotReady), result.Is(err, result.LogTruncated):
	case result.Is(err, result.LogUnavailable), request.HoldMs == 0 && errors.Is(err, context.DeadlineExceeded):
		f.order.RecordLate(now)
	default:
		f.selector.RecordFailure(reader.Name, now)
	}
	if f.logLimiter.Allow(now) {
		f.config.Logger.Log(event.ReaderUnhelpful, "reader", reader.Name, "topic", f.config.Topic, "detail", err.Error())
	}
}

const (
	// readerPause is how much longer than a follower's read a reader holds a request. It covers
	// the reader's pause between two such reads, so that one of them ends within the hold and
	// renews what the reader knows.
	readerPause = 150 * time.Millisecond
	// recordResponseTimeout bounds a reader's answer beyond the time for which it may hold the
	// request. It leaves time for another reader within the timeout of a follower's read.
	recordResponseTimeout = 300 * time.Millisecond
	// catchUpResponseTimeout bounds the answer to a request that is not held, for which the
	// reader reads the log.
	catchUpResponseTimeout = time.Second
)

// fetchFrom asks one reader. The age of the batch is relative to the time of the call.
func (f *RecordFeed) fetchFrom(ctx context.Context, reader fanout.Node, request *pathbendv1.ReadLogRecords) (sharedlog.Batch, error) {
	timeout := catchUpResponseTimeout
	if request.HoldMs > 0 {
		timeout = time.Duration(request.HoldMs)*time.Millisecond + recordResponseTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	response, err := f.config.Caller.Call(ctx, reader.Address, &pathbendv1.Envelope{Body: &pathbendv1.Envelope_ReadLogRecords{ReadLogRecords: request}})
	if err != nil {
		return sharedlog.Batch{}, err
	}
	batch, err := decodeRecordBatch(response.GetLogRecordBatch(), request)
	// The reader cannot know of records that follow its answer.
	batch.Age = max(batch.Age, -time.Since(began))
	return batch, err
}

// decodeRecordBatch validates and decodes a reader's response. The age of the batch is relative
// to the arrival of the request at the reader.
func decodeRecordBatch(response *pathbendv1.LogRecordBatch, request *pathbendv1.ReadLogRecords) (sharedlog.Batch, error) {
	switch {
	case response == nil:
		return sharedlog.Batch{}, result.New(result.FrameMalformed, "the response is not a batch of records")
	case response.Truncated:
		return sharedlog.Batch{}, result.New(result.LogTruncated, "the reader does not keep the records from offset %d", request.From)
	}
	var list pathbendv1.LogRecordList
	if len(response.Packed) > 0 {
		if err := unpack(response.Packed, &list); err != nil {
			return sharedlog.Batch{}, err
		}
	}
	next := request.From + uint64(len(list.Records))
	switch {
	case response.End < next:
		return sharedlog.Batch{}, result.New(result.FrameMalformed, "the response to a read from offset %d has %d records but ends at offset %d", request.From, len(list.Records), response.End)
	case request.HoldMs == 0 && len(list.Records) == 0 && response.End > next:
		return sharedlog.Batch{}, result.New(result.FrameMalformed, "the reader has no records from offset %d to the end at offset %d", request.From, response.End)
	}
	return sharedlog.Batch{
		EndOffset: response.End, Records: list.Records, Age: time.Duration(response.AgeMs) * time.Millisecond,
	}, nil
}
