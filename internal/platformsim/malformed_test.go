package platformsim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against malformed answers of samplers that reach clients, or count as results of items.
func TestMalformedAnswersReachNoClient(t *testing.T) {
	var faults []Fault
	for target := range uint64(12) {
		faults = append(faults, Fault{Kind: SamplerMalformsAnswers, At: time.Duration(target) * time.Second, For: 20 * time.Second, Target: target})
	}
	world := runSimulation(t, exampleOptions(700, nil), faults)
	require.Empty(t, world.Checker.Violations())
	require.Greater(t, world.Checker.counts[countMalformedAnswers], 100)
	require.Positive(t, world.Checker.counts["steps whole"])
}
