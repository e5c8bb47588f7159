package explain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/event"
)

var baseTime = time.Date(2026, 5, 1, 10, 0, 0, 0, time.UTC)

// logBuilder builds log lines as nodes write them.
type logBuilder struct{ text strings.Builder }

// add adds a line of a node, ms milliseconds after baseTime. fields are JSON members.
func (l *logBuilder) add(ms int, node string, number event.Number, fields string) {
	name := ""
	for _, definition := range event.Definitions() {
		if definition.Number == number {
			name = definition.Name
		}
	}
	if fields != "" {
		fields = "," + fields
	}
	timestamp := baseTime.Add(time.Duration(ms) * time.Millisecond).Format(time.RFC3339Nano)
	fmt.Fprintf(&l.text, "   1.0 %s {\"time\":%q,\"level\":\"INFO\",\"msg\":%q,\"node\":%q,\"event\":%d%s}\n", node, timestamp, name, node, number, fields)
}

func (l *logBuilder) trace(t *testing.T, id string) Trace {
	t.Helper()
	lines, _, err := Read(strings.NewReader(l.text.String()))
	require.NoError(t, err)
	return NewTrace(id, lines)
}

func TestReadSkipsLinesOfOtherPrograms(t *testing.T) {
	lines, skipped, err := Read(strings.NewReader("built in 1 s\n{\"time\":\"no\"}\n{}\n  3.2 a {\"time\":\"2026-05-01T10:00:00Z\",\"msg\":\"node_ready\",\"node\":\"a\",\"event\":102,\"version\":7}\n"))
	require.NoError(t, err)
	require.Equal(t, 3, skipped)
	require.Len(t, lines, 1)
	require.Equal(t, "a", lines[0].Node)
	require.Equal(t, event.NodeReady, lines[0].Number)
	require.Equal(t, 7, lines[0].Fields.Int("version"))
}

func TestTraceOrdersLinesOfSeveralNodesByTime(t *testing.T) {
	var l logBuilder
	l.add(50, "b", event.RequestServed, `"request_id":"r","status":200,"attempts":1,"back_end":"s","took_ms":9`)
	l.add(10, "a", event.RequestRefused, `"request_id":"r","code":2002`)
	l.add(20, "a", event.RequestServed, `"request_id":"other"`)
	trace := l.trace(t, "r")
	require.Equal(t, Request, trace.Kind)
	require.Len(t, trace.Lines, 2)
	require.Equal(t, "a", trace.Lines[0].Node)
	require.Contains(t, trace.Outcome, "answered with status 200 by s on b")
}

func TestCauseOfRefusalAfterNodeStart(t *testing.T) {
	var l logBuilder
	l.add(0, "a", event.NodeStarting, "")
	l.add(400, "a", event.RequestRefused, `"request_id":"r","code":2002,"detail":"no configuration yet"`)
	trace := l.trace(t, "r")
	require.Contains(t, trace.Outcome, "refused on a: 2002")
	require.Equal(t, "the node had started 400 ms earlier", trace.Cause)
	require.Len(t, trace.Context, 1)
}

func TestCauseOfRefusedJobNamesNodesThatCannotReachTheLog(t *testing.T) {
	for _, test := range []struct {
		nodes []string
		cause string
	}{
		{[]string{"a"}, "the log service was unreachable for a, but not for all nodes"},
		{[]string{"a", "b", "c"}, "the log service was unreachable for every node"},
	} {
		var l logBuilder
		for _, node := range []string{"a", "b", "c"} {
			l.add(0, node, event.NodeReady, "")
		}
		for _, node := range test.nodes {
			l.add(5000, node, event.LogReadFailed, `"topic":"jobs"`)
		}
		l.add(6000, "a", event.BatchRefused, `"job_id":"j","took_ms":2500,"detail":"5003"`)
		trace := l.trace(t, "j")
		require.Equal(t, BatchJob, trace.Kind)
		require.Equal(t, "refused on a after 2500 ms", trace.Outcome)
		require.Equal(t, test.cause, trace.Cause)
	}
}

func TestCauseNamesGapInLinesOfNode(t *testing.T) {
	var l logBuilder
	l.add(0, "a", event.RequestServed, `"request_id":"earlier"`)
	l.add(6000, "a", event.AttemptFailed, `"request_id":"r","ending":"not_sent","back_end":"s"`)
	l.add(6000, "a", event.RequestGivenUp, `"request_id":"r","attempts":1,"code":2008`)
	require.Contains(t, l.trace(t, "r").Cause, "wrote no log line for the previous 6.0 s")
}

func TestCauseOfGivenUpItemCountsRewardCalls(t *testing.T) {
	var l logBuilder
	l.add(0, "a", event.ItemStarted, `"job_id":"j","item_id":"i","sampler":"s"`)
	for attempt := range 4 {
		l.add(100+attempt, "a", event.RewardFailed, `"job_id":"j","item_id":"i","reward_id":"w"`)
	}
	l.add(200, "a", event.ItemDead, `"job_id":"j","item_id":"i","failures":0,"detail":"its reward call failed too often"`)
	trace := l.trace(t, "i")
	require.Equal(t, Item, trace.Kind)
	require.Contains(t, trace.Outcome, "given up on a")
	require.Contains(t, trace.Cause, "its reward call failed too often; 1 run(s); 4 reward calls failed")
	require.Equal(t, BatchJob, l.trace(t, "j").Kind)
	require.Equal(t, RewardCall, l.trace(t, "w").Kind)
}

func TestCauseNamesWaitForColdSamplers(t *testing.T) {
	var l logBuilder
	l.add(0, "a", event.ColdWorkWaits, `"waiting":12,"samplers":3,"cold":3`)
	l.add(900, "a", event.ItemStarted, `"job_id":"j","item_id":"i","sampler":"s"`)
	l.add(1900, "a", event.ItemListed, `"job_id":"j","item_id":"i"`)
	require.Contains(t, l.trace(t, "i").Cause, "items waited in 1 second(s) for samplers that were or may have been cold")
}

func TestCauseNamesRestartOfNode(t *testing.T) {
	var l logBuilder
	l.add(0, "a", event.AttemptFailed, `"request_id":"r","ending":"lost"`)
	l.add(900, "a", event.NodeStarting, "")
	trace := l.trace(t, "r")
	require.Equal(t, "no node finished it", trace.Outcome)
	require.Contains(t, trace.Cause, "restarted 900 ms after")
}

func TestUnknownIDAsksForMoreLogsOrReportsDroppedLines(t *testing.T) {
	var l logBuilder
	l.add(0, "a", event.NodeReady, "")
	require.Contains(t, l.trace(t, "x").Cause, "pass the logs of more nodes")
	l.add(1, "a", event.LinesDropped, "")
	require.Contains(t, l.trace(t, "x").Cause, "dropped log lines 1 times")
}

func TestCauseNamesEvacuatedZones(t *testing.T) {
	var l logBuilder
	l.add(0, "a", event.ZoneEvacuated, `"zone":"z1"`)
	l.add(1, "b", event.ZoneEvacuated, `"zone":"z3"`)
	l.add(9000, "a", event.RequestGivenUp, `"request_id":"r","attempts":0,"code":2010,"detail":"all out"`)
	l.add(9100, "a", event.ItemStarted, `"job_id":"j","item_id":"i","sampler":"s"`)
	l.add(9200, "a", event.ZoneTakenBack, `"zone":"z1"`)
	l.add(9300, "a", event.ItemListed, `"job_id":"j","item_id":"i"`)
	l.add(9400, "a", event.RequestGivenUp, `"request_id":"later","attempts":0,"code":2006,"detail":"none"`)
	require.Equal(t, "zones evacuated at the time: z1", l.trace(t, "r").Cause)
	require.Contains(t, l.trace(t, "r").Outcome, "2010 zone_evacuated")
	require.Contains(t, l.trace(t, "i").Cause, "zones evacuated at the time: z1")
	require.Equal(t, "none", l.trace(t, "later").Cause)
}

func TestCauseOfRefusalNamesRegions(t *testing.T) {
	l := &logBuilder{}
	l.add(5, "a", event.RequestRefused, `"request_id":"r1","code":2011,"detail":"no region of this deployment is in [west]"`)
	trace := l.trace(t, "r1")
	require.Contains(t, trace.Cause, "bound to regions")
	require.Contains(t, trace.Cause, "[west]")
	l.add(9, "a", event.RequestGivenUp, `"request_id":"r2","code":2011,"attempts":0,"detail":"no live back end in pool \"p\" in [south]"`)
	require.Contains(t, l.trace(t, "r2").Cause, "[south]")
}

func TestCauseNamesMissingNodeInRegionsOfJob(t *testing.T) {
	l := &logBuilder{}
	l.add(0, "a", event.BatchSubmitted, `"job_id":"j1"`)
	l.add(40, "a", event.WorkerMissing, `"jobs":1`)
	l.add(900, "a", event.BatchEnded, `"job_id":"j1","listed":0,"items":4`)
	require.Contains(t, l.trace(t, "j1").Cause, "no node in the regions")
}
