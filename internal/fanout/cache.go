package fanout

import (
	"maps"
	"slices"
	"sync"

	"github.com/pathbend/pathbend/internal/sharedlog"
)

// maxRecentRecords is the number of recent records that a reader keeps for nodes that lag.
// At the rate of about 100 records/s while weights change it covers more than half a minute,
// longer than a node that reads continuously lags. A node that lags more starts again from
// the newest records of all keys.
const maxRecentRecords = 4096

// Cache holds the records of a keyed topic that a reader serves to other nodes. It is safe
// for concurrent use.
type Cache struct {
	groupOf func(sharedlog.KeyedRecord) string

	mutex  sync.Mutex
	newest map[string]groupedRecord // by key
	// recent holds the last records in the order of the log, from firstOffset on.
	recent      []groupedRecord
	firstOffset uint64
	// nextOffset is the offset after the last record read.
	nextOffset uint64
	// complete is set once every key has been read.
	complete bool
	// changed is closed and replaced whenever the contents change.
	changed chan struct{}
}

// groupedRecord is a record with its group and the previous group of its key: nodes that
// require the previous group must learn that the key has left it.
type groupedRecord struct {
	sharedlog.KeyedRecord
	group, previousGroup string
}

// requiredBy reports whether a node that requires the groups must get the record.
func (g groupedRecord) requiredBy(groups Groups) bool {
	return groups.Includes(g.group) || groups.Includes(g.previousGroup)
}

// NewCache returns an empty cache. groupOf returns the group of a record, "" if it has none.
func NewCache(groupOf func(sharedlog.KeyedRecord) string) *Cache {
	return &Cache{groupOf: groupOf, newest: make(map[string]groupedRecord), changed: make(chan struct{})}
}

// Reset replaces the contents by the newest record of every key. next is the offset after
// the last record that they reflect.
func (c *Cache) Reset(records []sharedlog.KeyedRecord, next uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	clear(c.newest)
	c.recent, c.firstOffset, c.nextOffset, c.complete = nil, next, next, true
	for _, record := range records {
		c.store(record)
	}
	c.notify()
}

// Apply adds later records, in the order of the log. next is the offset after the last
// record read.
func (c *Cache) Apply(records []sharedlog.KeyedRecord, next uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, record := range records {
		c.recent = append(c.recent, c.store(record))
	}
	if surplus := len(c.recent) - maxRecentRecords; surplus > 0 {
		c.firstOffset = c.recent[surplus-1].Offset + 1
		c.recent = slices.Clone(c.recent[surplus:])
	}
	c.nextOffset = max(c.nextOffset, next)
	c.notify()
}

// Clear removes the contents, once this node no longer reads for others.
func (c *Cache) Clear() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.complete {
		return
	}
	clear(c.newest)
	c.recent, c.complete = nil, false
	c.notify()
}

// store makes a record the newest of its key. A well-formed record without a value removes
// its key. The caller holds the lock.
func (c *Cache) store(record sharedlog.KeyedRecord) groupedRecord {
	previousGroup := c.newest[record.Key].group
	stored := groupedRecord{KeyedRecord: record, group: c.groupOf(record), previousGroup: previousGroup}
	switch {
	case record.Key == "":
	case record.Malformed == "" && len(record.Value) == 0:
		delete(c.newest, record.Key)
	default:
		c.newest[record.Key] = stored
	}
	return stored
}

// notify wakes all that wait for a change. The caller holds the lock.
func (c *Cache) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Snapshot returns the newest record of every key in the required groups, sorted by key. It
// reports false if not every key has been read yet.
func (c *Cache) Snapshot(groups Groups) (sharedlog.KeyedBatch, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.complete {
		return sharedlog.KeyedBatch{}, false
	}
	batch := sharedlog.KeyedBatch{EndOffset: c.nextOffset, NextOffset: c.nextOffset}
	for _, key := range slices.Sorted(maps.Keys(c.newest)) {
		if record := c.newest[key]; record.requiredBy(groups) {
			batch.Records = append(batch.Records, record.KeyedRecord)
		}
	}
	return batch, true
}

// Since returns the records of the required groups from an offset on, and a channel that is
// closed at the next change. available is false if the cache does not hold all records from
// that offset on; the requesting node must then start again from the newest records. If the
// requesting node is ahead of this reader, the batch is empty and ends at from.
func (c *Cache) Since(from uint64, groups Groups) (batch sharedlog.KeyedBatch, available bool, changed <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.complete || from < c.firstOffset {
		return sharedlog.KeyedBatch{}, false, c.changed
	}
	batch = sharedlog.KeyedBatch{EndOffset: max(c.nextOffset, from), NextOffset: max(c.nextOffset, from)}
	first, _ := slices.BinarySearchFunc(c.recent, from, func(record groupedRecord, offset uint64) int {
		if record.Offset < offset {
			return -1
		}
		return 1
	})
	for _, record := range c.recent[first:] {
		if record.requiredBy(groups) {
			batch.Records = append(batch.Records, record.KeyedRecord)
		}
	}
	return batch, true, c.changed
}

// Ready reports whether every key has been read.
func (c *Cache) Ready() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.complete
}
