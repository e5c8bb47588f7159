package explain

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/event"
)

func TestStepsComputesTimesFromLines(t *testing.T) {
	for _, completed := range []string{"completed_ms_ago", "whole_ms_ago"} {
		testStepTimes(t, completed)
	}
}

// testStepTimes reads lines that hold the completion time of the text in the given field.
func testStepTimes(t *testing.T, completed string) {
	t.Helper()
	var l logBuilder
	l.add(100, "a", event.BatchSubmitted, `"job_id":"j","model":"m","step":3,"items":2`)
	l.add(150, "b", event.ItemStarted, `"job_id":"j","item_id":"x"`)
	l.add(350, "b", event.ItemStarted, `"job_id":"j","item_id":"y"`)
	l.add(900, "b", event.ItemListed, `"job_id":"j","item_id":"x","events":4,"sampler":"s","`+completed+`":60,"scored_ms_ago":30`)
	l.add(2000, "b", event.ItemListed, `"job_id":"j","item_id":"y","events":9,"sampler":"t","`+completed+`":90,"scored_ms_ago":-1`)
	l.add(2300, "b", event.BatchEnded, `"job_id":"j"`)
	l.add(2400, "c", event.ItemListed, `"job_id":"j","item_id":"late"`)
	l.add(50, "a", event.ItemStarted, `"job_id":"unknown","item_id":"x"`)
	lines, _, err := Read(strings.NewReader(l.text.String()))
	require.NoError(t, err)
	steps := Steps(lines)
	require.Len(t, steps, 1, "a job whose submission no line shows must be omitted")
	step := steps[0]
	require.Equal(t, 3, step.Number)
	require.Equal(t, 50*time.Millisecond, step.SinceSubmission(step.FirstStart))
	require.Equal(t, 250*time.Millisecond, step.SinceSubmission(step.LastStart))
	require.Equal(t, 1810*time.Millisecond, step.SinceSubmission(step.LastCompleted))
	require.Negative(t, step.SinceSubmission(step.LastScored))
	require.Equal(t, 1900*time.Millisecond, step.SinceSubmission(step.LastResult))
	require.Equal(t, 2200*time.Millisecond, step.SinceSubmission(step.Ended))
	require.Equal(t, []any{2, 2, "y", 9, "t"}, []any{step.RunCount, step.ResultCount, step.LastItem, step.LastItemEvents, step.LastItemSampler})
}

// endedStep returns a step with two groups, of which the trainer waits for one.
func endedStep(t *testing.T) Step {
	t.Helper()
	var l logBuilder
	l.add(100, "a", event.BatchSubmitted, `"job_id":"j","model":"m","step":3,"items":3,"wanted_groups":1,"took_ms":40`)
	l.add(150, "b", event.ItemStarted, `"job_id":"j","item_id":"x"`)
	l.add(700, "b", event.ItemListed, `"job_id":"j","item_id":"x","group":"g","group_open":1,"started_ms_ago":550,"completed_ms_ago":50,"scored_ms_ago":20`)
	l.add(2000, "b", event.ItemListed, `"job_id":"j","item_id":"y","group":"g","group_open":0,"events":9,"runs":2,"expected_tokens":400,`+
		`"started_ms_ago":1800,"completed_ms_ago":90,"scored_ms_ago":60,"prompt_ms":30,"paused_ms":100,"stalled_ms":200`)
	l.add(2050, "c", event.ItemListed, `"job_id":"j","item_id":"y","group":"","group_open":0,"started_ms_ago":-1,"completed_ms_ago":-1`)
	l.add(2100, "b", event.ItemListed, `"job_id":"j","item_id":"z","group":"h","group_open":0,"started_ms_ago":1800,"completed_ms_ago":10,"scored_ms_ago":10`)
	l.add(2600, "b", event.BatchEnded, `"job_id":"j"`)
	lines, _, err := Read(strings.NewReader(l.text.String()))
	require.NoError(t, err)
	steps := Steps(lines)
	require.Len(t, steps, 1)
	return steps[0]
}

func TestCriticalPathFollowsItemThatCompletedLastWantedGroup(t *testing.T) {
	step := endedStep(t)
	require.Equal(t, 3, step.ResultCount, "a result that a former executor reads again must count once")
	require.NotNil(t, step.CriticalPath)
	require.Equal(t, CriticalPath{
		ItemID: "y", Events: 9, ExpectedTokens: 400, Runs: 2, Submit: 40 * time.Millisecond, Weights: 50 * time.Millisecond,
		Queue: 50 * time.Millisecond, Prompt: 30 * time.Millisecond, Paused: 100 * time.Millisecond, Stalled: 200 * time.Millisecond,
		Tokens: 1380 * time.Millisecond, Reward: 30 * time.Millisecond, List: 60 * time.Millisecond, Read: 600 * time.Millisecond,
	}, *step.CriticalPath)
	require.Equal(t, step.SubmitDuration+step.SinceSubmission(step.Ended), step.CriticalPath.Total(), "the phases must add up to the duration of the step")
}

func TestMeanCriticalPathOmitsStepsThatDidNotEnd(t *testing.T) {
	step := endedStep(t)
	mean, ended := MeanCriticalPath([]Step{step, {}, step})
	require.Equal(t, 2, ended)
	require.Equal(t, step.CriticalPath.Total(), mean.Total())
	_, ended = MeanCriticalPath([]Step{{}})
	require.Zero(t, ended)
}
