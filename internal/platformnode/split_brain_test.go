package platformnode

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/schedule"
)

// Guards against two executors: the log service refused the executor for seven seconds and
// served the other nodes. Both executors sent work to the same samplers until the first one
// reached its limit of eight seconds, and two training steps were five seconds late.
func TestForeignWorkAtSamplersShowsAnotherExecutor(t *testing.T) {
	var d splitBrainDetector
	require.False(t, d.observe(12, 2))
	require.False(t, d.observe(12, 2))
	require.True(t, d.observe(12, 2))
}

func TestFewForeignRunsProveNothing(t *testing.T) {
	var d splitBrainDetector
	for range 10 {
		require.False(t, d.observe(12, 2))
		require.False(t, d.observe(12, 2))
		require.False(t, d.observe(5, 2), "reports are delayed")
	}
}

func TestOnlyAnIsolatedHolderQueriesSamplers(t *testing.T) {
	var d splitBrainDetector
	now := time.Now()
	require.False(t, d.due(false, now))
	require.True(t, d.due(true, now))
	require.False(t, d.due(true, now.Add(splitBrainInterval/2)))
	require.True(t, d.due(true, now.Add(splitBrainInterval)))
	d.observe(12, 0)
	d.observe(12, 0)
	d.due(false, now)
	require.False(t, d.observe(12, 0), "renewing the assignment resets the count")
}

func TestQueriedSamplersAreModelSamplersInRoundRobinOrder(t *testing.T) {
	versions := map[string]uint64{"m": 1}
	loads := []schedule.Load{{ID: "a", Versions: versions}, {ID: "application"}, {ID: "leaving", Leaving: true, Versions: versions}, {ID: "b", Versions: versions}}
	var d splitBrainDetector
	var asked []string
	for range 4 {
		load, ok := d.nextSampler(loads)
		require.True(t, ok)
		asked = append(asked, load.ID)
	}
	require.Equal(t, []string{"b", "a", "b", "a"}, asked)
	_, ok := d.nextSampler(nil)
	require.False(t, ok)
}
