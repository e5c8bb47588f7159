package election

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	small = 192
	large = 800
)

func viewOf(owners ...Owner) View { return View{Largest: large, Owners: owners} }

func TestNodesAboutAsLargeAsTheLargestAreRegular(t *testing.T) {
	view := View{Largest: large}
	require.True(t, view.Regular(large))
	require.True(t, view.Regular(401))
	require.False(t, view.Regular(400))
	require.False(t, view.Regular(small))
	require.True(t, view.Regular(0), "nothing is known of it")
	require.True(t, View{Largest: small}.Regular(small), "where all are small, all are regular")
}

func TestSmallNodeStandsInOnlyAfterTwoLooksWithoutAnExecutor(t *testing.T) {
	var s Standing
	s.Look(viewOf(), small)
	require.False(t, s.Joined(), "one look may fall into a handover")
	s.Look(viewOf(Owner{Millicores: large, Jobs: true}), small)
	s.Look(viewOf(), small)
	require.False(t, s.Joined())
	s.Look(viewOf(), small)
	require.True(t, s.Joined())
}

func TestStandInGoesOnceALargeNodeHoldsAnyPartition(t *testing.T) {
	var s Standing
	s.Look(viewOf(), small)
	s.Look(viewOf(), small)
	s.Look(viewOf(Owner{Millicores: small, Self: true, Jobs: true}), small)
	require.True(t, s.Joined())
	s.Look(viewOf(Owner{Millicores: small, Self: true, Jobs: true}, Owner{Millicores: large}), small)
	require.False(t, s.Joined())
}

func TestOneStandInIsEnough(t *testing.T) {
	var s Standing
	for range 5 {
		s.Look(viewOf(Owner{Millicores: small, Jobs: true}), small)
	}
	require.False(t, s.Joined())
}

// Eight small nodes stood in and held one partition each, so the large node that
// came back got none, and they never left.
func TestStandInsThatDoNotExecuteLeaveAgain(t *testing.T) {
	var s Standing
	s.Look(viewOf(), small)
	s.Look(viewOf(), small)
	require.True(t, s.Joined())
	s.Look(viewOf(Owner{Millicores: small, Self: true}, Owner{Millicores: small, Jobs: true}), small)
	require.False(t, s.Joined())
}

func TestPartitionsNobodyExecutesDoNotCount(t *testing.T) {
	var s Standing
	s.Look(viewOf(Owner{Millicores: small}), small)
	s.Look(viewOf(Owner{Millicores: small}), small)
	require.True(t, s.Joined(), "the partition of the jobs has no owner")
}

func TestLargeNodeJoinsAtItsFirstVacantLook(t *testing.T) {
	var s Standing
	s.Look(viewOf(), large)
	require.True(t, s.Joined())
}

// Thirteen nodes in the group: each that was restarted made the service deal anew,
// and the jobs passed from hand to hand nine times in 20 s.
func TestLargeNodeLeavesTheJobsToTheOneThatHasThem(t *testing.T) {
	var s Standing
	executor := Owner{Millicores: large, Jobs: true}
	s.Look(viewOf(executor), large)
	require.False(t, s.Joined())
	s.Look(viewOf(), large)
	s.Look(viewOf(Owner{Millicores: large, Self: true}, executor), large)
	require.False(t, s.Joined(), "both entered at once, and the other got the jobs")
	s.Look(viewOf(), large)
	s.Look(viewOf(Owner{Millicores: large, Self: true, Jobs: true}, Owner{Millicores: large}), large)
	require.True(t, s.Joined(), "both entered at once, and this one got the jobs")
}

func TestLargeNodeTakesTheJobsFromASmallOne(t *testing.T) {
	var s Standing
	s.Look(viewOf(Owner{Millicores: small, Jobs: true}), large)
	require.True(t, s.Joined())
}

func TestRestartedProcessTakesItsShareUpAgain(t *testing.T) {
	for _, millicores := range []uint64{small, large} {
		var s Standing
		s.Look(viewOf(Owner{Millicores: millicores, Self: true, Jobs: true}), millicores)
		require.True(t, s.Joined())
	}
}

func TestNodeFarFromTheLogLeavesTheJobsToANearerOne(t *testing.T) {
	for _, one := range []struct {
		name       string
		millicores uint64
		far        bool
		looks      int
	}{
		{"large and near", large, false, 1}, {"large and far", large, true, 2},
		{"small and near", small, false, 2}, {"small and far", small, true, 3},
	} {
		var s Standing
		view := viewOf()
		view.Far = one.far
		for look := 1; look < one.looks; look++ {
			s.Look(view, one.millicores)
			require.False(t, s.Joined(), "%s after %d looks", one.name, look)
		}
		s.Look(view, one.millicores)
		require.True(t, s.Joined(), one.name)
	}
}

func TestFarExecutorIsNotReplacedByANearerNode(t *testing.T) {
	var s Standing
	for range 5 {
		s.Look(viewOf(Owner{Millicores: large, Jobs: true}), large)
		require.False(t, s.Joined())
	}
}
