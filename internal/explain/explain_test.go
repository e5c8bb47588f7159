package explain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/event"
)

var start = time.Date(2026, 5, 1, 10, 0, 0, 0, time.UTC)

// log collects lines as nodes write them.
type log struct{ text strings.Builder }

// add writes a line of a node at a time in milliseconds; fields are JSON members.
func (l *log) add(ms int, node string, number event.Number, fields string) {
	name := ""
	for _, definition := range event.Definitions() {
		if definition.Number == number {
			name = definition.Name
		}
	}
	if fields != "" {
		fields = "," + fields
	}
	at := start.Add(time.Duration(ms) * time.Millisecond).Format(time.RFC3339Nano)
	fmt.Fprintf(&l.text, "   1.0 %s {\"time\":%q,\"level\":\"INFO\",\"msg\":%q,\"node\":%q,\"event\":%d%s}\n", node, at, name, node, number, fields)
}

func (l *log) tell(t *testing.T, id string) Story {
	t.Helper()
	lines, _, err := Read(strings.NewReader(l.text.String()))
	require.NoError(t, err)
	return Tell(id, lines)
}

func TestLinesOfOtherProgramsArePassedOver(t *testing.T) {
	lines, skipped, err := Read(strings.NewReader("built in 1 s\n{\"time\":\"no\"}\n{}\n  3.2 a {\"time\":\"2026-05-01T10:00:00Z\",\"msg\":\"node_ready\",\"node\":\"a\",\"event\":102,\"version\":7}\n"))
	require.NoError(t, err)
	require.Equal(t, 3, skipped)
	require.Len(t, lines, 1)
	require.Equal(t, "a", lines[0].Node)
	require.Equal(t, event.NodeReady, lines[0].Number)
	require.Equal(t, 7, lines[0].Fields.Count("version"))
}

func TestLinesOfSeveralNodesStandInTimeOrder(t *testing.T) {
	var l log
	l.add(50, "b", event.RequestServed, `"request_id":"r","status":200,"attempts":1,"back_end":"s","took_ms":9`)
	l.add(10, "a", event.RequestRefused, `"request_id":"r","code":2002`)
	l.add(20, "a", event.RequestServed, `"request_id":"other"`)
	story := l.tell(t, "r")
	require.Equal(t, Request, story.Kind)
	require.Len(t, story.Lines, 2)
	require.Equal(t, "a", story.Lines[0].Node)
	require.Contains(t, story.Outcome, "answered with status 200 by s on b")
}

func TestRefusalJustAfterAStartIsToldAsSuch(t *testing.T) {
	var l log
	l.add(0, "a", event.NodeStarting, "")
	l.add(400, "a", event.RequestRefused, `"request_id":"r","code":2002,"detail":"no configuration yet"`)
	story := l.tell(t, "r")
	require.Contains(t, story.Outcome, "refused on a: 2002")
	require.Equal(t, "the node had started 400 ms before", story.Cause)
	require.Len(t, story.Around, 1)
}

func TestRefusedJobIsTracedToTheLogOfOneNodeOrOfAll(t *testing.T) {
	for _, cut := range []struct {
		nodes []string
		cause string
	}{
		{[]string{"a"}, "the log service was out of reach for a, not for all nodes"},
		{[]string{"a", "b", "c"}, "the log service was out of reach for every node"},
	} {
		var l log
		for _, node := range []string{"a", "b", "c"} {
			l.add(0, node, event.NodeReady, "")
		}
		for _, node := range cut.nodes {
			l.add(5000, node, event.LogReadFailed, `"topic":"jobs"`)
		}
		l.add(6000, "a", event.BatchRefused, `"job_id":"j","took_ms":2500,"detail":"5003"`)
		story := l.tell(t, "j")
		require.Equal(t, Job, story.Kind)
		require.Equal(t, "refused on a after 2500 ms", story.Outcome)
		require.Equal(t, cut.cause, story.Cause)
	}
}

func TestStandstillOfANodeIsSeenInItsLines(t *testing.T) {
	var l log
	l.add(0, "a", event.RequestServed, `"request_id":"earlier"`)
	l.add(6000, "a", event.AttemptFailed, `"request_id":"r","ending":"not_sent","back_end":"s"`)
	l.add(6000, "a", event.RequestGivenUp, `"request_id":"r","attempts":1,"code":2008`)
	require.Contains(t, l.tell(t, "r").Cause, "wrote nothing for 6.0 s")
}

func TestGivenUpItemNamesItsRewardCalls(t *testing.T) {
	var l log
	l.add(0, "a", event.ItemStarted, `"job_id":"j","item_id":"i","sampler":"s"`)
	for attempt := range 4 {
		l.add(100+attempt, "a", event.RewardFailed, `"job_id":"j","item_id":"i","reward_id":"w"`)
	}
	l.add(200, "a", event.ItemDead, `"job_id":"j","item_id":"i","failures":0,"detail":"its reward call failed too often"`)
	story := l.tell(t, "i")
	require.Equal(t, Item, story.Kind)
	require.Contains(t, story.Outcome, "given up on a")
	require.Contains(t, story.Cause, "its reward call failed too often; 1 run(s); 4 reward calls failed")
	require.Equal(t, Job, l.tell(t, "j").Kind)
	require.Equal(t, RewardCall, l.tell(t, "w").Kind)
}

func TestItemThatWaitedForColdSamplersIsTold(t *testing.T) {
	var l log
	l.add(0, "a", event.ColdWorkWaits, `"waiting":12,"samplers":3,"cold":3`)
	l.add(900, "a", event.ItemStarted, `"job_id":"j","item_id":"i","sampler":"s"`)
	l.add(1900, "a", event.ItemListed, `"job_id":"j","item_id":"i"`)
	require.Contains(t, l.tell(t, "i").Cause, "items waited in 1 second(s) for samplers that are cold")
}

func TestRequestOnALostProcessIsTold(t *testing.T) {
	var l log
	l.add(0, "a", event.AttemptFailed, `"request_id":"r","ending":"lost"`)
	l.add(900, "a", event.NodeStarting, "")
	story := l.tell(t, "r")
	require.Equal(t, "no node finished it", story.Outcome)
	require.Contains(t, story.Cause, "started again 900 ms after")
}

func TestUnknownIDAsksForMoreLogsOrTellsOfDroppedLines(t *testing.T) {
	var l log
	l.add(0, "a", event.NodeReady, "")
	require.Contains(t, l.tell(t, "x").Cause, "give the logs of more nodes")
	l.add(1, "a", event.LinesDropped, "")
	require.Contains(t, l.tell(t, "x").Cause, "dropped lines 1 times")
}

func TestEvacuationIsNamedAsTheReason(t *testing.T) {
	var l log
	l.add(0, "a", event.ZoneEvacuated, `"zone":"z1"`)
	l.add(1, "b", event.ZoneEvacuated, `"zone":"z3"`)
	l.add(9000, "a", event.RequestGivenUp, `"request_id":"r","attempts":0,"code":2010,"detail":"all out"`)
	l.add(9100, "a", event.ItemStarted, `"job_id":"j","item_id":"i","sampler":"s"`)
	l.add(9200, "a", event.ZoneTakenBack, `"zone":"z1"`)
	l.add(9300, "a", event.ItemListed, `"job_id":"j","item_id":"i"`)
	l.add(9400, "a", event.RequestGivenUp, `"request_id":"later","attempts":0,"code":2006,"detail":"none"`)
	require.Equal(t, "evacuated meanwhile: z1", l.tell(t, "r").Cause)
	require.Contains(t, l.tell(t, "r").Outcome, "2010 zone_evacuated")
	require.Contains(t, l.tell(t, "i").Cause, "evacuated meanwhile: z1")
	require.Equal(t, "none", l.tell(t, "later").Cause)
}

func TestRefusalNamesTheRegions(t *testing.T) {
	l := &log{}
	l.add(5, "a", event.RequestRefused, `"request_id":"r1","code":2011,"detail":"no region of this deployment is in [west]"`)
	story := l.tell(t, "r1")
	require.Contains(t, story.Cause, "bound to regions")
	require.Contains(t, story.Cause, "[west]")
	l.add(9, "a", event.RequestGivenUp, `"request_id":"r2","code":2011,"attempts":0,"detail":"no live back end in pool \"p\" in [south]"`)
	require.Contains(t, l.tell(t, "r2").Cause, "[south]")
}

func TestJobWithoutANodeInItsRegionsIsExplained(t *testing.T) {
	l := &log{}
	l.add(0, "a", event.BatchSubmitted, `"job_id":"j1"`)
	l.add(40, "a", event.WorkerMissing, `"jobs":1`)
	l.add(900, "a", event.BatchEnded, `"job_id":"j1","listed":0,"items":4`)
	require.Contains(t, l.tell(t, "j1").Cause, "no node in the regions")
}
