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

// diagnose returns the outcome of a trace and its cause. all holds the lines of all
// nodes in time order.
func diagnose(trace Trace, all []Line) (outcome, cause string) {
	switch trace.Kind {
	case Request, RewardCall:
		return diagnoseRequest(trace, all)
	case BatchJob:
		return diagnoseJob(trace, all)
	case Item:
		return diagnoseItem(trace, all)
	default:
		return "no log line contains this id", noLinesCause(all)
	}
}

func noLinesCause(all []Line) string {
	if dropped := countEvents(all, event.LinesDropped); dropped > 0 {
		return fmt.Sprintf("nodes dropped log lines %d times (lines_dropped); lines with this id may be among them", dropped)
	}
	return "it reached none of the nodes whose logs were given: check the load balancer, or pass the logs of more nodes"
}

func diagnoseRequest(trace Trace, all []Line) (outcome, cause string) {
	last, ok := lastOf(trace.Lines, event.RequestServed, event.RequestRefused, event.RequestGivenUp)
	if !ok {
		return "no node finished it", unfinishedCause(trace, all)
	}
	failed := countEvents(trace.Lines, event.AttemptFailed)
	switch last.Number {
	case event.RequestServed:
		outcome = fmt.Sprintf("answered with status %d by %s on %s after %d attempt(s) in %d ms",
			last.Fields.Int("status"), last.Fields.String("back_end"), last.Node, last.Fields.Int("attempts"), last.Fields.Int("took_ms"))
		if failed == 0 {
			return outcome, "no attempt failed"
		}
		return outcome, "earlier attempts failed: " + failedAttempts(trace.Lines)
	case event.RequestRefused:
		return fmt.Sprintf("refused on %s: %s", last.Node, describeCode(last)), refusalCause(last, all)
	default:
		outcome = fmt.Sprintf("given up on %s after %d attempt(s): %s", last.Node, last.Fields.Int("attempts"), describeCode(last))
		zones := evacuationCause(trace.Lines, all)
		if result.Code(last.Fields.Int("code")) == result.ZoneEvacuated && zones != "" {
			return outcome, zones
		}
		if gap := lineGapCause(last, all); gap != "" {
			return outcome, gap
		}
		if region := regionCause(last); region != "" && failed == 0 {
			return outcome, region
		}
		if failed > 0 {
			return outcome, joinCauses("its attempts failed: "+failedAttempts(trace.Lines), zones)
		}
		return outcome, joinCauses(last.Fields.String("detail"), zones)
	}
}

// joinCauses appends a further cause, which may be empty.
func joinCauses(cause, further string) string {
	if further == "" {
		return cause
	}
	return cause + "; " + further
}

// describeCode returns the number, name and meaning of the result code of a line.
func describeCode(line Line) string {
	code := result.Code(line.Fields.Int("code"))
	definition := result.Lookup(code)
	return fmt.Sprintf("%d %s (%s)", code, definition.Name, strings.TrimSuffix(definition.Meaning, "."))
}

// refusalCause returns why a node refused a request before any attempt.
func refusalCause(line Line, all []Line) string {
	if region := regionCause(line); region != "" {
		return region
	}
	if started, ok := lastBefore(all, line, event.NodeStarting); ok && line.Time.Sub(started.Time) < contextBefore {
		return fmt.Sprintf("the node had started %d ms earlier", line.Time.Sub(started.Time).Milliseconds())
	}
	if cause := logUnreachableCause(line, all); cause != "" {
		return cause
	}
	if detail := line.Fields.String("detail"); detail != "" {
		return detail
	}
	return "see the result code"
}

// regionCause names the regions that a request is bound to if these caused the refusal,
// empty if they did not.
func regionCause(line Line) string {
	if result.Code(line.Fields.Int("code")) != result.RegionUnavailable {
		return ""
	}
	return "its route and tenant are bound to regions: " + line.Fields.String("detail")
}

// lineGapCause reports a gap in the lines of a node before the given line, empty if there
// is none. Lines within burst before it are taken as written with it.
func lineGapCause(line Line, all []Line) string {
	const minGap = 2 * time.Second
	const burst = 50 * time.Millisecond
	previous, ok := Line{}, false
	for _, other := range all {
		if other.Node == line.Node && other.Time.Before(line.Time.Add(-burst)) {
			previous, ok = other, true
		}
	}
	if gap := line.Time.Sub(previous.Time); ok && gap > minGap {
		return fmt.Sprintf("the node wrote no log line for the previous %.1f s: its process was suspended, or it had no work", gap.Seconds())
	}
	return ""
}

// logUnreachableCause reports whether the node of a line could not reach the log service,
// and which others could not; empty if it could.
func logUnreachableCause(line Line, all []Line) string {
	var unreachable []string
	for _, node := range nodesOf(all) {
		if logUnreachable(node, line.Time, all) {
			unreachable = append(unreachable, node)
		}
	}
	if !slices.Contains(unreachable, line.Node) {
		return ""
	}
	if len(unreachable) == len(nodesOf(all)) {
		return "the log service was unreachable for every node"
	}
	return fmt.Sprintf("the log service was unreachable for %s, but not for all nodes", strings.Join(unreachable, ", "))
}

// logUnreachable reports whether a node could not reach the log service at a time. Lines
// up to contextAfter later count too, and so does a loss that ended less than contextAfter
// before.
func logUnreachable(node string, timestamp time.Time, all []Line) bool {
	isUnreachable := false
	for _, line := range all {
		if line.Node != node || line.Time.After(timestamp.Add(contextAfter)) {
			continue
		}
		switch line.Number {
		case event.LogReadFailed, event.GroupContactLost:
			isUnreachable = true
		case event.LogReadRecovered, event.GroupContactRegained, event.NodeStarting:
			if line.Time.Before(timestamp.Add(-contextAfter)) {
				isUnreachable = false
			}
		}
	}
	return isUnreachable
}

func diagnoseJob(trace Trace, all []Line) (outcome, cause string) {
	if ended, ok := lastOf(trace.Lines, event.BatchEnded); ok {
		outcome = fmt.Sprintf("ended by its trainer, %d of %d items have a result", ended.Fields.Int("listed"), ended.Fields.Int("items"))
		return outcome, jobCause(trace, all)
	}
	if _, accepted := lastOf(trace.Lines, event.BatchSubmitted); accepted {
		return "accepted, its end is not in these logs", jobCause(trace, all)
	}
	refused, ok := lastOf(trace.Lines, event.BatchRefused)
	if !ok {
		return "neither accepted nor refused in these logs", jobCause(trace, all)
	}
	outcome = fmt.Sprintf("refused on %s after %d ms", refused.Node, refused.Fields.Int("took_ms"))
	if logCause := logUnreachableCause(refused, all); logCause != "" {
		return outcome, logCause
	}
	return outcome, refused.Fields.String("detail")
}

// jobCause lists all events that may have delayed or failed a job or item.
func jobCause(trace Trace, all []Line) string {
	var causes []string
	if refused, ok := lastOf(trace.Lines, event.BatchRefused); ok {
		causes = append(causes, "a submission was refused: "+cmp.Or(logUnreachableCause(refused, all), refused.Fields.String("detail")))
	}
	executorStarts, coldSeconds := countEvents(trace.Context, event.ExecutorStarted), countEvents(trace.Context, event.ColdWorkWaits)
	if executorStarts > 0 {
		causes = append(causes, fmt.Sprintf("another node took over the execution of the jobs %d time(s)", executorStarts))
	}
	if missing := countEvents(trace.Context, event.WorkerMissing); missing > 0 {
		causes = append(causes, fmt.Sprintf("no node in the regions of region-bound jobs accepted calls, %d time(s)", missing))
	}
	if lost := countEvents(trace.Context, event.WorkerLost); lost > 0 {
		causes = append(causes, fmt.Sprintf("workers in the regions of region-bound jobs were lost %d time(s)", lost))
	}
	if coldSeconds > 0 {
		causes = append(causes, fmt.Sprintf("items waited in %d second(s) for samplers that were or may have been cold and were at their request limit", coldSeconds))
	}
	for _, counted := range []struct {
		number event.Number
		text   string
	}{
		{event.ItemMoved, "runs moved to another sampler"}, {event.ItemRunEnded, "runs ended early"},
		{event.RewardFailed, "reward calls failed"}, {event.ItemDead, "items given up"},
		{event.BatchReadRefused, "reads refused"}, {event.JobUnread, "times its items could not be read"},
	} {
		if number := countEvents(trace.Lines, counted.number); number > 0 {
			causes = append(causes, fmt.Sprintf("%d %s", number, counted.text))
		}
	}
	if zones := evacuationCause(trace.Lines, all); zones != "" {
		causes = append(causes, zones)
	}
	if len(causes) == 0 {
		return "no failure in its log lines"
	}
	return strings.Join(causes, "; ")
}

func diagnoseItem(trace Trace, all []Line) (outcome, cause string) {
	runs := countEvents(trace.Lines, event.ItemStarted)
	details := fmt.Sprintf("%d run(s); %s", runs, jobCause(trace, all))
	if dead, ok := lastOf(trace.Lines, event.ItemDead); ok {
		reason := cmp.Or(dead.Fields.String("detail"), "its runs failed")
		return fmt.Sprintf("given up on %s, %d of its runs failed", dead.Node, dead.Fields.Int("failures")), reason + "; " + details
	}
	if listed, ok := lastOf(trace.Lines, event.ItemListed); ok {
		return "its result is in the log, read by " + listed.Node, details
	}
	return "not given up, and no result known (no item_listed line in these logs)", details + "; " + unfinishedCause(trace, all)
}

// unfinishedCause returns what happened to the node that wrote the last line of a request
// or item.
func unfinishedCause(trace Trace, all []Line) string {
	last := trace.Lines[len(trace.Lines)-1]
	for _, line := range all {
		if line.Node != last.Node || !line.Time.After(last.Time) {
			continue
		}
		switch line.Number {
		case event.NodeStarting:
			return fmt.Sprintf("%s restarted %d ms after its last line: the former process did not finish it", last.Node, line.Time.Sub(last.Time).Milliseconds())
		case event.ExecutorStopped:
			return fmt.Sprintf("%s stopped executing batch jobs %d ms after its last line", last.Node, line.Time.Sub(last.Time).Milliseconds())
		}
	}
	return fmt.Sprintf("its last line is %s on %s", last.Name, last.Node)
}

// failedAttempts lists the failed attempts of a request.
func failedAttempts(lines []Line) string {
	var attempts []string
	for _, line := range lines {
		if line.Number == event.AttemptFailed {
			attempts = append(attempts, fmt.Sprintf("%s at %s after %d ms (%s)", line.Fields.String("ending"), line.Fields.String("back_end"),
				line.Fields.Int("took_ms"), line.Fields.String("detail")))
		}
	}
	return strings.Join(attempts, "; ")
}

// lastOf returns the last line with one of the events.
func lastOf(lines []Line, numbers ...event.Number) (Line, bool) {
	for _, line := range slices.Backward(lines) {
		if slices.Contains(numbers, line.Number) {
			return line, true
		}
	}
	return Line{}, false
}

// lastBefore returns the last line of an event that the node of the given line wrote
// before it, or at the same time.
func lastBefore(all []Line, line Line, number event.Number) (Line, bool) {
	found, ok := Line{}, false
	for _, other := range all {
		if other.Node == line.Node && other.Number == number && !other.Time.After(line.Time) {
			found, ok = other, true
		}
	}
	return found, ok
}

func countEvents(lines []Line, number event.Number) int {
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
