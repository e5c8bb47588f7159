// Package blobstore stores payloads as blobs in a topic of the log that no node consumes
// continuously: the items of jobs, and the texts of results. Ledger entries refer to blobs,
// which are read on demand. A blob is one or more adjacent records, which one append stores.
package blobstore

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
	"google.golang.org/protobuf/proto"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/hedge"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/sharedlog"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// topic is the topic for payloads, which are too large for every node to read.
	topic = "pathbend-blobs"
	// overtakenPollInterval is how often a read without an answer checks whether the log has
	// answered a later one.
	overtakenPollInterval = 50 * time.Millisecond
	// appendTimeout bounds one append of blobs, for a nearby log. A distant log is given more
	// time.
	appendTimeout = 600 * time.Millisecond
	// ReadTimeout bounds one read of blobs, for a nearby log, unless WithReadTimeout sets
	// another timeout. A distant log is given more time.
	ReadTimeout = 800 * time.Millisecond
	// maxHedgeDelay bounds the time after which an append without an answer is also sent to
	// the next partition, for a nearby log.
	maxHedgeDelay = 300 * time.Millisecond
	// maxAppends bounds the appends of one attempt.
	maxAppends = 3
	// retryInterval is the pause between attempts.
	retryInterval = 40 * time.Millisecond
	// retryAfter is the retry hint of errors about a failed read.
	retryAfter = 200 * time.Millisecond
	// maxReadBytes bounds one read of several blobs to what a new connection carries in its
	// first round trip (ten segments, RFC 6928). A larger read takes several round trips: at
	// 244 ms each, 100 KB had not arrived after 750 ms, and no page made any progress.
	maxReadBytes = 14 << 10
	// maxConcurrentReads bounds the concurrent reads of one Get, and equals the number of
	// connections to the log that are kept open. The texts of a job lie among those of other
	// jobs, in 20 to 40 places; sequential reads would cost a round trip to the log for each.
	maxConcurrentReads = 8
)

// Kind is what a blob holds. Each kind starts at a different partition, so that blobs that are
// read together lie next to each other.
type Kind int

// Kinds of blobs: the items of jobs, complete texts, and parts of texts that are still being
// generated.
const (
	Items Kind = iota
	Texts
	TextParts
)

// Store stores payloads as blobs in the log and reads them by their references. It is safe for
// concurrent use.
type Store struct {
	log     Log
	limits  Limits
	observe func(err error, took time.Duration)
	// partitionShift is added to the first partition of each kind. It grows with every failed
	// append, so that the next one avoids the partitions that failed.
	partitionShift atomic.Uint32
}

// Log is the log that a store uses, with estimates of its latency.
type Log interface {
	sharedlog.Log
	// ExtraLatency returns how much longer an answer takes than that of a nearby log.
	ExtraLatency() time.Duration
	// AnsweredReadAfter reports whether a read that began after a time has returned records.
	AnsweredReadAfter(began time.Time) bool
	// AppendTimeout returns the time after which an append counts as lost, which is bounded
	// by limit for a nearby log, and whether the log answered an append recently.
	AppendTimeout(limit time.Duration) (after time.Duration, responsive bool)
}

// Limits are the limits of the log.
type Limits struct {
	// MaxRecordBytes is the maximum size of a record, including its framing.
	MaxRecordBytes int
	// MaxCallBytes is the maximum size of all records of one append, including their framing.
	MaxCallBytes int
	// Partitions is the number of partitions of the topic.
	Partitions int
}

// New returns a store. It calls observe with the error and duration of each append.
func New(log Log, limits Limits, observe func(err error, took time.Duration)) *Store {
	return &Store{log: log, limits: limits, observe: observe}
}

// Put stores each payload as one blob. It returns the blobs in the order of the payloads; with an
// error, those of the first payloads, which were stored. A payload must fit one append, or the
// error is result.BodyTooLarge. After a failed append it continues in another partition, since
// part of the log may be down, until timeout has passed. Storing a payload twice is harmless.
func (s *Store) Put(ctx context.Context, kind Kind, timeout time.Duration, payloads [][]byte) ([]*pathbendv1.Blob, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	stored := make([]*pathbendv1.Blob, 0, len(payloads))
	for len(stored) < len(payloads) {
		batch, err := s.nextBatch(payloads[len(stored):])
		if err != nil {
			return stored, err
		}
		position, err := s.append(ctx, kind, batch.records)
		if err != nil {
			s.partitionShift.Add(1)
			if !wait.For(ctx, retryInterval) {
				return stored, err
			}
			continue
		}
		for _, blob := range batch.blobs {
			blob.Partition = uint32(position.partition)
			blob.Offset += position.offset
			stored = append(stored, blob)
		}
	}
	return stored, nil
}

// Fits reports whether a payload can be stored as one blob.
func (s *Store) Fits(payload []byte) bool {
	_, err := s.nextBatch([][]byte{payload})
	return err == nil
}

// appendBatch holds the records of one append and the blobs that they form, whose offsets are
// relative to the first record.
type appendBatch struct {
	records [][]byte
	blobs   []*pathbendv1.Blob
}

// nextBatch returns a batch of the first payloads, as many as fit one append. It returns
// result.BodyTooLarge if the first one alone does not fit.
func (s *Store) nextBatch(payloads [][]byte) (appendBatch, error) {
	var batch appendBatch
	size := 0
	for _, payload := range payloads {
		records := split(payload, s.limits.MaxRecordBytes)
		added := len(payload) + len(records)*sharedlog.MaxRecordOverheadBytes
		if size+added > s.limits.MaxCallBytes {
			break
		}
		size += added
		batch.blobs = append(batch.blobs, &pathbendv1.Blob{
			Offset: uint64(len(batch.records)), Records: uint32(len(records)), Bytes: uint64(len(payload)),
		})
		batch.records = append(batch.records, records...)
	}
	if len(batch.blobs) == 0 {
		return batch, result.New(result.BodyTooLarge, "a payload of %d bytes does not fit one append", len(payloads[0]))
	}
	return batch, nil
}

// split divides a payload into records. An empty payload is one empty record.
func split(payload []byte, maxRecordBytes int) [][]byte {
	size := maxRecordBytes - sharedlog.MaxRecordOverheadBytes
	records := [][]byte{payload[:min(size, len(payload))]}
	for from := size; from < len(payload); from += size {
		records = append(records, payload[from:min(from+size, len(payload))])
	}
	return records
}

// appendPosition is where the first record of an append was stored.
type appendPosition struct {
	partition int
	offset    uint64
}

// append appends records to the first partition of a kind and, while there is no answer, which
// may have been lost, to the next ones too. It returns the position of the first append that
// succeeded.
func (s *Store) append(ctx context.Context, kind Kind, records [][]byte) (appendPosition, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout+s.log.ExtraLatency())
	defer cancel()
	first := int(kind) + int(s.partitionShift.Load())
	return hedge.First(ctx, hedge.Policy{MaxCalls: maxAppends, Delay: s.hedgeDelay}, func(attempt int) (appendPosition, error) {
		return s.appendTo(ctx, (first+attempt)%s.limits.Partitions, records)
	})
}

func (s *Store) hedgeDelay() time.Duration {
	after, _ := s.log.AppendTimeout(maxHedgeDelay)
	return after
}

func (s *Store) appendTo(ctx context.Context, partition int, records [][]byte) (appendPosition, error) {
	began := time.Now()
	offset, err := s.log.Append(ctx, sharedlog.Partition{Topic: topic, Number: partition}, records)
	s.observe(err, time.Since(began))
	return appendPosition{partition: partition, offset: offset}, err
}

// ErrReadTimeout marks the errors of reads that the log did not answer within their timeout.
var ErrReadTimeout = errors.New("the log did not answer a read in time")

// ReadOption changes how blobs are read.
type ReadOption func(*readOptions)

// readOptions are the options of the reads of one Get.
type readOptions struct {
	// timeout bounds each read, for a nearby log.
	timeout time.Duration
}

// WithReadTimeout sets the timeout of each read, instead of ReadTimeout.
func WithReadTimeout(timeout time.Duration) ReadOption {
	return func(options *readOptions) { options.timeout = timeout }
}

func newReadOptions(changes []ReadOption) readOptions {
	options := readOptions{timeout: ReadTimeout}
	for _, change := range changes {
		change(&options)
	}
	return options
}

// Get returns the payloads of blobs, in their order. Adjacent blobs are read in one call, others
// concurrently.
func (s *Store) Get(ctx context.Context, blobs []*pathbendv1.Blob, options ...ReadOption) ([][]byte, error) {
	payloads, err := s.GetUntilError(ctx, blobs, options...)
	if err != nil {
		return nil, err
	}
	return payloads, nil
}

// GetUntilError is like Get, but with an error it also returns the payloads before the first
// one that could not be read.
func (s *Store) GetUntilError(ctx context.Context, blobs []*pathbendv1.Blob, options ...ReadOption) ([][]byte, error) {
	timeout := newReadOptions(options).timeout
	runs := splitRuns(blobs)
	reads := make([]runResult, len(runs))
	// failedAt is the index of the first run that failed. Later runs are skipped, since their
	// payloads are not returned; earlier ones are still read.
	var failedAt atomic.Int64
	failedAt.Store(int64(len(runs)))
	readers := pool.New().WithMaxGoroutines(maxConcurrentReads)
	for i, run := range runs {
		readers.Go(func() {
			if failedAt.Load() < int64(i) {
				reads[i].err = result.New(result.LogUnavailable, "skipped after an earlier read failed").WithRetryAfter(retryAfter)
				return
			}
			reads[i] = s.readRun(ctx, run, timeout)
			if reads[i].err != nil {
				atomicMin(&failedAt, int64(i))
			}
		})
	}
	readers.Wait()
	payloads := make([][]byte, 0, len(blobs))
	for _, read := range reads {
		if read.err != nil {
			return payloads, read.err
		}
		payloads = append(payloads, read.payloads...)
	}
	return payloads, nil
}

// atomicMin sets value to limit if it is greater.
func atomicMin(value *atomic.Int64, limit int64) {
	for current := value.Load(); current > limit && !value.CompareAndSwap(current, limit); current = value.Load() {
	}
}

// runResult holds the payloads of one run, or the error of its read.
type runResult struct {
	payloads [][]byte
	err      error
}

func (s *Store) readRun(ctx context.Context, run adjacentRun, timeout time.Duration) runResult {
	records, err := s.read(ctx, run, timeout)
	if err != nil {
		return runResult{err: err}
	}
	payloads := make([][]byte, 0, len(run.blobs))
	first := run.blobs[0].Offset
	for _, blob := range run.blobs {
		payloads = append(payloads, join(records[blob.Offset-first:][:blob.Records]))
	}
	return runResult{payloads: payloads}
}

// adjacentRun is a sequence of adjacent blobs that one read returns.
type adjacentRun struct {
	blobs   []*pathbendv1.Blob
	records int
	// bytes is the size of the records, including their framing.
	bytes int
}

// splitRuns divides blobs into runs.
func splitRuns(remaining []*pathbendv1.Blob) []adjacentRun {
	var runs []adjacentRun
	for len(remaining) > 0 {
		run := firstRun(remaining)
		runs = append(runs, run)
		remaining = remaining[len(run.blobs):]
	}
	return runs
}

// firstRun returns the first run of blobs: those that are adjacent in one partition, up to
// maxReadBytes, but at least one.
func firstRun(remaining []*pathbendv1.Blob) adjacentRun {
	first := remaining[0]
	run := adjacentRun{}
	for i, blob := range remaining {
		next := first.Offset + uint64(run.records)
		bytes := run.bytes + int(blob.Bytes) + int(blob.Records)*sharedlog.MaxRecordOverheadBytes
		if blob.Partition != first.Partition || blob.Offset != next || len(run.blobs) > 0 && bytes > maxReadBytes {
			break
		}
		run = adjacentRun{blobs: remaining[:i+1], records: run.records + int(blob.Records), bytes: bytes}
	}
	return run
}

// read returns the records of a run.
func (s *Store) read(ctx context.Context, run adjacentRun, timeout time.Duration) ([][]byte, error) {
	blob := run.blobs[0]
	var records [][]byte
	for len(records) < run.records {
		batch, err := s.readOnce(ctx, blob, len(records), run.bytes, timeout)
		if err != nil {
			return nil, result.Wrap(result.LogUnavailable, err, "read a blob").WithRetryAfter(retryAfter)
		}
		if len(batch.Records) == 0 {
			return nil, result.New(result.LogUnavailable, "no blob at offset %d", blob.Offset).WithRetryAfter(retryAfter)
		}
		records = append(records, batch.Records...)
	}
	return records[:run.records], nil
}

// readOnce reads records of a blob and those after it, without the first skip ones. A read with
// a timeout longer than the usual one is for a slow log. If the log was silent instead, it never
// answers reads that were sent before it is back; such a read is made again.
func (s *Store) readOnce(ctx context.Context, blob *pathbendv1.Blob, skip, bytes int, timeout time.Duration) (sharedlog.Batch, error) {
	partition := sharedlog.Partition{Topic: topic, Number: int(blob.Partition)}
	read := func(ctx context.Context, timeout time.Duration) (sharedlog.Batch, error) {
		callCtx, cancel := context.WithTimeout(ctx, timeout+s.log.ExtraLatency())
		defer cancel()
		batch, err := s.log.ReadAvailable(callCtx, partition, blob.Offset+uint64(skip), bytes)
		if err != nil && callCtx.Err() != nil && ctx.Err() == nil {
			err = errors.Mark(err, ErrReadTimeout)
		}
		return batch, err
	}
	if timeout <= ReadTimeout {
		return read(ctx, timeout)
	}
	ctx = sharedlog.WithoutMeasurement(ctx)
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	overtaken := false
	var watch conc.WaitGroup
	watch.Go(func() {
		if overtaken = s.awaitOvertaken(readCtx); overtaken {
			cancel()
		}
	})
	batch, err := read(readCtx, timeout)
	cancel()
	watch.Wait()
	if err == nil || !overtaken {
		return batch, err
	}
	return read(ctx, ReadTimeout)
}

// awaitOvertaken waits until a read that begins now has had the usual time and the log has
// answered a later one. It reports false if ctx ended first.
func (s *Store) awaitOvertaken(ctx context.Context) bool {
	began := time.Now()
	if !wait.For(ctx, ReadTimeout+s.log.ExtraLatency()) {
		return false
	}
	for !s.log.AnsweredReadAfter(began) {
		if !wait.For(ctx, overtakenPollInterval) {
			return false
		}
	}
	return true
}

func join(records [][]byte) []byte {
	if len(records) == 1 {
		return records[0]
	}
	var payload []byte
	for _, record := range records {
		payload = append(payload, record...)
	}
	return payload
}

// PutItems stores the items of a job in as many blobs as are needed, each of which fits one
// append. It waits for up to timeout.
func (s *Store) PutItems(ctx context.Context, timeout time.Duration, items []*pathbendv1.BatchItem) ([]*pathbendv1.Blob, error) {
	var payloads [][]byte
	for len(items) > 0 {
		count := fittingItems(items, s.limits.MaxCallBytes/2)
		payload, err := proto.Marshal(&pathbendv1.BatchItems{Items: items[:count]})
		if err != nil {
			return nil, errors.Wrap(err, "encode items")
		}
		payloads = append(payloads, payload)
		items = items[count:]
	}
	return s.Put(ctx, Items, timeout, payloads)
}

// fittingItems returns how many of the first items fit a number of bytes, but at least one.
func fittingItems(items []*pathbendv1.BatchItem, bytes int) int {
	for i, item := range items {
		if bytes -= proto.Size(item); bytes < 0 && i > 0 {
			return i
		}
	}
	return len(items)
}

// GetItems returns the items of a job, in their order.
func (s *Store) GetItems(ctx context.Context, spec *pathbendv1.BatchJob, options ...ReadOption) ([]*pathbendv1.BatchItem, error) {
	payloads, err := s.Get(ctx, spec.Items, options...)
	if err != nil {
		return nil, err
	}
	items := make([]*pathbendv1.BatchItem, 0, len(spec.ItemIds))
	for _, payload := range payloads {
		var part pathbendv1.BatchItems
		if err := proto.Unmarshal(payload, &part); err != nil {
			return nil, result.Wrap(result.RecordMalformed, err, "decode items")
		}
		items = append(items, part.Items...)
	}
	return items, nil
}
