package hosted

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/schedule"
)

// The store turned the executor away for seven seconds and served the others. Both
// executors filled the same samplers until the first one's eight seconds were over,
// and two steps came five seconds late (tipline-dub trouble-1).
func TestWorkOfOthersAtSamplersShowsAnotherExecutor(t *testing.T) {
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
		require.False(t, d.observe(5, 2), "reports are late")
	}
}

func TestOnlyAHolderOutOfTouchAsks(t *testing.T) {
	var d splitBrainDetector
	now := time.Now()
	require.False(t, d.due(false, now))
	require.True(t, d.due(true, now))
	require.False(t, d.due(true, now.Add(splitBrainInterval/2)))
	require.True(t, d.due(true, now.Add(splitBrainInterval)))
	d.observe(12, 0)
	d.observe(12, 0)
	d.due(false, now)
	require.False(t, d.observe(12, 0), "what was seen before it was in touch again is over")
}

func TestWitnessesAreModelSamplersInTurn(t *testing.T) {
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
