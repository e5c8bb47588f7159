package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newRemoteHarness returns a harness with one job whose runs a worker executes, and the
// starts of its two items.
func newRemoteHarness(t *testing.T) (*harness, []Start) {
	t.Helper()
	h := newHarness(t, sampler("s", 8, 1))
	remote := policy(time.Minute)
	remote.Remote = true
	h.addJob(h.newJob("j", 1, "a:10", "a:10"), remote, storedTexts{})
	starts := h.starts()
	require.Len(t, starts, 2)
	return h, starts
}

func TestRemoteRunContinuesFromTheTextOfItsWorker(t *testing.T) {
	h, starts := newRemoteHarness(t)
	first := starts[0]
	require.True(t, h.scheduler.Resumed(first.Key, first.Run, 7, []uint64{1}))
	h.now = h.now.Add(time.Second)
	require.True(t, h.scheduler.RecordEvents(first.Key, first.Run, 12, []uint64{1, 2}, h.now))
	require.Empty(t, h.scheduler.Unsaved(1, loggedProgress{}, h.now), "the worker saves its texts itself")
	verdict := h.scheduler.RunEnded(first.Key, first.Run, Complete, h.now)
	require.Empty(t, verdict.Finished.Text)
	require.True(t, verdict.Finished.Remote)
	require.Equal(t, []uint64{1, 2}, verdict.Finished.Versions)
	milestones, _ := h.scheduler.RemoveItem(first.Key)
	require.EqualValues(t, 12, milestones.Events)
}

func TestReportOfAnEndedRunIsRejected(t *testing.T) {
	h, starts := newRemoteHarness(t)
	first := starts[0]
	h.scheduler.RunEnded(first.Key, first.Run, Broken, h.now)
	require.False(t, h.scheduler.Resumed(first.Key, first.Run, 7, []uint64{1}))
	require.False(t, h.scheduler.RecordEvents(first.Key, first.Run, 9, []uint64{1}, h.now))
}

func TestItemsOfALostWorkerStartAgain(t *testing.T) {
	h, starts := newRemoteHarness(t)
	h.scheduler.RecordEvents(starts[0].Key, starts[0].Run, 3, []uint64{1}, h.now)
	h.scheduler.RunEnded(starts[0].Key, starts[0].Run, Complete, h.now)
	h.scheduler.WorkerLost("j")
	h.scheduler.SetPaused("j", true)
	require.Empty(t, h.starts(), "no worker executes the job")
	h.scheduler.SetPaused("j", false)
	require.Len(t, h.starts(), 2, "the text that waited for its score is generated again too")
}

func TestTextMissingAtTheWorkerIsGeneratedAgain(t *testing.T) {
	h, starts := newRemoteHarness(t)
	h.scheduler.RecordEvents(starts[0].Key, starts[0].Run, 3, []uint64{1}, h.now)
	h.scheduler.RunEnded(starts[0].Key, starts[0].Run, Complete, h.now)
	require.Empty(t, h.starts())
	h.scheduler.Reopen(starts[0].Key)
	again := h.starts()
	require.Len(t, again, 1)
	require.Zero(t, again[0].AfterEvent)
}

// Guards against a local job that adopts a text held by a worker: its events would be counted
// although their bytes are missing.
func TestTextHeldByAWorkerIsNotAdoptedByALocalJob(t *testing.T) {
	h, starts := newRemoteHarness(t)
	h.scheduler.RecordEvents(starts[0].Key, starts[0].Run, 3, []uint64{1}, h.now)
	h.scheduler.DropJob("j", h.now)
	h.addJob(h.newJob("j", 1, "a:10", "a:10"), policy(time.Minute), storedTexts{})
	for _, start := range h.starts() {
		require.Zero(t, start.AfterEvent)
	}
}
