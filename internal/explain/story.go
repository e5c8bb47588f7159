package explain

import (
	"slices"
	"time"

	"github.com/pathbend/pathbend/internal/event"
)

// Kind is what an id names.
type Kind int

// Kinds of ids.
const (
	// Unknown means that no line names the id.
	Unknown Kind = iota
	Request
	Job
	Item
	RewardCall
)

var kindNames = [...]string{Unknown: "unknown", Request: "request", Job: "batch job", Item: "item", RewardCall: "reward call"}

// String implements fmt.Stringer.
func (k Kind) String() string { return kindNames[k] }

// Story is what the lines tell of one id.
type Story struct {
	ID   string
	Kind Kind
	// Lines name the id, in time order.
	Lines []Line
	// Around tells what the nodes involved believed meanwhile.
	Around []Line
	// Outcome says how it ended, Cause why, as far as the lines tell.
	Outcome string
	Cause   string
}

// idFields are the attributes that name an id, with what it names.
var idFields = []struct {
	field string
	kind  Kind
}{
	{"request_id", Request}, {"item_id", Item}, {"reward_id", RewardCall}, {"job_id", Job},
}

// beliefs are the events that tell what a node holds to be true.
var beliefs = []event.Number{
	event.NodeStarting, event.NodeReady, event.NodeDraining, event.NodeStopped, event.LogReadFailed,
	event.LogReadRecovered, event.ExecutorStarted, event.ExecutorStopped, event.ColdWorkWaits, event.GroupContactLost,
	event.WorkerMissing, event.WorkerLost,
	event.GroupContactRegained, event.CatalogApplied, event.CatalogRejected, event.LinesDropped, event.StandingChanged,
	event.PageCut, event.LogDistanceChanged,
	event.ZoneEvacuated, event.ZoneTakenBack,
}

const (
	// before and after bound what is told around a story.
	before = 3 * time.Second
	after  = time.Second
)

// Tell collects the story of an id from the lines of all nodes.
func Tell(id string, lines []Line) Story {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	story := Story{ID: id}
	for _, line := range lines {
		if kind := kindOf(line, id); kind != Unknown {
			if story.Kind == Unknown || kind == Job {
				story.Kind = kind
			}
			story.Lines = append(story.Lines, line)
		}
	}
	if len(story.Lines) > 0 {
		story.Around = around(story.Lines, lines)
	}
	story.Outcome, story.Cause = judge(story, lines)
	return story
}

func kindOf(line Line, id string) Kind {
	for _, candidate := range idFields {
		if line.Fields.Text(candidate.field) == id {
			return candidate.kind
		}
	}
	return Unknown
}

// around returns the beliefs of the nodes that wrote the story, from a little
// before its first line to a little after its last.
func around(story, lines []Line) []Line {
	from, to := story[0].Time.Add(-before), story[len(story)-1].Time.Add(after)
	var found []Line
	for _, line := range lines {
		if line.Time.Before(from) || line.Time.After(to) || !slices.Contains(beliefs, line.Number) {
			continue
		}
		if wrote(story, line.Node) {
			found = append(found, line)
		}
	}
	return found
}

func wrote(lines []Line, node string) bool {
	return slices.ContainsFunc(lines, func(line Line) bool { return line.Node == node })
}
