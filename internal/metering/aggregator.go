package metering

import (
	"maps"
	"time"

	"google.golang.org/protobuf/proto"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/result"
)

// Aggregator holds, by window, the usage entries that all processes wrote to the shared
// log. It is not safe for concurrent use.
type Aggregator struct {
	windows map[Window]*windowState
	// oldest is the oldest window for which an entry was read, valid if hasEntries is set.
	oldest     Window
	hasEntries bool
}

// windowState is the content of the log for one window.
type windowState struct {
	// countsByProcess holds the newest entry of each process.
	countsByProcess map[uint64]*pathbendv1.UsageCounts
	// decided is the first decision in the log, nil if there is none.
	decided *pathbendv1.UsageReport
	// accepted is set once the log says that the platform accepted the report.
	accepted bool
}

// NewAggregator returns an aggregator without entries.
func NewAggregator() *Aggregator { return &Aggregator{windows: make(map[Window]*windowState)} }

// Apply applies the next record of the log. The error carries result.RecordMalformed if
// the record is not a valid usage entry.
func (a *Aggregator) Apply(record []byte) error {
	var entry pathbendv1.UsageEntry
	if err := proto.Unmarshal(record, &entry); err != nil {
		return result.Wrap(result.RecordMalformed, err, "decode usage entry")
	}
	switch fact := entry.Fact.(type) {
	case *pathbendv1.UsageEntry_Counted:
		a.count(fact.Counted)
	case *pathbendv1.UsageEntry_Decided:
		state := a.stateOf(Window(fact.Decided.Window))
		if state.decided == nil {
			state.decided = fact.Decided
		}
	case *pathbendv1.UsageEntry_Accepted:
		a.stateOf(Window(fact.Accepted.Window)).accepted = true
	default:
		return result.New(result.RecordMalformed, "usage entry contains neither counts nor a decision nor an acceptance")
	}
	return nil
}

// count keeps the counts if they are newer than the known ones of their process.
func (a *Aggregator) count(counts *pathbendv1.UsageCounts) {
	state := a.stateOf(Window(counts.Window))
	known := state.countsByProcess[counts.Process]
	if known == nil || known.Sequence < counts.Sequence {
		state.countsByProcess[counts.Process] = counts
	}
}

// stateOf returns the state of a window, which it creates if there is none.
func (a *Aggregator) stateOf(number Window) *windowState {
	if !a.hasEntries || number < a.oldest {
		a.oldest, a.hasEntries = number, true
	}
	state, ok := a.windows[number]
	if !ok {
		state = &windowState{countsByProcess: make(map[uint64]*pathbendv1.UsageCounts)}
		a.windows[number] = state
	}
	return state
}

// DueWindows returns, oldest first, the windows since from that have ended and whose
// report, according to the log, the platform has not accepted.
func (a *Aggregator) DueWindows(now time.Time, windowLength time.Duration, from Window) []Window {
	if !a.hasEntries {
		return nil
	}
	var due []Window
	for number := max(a.oldest, from); number.End(windowLength).Before(now); number++ {
		if state, ok := a.windows[number]; !ok || !state.accepted {
			due = append(due, number)
		}
	}
	return due
}

// DecidedReport returns the first report in the log that was decided for a window, nil if
// there is none.
func (a *Aggregator) DecidedReport(number Window) *pathbendv1.UsageReport {
	if state, ok := a.windows[number]; ok {
		return state.decided
	}
	return nil
}

// SumCounts returns a report with the sums, by tenant, of the counts that the log holds for
// a window.
func (a *Aggregator) SumCounts(number Window) *pathbendv1.UsageReport {
	sums := make(map[string]uint64)
	if state, ok := a.windows[number]; ok {
		for _, counts := range state.countsByProcess {
			for _, row := range counts.Counts {
				sums[row.Tenant] += row.Requests
			}
		}
	}
	return &pathbendv1.UsageReport{Window: int64(number), Counts: tenantCounts(sums)}
}

// expectedCloserWindows is the number of preceding windows whose closing nodes are expected
// to close a window too.
const expectedCloserWindows = 2

// Complete reports whether every node that closed one of the preceding
// expectedCloserWindows windows has closed this one too. It is false if no node has.
func (a *Aggregator) Complete(number Window) bool {
	closed := a.closedBy(number)
	if len(closed) == 0 {
		return false
	}
	for previous := number - expectedCloserWindows; previous < number; previous++ {
		for node := range a.closedBy(previous) {
			if _, ok := closed[node]; !ok {
				return false
			}
		}
	}
	return true
}

// closedBy returns the names of the nodes of which a process closed the window.
func (a *Aggregator) closedBy(number Window) map[string]struct{} {
	nodes := make(map[string]struct{})
	if state, ok := a.windows[number]; ok {
		for _, counts := range state.countsByProcess {
			if counts.Closed {
				nodes[counts.Node] = struct{}{}
			}
		}
	}
	return nodes
}

// DropBefore drops all windows before the given one.
func (a *Aggregator) DropBefore(first Window) {
	maps.DeleteFunc(a.windows, func(number Window, _ *windowState) bool { return number < first })
	a.oldest = max(a.oldest, first)
}
