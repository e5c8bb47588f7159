package election

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	small = 192
	large = 800
)

func newView(owners ...Owner) View { return View{Largest: large, Owners: owners} }

func TestNodesAboveHalfTheLargestCapacityAreRegular(t *testing.T) {
	view := View{Largest: large}
	require.True(t, view.Regular(large))
	require.True(t, view.Regular(401))
	require.False(t, view.Regular(400))
	require.False(t, view.Regular(small))
	require.True(t, view.Regular(0), "unknown capacity")
	require.True(t, View{Largest: small}.Regular(small), "all nodes are small")
}

func TestSmallNodeJoinsAfterTwoObservationsWithoutAnExecutor(t *testing.T) {
	var candidate Standing
	candidate.Look(newView(), small)
	require.False(t, candidate.Joined(), "a single observation may fall into a handover")
	candidate.Look(newView(Owner{Millicores: large, Jobs: true}), small)
	candidate.Look(newView(), small)
	require.False(t, candidate.Joined())
	candidate.Look(newView(), small)
	require.True(t, candidate.Joined())
}

func TestSmallNodeLeavesOnceALargeNodeOwnsAnyPartition(t *testing.T) {
	var candidate Standing
	candidate.Look(newView(), small)
	candidate.Look(newView(), small)
	candidate.Look(newView(Owner{Millicores: small, Self: true, Jobs: true}), small)
	require.True(t, candidate.Joined())
	candidate.Look(newView(Owner{Millicores: small, Self: true, Jobs: true}, Owner{Millicores: large}), small)
	require.False(t, candidate.Joined())
}

func TestSmallNodeDoesNotJoinBesideASmallExecutor(t *testing.T) {
	var candidate Standing
	for range 5 {
		candidate.Look(newView(Owner{Millicores: small, Jobs: true}), small)
	}
	require.False(t, candidate.Joined())
}

// Guards against small nodes that stay in the group without executing: if each of them owns
// one partition, a large node that comes back gets none.
func TestSmallNodesThatDoNotExecuteLeave(t *testing.T) {
	var candidate Standing
	candidate.Look(newView(), small)
	candidate.Look(newView(), small)
	require.True(t, candidate.Joined())
	candidate.Look(newView(Owner{Millicores: small, Self: true}, Owner{Millicores: small, Jobs: true}), small)
	require.False(t, candidate.Joined())
}

func TestOwnersOfOtherPartitionsAreNotExecutors(t *testing.T) {
	var candidate Standing
	candidate.Look(newView(Owner{Millicores: small}), small)
	candidate.Look(newView(Owner{Millicores: small}), small)
	require.True(t, candidate.Joined(), "the partition of the jobs has no owner")
}

func TestLargeNodeJoinsAtItsFirstObservationWithoutAnExecutor(t *testing.T) {
	var candidate Standing
	candidate.Look(newView(), large)
	require.True(t, candidate.Joined())
}

// Guards against several large nodes in the group: with thirteen, each restart caused a
// rebalance, and the jobs moved nine times in 20 s.
func TestLargeNodeDefersToALargeExecutor(t *testing.T) {
	var candidate Standing
	executor := Owner{Millicores: large, Jobs: true}
	candidate.Look(newView(executor), large)
	require.False(t, candidate.Joined())
	candidate.Look(newView(), large)
	candidate.Look(newView(Owner{Millicores: large, Self: true}, executor), large)
	require.False(t, candidate.Joined(), "both joined at once, and the other got the jobs")
	candidate.Look(newView(), large)
	candidate.Look(newView(Owner{Millicores: large, Self: true, Jobs: true}, Owner{Millicores: large}), large)
	require.True(t, candidate.Joined(), "both joined at once, and this one got the jobs")
}

func TestLargeNodeReplacesASmallExecutor(t *testing.T) {
	var candidate Standing
	candidate.Look(newView(Owner{Millicores: small, Jobs: true}), large)
	require.True(t, candidate.Joined())
}

func TestRestartedNodeRejoinsIfItOwnsThePartitionOfTheJobs(t *testing.T) {
	for _, millicores := range []uint64{small, large} {
		var candidate Standing
		candidate.Look(newView(Owner{Millicores: millicores, Self: true, Jobs: true}), millicores)
		require.True(t, candidate.Joined())
	}
}

func TestNodeFarFromTheLogJoinsOneObservationLater(t *testing.T) {
	for _, test := range []struct {
		name         string
		millicores   uint64
		far          bool
		observations int
	}{
		{"large and near", large, false, 1}, {"large and far", large, true, 2},
		{"small and near", small, false, 2}, {"small and far", small, true, 3},
	} {
		var candidate Standing
		view := newView()
		view.Far = test.far
		for count := 1; count < test.observations; count++ {
			candidate.Look(view, test.millicores)
			require.False(t, candidate.Joined(), "%s after %d observations", test.name, count)
		}
		candidate.Look(view, test.millicores)
		require.True(t, candidate.Joined(), test.name)
	}
}

func TestFarExecutorIsNotReplacedByANearerNode(t *testing.T) {
	var candidate Standing
	for range 5 {
		candidate.Look(newView(Owner{Millicores: large, Jobs: true}), large)
		require.False(t, candidate.Joined())
	}
}
