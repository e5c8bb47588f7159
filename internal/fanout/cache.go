package fanout

import (
	"maps"
	"slices"
	"sync"

	"github.com/pathbend/pathbend/internal/sharedlog"
)

// recentRecords is how many of the last records a reader keeps for those who are behind.
// They come at some 100 a second while weights change, so it holds half a minute, longer
// than a node that reads on is ever behind; one that is further behind begins anew (chosen).
const recentRecords = 4096

// Cache is what a reader holds of a keyed topic for others. It is safe for concurrent use.
type Cache struct {
	groupOf func(sharedlog.KeyedRecord) string

	mutex  sync.Mutex
	newest map[string]grouped
	// recent are the last records, in the order of the log; those before the offset since
	// are gone. next is the offset after the last.
	recent []grouped
	since  uint64
	next   uint64
	// whole is set once every key was read.
	whole bool
	// changed is closed and replaced when there is more.
	changed chan struct{}
}

// grouped is a record with the groups of those who want it: its own, and the one that its
// key had before, who have to learn that it left.
type grouped struct {
	sharedlog.KeyedRecord
	group, before string
}

func (g grouped) wanted(groups Groups) bool { return groups.Has(g.group) || groups.Has(g.before) }

// NewCache returns an empty cache. groupOf names the group of a record, empty if it has none.
func NewCache(groupOf func(sharedlog.KeyedRecord) string) *Cache {
	return &Cache{groupOf: groupOf, newest: make(map[string]grouped), changed: make(chan struct{})}
}

// Reset takes the newest record of every key, as of an offset.
func (c *Cache) Reset(records []sharedlog.KeyedRecord, next uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	clear(c.newest)
	c.recent, c.since, c.next, c.whole = nil, next, next, true
	for _, record := range records {
		c.keep(record)
	}
	c.announce()
}

// Apply takes later records, up to an offset.
func (c *Cache) Apply(records []sharedlog.KeyedRecord, next uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, record := range records {
		c.recent = append(c.recent, c.keep(record))
	}
	if surplus := len(c.recent) - recentRecords; surplus > 0 {
		c.since = c.recent[surplus-1].Offset + 1
		c.recent = slices.Clone(c.recent[surplus:])
	}
	c.next = max(c.next, next)
	c.announce()
}

// Clear forgets everything: this node reads for nobody any more.
func (c *Cache) Clear() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.whole {
		return
	}
	clear(c.newest)
	c.recent, c.whole = nil, false
	c.announce()
}

// keep notes the newest record of a key. It is called under the lock.
func (c *Cache) keep(record sharedlog.KeyedRecord) grouped {
	before := c.newest[record.Key].group
	kept := grouped{KeyedRecord: record, group: c.groupOf(record), before: before}
	switch {
	case record.Key == "":
	case record.Malformed == "" && len(record.Value) == 0:
		delete(c.newest, record.Key)
	default:
		c.newest[record.Key] = kept
	}
	return kept
}

func (c *Cache) announce() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Newest returns the newest records of the groups that are wanted, by key. It reports false
// if not every key was read yet.
func (c *Cache) Newest(groups Groups) (sharedlog.KeyedBatch, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.whole {
		return sharedlog.KeyedBatch{}, false
	}
	batch := sharedlog.KeyedBatch{End: c.next, Next: c.next}
	for _, key := range slices.Sorted(maps.Keys(c.newest)) {
		if record := c.newest[key]; record.wanted(groups) {
			batch.Records = append(batch.Records, record.KeyedRecord)
		}
	}
	return batch, true
}

// Since returns the records from an offset on that are wanted, and what is closed when there
// is more. kept is false if records from there on are not held: whoever asks begins anew. A
// reader that lags behind who asks has nothing for it.
func (c *Cache) Since(from uint64, groups Groups) (batch sharedlog.KeyedBatch, kept bool, changed <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.whole || from < c.since {
		return sharedlog.KeyedBatch{}, false, c.changed
	}
	batch = sharedlog.KeyedBatch{End: max(c.next, from), Next: max(c.next, from)}
	first, _ := slices.BinarySearchFunc(c.recent, from, func(record grouped, offset uint64) int {
		if record.Offset < offset {
			return -1
		}
		return 1
	})
	for _, record := range c.recent[first:] {
		if record.wanted(groups) {
			batch.Records = append(batch.Records, record.KeyedRecord)
		}
	}
	return batch, true, c.changed
}

// Ready reports whether every key was read.
func (c *Cache) Ready() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.whole
}
