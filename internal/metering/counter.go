package metering

import (
	"maps"
	"slices"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
)

const (
	// closeDelay is how long after its end a window stays open at a process: a request
	// counts when its answer came, and a sampler's answer was lost or late by then.
	closeDelay = 1500 * time.Millisecond
	// keepWindows is how many windows a process keeps counts of: those of an outage of
	// the log, and some more.
	keepWindows = 64
	// formerWindows is how many windows before its start a process closes: those that the
	// former process of its node may have left open when it ended.
	formerWindows = 2
)

// Counter counts the requests of one process. It is not safe for concurrent use.
type Counter struct {
	node    string
	process uint64
	length  time.Duration
	// sequence is that of the newest entry.
	sequence uint64
	windows  map[Window]*tally
	// closed is the newest window that was closed.
	closed Window
}

// tally is what a process knows of a window.
type tally struct {
	counts map[string]uint64
	closed bool
	// saved is set while the log is known to hold all this; sequence is that of the
	// entry which was sent last.
	saved    bool
	sequence uint64
}

// NewCounter returns a counter of a process that began to run at a time. process tells
// it from others of its node.
func NewCounter(node string, process uint64, length time.Duration, began time.Time) *Counter {
	return &Counter{
		node: node, process: process, length: length, windows: make(map[Window]*tally),
		closed: WindowAt(began, length) - 1 - formerWindows,
	}
}

// Count counts a request of a tenant that began at a time.
func (c *Counter) Count(tenant string, began time.Time) {
	counted := c.window(WindowAt(began, c.length))
	counted.counts[tenant]++
	counted.saved = false
}

func (c *Counter) window(number Window) *tally {
	known, ok := c.windows[number]
	if !ok {
		known = &tally{counts: make(map[string]uint64)}
		c.windows[number] = known
	}
	return known
}

// Advance closes the windows that are over.
func (c *Counter) Advance(now time.Time) {
	newest := WindowAt(now.Add(-closeDelay), c.length) - 1
	for number := max(c.closed+1, newest-keepWindows); number <= newest; number++ {
		over := c.window(number)
		over.closed, over.saved = true, false
	}
	c.closed = max(c.closed, newest)
	maps.DeleteFunc(c.windows, func(number Window, _ *tally) bool { return number < newest-keepWindows })
}

// Unsaved returns entries of the windows of which the log does not hold all, oldest
// first. Each replaces what the log holds.
func (c *Counter) Unsaved() []*pathbendv1.UsageCounts {
	var entries []*pathbendv1.UsageCounts
	for _, number := range slices.Sorted(maps.Keys(c.windows)) {
		known := c.windows[number]
		if known.saved {
			continue
		}
		c.sequence++
		known.sequence = c.sequence
		entries = append(entries, &pathbendv1.UsageCounts{
			Node: c.node, Process: c.process, Sequence: c.sequence, Window: int64(number), Closed: known.closed,
			Counts: listed(known.counts),
		})
	}
	return entries
}

// Saved records that the log holds entries. A window that changed since stays unsaved.
func (c *Counter) Saved(entries []*pathbendv1.UsageCounts) {
	for _, entry := range entries {
		known, ok := c.windows[Window(entry.Window)]
		if ok && known.sequence == entry.Sequence && known.closed == entry.Closed && equal(known.counts, entry.Counts) {
			known.saved = true
		}
	}
}

// listed returns counts in the order of the tenants.
func listed(counts map[string]uint64) []*pathbendv1.TenantCount {
	rows := make([]*pathbendv1.TenantCount, 0, len(counts))
	for _, tenant := range slices.Sorted(maps.Keys(counts)) {
		rows = append(rows, &pathbendv1.TenantCount{Tenant: tenant, Requests: counts[tenant]})
	}
	return rows
}

func equal(counts map[string]uint64, rows []*pathbendv1.TenantCount) bool {
	if len(counts) != len(rows) {
		return false
	}
	for _, row := range rows {
		if counts[row.Tenant] != row.Requests {
			return false
		}
	}
	return true
}
