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
	var w splitBrainDetector
	require.False(t, w.heard(12, 2))
	require.False(t, w.heard(12, 2))
	require.True(t, w.heard(12, 2))
}

func TestFewForeignRunsProveNothing(t *testing.T) {
	var w splitBrainDetector
	for range 10 {
		require.False(t, w.heard(12, 2))
		require.False(t, w.heard(12, 2))
		require.False(t, w.heard(5, 2), "reports are late")
	}
}

func TestOnlyAHolderOutOfTouchAsks(t *testing.T) {
	var w splitBrainDetector
	now := time.Now()
	require.False(t, w.due(false, now))
	require.True(t, w.due(true, now))
	require.False(t, w.due(true, now.Add(splitBrainInterval/2)))
	require.True(t, w.due(true, now.Add(splitBrainInterval)))
	w.heard(12, 0)
	w.heard(12, 0)
	w.due(false, now)
	require.False(t, w.heard(12, 0), "what was seen before it was in touch again is over")
}

func TestWitnessesAreModelSamplersInTurn(t *testing.T) {
	versions := map[string]uint64{"m": 1}
	loads := []schedule.Load{{ID: "a", Versions: versions}, {ID: "application"}, {ID: "leaving", Leaving: true, Versions: versions}, {ID: "b", Versions: versions}}
	var w splitBrainDetector
	var asked []string
	for range 4 {
		load, ok := w.choose(loads)
		require.True(t, ok)
		asked = append(asked, load.ID)
	}
	require.Equal(t, []string{"b", "a", "b", "a"}, asked)
	_, ok := w.choose(nil)
	require.False(t, ok)
}
