package fanout

import (
	"sync"

	"github.com/pathbend/pathbend/internal/clock"
)

// maxCachedRecordBytes bounds the records that a reader keeps for other nodes. It is about the
// size of the batch jobs' records within their retention.
const maxCachedRecordBytes = 8 << 20

// RecordCache holds consecutive records of a partition that a reader serves to other nodes. It
// is safe for concurrent use.
type RecordCache struct {
	mutex sync.Mutex
	// started is set once the cache reflects a read.
	started bool
	// records are those from the offset first on, bytes is their total size.
	records [][]byte
	first   uint64
	bytes   int
	// end is the largest known offset after the last record of the partition.
	end uint64
	// currentAt is the last moment as of which the cache reached the end of the partition.
	currentAt clock.Moment
	// changed is closed and replaced whenever the contents or currentAt change.
	changed chan struct{}
}

// CachedRecords is a range of consecutive records of a RecordCache.
type CachedRecords struct {
	Records [][]byte
	// End is the offset after the last record of the partition as far as the cache knows.
	End uint64
	// More is set if the cache holds more records after these.
	More bool
	// CurrentAt is the moment as of which the cache had every record of the partition, zero if
	// it never had.
	CurrentAt clock.Moment
}

// NewRecordCache returns an empty cache.
func NewRecordCache() *RecordCache { return &RecordCache{changed: make(chan struct{})} }

// Add adds the records that a read of the partition returned from an offset on. end is the
// offset after the last record of the partition at that time. If the records reach it, the read
// had every record as of the moment asOf. Concurrent reads may overlap; after a gap the cache
// starts again.
func (c *RecordCache) Add(from uint64, records [][]byte, end uint64, asOf clock.Moment) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.started || from > c.next() {
		c.started, c.records, c.first, c.bytes = true, nil, from, 0
	}
	if known := c.next() - from; known < uint64(len(records)) {
		for _, record := range records[known:] {
			c.records = append(c.records, record)
			c.bytes += len(record)
		}
	}
	c.trim()
	c.end = max(c.end, end)
	if from+uint64(len(records)) >= end && asOf.Time().After(c.currentAt.Time()) {
		c.currentAt = asOf
	}
	c.notify()
}

// next returns the offset after the last cached record. The caller holds the lock.
func (c *RecordCache) next() uint64 { return c.first + uint64(len(c.records)) }

// trim removes the oldest records beyond maxCachedRecordBytes. The caller holds the lock.
func (c *RecordCache) trim() {
	surplus := 0
	for ; c.bytes > maxCachedRecordBytes; surplus++ {
		c.bytes -= len(c.records[surplus])
		// The backing array remains in use.
		c.records[surplus] = nil
	}
	c.records = c.records[surplus:]
	c.first += uint64(surplus)
}

// notify wakes all that wait for a change. The caller holds the lock.
func (c *RecordCache) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Clear removes the contents, once this node no longer reads for others.
func (c *RecordCache) Clear() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.started {
		return
	}
	c.started, c.records, c.bytes, c.currentAt = false, nil, 0, clock.Moment{}
	c.notify()
}

// Started reports whether the cache reflects a read.
func (c *RecordCache) Started() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.started
}

// Since returns the records from an offset on, at least one if there is any and otherwise up to
// maxBytes of them, and a channel that is closed at the next change. available is false if the
// cache does not hold all records from that offset on. If the requesting node is ahead of this
// reader, there are no records and the end is the requested offset.
func (c *RecordCache) Since(from uint64, maxBytes int) (cached CachedRecords, available bool, changed <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.started || from < c.first {
		return CachedRecords{}, false, c.changed
	}
	cached = CachedRecords{End: max(c.end, from), CurrentAt: c.currentAt}
	if from >= c.next() {
		return cached, true, c.changed
	}
	following := c.records[from-c.first:]
	count, size := 0, 0
	for count < len(following) && (count == 0 || size+len(following[count]) <= maxBytes) {
		size += len(following[count])
		count++
	}
	// Records are copied because trim overwrites dropped ones.
	cached.Records = append(cached.Records, following[:count]...)
	cached.More = count < len(following)
	return cached, true, c.changed
}
