// Package sharedlog defines the client interfaces of the log service that a platform runs:
// topics with numbered partitions, each an ordered sequence of records, and consumer groups
// that assign partitions to their members. The platform's adapter implements the interfaces.
// The package also contains the loops that follow a partition, a batching appender and a
// wrapper that measures the latency of the service.
package sharedlog

import (
	"context"
	"time"
)

// Partition identifies one partition of a topic.
type Partition struct {
	Topic  string
	Number int
}

// Batch is the result of one read.
type Batch struct {
	// EndOffset is the offset after the last record of the partition.
	EndOffset uint64
	// OldestOffset is the oldest retained offset. It is also set if the read fails with
	// LogTruncated.
	OldestOffset uint64
	Records      [][]byte
	// Age is how long before the call the batch had every record, or before the end of the wait
	// if it is empty. It is 0 if the batch comes from the log. It is negative if the batch comes
	// from a cache that was renewed after the call.
	Age time.Duration
}

// KeyedRecord is a record of a keyed topic. An empty value deletes the key.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset uint64
	// Malformed is the reason why the record cannot be decoded, or empty. The key of a
	// malformed record may be known, its value is not.
	Malformed string
}

// KeyedBatch is the result of one read of a keyed partition.
type KeyedBatch struct {
	// EndOffset is the offset after the last record of the partition.
	EndOffset uint64
	Records   []KeyedRecord
	// NextOffset is the offset of the next read, 0 if there are no new records. The batch may
	// omit records before it that this reader did not request.
	NextOffset uint64
	// Age is the age of the batch if it comes from a cache, 0 if it comes from the log.
	Age time.Duration
	// Waited is how long the service waited for new records, if the batch has none.
	Waited time.Duration
}

// KeyedPage is a page of the newest records of a keyed partition. The pages do not form a
// consistent snapshot; a reader continues from the EndOffset of the first page.
type KeyedPage struct {
	KeyedBatch
	// More is set if there are keys after the last one of the page.
	More bool
}

// Log reads and appends records. Errors are *result.Error: LogUnavailable
// means that nothing was done, LogUnknown that an append may have succeeded or
// may still succeed, LogTruncated that the requested records are no longer retained.
type Log interface {
	// Append appends all records in order, or none, and returns the offset of the
	// first.
	Append(ctx context.Context, partition Partition, records [][]byte) (uint64, error)
	// Read returns records starting at an offset. If there are none it waits up to wait for
	// one.
	Read(ctx context.Context, partition Partition, from uint64, wait time.Duration) (Batch, error)
	// ReadAvailable returns available records starting at an offset without waiting: about
	// maxBytes bytes of them, and at least one record.
	ReadAvailable(ctx context.Context, partition Partition, from uint64, maxBytes int) (Batch, error)
	// ReadKeyed is Read for a keyed topic.
	ReadKeyed(ctx context.Context, partition Partition, from uint64, wait time.Duration) (KeyedBatch, error)
	// AppendKeyed is Append for a keyed topic.
	AppendKeyed(ctx context.Context, partition Partition, records []KeyedRecord) error
	// ReadNewest returns a page of the newest record of each key, in the order of keys. The
	// page starts after a given key, or at the first key if that is empty.
	ReadNewest(ctx context.Context, partition Partition, after string) (KeyedPage, error)
}

// Assignment is the partition assignment of one group member.
type Assignment struct {
	// Generation increases with every rebalance of the group.
	Generation uint64
	Partitions []Partition
}

// Group assigns the partitions of a topic to its members.
type Group interface {
	// Join joins the group or renews the membership. generation is that of the last
	// assignment received, 0 if there is none. The assignment is valid until ttl after the
	// call was sent.
	Join(ctx context.Context, group, member, topic string, ttl time.Duration, generation uint64) (Assignment, error)
	// Leave ends the membership and releases the assignment at once.
	Leave(ctx context.Context, group, member string) error
	// Owners returns the partitions that members hold. The caller need not be a member.
	Owners(ctx context.Context, group string) ([]Owner, error)
}

// Owner is a partition and the member that holds it.
type Owner struct {
	Partition Partition
	Member    string
}
