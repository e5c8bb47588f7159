package metering

import (
	"maps"
	"time"

	"google.golang.org/protobuf/proto"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/result"
)

// Book folds the entries of all processes. It is not safe for concurrent use.
type Book struct {
	windows map[Window]*windowState
	// oldest is the oldest window of which an entry was read, valid once any was.
	oldest Window
	any    bool
}

// windowState is what the log holds of a window.
type windowState struct {
	processes map[uint64]*pathbendv1.UsageCounts
	// decided is the first decision in the log, nil if there is none.
	decided  *pathbendv1.UsageReport
	accepted bool
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{windows: make(map[Window]*windowState)} }

// Apply applies the next record of the log.
func (b *Book) Apply(record []byte) error {
	var entry pathbendv1.UsageEntry
	if err := proto.Unmarshal(record, &entry); err != nil {
		return result.Wrap(result.RecordMalformed, err, "decode usage entry")
	}
	switch fact := entry.Fact.(type) {
	case *pathbendv1.UsageEntry_Counted:
		b.count(fact.Counted)
	case *pathbendv1.UsageEntry_Decided:
		state := b.window(Window(fact.Decided.Window))
		if state.decided == nil {
			state.decided = fact.Decided
		}
	case *pathbendv1.UsageEntry_Accepted:
		b.window(Window(fact.Accepted.Window)).accepted = true
	default:
		return result.New(result.RecordMalformed, "usage entry without a fact")
	}
	return nil
}

func (b *Book) count(counts *pathbendv1.UsageCounts) {
	state := b.window(Window(counts.Window))
	known := state.processes[counts.Process]
	if known == nil || known.Sequence < counts.Sequence {
		state.processes[counts.Process] = counts
	}
}

func (b *Book) window(number Window) *windowState {
	if !b.any || number < b.oldest {
		b.oldest, b.any = number, true
	}
	state, ok := b.windows[number]
	if !ok {
		state = &windowState{processes: make(map[uint64]*pathbendv1.UsageCounts)}
		b.windows[number] = state
	}
	return state
}

// Due lists the windows that are over and whose report the platform has not taken as
// far as the log tells, oldest first, but none before a window.
func (b *Book) Due(now time.Time, length time.Duration, from Window) []Window {
	if !b.any {
		return nil
	}
	var due []Window
	for number := max(b.oldest, from); number.End(length).Before(now); number++ {
		if state, ok := b.windows[number]; !ok || !state.accepted {
			due = append(due, number)
		}
	}
	return due
}

// Decided returns the report of a window that stands first in the log, nil if none
// does.
func (b *Book) Decided(number Window) *pathbendv1.UsageReport {
	if state, ok := b.windows[number]; ok {
		return state.decided
	}
	return nil
}

// Report sums what the log holds of a window.
func (b *Book) Report(number Window) *pathbendv1.UsageReport {
	sums := make(map[string]uint64)
	if state, ok := b.windows[number]; ok {
		for _, counts := range state.processes {
			for _, row := range counts.Counts {
				sums[row.Tenant] += row.Requests
			}
		}
	}
	return &pathbendv1.UsageReport{Window: int64(number), Counts: listed(sums)}
}

// expectedFrom is how many windows back a node that closed one is expected to close the
// next.
const expectedFrom = 2

// Complete reports whether every node that closed one of the windows before has closed
// this one too.
func (b *Book) Complete(number Window) bool {
	closed := b.closedBy(number)
	if len(closed) == 0 {
		return false
	}
	for before := number - expectedFrom; before < number; before++ {
		for node := range b.closedBy(before) {
			if _, also := closed[node]; !also {
				return false
			}
		}
	}
	return true
}

func (b *Book) closedBy(number Window) map[string]struct{} {
	nodes := make(map[string]struct{})
	if state, ok := b.windows[number]; ok {
		for _, counts := range state.processes {
			if counts.Closed {
				nodes[counts.Node] = struct{}{}
			}
		}
	}
	return nodes
}

// Forget drops the windows before one.
func (b *Book) Forget(before Window) {
	maps.DeleteFunc(b.windows, func(number Window, _ *windowState) bool { return number < before })
	b.oldest = max(b.oldest, before)
}
