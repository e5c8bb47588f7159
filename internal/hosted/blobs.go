package hosted

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/sharedlog"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// blobTopic holds what is too large for every node to read: the items of
	// jobs and the texts of results.
	blobTopic = "pathbend-blobs"
	// blobPutTimeout bounds one append of blobs, blobGetTimeout one read.
	blobPutTimeout = 600 * time.Millisecond
	blobGetTimeout = 800 * time.Millisecond
	// blobRetryPause is the pause between attempts.
	blobRetryPause = 40 * time.Millisecond
	// blobFraming is what the log adds to a record.
	blobFraming = 16
	// blobReadBytes bounds one read.
	blobReadBytes = 512 << 10
)

// blobKind is what a blob holds. Each kind begins in a partition of its own, so
// that what is read together lies together.
type blobKind int

const (
	itemBlobs blobKind = iota
	textBlobs
	progressBlobs
)

// blobs keeps contents of any size in partitions of the log that nobody
// follows. Who knows a blob's name reads it on demand.
type blobs struct {
	log        sharedlog.Log
	settings   Settings
	metrics    *Metrics
	preference atomic.Uint32
}

// put keeps contents, each as one blob, and returns the names of those that were
// kept, the first ones. A content must fit one append. After a failure it goes on
// in another partition: parts of the log may be down. A content that was appended
// twice does no harm.
func (b *blobs) put(ctx context.Context, kind blobKind, patience time.Duration, contents [][]byte) ([]*pathbendv1.Blob, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	named := make([]*pathbendv1.Blob, 0, len(contents))
	for len(named) < len(contents) {
		call, err := b.fill(contents[len(named):])
		if err != nil {
			return named, err
		}
		partition, offset, err := b.append(ctx, kind, call.records)
		if err != nil {
			b.preference.Add(1)
			if !wait.For(ctx, blobRetryPause) {
				return named, err
			}
			continue
		}
		for _, blob := range call.blobs {
			blob.Partition = uint32(partition)
			blob.Offset += offset
			named = append(named, blob)
		}
	}
	return named, nil
}

// fits reports whether a content can be kept as one blob.
func (b *blobs) fits(content []byte) bool {
	_, err := b.fill([][]byte{content})
	return err == nil
}

// blobCall is one append: records, and the blobs that they make up, whose
// offsets count from the first record.
type blobCall struct {
	records [][]byte
	blobs   []*pathbendv1.Blob
}

// fill takes as many contents as fit one append.
func (b *blobs) fill(contents [][]byte) (blobCall, error) {
	var call blobCall
	size := 0
	for _, content := range contents {
		records := cut(content, b.settings.MaxRecordBytes)
		added := len(content) + len(records)*blobFraming
		if size+added > b.settings.MaxCallBytes {
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
	size := maxRecordBytes - blobFraming
	records := [][]byte{content[:min(size, len(content))]}
	for from := size; from < len(content); from += size {
		records = append(records, content[from:min(from+size, len(content))])
	}
	return records
}

func (b *blobs) append(ctx context.Context, kind blobKind, records [][]byte) (partition int, offset uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, blobPutTimeout)
	defer cancel()
	partition = (int(kind) + int(b.preference.Load())) % b.settings.Partitions
	began := time.Now()
	offset, err = b.log.Append(ctx, sharedlog.Partition{Topic: blobTopic, Number: partition}, records)
	b.metrics.logAppend(err, time.Since(began))
	return partition, offset, err
}

// get returns the contents of blobs, in order. Blobs that lie near each other
// are read together.
func (b *blobs) get(ctx context.Context, wanted []*pathbendv1.Blob) ([][]byte, error) {
	contents := make([][]byte, 0, len(wanted))
	for len(contents) < len(wanted) {
		run := adjacent(wanted[len(contents):])
		records, err := b.read(ctx, wanted[len(contents)], run.records, run.bytes)
		if err != nil {
			return nil, err
		}
		part := wanted[len(contents):][:run.blobs]
		first := part[0].Offset
		for _, blob := range part {
			contents = append(contents, join(records[blob.Offset-first:][:blob.Records]))
		}
	}
	return contents, nil
}

// blobRun is a number of blobs that one read returns.
type blobRun struct {
	blobs   int
	records int
	bytes   int
}

// adjacent returns the run that the blobs begin with: those that follow each
// other in one partition.
func adjacent(wanted []*pathbendv1.Blob) blobRun {
	first := wanted[0]
	run := blobRun{}
	for _, blob := range wanted {
		next := first.Offset + uint64(run.records)
		bytes := run.bytes + int(blob.Bytes) + int(blob.Records)*blobFraming
		if blob.Partition != first.Partition || blob.Offset != next || run.blobs > 0 && bytes > blobReadBytes {
			break
		}
		run = blobRun{blobs: run.blobs + 1, records: run.records + int(blob.Records), bytes: bytes}
	}
	return run
}

// read returns a number of records from a blob's first on.
func (b *blobs) read(ctx context.Context, blob *pathbendv1.Blob, count, bytes int) ([][]byte, error) {
	partition := sharedlog.Partition{Topic: blobTopic, Number: int(blob.Partition)}
	var records [][]byte
	for len(records) < count {
		callCtx, cancel := context.WithTimeout(ctx, blobGetTimeout)
		batch, err := b.log.ReadPart(callCtx, partition, blob.Offset+uint64(len(records)), bytes)
		cancel()
		if err != nil {
			return nil, result.Wrap(result.LogUnavailable, err, "read a blob").WithRetryAfter(readHint)
		}
		if len(batch.Records) == 0 {
			return nil, result.New(result.LogUnavailable, "the blob at offset %d is not there", blob.Offset).WithRetryAfter(readHint)
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

// putItems keeps the items of a job, each blob a part of them that fits one
// append.
func (b *blobs) putItems(ctx context.Context, patience time.Duration, items []*pathbendv1.BatchItem) ([]*pathbendv1.Blob, error) {
	var contents [][]byte
	for len(items) > 0 {
		count := fitting(items, b.settings.MaxCallBytes/2)
		content, err := proto.Marshal(&pathbendv1.BatchItems{Items: items[:count]})
		if err != nil {
			return nil, errors.Wrap(err, "encode items")
		}
		contents = append(contents, content)
		items = items[count:]
	}
	return b.put(ctx, itemBlobs, patience, contents)
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

// getItems returns the items of a job.
func (b *blobs) getItems(ctx context.Context, spec *pathbendv1.BatchJob) ([]*pathbendv1.BatchItem, error) {
	contents, err := b.get(ctx, spec.Items)
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
