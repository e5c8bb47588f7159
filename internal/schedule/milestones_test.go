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
