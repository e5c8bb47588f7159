package platformsim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCutNodesAreAShareChosenByTheTarget(t *testing.T) {
	world := &World{}
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		world.nodes = append(world.nodes, &nodeMachine{name: name})
	}
	chosen := chooseNodes(world.Nodes(), 1)
	require.Len(t, chosen, 4)
	require.Subset(t, world.Nodes(), chosen)
	require.Equal(t, chosen, chooseNodes(world.Nodes(), 1))
	require.NotEqual(t, chosen, chooseNodes(world.Nodes(), 2))
}

// A share of the nodes gets no answer from the store, and reaches it through the other nodes.
func TestStepsContinueWhileAShareOfTheNodesIsCutFromTheStore(t *testing.T) {
	faults := []Fault{
		{Kind: NodesCutFromStore, At: 6 * time.Second, For: 6 * time.Second, Target: 1},
		{Kind: NodesCutFromStore, At: 25 * time.Second, For: 9 * time.Second, Target: 2},
	}
	logs := &logBuffer{}
	world := runSimulation(t, exampleOptions(330, logs), faults)
	require.Empty(t, world.Checker.Violations())
	counts := world.Checker.counts
	require.GreaterOrEqual(t, counts["steps whole"], counts["steps"]-len(faults), counts)
	require.Contains(t, logs.String(), `"msg":"log_reached_through_peer"`)
}
