package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMilestonesSplitTheTimeOfAnItem(t *testing.T) {
	b := newBench(t, sampler("s", 10, 1))
	b.addJob(b.jobOf("j", 1, "g:90", "g:90", "h:90"), policy(9*time.Second), kept{})
	starts := b.starts()
	first := starts[0]
	event := func(run Start, id uint64, after time.Duration) {
		b.now = b.now.Add(after)
		require.True(t, b.s.Progress(run.Key, run.Run, Event{ID: id, Version: 1}, b.now))
	}
	event(first, 1, 20*time.Millisecond)
	event(first, 2, 30*time.Millisecond)
	b.now = b.now.Add(70 * time.Millisecond)
	b.s.RunEnded(first.Key, first.Run, Broken, b.now)
	b.now = b.now.Add(200 * time.Millisecond)
	again := b.starts()
	require.Len(t, again, 1)
	event(again[0], 3, 40*time.Millisecond)
	event(again[0], 4, stallFrom)
	event(again[0], 5, stallFrom-time.Millisecond)
	require.NotNil(t, b.s.RunEnded(first.Key, again[0].Run, Complete, b.now).Finished)
	require.True(t, b.s.Scored(first.Key, b.now))

	passed, _ := b.s.Settled(first.Key)
	require.Equal(t, Spent{Prompt: 60 * time.Millisecond, Paused: 270 * time.Millisecond, Stalled: stallFrom}, passed.Spent)
	require.Equal(t, "g", passed.Group)
	require.Equal(t, 1, passed.GroupOpen, "the other item of its group has no result yet")
}

// Items on a sampler that died waited 1.5 s, thirty times as long as between two events.
func TestRunThatMadeEventsMovesAfterAShorterSilence(t *testing.T) {
	b := newBench(t, sampler("s", 10, 1))
	b.addJob(b.jobOf("j", 1, "g:90", "g:90"), policy(9*time.Second), kept{})
	starts := b.starts()
	require.True(t, b.feed(starts[0], 1, 5, 1))
	b.now = b.now.Add(shortestSilence)
	require.Empty(t, b.s.Moves(b.now))
	b.now = b.now.Add(time.Millisecond)
	moves := b.s.Moves(b.now)
	require.Len(t, moves, 1, "nothing is known yet of how long a first event takes")
	require.Equal(t, starts[0].Key, moves[0].Key)
	require.Equal(t, "silent", moves[0].Reason)
}

func TestSlowSamplersRunsAreGivenTheTimeOfItsEvents(t *testing.T) {
	b := newBench(t, sampler("s", 10, 1))
	b.addJob(b.jobOf("j", 1, "g:90"), policy(9*time.Second), kept{})
	start := b.starts()[0]
	for id := range uint64(40) {
		b.now = b.now.Add(100 * time.Millisecond)
		require.True(t, b.s.Progress(start.Key, start.Run, Event{ID: id + 1, Version: 1}, b.now))
	}
	b.now = b.now.Add(1100 * time.Millisecond)
	require.Empty(t, b.s.Moves(b.now))
}

func TestRunsWithoutAFirstEventMoveSoonerOnceItsUsualTimeIsKnown(t *testing.T) {
	b := newBench(t, sampler("s", 600, 1))
	words := make([]string, 500)
	for i := range words {
		words[i] = "g:90"
	}
	b.addJob(b.jobOf("j", 1, words...), policy(9*time.Second), kept{})
	for _, start := range b.starts() {
		require.True(t, b.s.Progress(start.Key, start.Run, Event{ID: 1, Version: 1}, b.now.Add(20*time.Millisecond)))
	}
	b.now = b.now.Add(100 * time.Millisecond)
	b.addJob(b.jobOf("k", 1, "g:90"), policy(9*time.Second), kept{})
	start := b.starts()[0]
	b.now = b.now.Add(shortestSilence + time.Millisecond)
	var moved []Key
	for _, move := range b.s.Moves(b.now) {
		moved = append(moved, move.Key)
	}
	require.Contains(t, moved, start.Key)
}

// Of 102 silent runs of a day, 67 had been started at samplers that were dark already.
func TestSamplerThatWentDarkGetsOneItemUntilItMakesAnEvent(t *testing.T) {
	b := newBench(t, sampler("dark", 4, 1))
	b.addJob(b.jobOf("j", 1, "g:90", "g:90", "g:90"), policy(9*time.Second), kept{})
	require.Len(t, b.starts(), 3)
	b.now = b.now.Add(silenceLimit + time.Millisecond)
	require.Len(t, b.s.Moves(b.now), 3)
	b.now = b.now.Add(maxPause)
	probe := b.starts()
	require.Len(t, probe, 1)
	b.now = b.now.Add(20 * time.Millisecond)
	require.True(t, b.s.Progress(probe[0].Key, probe[0].Run, Event{ID: 1, Version: 1}, b.now))
	require.Len(t, b.starts(), 2)
}
