package explain

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/result"
)

// judge says how a story ended and why.
func judge(story Story, all []Line) (outcome, cause string) {
	switch story.Kind {
	case Request, RewardCall:
		return judgeRequest(story, all)
	case Job:
		return judgeJob(story, all)
	case Item:
		return judgeItem(story, all)
	default:
		return "no line names it", judgeSilence(all)
	}
}

func judgeSilence(all []Line) string {
	if dropped := count(all, event.LinesDropped); dropped > 0 {
		return fmt.Sprintf("nodes dropped lines %d times (lines_dropped): its lines may be among them", dropped)
	}
	return "it reached none of the nodes whose logs were given: look at the entry, or give the logs of more nodes"
}

func judgeRequest(story Story, all []Line) (outcome, cause string) {
	last, ok := final(story.Lines, event.RequestServed, event.RequestRefused, event.RequestGivenUp)
	if !ok {
		return "no node finished it", unfinished(story, all)
	}
	failed := count(story.Lines, event.AttemptFailed)
	switch last.Number {
	case event.RequestServed:
		outcome = fmt.Sprintf("answered with status %d by %s on %s after %d attempt(s) in %d ms",
			last.Fields.Count("status"), last.Fields.Text("back_end"), last.Node, last.Fields.Count("attempts"), last.Fields.Count("took_ms"))
		if failed == 0 {
			return outcome, "nothing failed"
		}
		return outcome, "attempts failed before: " + endings(story.Lines)
	case event.RequestRefused:
		return fmt.Sprintf("refused on %s: %s", last.Node, meaning(last)), refusal(last, all)
	default:
		outcome = fmt.Sprintf("given up on %s after %d attempt(s): %s", last.Node, last.Fields.Count("attempts"), meaning(last))
		out := evacuations(story.Lines, all)
		if result.Code(last.Fields.Count("code")) == result.ZoneEvacuated && out != "" {
			return outcome, out
		}
		if still := standstill(last, all); still != "" {
			return outcome, still
		}
		if region := outsideRegions(last); region != "" && failed == 0 {
			return outcome, region
		}
		if failed > 0 {
			return outcome, withReason("its attempts failed: "+endings(story.Lines), out)
		}
		return outcome, withReason(last.Fields.Text("detail"), out)
	}
}

// withReason adds what else may have led to an end, if there is anything.
func withReason(cause, reason string) string {
	if reason == "" {
		return cause
	}
	return cause + "; " + reason
}

// meaning spells the result code of a line out.
func meaning(line Line) string {
	code := result.Code(line.Fields.Count("code"))
	definition := result.Lookup(code)
	return fmt.Sprintf("%d %s (%s)", code, definition.Name, strings.TrimSuffix(definition.Meaning, "."))
}

// refusal says why a node refused a request before any attempt.
func refusal(line Line, all []Line) string {
	if region := outsideRegions(line); region != "" {
		return region
	}
	if started, ok := lastBefore(all, line, event.NodeStarting); ok && line.Time.Sub(started.Time) < before {
		return fmt.Sprintf("the node had started %d ms before", line.Time.Sub(started.Time).Milliseconds())
	}
	if lost := outOfLog(line, all); lost != "" {
		return lost
	}
	if detail := line.Fields.Text("detail"); detail != "" {
		return detail
	}
	return "see the result code"
}

// outsideRegions tells that the regions of a request were the reason, empty if they were
// not.
func outsideRegions(line Line) string {
	if result.Code(line.Fields.Count("code")) != result.RegionUnavailable {
		return ""
	}
	return "its route and tenant are bound to regions: " + line.Fields.Text("detail")
}

// standstill recognises a node that wrote nothing for long before a line.
func standstill(line Line, all []Line) string {
	const long = 2 * time.Second
	const burst = 50 * time.Millisecond
	previous, ok := Line{}, false
	for _, other := range all {
		if other.Node == line.Node && other.Time.Before(line.Time.Add(-burst)) {
			previous, ok = other, true
		}
	}
	if gap := line.Time.Sub(previous.Time); ok && gap > long {
		return fmt.Sprintf("the node wrote nothing for %.1f s before: it stood still, or had no work", gap.Seconds())
	}
	return ""
}

// outOfLog tells whether a node was cut off from the log, and whether others were.
func outOfLog(line Line, all []Line) string {
	var cut []string
	for _, node := range nodesOf(all) {
		if lostLog(node, line.Time, all) {
			cut = append(cut, node)
		}
	}
	if !slices.Contains(cut, line.Node) {
		return ""
	}
	if len(cut) == len(nodesOf(all)) {
		return "the log service was out of reach for every node"
	}
	return fmt.Sprintf("the log service was out of reach for %s, not for all nodes", strings.Join(cut, ", "))
}

// lostLog reports whether a node could not reach the log at a time, or said so a
// moment before or after.
func lostLog(node string, at time.Time, all []Line) bool {
	lost := false
	for _, line := range all {
		if line.Node != node || line.Time.After(at.Add(after)) {
			continue
		}
		switch line.Number {
		case event.LogReadFailed, event.GroupContactLost:
			lost = true
		case event.LogReadRecovered, event.GroupContactRegained, event.NodeStarting:
			if line.Time.Before(at.Add(-after)) {
				lost = false
			}
		}
	}
	return lost
}

func judgeJob(story Story, all []Line) (outcome, cause string) {
	if ended, ok := final(story.Lines, event.BatchEnded); ok {
		outcome = fmt.Sprintf("ended by its trainer with %d of %d items listed", ended.Fields.Count("listed"), ended.Fields.Count("items"))
		return outcome, jobTrouble(story, all)
	}
	if _, kept := final(story.Lines, event.BatchSubmitted); kept {
		return "kept, not ended in these logs", jobTrouble(story, all)
	}
	refused, ok := final(story.Lines, event.BatchRefused)
	if !ok {
		return "neither kept nor refused in these logs", jobTrouble(story, all)
	}
	outcome = fmt.Sprintf("refused on %s after %d ms", refused.Node, refused.Fields.Count("took_ms"))
	if lost := outOfLog(refused, all); lost != "" {
		return outcome, lost
	}
	return outcome, refused.Fields.Text("detail")
}

func jobTrouble(story Story, all []Line) string {
	var told []string
	if refused, ok := final(story.Lines, event.BatchRefused); ok {
		told = append(told, "a submission was refused: "+cmp.Or(outOfLog(refused, all), refused.Fields.Text("detail")))
	}
	executors, cold := count(story.Around, event.ExecutorStarted), count(story.Around, event.ColdWorkWaits)
	if executors > 0 {
		told = append(told, fmt.Sprintf("the jobs passed to another executor %d time(s)", executors))
	}
	if missing := count(story.Around, event.WorkerMissing); missing > 0 {
		told = append(told, fmt.Sprintf("no node in the regions of bound jobs took calls, %d time(s)", missing))
	}
	if lost := count(story.Around, event.WorkerLost); lost > 0 {
		told = append(told, fmt.Sprintf("nodes that carry runs for the regions of bound jobs were lost %d time(s)", lost))
	}
	if cold > 0 {
		told = append(told, fmt.Sprintf("items waited in %d second(s) for samplers that are cold, or may be, and had all that they may get", cold))
	}
	for _, counted := range []struct {
		number event.Number
		text   string
	}{
		{event.ItemMoved, "runs moved to another sampler"}, {event.ItemRunEnded, "runs ended early"},
		{event.RewardFailed, "reward calls failed"}, {event.ItemDead, "items given up"},
		{event.BatchReadRefused, "reads refused"}, {event.JobUnread, "times its items could not be read"},
	} {
		if number := count(story.Lines, counted.number); number > 0 {
			told = append(told, fmt.Sprintf("%d %s", number, counted.text))
		}
	}
	if out := evacuations(story.Lines, all); out != "" {
		told = append(told, out)
	}
	if len(told) == 0 {
		return "no trouble in its lines"
	}
	return strings.Join(told, "; ")
}

func judgeItem(story Story, all []Line) (outcome, cause string) {
	runs := count(story.Lines, event.ItemStarted)
	trouble := fmt.Sprintf("%d run(s); %s", runs, jobTrouble(story, all))
	if dead, ok := final(story.Lines, event.ItemDead); ok {
		reason := cmp.Or(dead.Fields.Text("detail"), "its runs failed")
		return fmt.Sprintf("given up on %s, %d of its runs failed", dead.Node, dead.Fields.Count("failures")), reason + "; " + trouble
	}
	if listed, ok := final(story.Lines, event.ItemListed); ok {
		return "listed, read by " + listed.Node, trouble
	}
	return "not given up, and not known to be listed (no item_listed line in these logs)", trouble + "; " + unfinished(story, all)
}

// unfinished says what became of the node that had a request or item last.
func unfinished(story Story, all []Line) string {
	last := story.Lines[len(story.Lines)-1]
	for _, line := range all {
		if line.Node != last.Node || !line.Time.After(last.Time) {
			continue
		}
		switch line.Number {
		case event.NodeStarting:
			return fmt.Sprintf("%s started again %d ms after its last line: the process was lost", last.Node, line.Time.Sub(last.Time).Milliseconds())
		case event.ExecutorStopped:
			return fmt.Sprintf("%s stopped executing %d ms after its last line", last.Node, line.Time.Sub(last.Time).Milliseconds())
		}
	}
	return fmt.Sprintf("its last line is %s on %s", last.Name, last.Node)
}

// endings lists the failed attempts of a request.
func endings(lines []Line) string {
	var told []string
	for _, line := range lines {
		if line.Number == event.AttemptFailed {
			told = append(told, fmt.Sprintf("%s at %s after %d ms (%s)", line.Fields.Text("ending"), line.Fields.Text("back_end"),
				line.Fields.Count("took_ms"), line.Fields.Text("detail")))
		}
	}
	return strings.Join(told, "; ")
}

// final returns the last line of one of the events.
func final(lines []Line, numbers ...event.Number) (Line, bool) {
	for _, line := range slices.Backward(lines) {
		if slices.Contains(numbers, line.Number) {
			return line, true
		}
	}
	return Line{}, false
}

// lastBefore returns the last line of an event that the same node wrote before.
func lastBefore(all []Line, line Line, number event.Number) (Line, bool) {
	found, ok := Line{}, false
	for _, other := range all {
		if other.Node == line.Node && other.Number == number && !other.Time.After(line.Time) {
			found, ok = other, true
		}
	}
	return found, ok
}

func count(lines []Line, number event.Number) int {
	counted := 0
	for _, line := range lines {
		if line.Number == number {
			counted++
		}
	}
	return counted
}

func nodesOf(lines []Line) []string {
	var nodes []string
	for _, line := range lines {
		nodes = append(nodes, line.Node)
	}
	slices.Sort(nodes)
	return slices.Compact(nodes)
}
