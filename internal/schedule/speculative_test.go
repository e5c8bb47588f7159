package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
)

// newResubmittingHarness returns a harness whose scheduler has observed that jobs of its
// model resubmit groups, and texts of an average length.
func newResubmittingHarness(t *testing.T, averageLength uint64, samplers ...Sampler) *harness {
	t.Helper()
	h := newHarness(t, samplers...)
	h.scheduler.RecordVersion("m", 2)
	h.scheduler.resubmitsGroups["m"] = true
	h.scheduler.recordLength(averageLength)
	return h
}

// startLongItem adds a job with minimum version 1 and one item, reports events of that
// version, and then announces version 3.
func startLongItem(h *harness, events uint64) Start {
	h.t.Helper()
	h.addJob(h.newJob("k", 1, "g:1"), policy(9*time.Second), storedTexts{})
	starts := h.starts()
	require.Len(h.t, starts, 1)
	require.True(h.t, h.sendEvents(starts[0], 1, events, 1))
	h.scheduler.RecordVersion("m", 3)
	return starts[0]
}

// Guards against long items that a job leaves unfinished, that are resubmitted two steps later
// and start from the beginning under newer weights: without speculative runs, a whole step
// waited 7.2 s for them.
func TestSpeculativeRunContinuesInTheJobThatResubmitsTheItem(t *testing.T) {
	h := newResubmittingHarness(t, 4, sampler("old", 4, 1))
	startLongItem(h, 10)
	require.Empty(t, h.starts(), "no sampler serves a version that the later job accepts")
	h.scheduler.SetSamplers([]Sampler{sampler("old", 8, 1), sampler("new", 8, 3)}, h.now)
	speculative := h.starts()
	require.Len(t, speculative, 1)
	require.True(t, speculative[0].Key.Speculative)
	require.Equal(t, "tenant", speculative[0].Job.Tenant, "a speculative run belongs to the tenant of its job")
	require.Equal(t, "new", speculative[0].Sampler.ID)
	require.Zero(t, speculative[0].AfterEvent)
	require.True(t, h.sendEvents(speculative[0], 1, 6, 3))

	require.Len(t, h.scheduler.DropJob("k", h.now), 1, "the run for the job itself stops")
	again := h.newJob("l", 3, "g:1")
	again.items[0].Id = "k-0"
	_, stopped := h.scheduler.AddJob(again.open, again.items, policy(9*time.Second), storedTexts{})
	require.Equal(t, []Key{speculative[0].Key}, stopped)
	resumed := h.starts()
	require.Len(t, resumed, 1)
	require.EqualValues(t, 6, resumed[0].AfterEvent)
	require.False(t, resumed[0].Key.Speculative)
	require.Equal(t, 1, h.scheduler.Loads()[0].Running, "the speculative run has ended")
}

func TestSpeculativelyCompletedTextNeedsOnlyItsScore(t *testing.T) {
	h := newResubmittingHarness(t, 4, sampler("old", 8, 1), sampler("new", 8, 3))
	startLongItem(h, 10)
	speculative := h.starts()[0]
	require.True(t, h.sendEvents(speculative, 1, 3, 3))
	require.Nil(t, h.scheduler.RunEnded(speculative.Key, speculative.Run, Complete, h.now).Finished, "a speculative run gives no result of the open job")
	h.scheduler.DropJob("k", h.now)
	again := h.newJob("l", 3, "g:1")
	again.items[0].Id = "k-0"
	finished := h.addJob(again, policy(9*time.Second), storedTexts{})
	require.Len(t, finished, 1)
	require.Equal(t, "1\n2\n3", string(finished[0].Text))
	require.Equal(t, []uint64{3}, finished[0].Versions)
	require.Empty(t, h.starts())
}

func TestSpeculativeTextOfTooOldVersionIsNotUsed(t *testing.T) {
	h := newResubmittingHarness(t, 4, sampler("old", 8, 1), sampler("new", 8, 3))
	startLongItem(h, 10)
	require.True(t, h.sendEvents(h.starts()[0], 1, 6, 3))
	h.scheduler.DropJob("k", h.now)
	again := h.newJob("l", 4, "g:1")
	again.items[0].Id = "k-0"
	h.addJob(again, policy(9*time.Second), storedTexts{})
	h.scheduler.SetSamplers([]Sampler{sampler("new", 8, 4)}, h.now)
	starts := h.starts()
	require.Len(t, starts, 1)
	require.Zero(t, starts[0].AfterEvent)
}

func TestOnlyLongItemsOfModelsWithResubmittedGroupsRunSpeculatively(t *testing.T) {
	samplers := []Sampler{sampler("old", 8, 1), sampler("new", 8, 3)}
	short := newResubmittingHarness(t, 8, samplers...)
	startLongItem(short, 10)
	require.Empty(t, short.starts())
	withoutResubmits := newResubmittingHarness(t, 4, samplers...)
	delete(withoutResubmits.scheduler.resubmitsGroups, "m")
	startLongItem(withoutResubmits, 10)
	require.Empty(t, withoutResubmits.starts())
}

func TestSpeculativeRunsTakeAFractionOfTheSlots(t *testing.T) {
	h := newResubmittingHarness(t, 1, sampler("old", 8, 1), sampler("new", 8, 3))
	h.addJob(h.newJob("k", 1, "g:1", "g:1", "g:1", "g:1"), policy(9*time.Second), storedTexts{})
	for _, start := range h.starts() {
		require.True(t, h.sendEvents(start, 1, 3, 1))
	}
	h.scheduler.RecordVersion("m", 3)
	require.Len(t, h.starts(), 16/speculativeSlotDivisor)
}

// No speculative run starts after its job has ended, and current ones stop soon after.
func TestSpeculativeRunStopsSoonAfterItsJob(t *testing.T) {
	h := newResubmittingHarness(t, 4, sampler("old", 8, 1), sampler("new", 8, 3))
	startLongItem(h, 10)
	speculative := h.starts()[0]
	require.True(t, h.sendEvents(speculative, 1, 2, 3))
	h.scheduler.DropJob("k", h.now)
	require.Empty(t, h.starts())
	for elapsed := time.Duration(0); elapsed < SpeculativeRunGracePeriod; elapsed += time.Second {
		require.Empty(t, h.scheduler.Moves(h.now))
		h.now = h.now.Add(time.Second)
		require.True(t, h.sendEvents(speculative, uint64(3+elapsed/time.Second), uint64(3+elapsed/time.Second), 3))
	}
	moves := h.scheduler.Moves(h.now)
	require.Len(t, moves, 1)
	require.Equal(t, speculative.Key, moves[0].Key)
	require.Zero(t, h.scheduler.Loads()[0].Running)
}

func TestItemResultStopsItsSpeculativeRun(t *testing.T) {
	h := newResubmittingHarness(t, 4, sampler("old", 8, 1), sampler("new", 8, 3))
	first := startLongItem(h, 10)
	speculative := h.starts()[0]
	_, stopped := h.scheduler.RemoveItem(first.Key)
	require.Equal(t, []Key{first.Key, speculative.Key}, stopped)
	require.False(t, h.sendEvents(speculative, 1, 1, 3))
}

func TestVersionLagOfTheLatestStepCounts(t *testing.T) {
	h := newHarness(t, sampler("s", 1, 1))
	h.scheduler.RecordVersion("m", 4)
	for _, step := range []struct{ number, minVersion uint64 }{{4, 3}, {3, 2}} {
		spec := &pathbendv1.BatchJob{Model: "m", MinVersion: step.minVersion, Step: step.number}
		h.scheduler.recordVersionLag(&job{spec: spec})
	}
	require.EqualValues(t, 1, h.scheduler.versionLags["m"].versions)
}
