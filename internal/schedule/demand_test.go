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
