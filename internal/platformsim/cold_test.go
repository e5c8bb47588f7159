package platformsim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// With one model sampler per zone, each receives more requests than a cold one supports. The
// limit for cold samplers must hold while zones restart cold, all samplers turn cold at once and
// executors are killed.
func TestColdSamplersAreSpared(t *testing.T) {
	options := exampleOptions(400, nil)
	options.Samplers = 3
	faults := []Fault{
		{Kind: ZoneRestartsCold, At: 4 * time.Second, For: 2 * time.Second, Target: 0},
		{Kind: SamplersTurnCold, At: 11 * time.Second},
		{Kind: NodeReplaced, At: 12 * time.Second, For: 2 * time.Second},
		{Kind: ZoneRestartsCold, At: 18 * time.Second, For: 5 * time.Second, Target: 1},
		{Kind: ZoneRestartsCold, At: 25 * time.Second, For: time.Second, Target: 0},
		{Kind: ZoneRestartsCold, At: 25 * time.Second, For: time.Second, Target: 1},
		{Kind: ZoneRestartsCold, At: 25 * time.Second, For: time.Second, Target: 2},
		{Kind: SamplersTurnCold, At: 30 * time.Second},
		{Kind: SamplersTurnCold, At: 32 * time.Second},
		{Kind: KillMostNodes, At: 33 * time.Second, For: time.Second},
	}
	world := runSimulation(t, options, faults)
	require.Empty(t, world.Checker.Violations())
	require.Positive(t, world.Checker.counts["requests to cold samplers"])
	require.Positive(t, world.Checker.counts["steps whole"])
	t.Log(world.Checker.counts)
}
