package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDemandIsTheRecentPeak(t *testing.T) {
	h := newHarness(t, sampler("s", 1, 1))
	require.Empty(t, h.scheduler.PeakDemand(h.now), "no job was added yet")
	h.addJob(h.newJob("j", 1, "g:9", "g:9", "g:9"), policy(time.Second), storedTexts{})
	h.starts()
	require.Equal(t, map[string]int{"m": 3}, h.scheduler.PeakDemand(h.now), "running and waiting items count")
	h.scheduler.DropJob("j", h.now)
	h.now = h.now.Add(demandWindow)
	require.Equal(t, map[string]int{"m": 3}, h.scheduler.PeakDemand(h.now), "the previous window counts")
	h.now = h.now.Add(demandWindow)
	require.Empty(t, h.scheduler.PeakDemand(h.now))
}

// Guards against a new executor that does not know the demand of models whose jobs ended
// before: it ordered 345 of 3,000 samplers to the newest versions at once, and for six seconds
// no step found a sampler that had loaded its version.
func TestDemandIncludesEndedJobsReportedToANewExecutor(t *testing.T) {
	now := time.Unix(100, 0)
	s := New(func() uint64 { return 0 })
	s.RecordDemand("m", 80, now)
	s.RecordDemand("m", 60, now)
	s.RecordDemand("n", 8, now)
	require.Equal(t, map[string]int{"m": 80, "n": 8}, s.PeakDemand(now))
	s.PeakDemand(now.Add(demandWindow))
	require.Empty(t, s.PeakDemand(now.Add(2*demandWindow)), "models without work are removed after two windows")
}

// Guards against a first version that is announced after the only job of its model has ended:
// the demand was first recorded when any version was announced, so that the model got an even
// share of the fleet, which was all of it.
func TestDemandIsKnownOfAJobThatEndedBeforeTheDemandWasRead(t *testing.T) {
	h := newHarness(t, sampler("s", 1, 1))
	h.addJob(h.newJob("j", 1, "g:9", "g:9", "g:9"), policy(time.Second), storedTexts{})
	h.addJob(h.newJob("k", 1, "g:9", "g:9"), policy(time.Second), storedTexts{})
	h.scheduler.DropJob("j", h.now)
	h.scheduler.DropJob("k", h.now)
	require.Equal(t, map[string]int{"m": 5}, h.scheduler.PeakDemand(h.now))
	require.Equal(t, map[string]int{"m": 5}, h.scheduler.ExpectedDemand(h.now))
}

// No job is submitted while an outage lasts. The demand of the models is not unknown after it.
func TestExpectedDemandOutlastsAnOutage(t *testing.T) {
	h := newHarness(t, sampler("s", 1, 1))
	h.addJob(h.newJob("j", 1, "g:9", "g:9", "g:9"), policy(time.Second), storedTexts{})
	h.scheduler.DropJob("j", h.now)
	for range 10 {
		h.now = h.now.Add(demandWindow)
		require.Equal(t, map[string]int{"m": 3}, h.scheduler.ExpectedDemand(h.now))
	}
	require.Empty(t, h.scheduler.PeakDemand(h.now))
	h.addJob(h.newJob("k", 1, "g:9"), policy(time.Second), storedTexts{})
	require.Equal(t, map[string]int{"m": 1}, h.scheduler.ExpectedDemand(h.now), "the latest job replaces earlier ones")
	h.scheduler.RecordDemand("m", 0, h.now)
	require.Equal(t, map[string]int{"m": 1}, h.scheduler.ExpectedDemand(h.now), "a job without unfinished items tells nothing")
}
