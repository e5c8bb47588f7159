package explain

import (
	"slices"
	"time"

	"github.com/pathbend/pathbend/internal/event"
)

// Kind is the kind of object that an id identifies.
type Kind int

// Kinds of objects.
const (
	// Unknown means that no line contains the id.
	Unknown Kind = iota
	Request
	BatchJob
	Item
	RewardCall
)

var kindNames = [...]string{Unknown: "unknown", Request: "request", BatchJob: "batch job", Item: "item", RewardCall: "reward call"}

// String implements fmt.Stringer.
func (k Kind) String() string { return kindNames[k] }

// Trace holds what log lines show about one id.
type Trace struct {
	ID   string
	Kind Kind
	// Lines are the lines that contain the id, in time order.
	Lines []Line
	// Context holds lines about the state of the nodes involved in the same period.
	Context []Line
	// Outcome states how it ended, and Cause why, as far as the lines show it.
	Outcome string
	Cause   string
}

// idFields lists the attributes that hold ids, with the kinds of object that they identify.
var idFields = []struct {
	field string
	kind  Kind
}{
	{"request_id", Request}, {"item_id", Item}, {"reward_id", RewardCall}, {"job_id", BatchJob},
}

// contextEvents are the events that show the state of a node.
var contextEvents = []event.Number{
	event.NodeStarting, event.NodeReady, event.NodeDraining, event.NodeStopped, event.LogReadFailed,
	event.LogReadRecovered, event.ExecutorStarted, event.ExecutorStopped, event.ColdWorkWaits, event.GroupContactLost,
	event.WorkerMissing, event.WorkerLost,
	event.GroupContactRegained, event.CatalogApplied, event.CatalogRejected, event.LinesDropped, event.StandingChanged,
	event.PageCut, event.LogDistanceChanged,
	event.ZoneEvacuated, event.ZoneTakenBack,
}

const (
	// contextBefore and contextAfter extend the period of a trace's context beyond its
	// first and last line.
	contextBefore = 3 * time.Second
	contextAfter  = time.Second
)

// NewTrace builds the trace of an id from the log lines of all nodes. The lines may be
// in any order.
func NewTrace(id string, lines []Line) Trace {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	trace := Trace{ID: id}
	for _, line := range lines {
		if kind := kindOf(line, id); kind != Unknown {
			if trace.Kind == Unknown || kind == BatchJob {
				trace.Kind = kind
			}
			trace.Lines = append(trace.Lines, line)
		}
	}
	if len(trace.Lines) > 0 {
		trace.Context = contextLines(trace.Lines, lines)
	}
	trace.Outcome, trace.Cause = diagnose(trace, lines)
	return trace
}

func kindOf(line Line, id string) Kind {
	for _, candidate := range idFields {
		if line.Fields.String(candidate.field) == id {
			return candidate.kind
		}
	}
	return Unknown
}

// contextLines returns the context events of the nodes that wrote lines of a trace, from
// contextBefore its first line to contextAfter its last.
func contextLines(trace, lines []Line) []Line {
	from, to := trace[0].Time.Add(-contextBefore), trace[len(trace)-1].Time.Add(contextAfter)
	var found []Line
	for _, line := range lines {
		if line.Time.Before(from) || line.Time.After(to) || !slices.Contains(contextEvents, line.Number) {
			continue
		}
		if hasLineOf(trace, line.Node) {
			found = append(found, line)
		}
	}
	return found
}

func hasLineOf(lines []Line, node string) bool {
	return slices.ContainsFunc(lines, func(line Line) bool { return line.Node == node })
}
