// Package sharedlog is the product's view of a log service that a platform
// runs: topics with numbered partitions, each an ordered series of records,
// and groups that deal partitions out to their members. The platform's adapter
// implements the interfaces; the package also holds the loops that follow a
// partition.
package sharedlog

import (
	"context"
	"time"
)

// Partition names one partition of a topic.
type Partition struct {
	Topic  string
	Number int
}

// Batch is what one read returned.
type Batch struct {
	// End is the offset after the last record of the partition.
	End uint64
	// First is the oldest offset that is still kept.
	First   uint64
	Records [][]byte
}

// KeyedRecord is a record of a keyed topic. An empty value drops the key.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset uint64
	// Malformed tells why the record cannot be read, empty if it can. Its key may be known
	// all the same; the value is not.
	Malformed string
}

// KeyedBatch is what one read of a keyed partition returned.
type KeyedBatch struct {
	End     uint64
	Records []KeyedRecord
	// Next is the offset from which reading goes on: records between may be left out that
	// nobody here wants. It is 0 where there is nothing new.
	Next uint64
	// Age is how old the batch was when it was handed out, 0 if it came from the log itself.
	Age time.Duration
	// Held is how long the answer was held in vain, if it has no records.
	Held time.Duration
}

// KeyedPage is a page of the newest records of a keyed partition. The pages are no
// snapshot: reading goes on from the end that the first page told.
type KeyedPage struct {
	KeyedBatch
	// More is set if there are keys after the last of the page.
	More bool
}

// Log reads and appends records. Errors are *result.Error: LogUnavailable
// means that nothing was done, LogUnknown that an append may have been done or
// may still be, LogTruncated that the records asked for are gone.
type Log interface {
	// Append adds records in order, all or none, and returns the offset of the
	// first.
	Append(ctx context.Context, partition Partition, records [][]byte) (uint64, error)
	// Read returns records from an offset on. It waits up to wait for one.
	Read(ctx context.Context, partition Partition, from uint64, wait time.Duration) (Batch, error)
	// ReadPart returns records from an offset on that are there already, about
	// maxBytes of them and at least one.
	ReadPart(ctx context.Context, partition Partition, from uint64, maxBytes int) (Batch, error)
	// ReadKeyed is Read for a keyed topic.
	ReadKeyed(ctx context.Context, partition Partition, from uint64, wait time.Duration) (KeyedBatch, error)
	// AppendKeyed is Append for a keyed topic.
	AppendKeyed(ctx context.Context, partition Partition, records []KeyedRecord) error
	// Newest returns a page of the newest records of all keys, those of the keys after
	// one, or the first page if that is empty.
	Newest(ctx context.Context, partition Partition, after string) (KeyedPage, error)
}

// Share is what a group deals out to one member.
type Share struct {
	// Generation rises with every change of the group.
	Generation uint64
	Partitions []Partition
}

// Group deals the partitions of a topic out to members that stay in touch.
type Group interface {
	// Join enters the group or stays in it. generation is the last one heard, 0
	// if none. The share is the member's until ttl after the call was sent.
	Join(ctx context.Context, group, member, topic string, ttl time.Duration, generation uint64) (Share, error)
	// Leave gives the share back at once.
	Leave(ctx context.Context, group, member string) error
	// Owners returns the partitions that members hold. Anyone may ask.
	Owners(ctx context.Context, group string) ([]Owner, error)
}

// Owner is a partition with the member that holds it.
type Owner struct {
	Partition Partition
	Member    string
}
