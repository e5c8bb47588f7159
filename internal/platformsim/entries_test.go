package platformsim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Samplers restart under their ids one after the other, and each time the previous incarnation
// writes its entry once more. No rule is violated and training steps continue.
func TestSamplersRestartUnderTheirIDs(t *testing.T) {
	var faults []Fault
	for sampler := range uint64(9) {
		faults = append(faults, Fault{Kind: SamplerRestarted, At: time.Duration(4+4*sampler) * time.Second, For: 2 * time.Second, Target: sampler})
	}
	logs := &logBuffer{}
	world := runSimulation(t, exampleOptions(310, logs), faults)
	require.Empty(t, world.Checker.Violations())
	counts := world.Checker.counts
	require.Equal(t, 9, counts["samplers restarted"], counts)
	require.GreaterOrEqual(t, counts["steps whole"], counts["steps"]-2, counts)
	require.Contains(t, logs.String(), `"msg":"endpoint_restarted"`)
}

// Invalid entries of another writer define no sampler, even under the key of a real one. All
// other entries stay valid, and nodes that start later skip the invalid records.
func TestEntriesOfAnotherWriterNameNoSampler(t *testing.T) {
	faults := []Fault{
		{Kind: ForeignEntries, At: 4 * time.Second, For: 6 * time.Second, Target: 1},
		{Kind: ForeignEntries, At: 12 * time.Second, For: 6 * time.Second, Target: 7},
		{Kind: KillAllNodes, At: 15 * time.Second, For: 2 * time.Second},
		{Kind: StoreDropsHistory, At: 20 * time.Second},
		{Kind: ForeignEntries, At: 26 * time.Second, For: 6 * time.Second, Target: 12},
	}
	logs := &logBuffer{}
	world := runSimulation(t, exampleOptions(311, logs), faults)
	require.Empty(t, world.Checker.Violations())
	counts := world.Checker.counts
	require.Equal(t, 3, counts["foreign entries"], counts)
	require.GreaterOrEqual(t, counts["steps whole"], counts["steps"]-4, counts)
	require.Contains(t, logs.String(), `"msg":"record_skipped"`)
}
