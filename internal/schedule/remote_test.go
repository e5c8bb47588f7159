package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// remoteBench has one job of two items whose runs a worker carries, both started.
func remoteBench(t *testing.T) (*bench, []Start) {
	t.Helper()
	b := newBench(t, sampler("s", 8, 1))
	remote := policy(time.Minute)
	remote.Remote = true
	b.addJob(b.jobOf("j", 1, "a:10", "a:10"), remote, kept{})
	starts := b.starts()
	require.Len(t, starts, 2)
	return b, starts
}

func TestRemoteRunGoesOnFromWhatItsWorkerHolds(t *testing.T) {
	b, starts := remoteBench(t)
	first := starts[0]
	require.True(t, b.s.Resumed(first.Key, first.Run, 7, []uint64{1}))
	b.now = b.now.Add(time.Second)
	require.True(t, b.s.Advanced(first.Key, first.Run, 12, []uint64{1, 2}, b.now))
	require.Empty(t, b.s.Unsaved(1, saved{}, b.now), "the worker saves its texts itself")
	verdict := b.s.RunEnded(first.Key, first.Run, Complete, b.now)
	require.Empty(t, verdict.Finished.Text)
	require.True(t, verdict.Finished.Remote)
	require.Equal(t, []uint64{1, 2}, verdict.Finished.Versions)
	passed, _ := b.s.Settled(first.Key)
	require.EqualValues(t, 12, passed.Events)
}

func TestReportOfAFormerRunIsNotWanted(t *testing.T) {
	b, starts := remoteBench(t)
	first := starts[0]
	b.s.RunEnded(first.Key, first.Run, Broken, b.now)
	require.False(t, b.s.Resumed(first.Key, first.Run, 7, []uint64{1}))
	require.False(t, b.s.Advanced(first.Key, first.Run, 9, []uint64{1}, b.now))
}

func TestLostWorkerLeavesItsItemsToTheNext(t *testing.T) {
	b, starts := remoteBench(t)
	b.s.Advanced(starts[0].Key, starts[0].Run, 3, []uint64{1}, b.now)
	b.s.RunEnded(starts[0].Key, starts[0].Run, Complete, b.now)
	b.s.WorkerLost("j")
	b.s.Hold("j", true)
	require.Empty(t, b.starts(), "nobody carries the job")
	b.s.Hold("j", false)
	require.Len(t, b.starts(), 2, "the text that waited for its score is made again too")
}

func TestTextThatTheWorkerLacksIsMadeAgain(t *testing.T) {
	b, starts := remoteBench(t)
	b.s.Advanced(starts[0].Key, starts[0].Run, 3, []uint64{1}, b.now)
	b.s.RunEnded(starts[0].Key, starts[0].Run, Complete, b.now)
	require.Empty(t, b.starts())
	b.s.Reopen(starts[0].Key)
	again := b.starts()
	require.Len(t, again, 1)
	require.Zero(t, again[0].AfterEvent)
}

// Events of a remote text that a job takes over here would be counted and have no bytes.
func TestTextOfAWorkerIsNotTakenOverHere(t *testing.T) {
	b, starts := remoteBench(t)
	b.s.Advanced(starts[0].Key, starts[0].Run, 3, []uint64{1}, b.now)
	b.s.DropJob("j", b.now)
	b.addJob(b.jobOf("j", 1, "a:10", "a:10"), policy(time.Minute), kept{})
	for _, start := range b.starts() {
		require.Zero(t, start.AfterEvent)
	}
}
