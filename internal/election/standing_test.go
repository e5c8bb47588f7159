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
	s.Look(viewOf())
	require.False(t, s.Joined(), "one look may fall into a handover")
	s.Look(viewOf(Owner{Millicores: large, Jobs: true}))
	s.Look(viewOf())
	require.False(t, s.Joined())
	s.Look(viewOf())
	require.True(t, s.Joined())
}

func TestStandInGoesOnceALargeNodeHoldsAnyPartition(t *testing.T) {
	var s Standing
	s.Look(viewOf())
	s.Look(viewOf())
	s.Look(viewOf(Owner{Millicores: small, Self: true, Jobs: true}))
	require.True(t, s.Joined())
	s.Look(viewOf(Owner{Millicores: small, Self: true, Jobs: true}, Owner{Millicores: large}))
	require.False(t, s.Joined())
}

func TestOneStandInIsEnough(t *testing.T) {
	var s Standing
	for range 5 {
		s.Look(viewOf(Owner{Millicores: small, Jobs: true}))
	}
	require.False(t, s.Joined())
}

// Eight small nodes stood in and held one partition each, so the large node that
// came back got none, and they never left.
func TestStandInsThatDoNotExecuteLeaveAgain(t *testing.T) {
	var s Standing
	s.Look(viewOf())
	s.Look(viewOf())
	require.True(t, s.Joined())
	s.Look(viewOf(Owner{Millicores: small, Self: true}, Owner{Millicores: small, Jobs: true}))
	require.False(t, s.Joined())
}

func TestPartitionsNobodyExecutesDoNotCount(t *testing.T) {
	var s Standing
	s.Look(viewOf(Owner{Millicores: small}))
	s.Look(viewOf(Owner{Millicores: small}))
	require.True(t, s.Joined(), "the partition of the jobs has no owner")
}

func TestRegularNodeJoinsAtOnce(t *testing.T) {
	var s Standing
	s.Regular()
	require.True(t, s.Joined())
}
