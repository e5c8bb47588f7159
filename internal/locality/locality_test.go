package locality

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestIntersectionKeepsRestrictions(t *testing.T) {
	require.True(t, Only().Allow("north"), "no names mean no restriction")
	require.True(t, Regions{}.Allow(""))
	require.False(t, Only("north").Allow(""), "the region of an unknown zone is not allowed")
	require.Equal(t, Only("north"), Only("south", "north").And(Only("north", "west")))
	none := Only("north").And(Only("south"))
	require.True(t, none.Bound())
	require.False(t, none.Allow("north") || none.Allow("south"))
	require.Equal(t, "[]", none.String())
	require.Equal(t, "any region", Regions{}.String())
}

func TestIntersectionAllowsWhatBothSetsAllow(t *testing.T) {
	names := rapid.SliceOf(rapid.SampledFrom([]string{"a", "b", "c", "d"}))
	rapid.Check(t, func(t *rapid.T) {
		first, second := Only(names.Draw(t, "first")...), Only(names.Draw(t, "second")...)
		for _, region := range []string{"", "a", "b", "c", "d"} {
			require.Equal(t, first.Allow(region) && second.Allow(region), first.And(second).Allow(region))
		}
		require.Equal(t, first.And(second), second.And(first))
	})
}

func TestTopologyListsZonesAndRegions(t *testing.T) {
	topology := NewTopology(map[string]string{"n1": "north", "n2": "north", "s1": "south"})
	require.Equal(t, "north", topology.Region("n2"))
	require.Empty(t, topology.Region("elsewhere"))
	require.Equal(t, []string{"north", "south"}, topology.Regions())
	require.Equal(t, []string{"n1", "n2", "s1"}, topology.Zones())
}
