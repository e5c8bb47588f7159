package platformsim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// crashingKinds are the places at which work may stand that crashes its samplers.
var crashingKinds = []FaultKind{CrashingRequest, CrashingItem, CrashingReward}

// A request that crashed three samplers reached 13 and 14 of them on one day of the users,
// under new ids and at any node: nothing joined its tries.
func TestRequestThatCrashesItsSamplersIsHeldBack(t *testing.T) {
	for _, kind := range crashingKinds {
		faults := []Fault{{Kind: kind, At: 2 * time.Second, For: 40 * time.Second, Target: 1}}
		world := play(t, example(500+uint64(kind), nil), faults)
		counts := fmt.Sprint(kind, world.Truth.counts)
		require.Empty(t, world.Truth.Violations(), counts)
		require.GreaterOrEqual(t, world.Truth.counts[countCrashes], crashLimit, counts)
		require.Positive(t, world.Truth.counts["steps whole"], counts)
	}
}
