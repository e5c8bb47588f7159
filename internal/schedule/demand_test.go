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
