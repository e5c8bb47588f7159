package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMilestonesBreakDownTheTimeOfAnItem(t *testing.T) {
	h := newHarness(t, sampler("s", 10, 1))
	h.addJob(h.newJob("j", 1, "g:90", "g:90", "h:90"), policy(9*time.Second), storedTexts{})
	starts := h.starts()
	first := starts[0]
	event := func(run Start, id uint64, after time.Duration) {
		h.now = h.now.Add(after)
		require.True(t, h.scheduler.Progress(run.Key, run.Run, Event{ID: id, Version: 1}, h.now))
	}
	event(first, 1, 20*time.Millisecond)
	event(first, 2, 30*time.Millisecond)
	h.now = h.now.Add(70 * time.Millisecond)
	h.scheduler.RunEnded(first.Key, first.Run, Broken, h.now)
	h.now = h.now.Add(200 * time.Millisecond)
	again := h.starts()
	require.Len(t, again, 1)
	event(again[0], 3, 40*time.Millisecond)
	event(again[0], 4, minStall)
	event(again[0], 5, minStall-time.Millisecond)
	require.NotNil(t, h.scheduler.RunEnded(first.Key, again[0].Run, Complete, h.now).Finished)
	require.True(t, h.scheduler.Scored(first.Key, h.now))

	milestones, _ := h.scheduler.RemoveItem(first.Key)
	require.Equal(t, Durations{Prompt: 60 * time.Millisecond, Paused: 270 * time.Millisecond, Stalled: minStall}, milestones.Durations)
	require.Equal(t, "g", milestones.Group)
	require.Equal(t, 1, milestones.GroupOpen, "the other item of its group has no result yet")
}

// Guards against items waiting 1.5 s at a crashed sampler, thirty times the usual time
// between two events.
func TestRunWithEventsHasAShorterSilenceTimeout(t *testing.T) {
	h := newHarness(t, sampler("s", 10, 1))
	h.addJob(h.newJob("j", 1, "g:90", "g:90"), policy(9*time.Second), storedTexts{})
	starts := h.starts()
	require.True(t, h.sendEvents(starts[0], 1, 5, 1))
	h.now = h.now.Add(minSilenceTimeout)
	require.Empty(t, h.scheduler.Moves(h.now))
	h.now = h.now.Add(time.Millisecond)
	moves := h.scheduler.Moves(h.now)
	require.Len(t, moves, 1, "the mean time to a first event is not known yet")
	require.Equal(t, starts[0].Key, moves[0].Key)
	require.Equal(t, "silent", moves[0].Reason)
}

func TestSilenceTimeoutFollowsThePaceOfTheSampler(t *testing.T) {
	h := newHarness(t, sampler("s", 10, 1))
	h.addJob(h.newJob("j", 1, "g:90"), policy(9*time.Second), storedTexts{})
	start := h.starts()[0]
	for id := range uint64(40) {
		h.now = h.now.Add(100 * time.Millisecond)
		require.True(t, h.scheduler.Progress(start.Key, start.Run, Event{ID: id + 1, Version: 1}, h.now))
	}
	h.now = h.now.Add(1100 * time.Millisecond)
	require.Empty(t, h.scheduler.Moves(h.now))
}

func TestSilenceTimeoutFollowsTheMeanTimeToTheFirstEvent(t *testing.T) {
	h := newHarness(t, sampler("s", 600, 1))
	itemSpecs := make([]string, 500)
	for i := range itemSpecs {
		itemSpecs[i] = "g:90"
	}
	h.addJob(h.newJob("j", 1, itemSpecs...), policy(9*time.Second), storedTexts{})
	for _, start := range h.starts() {
		require.True(t, h.scheduler.Progress(start.Key, start.Run, Event{ID: 1, Version: 1}, h.now.Add(20*time.Millisecond)))
	}
	h.now = h.now.Add(100 * time.Millisecond)
	h.addJob(h.newJob("k", 1, "g:90"), policy(9*time.Second), storedTexts{})
	start := h.starts()[0]
	h.now = h.now.Add(minSilenceTimeout + time.Millisecond)
	var moved []Key
	for _, move := range h.scheduler.Moves(h.now) {
		moved = append(moved, move.Key)
	}
	require.Contains(t, moved, start.Key)
}

// Guards against starting runs at samplers that are already unresponsive: 67 of the 102
// silent runs of one day had been started at such samplers.
func TestUnresponsiveSamplerGetsOneItemUntilItMakesAnEvent(t *testing.T) {
	h := newHarness(t, sampler("dark", 4, 1))
	h.addJob(h.newJob("j", 1, "g:90", "g:90", "g:90"), policy(9*time.Second), storedTexts{})
	require.Len(t, h.starts(), 3)
	h.now = h.now.Add(maxSilenceTimeout + time.Millisecond)
	require.Len(t, h.scheduler.Moves(h.now), 3)
	h.now = h.now.Add(maxBackoff)
	probe := h.starts()
	require.Len(t, probe, 1)
	h.now = h.now.Add(20 * time.Millisecond)
	require.True(t, h.scheduler.Progress(probe[0].Key, probe[0].Run, Event{ID: 1, Version: 1}, h.now))
	require.Len(t, h.starts(), 2)
}
