// Package content keeps contents of any size in partitions of a log that nobody
// follows: the items of jobs, and the texts of results. An entry of the ledger names
// a content, and who knows the name reads it on demand.
package content

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"
	"google.golang.org/protobuf/proto"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/hedge"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/sharedlog"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// topic holds what is too large for every node to read.
	topic = "pathbend-blobs"
	// putTimeout bounds one append of blobs, getTimeout one read, at a log next door.
	putTimeout = 600 * time.Millisecond
	getTimeout = 800 * time.Millisecond
	// putHedge is when the same append goes to the next partition too, at the latest, at a
	// log next door; mostPuts bounds the appends of one attempt.
	putHedge = 300 * time.Millisecond
	mostPuts = 3
	// retryPause is the pause between attempts.
	retryPause = 40 * time.Millisecond
	// retryHint is when to come back after a read that failed (chosen).
	retryHint = 200 * time.Millisecond
	// readBytes bounds one read of several blobs: what a new connection carries in its first
	// round trip (ten segments, RFC 6928). A larger read takes several: 100 KB over 244 ms
	// each were not there after 750 ms, and no page made any progress.
	readBytes = 14 << 10
	// readsTogether is how many reads of one Get are under way at once. The texts of a job
	// lie among those of others, in some 20 to 40 places: one after the other, each costs
	// the way to the log and back (chosen: as many as connections to it are kept).
	readsTogether = 8
)

// Kind is what a blob holds. Each kind begins in a partition of its own, so
// that what is read together lies together.
type Kind int

// Kinds of blobs: the items of jobs, whole texts, and parts of texts under way.
const (
	Items Kind = iota
	Texts
	Parts
)

// Store keeps contents of any size in partitions of the log that nobody
// follows. Who knows a blob's name reads it on demand.
type Store struct {
	log        Log
	limits     Limits
	observe    func(err error, took time.Duration)
	preference atomic.Uint32
}

// Log is what a store needs of the log: its calls and how far away it is.
type Log interface {
	sharedlog.Log
	// Beyond is how much longer an answer takes than that of a log next door.
	Beyond() time.Duration
	// OverdueAppend returns after how long an append counts as lost, at most a time
	// chosen for a log next door, and whether the log answered of late.
	OverdueAppend(most time.Duration) (after time.Duration, answers bool)
}

// Limits are what the log allows.
type Limits struct {
	// MaxRecordBytes bounds a record, MaxCallBytes one append.
	MaxRecordBytes int
	MaxCallBytes   int
	// Partitions is the number of partitions of the topic.
	Partitions int
}

// New returns a store. observe is told how each append ended.
func New(log Log, limits Limits, observe func(err error, took time.Duration)) *Store {
	return &Store{log: log, limits: limits, observe: observe}
}

// Put keeps contents, each as one blob, and returns the names of those that were
// kept, the first ones. A content must fit one append. After a failure it goes on
// in another partition: parts of the log may be down. A content that was appended
// twice does no harm.
func (s *Store) Put(ctx context.Context, kind Kind, patience time.Duration, contents [][]byte) ([]*pathbendv1.Blob, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	named := make([]*pathbendv1.Blob, 0, len(contents))
	for len(named) < len(contents) {
		call, err := s.fill(contents[len(named):])
		if err != nil {
			return named, err
		}
		kept, err := s.append(ctx, kind, call.records)
		if err != nil {
			s.preference.Add(1)
			if !wait.For(ctx, retryPause) {
				return named, err
			}
			continue
		}
		for _, blob := range call.blobs {
			blob.Partition = uint32(kept.partition)
			blob.Offset += kept.offset
			named = append(named, blob)
		}
	}
	return named, nil
}

// Fits reports whether a content can be kept as one blob.
func (s *Store) Fits(content []byte) bool {
	_, err := s.fill([][]byte{content})
	return err == nil
}

// appendCall is one append: records, and the blobs that they make up, whose
// offsets count from the first record.
type appendCall struct {
	records [][]byte
	blobs   []*pathbendv1.Blob
}

// fill takes as many contents as fit one append.
func (s *Store) fill(contents [][]byte) (appendCall, error) {
	var call appendCall
	size := 0
	for _, content := range contents {
		records := cut(content, s.limits.MaxRecordBytes)
		added := len(content) + len(records)*sharedlog.RecordFraming
		if size+added > s.limits.MaxCallBytes {
			break
		}
		size += added
		call.blobs = append(call.blobs, &pathbendv1.Blob{
			Offset: uint64(len(call.records)), Records: uint32(len(records)), Bytes: uint64(len(content)),
		})
		call.records = append(call.records, records...)
	}
	if len(call.blobs) == 0 {
		return call, result.New(result.BodyTooLarge, "a content of %d bytes does not fit one append", len(contents[0]))
	}
	return call, nil
}

// cut divides a content into records. An empty content is one empty record.
func cut(content []byte, maxRecordBytes int) [][]byte {
	size := maxRecordBytes - sharedlog.RecordFraming
	records := [][]byte{content[:min(size, len(content))]}
	for from := size; from < len(content); from += size {
		records = append(records, content[from:min(from+size, len(content))])
	}
	return records
}

// appended is where an append was kept.
type appended struct {
	partition int
	offset    uint64
}

// append appends records to the preferred partition, and to the next ones too while
// there is no answer: its answer may be lost. It returns the first that was kept.
func (s *Store) append(ctx context.Context, kind Kind, records [][]byte) (appended, error) {
	ctx, cancel := context.WithTimeout(ctx, putTimeout+s.log.Beyond())
	defer cancel()
	first := int(kind) + int(s.preference.Load())
	return hedge.First(ctx, hedge.Call{Most: mostPuts, After: s.hedgeAfter}, func(number int) (appended, error) {
		return s.appendTo(ctx, (first+number)%s.limits.Partitions, records)
	})
}

func (s *Store) hedgeAfter() time.Duration {
	after, _ := s.log.OverdueAppend(putHedge)
	return after
}

func (s *Store) appendTo(ctx context.Context, partition int, records [][]byte) (appended, error) {
	began := time.Now()
	offset, err := s.log.Append(ctx, sharedlog.Partition{Topic: topic, Number: partition}, records)
	s.observe(err, time.Since(began))
	return appended{partition: partition, offset: offset}, err
}

// Get returns the contents of blobs, in order. Blobs that lie near each other
// are read in one call, others at the same time.
func (s *Store) Get(ctx context.Context, wanted []*pathbendv1.Blob) ([][]byte, error) {
	contents, err := s.GetFirst(ctx, wanted)
	if err != nil {
		return nil, err
	}
	return contents, nil
}

// GetFirst is Get that also returns, with an error, the contents that lie before the
// first that could not be read.
func (s *Store) GetFirst(ctx context.Context, wanted []*pathbendv1.Blob) ([][]byte, error) {
	runs := runsOf(wanted)
	reads := make([]runRead, len(runs))
	// Runs after the first that failed are of no use, those before it are.
	var failedAt atomic.Int64
	failedAt.Store(int64(len(runs)))
	readers := pool.New().WithMaxGoroutines(readsTogether)
	for i, run := range runs {
		readers.Go(func() {
			if failedAt.Load() < int64(i) {
				reads[i].err = result.New(result.LogUnavailable, "not read after a failure").WithRetryAfter(retryHint)
				return
			}
			reads[i] = s.readRun(ctx, run)
			if reads[i].err != nil {
				lower(&failedAt, int64(i))
			}
		})
	}
	readers.Wait()
	contents := make([][]byte, 0, len(wanted))
	for _, read := range reads {
		if read.err != nil {
			return contents, read.err
		}
		contents = append(contents, read.contents...)
	}
	return contents, nil
}

// lower sets a value to a smaller one.
func lower(value *atomic.Int64, to int64) {
	for at := value.Load(); at > to && !value.CompareAndSwap(at, to); at = value.Load() {
	}
}

// runRead is what was read of one run.
type runRead struct {
	contents [][]byte
	err      error
}

func (s *Store) readRun(ctx context.Context, run adjacentRun) runRead {
	records, err := s.read(ctx, run.blobs[0], run.records, run.bytes)
	if err != nil {
		return runRead{err: err}
	}
	contents := make([][]byte, 0, len(run.blobs))
	first := run.blobs[0].Offset
	for _, blob := range run.blobs {
		contents = append(contents, join(records[blob.Offset-first:][:blob.Records]))
	}
	return runRead{contents: contents}
}

// adjacentRun is a number of blobs that one read returns.
type adjacentRun struct {
	blobs   []*pathbendv1.Blob
	records int
	bytes   int
}

// runsOf divides blobs into runs.
func runsOf(wanted []*pathbendv1.Blob) []adjacentRun {
	var runs []adjacentRun
	for len(wanted) > 0 {
		run := adjacent(wanted)
		runs = append(runs, run)
		wanted = wanted[len(run.blobs):]
	}
	return runs
}

// adjacent returns the run that the blobs begin with: those that follow each
// other in one partition.
func adjacent(wanted []*pathbendv1.Blob) adjacentRun {
	first := wanted[0]
	run := adjacentRun{}
	for i, blob := range wanted {
		next := first.Offset + uint64(run.records)
		bytes := run.bytes + int(blob.Bytes) + int(blob.Records)*sharedlog.RecordFraming
		if blob.Partition != first.Partition || blob.Offset != next || len(run.blobs) > 0 && bytes > readBytes {
			break
		}
		run = adjacentRun{blobs: wanted[:i+1], records: run.records + int(blob.Records), bytes: bytes}
	}
	return run
}

// read returns a number of records from a blob's first on.
func (s *Store) read(ctx context.Context, blob *pathbendv1.Blob, count, bytes int) ([][]byte, error) {
	partition := sharedlog.Partition{Topic: topic, Number: int(blob.Partition)}
	var records [][]byte
	for len(records) < count {
		callCtx, cancel := context.WithTimeout(ctx, getTimeout+s.log.Beyond())
		batch, err := s.log.ReadPart(callCtx, partition, blob.Offset+uint64(len(records)), bytes)
		cancel()
		if err != nil {
			return nil, result.Wrap(result.LogUnavailable, err, "read a blob").WithRetryAfter(retryHint)
		}
		if len(batch.Records) == 0 {
			return nil, result.New(result.LogUnavailable, "the blob at offset %d is not there", blob.Offset).WithRetryAfter(retryHint)
		}
		records = append(records, batch.Records...)
	}
	return records[:count], nil
}

func join(records [][]byte) []byte {
	if len(records) == 1 {
		return records[0]
	}
	var content []byte
	for _, record := range records {
		content = append(content, record...)
	}
	return content
}

// PutItems keeps the items of a job, each blob a part of them that fits one
// append.
func (s *Store) PutItems(ctx context.Context, patience time.Duration, items []*pathbendv1.BatchItem) ([]*pathbendv1.Blob, error) {
	var contents [][]byte
	for len(items) > 0 {
		count := fitting(items, s.limits.MaxCallBytes/2)
		content, err := proto.Marshal(&pathbendv1.BatchItems{Items: items[:count]})
		if err != nil {
			return nil, errors.Wrap(err, "encode items")
		}
		contents = append(contents, content)
		items = items[count:]
	}
	return s.Put(ctx, Items, patience, contents)
}

// fitting returns how many items fit a number of bytes, at least one.
func fitting(items []*pathbendv1.BatchItem, bytes int) int {
	for i, item := range items {
		if bytes -= proto.Size(item); bytes < 0 && i > 0 {
			return i
		}
	}
	return len(items)
}

// GetItems returns the items of a job.
func (s *Store) GetItems(ctx context.Context, spec *pathbendv1.BatchJob) ([]*pathbendv1.BatchItem, error) {
	contents, err := s.Get(ctx, spec.Items)
	if err != nil {
		return nil, err
	}
	items := make([]*pathbendv1.BatchItem, 0, len(spec.ItemIds))
	for _, content := range contents {
		var part pathbendv1.BatchItems
		if err := proto.Unmarshal(content, &part); err != nil {
			return nil, result.Wrap(result.RecordMalformed, err, "decode items")
		}
		items = append(items, part.Items...)
	}
	return items, nil
}
