package metering

import (
	"maps"
	"slices"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
)

const (
	// closeDelay is how long after its end a process keeps a window open. A request is
	// counted when its response arrives; a sampler's response that has not arrived by then is
	// lost or late.
	closeDelay = 1500 * time.Millisecond
	// retainedWindows is how many windows back a process keeps its counts: enough for an
	// outage of the log, with some margin.
	retainedWindows = 64
	// predecessorWindows is how many windows before its start a process closes, since the
	// previous process of its node may have left them open when it ended.
	predecessorWindows = 2
)

// Counter counts the requests of one process. It is not safe for concurrent use.
type Counter struct {
	node         string
	processID    uint64
	windowLength time.Duration
	// sequence is the sequence number of the newest entry.
	sequence uint64
	windows  map[Window]*windowCounts
	// lastClosed is the newest window that was closed.
	lastClosed Window
}

// windowCounts holds the counts of one process for one window.
type windowCounts struct {
	// byTenant is the number of requests by tenant.
	byTenant map[string]uint64
	closed   bool
	// saved is set while the log is known to hold the current counts and closed flag.
	saved bool
	// sequence is the sequence number of the newest entry made for this window.
	sequence uint64
}

// NewCounter returns the counter of a process that started at a time. processID
// distinguishes the process from earlier ones of its node.
func NewCounter(node string, processID uint64, windowLength time.Duration, startedAt time.Time) *Counter {
	return &Counter{
		node: node, processID: processID, windowLength: windowLength, windows: make(map[Window]*windowCounts),
		lastClosed: WindowAt(startedAt, windowLength) - 1 - predecessorWindows,
	}
}

// Count counts a request of a tenant in the window in which the request began.
func (c *Counter) Count(tenant string, startedAt time.Time) {
	counts := c.countsOf(WindowAt(startedAt, c.windowLength))
	counts.byTenant[tenant]++
	counts.saved = false
}

// countsOf returns the counts of a window, which it creates if there are none.
func (c *Counter) countsOf(number Window) *windowCounts {
	counts, ok := c.windows[number]
	if !ok {
		counts = &windowCounts{byTenant: make(map[string]uint64)}
		c.windows[number] = counts
	}
	return counts
}

// Advance closes the windows that ended at least closeDelay ago, also those without a
// request, and drops those that are older than retainedWindows.
func (c *Counter) Advance(now time.Time) {
	newest := WindowAt(now.Add(-closeDelay), c.windowLength) - 1
	for number := max(c.lastClosed+1, newest-retainedWindows); number <= newest; number++ {
		ended := c.countsOf(number)
		ended.closed, ended.saved = true, false
	}
	c.lastClosed = max(c.lastClosed, newest)
	maps.DeleteFunc(c.windows, func(number Window, _ *windowCounts) bool { return number < newest-retainedWindows })
}

// UnsavedEntries returns, oldest window first, an entry for each window whose current
// counts are not known to be in the log. An entry holds the full counts of its window and
// replaces earlier entries of this process.
func (c *Counter) UnsavedEntries() []*pathbendv1.UsageCounts {
	var entries []*pathbendv1.UsageCounts
	for _, number := range slices.Sorted(maps.Keys(c.windows)) {
		counts := c.windows[number]
		if counts.saved {
			continue
		}
		c.sequence++
		counts.sequence = c.sequence
		entries = append(entries, &pathbendv1.UsageCounts{
			Node: c.node, Process: c.processID, Sequence: c.sequence, Window: int64(number), Closed: counts.closed,
			Counts: tenantCounts(counts.byTenant),
		})
	}
	return entries
}

// MarkSaved records that the log holds the entries. A window that changed after its entry
// was made stays unsaved.
func (c *Counter) MarkSaved(entries []*pathbendv1.UsageCounts) {
	for _, entry := range entries {
		counts, ok := c.windows[Window(entry.Window)]
		if ok && counts.sequence == entry.Sequence && counts.closed == entry.Closed && sameCounts(counts.byTenant, entry.Counts) {
			counts.saved = true
		}
	}
}

// tenantCounts returns the counts sorted by tenant.
func tenantCounts(byTenant map[string]uint64) []*pathbendv1.TenantCount {
	rows := make([]*pathbendv1.TenantCount, 0, len(byTenant))
	for _, tenant := range slices.Sorted(maps.Keys(byTenant)) {
		rows = append(rows, &pathbendv1.TenantCount{Tenant: tenant, Requests: byTenant[tenant]})
	}
	return rows
}

// sameCounts reports whether rows holds the counts byTenant.
func sameCounts(byTenant map[string]uint64, rows []*pathbendv1.TenantCount) bool {
	if len(byTenant) != len(rows) {
		return false
	}
	for _, row := range rows {
		if byTenant[row.Tenant] != row.Requests {
			return false
		}
	}
	return true
}
