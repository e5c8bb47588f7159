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

func TestNodesAboveHalfTheLargestCapacityAreLarge(t *testing.T) {
	view := View{Largest: large}
	require.True(t, view.IsLarge(large))
	require.True(t, view.IsLarge(401))
	require.False(t, view.IsLarge(400))
	require.False(t, view.IsLarge(small))
	require.True(t, view.IsLarge(0), "unknown capacity")
	require.True(t, View{Largest: small}.IsLarge(small), "all nodes are small")
}

func TestSmallNodeJoinsAfterTwoObservationsWithoutAnExecutor(t *testing.T) {
	var candidate Candidate
	candidate.Observe(newView(), small)
	require.False(t, candidate.Joined(), "a single observation may fall into a handover")
	candidate.Observe(newView(Owner{Millicores: large, OwnsJobs: true}), small)
	candidate.Observe(newView(), small)
	require.False(t, candidate.Joined())
	candidate.Observe(newView(), small)
	require.True(t, candidate.Joined())
}

func TestSmallNodeLeavesOnceALargeNodeOwnsAnyPartition(t *testing.T) {
	var candidate Candidate
	candidate.Observe(newView(), small)
	candidate.Observe(newView(), small)
	candidate.Observe(newView(Owner{Millicores: small, Self: true, OwnsJobs: true}), small)
	require.True(t, candidate.Joined())
	candidate.Observe(newView(Owner{Millicores: small, Self: true, OwnsJobs: true}, Owner{Millicores: large}), small)
	require.False(t, candidate.Joined())
}

func TestSmallNodeDoesNotJoinBesideASmallExecutor(t *testing.T) {
	var candidate Candidate
	for range 5 {
		candidate.Observe(newView(Owner{Millicores: small, OwnsJobs: true}), small)
	}
	require.False(t, candidate.Joined())
}

// Guards against small nodes that stay in the group without executing: eight small nodes that
// owned one partition each never left, so a large node that came back got none.
func TestSmallNodesThatDoNotExecuteLeave(t *testing.T) {
	var candidate Candidate
	candidate.Observe(newView(), small)
	candidate.Observe(newView(), small)
	require.True(t, candidate.Joined())
	candidate.Observe(newView(Owner{Millicores: small, Self: true}, Owner{Millicores: small, OwnsJobs: true}), small)
	require.False(t, candidate.Joined())
}

func TestOwnersOfOtherPartitionsAreNotExecutors(t *testing.T) {
	var candidate Candidate
	candidate.Observe(newView(Owner{Millicores: small}), small)
	candidate.Observe(newView(Owner{Millicores: small}), small)
	require.True(t, candidate.Joined(), "the partition of the jobs has no owner")
}

func TestLargeNodeJoinsAtItsFirstObservationWithoutAnExecutor(t *testing.T) {
	var candidate Candidate
	candidate.Observe(newView(), large)
	require.True(t, candidate.Joined())
}

// Guards against several large nodes in the group: with thirteen, each restart caused a
// rebalance, and the jobs moved nine times in 20 s.
func TestLargeNodeDefersToALargeExecutor(t *testing.T) {
	var candidate Candidate
	executor := Owner{Millicores: large, OwnsJobs: true}
	candidate.Observe(newView(executor), large)
	require.False(t, candidate.Joined())
	candidate.Observe(newView(), large)
	candidate.Observe(newView(Owner{Millicores: large, Self: true}, executor), large)
	require.False(t, candidate.Joined(), "both joined at once, and the other got the jobs")
	candidate.Observe(newView(), large)
	candidate.Observe(newView(Owner{Millicores: large, Self: true, OwnsJobs: true}, Owner{Millicores: large}), large)
	require.True(t, candidate.Joined(), "both joined at once, and this one got the jobs")
}

func TestLargeNodeReplacesASmallExecutor(t *testing.T) {
	var candidate Candidate
	candidate.Observe(newView(Owner{Millicores: small, OwnsJobs: true}), large)
	require.True(t, candidate.Joined())
}

func TestRestartedNodeRejoinsIfItOwnsThePartitionOfTheJobs(t *testing.T) {
	for _, millicores := range []uint64{small, large} {
		var candidate Candidate
		candidate.Observe(newView(Owner{Millicores: millicores, Self: true, OwnsJobs: true}), millicores)
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
		var candidate Candidate
		view := newView()
		view.FarFromLog = test.far
		for count := 1; count < test.observations; count++ {
			candidate.Observe(view, test.millicores)
			require.False(t, candidate.Joined(), "%s after %d observations", test.name, count)
		}
		candidate.Observe(view, test.millicores)
		require.True(t, candidate.Joined(), test.name)
	}
}

func TestFarExecutorIsNotReplacedByANearerNode(t *testing.T) {
	var candidate Candidate
	for range 5 {
		candidate.Observe(newView(Owner{Millicores: large, OwnsJobs: true}), large)
		require.False(t, candidate.Joined())
	}
}
