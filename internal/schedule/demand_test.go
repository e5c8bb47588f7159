package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDemandIsThePeakOfLate(t *testing.T) {
	b := newBench(t, sampler("s", 1, 1))
	require.Empty(t, b.s.Demand(b.now), "no job was seen")
	b.addJob(b.jobOf("j", 1, "g:9", "g:9", "g:9"), policy(time.Second), kept{})
	b.starts()
	require.Equal(t, map[string]int{"m": 3}, b.s.Demand(b.now), "running and waiting")
	b.s.DropJob("j", b.now)
	b.now = b.now.Add(demandWindow)
	require.Equal(t, map[string]int{"m": 3}, b.s.Demand(b.now), "the window before counts")
	b.now = b.now.Add(demandWindow)
	require.Empty(t, b.s.Demand(b.now))
}

// A new holder ordered 345 of 3,000 samplers to the newest versions at once, and no step
// found a sampler that had loaded its version for six seconds.
func TestJobsThatAreOverTellANewHolderOfDemand(t *testing.T) {
	now := time.Unix(100, 0)
	s := New(func() uint64 { return 0 })
	s.Wanted("m", 80, now)
	s.Wanted("m", 60, now)
	s.Wanted("n", 8, now)
	require.Equal(t, map[string]int{"m": 80, "n": 8}, s.Demand(now))
	s.Demand(now.Add(demandWindow))
	require.Empty(t, s.Demand(now.Add(2*demandWindow)), "models without work are forgotten as ever")
}
