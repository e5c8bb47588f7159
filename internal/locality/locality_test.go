package locality

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestIntersectionKeepsRestrictions(t *testing.T) {
	require.True(t, Only().Allows("north"), "no names mean no restriction")
	require.True(t, Regions{}.Allows(""))
	require.False(t, Only("north").Allows(""), "the region of an unknown zone is not allowed")
	require.Equal(t, Only("north"), Only("south", "north").Intersect(Only("north", "west")))
	none := Only("north").Intersect(Only("south"))
	require.True(t, none.Restricted())
	require.False(t, none.Allows("north") || none.Allows("south"))
	require.Equal(t, "[]", none.String())
	require.Equal(t, "any region", Regions{}.String())
}

func TestIntersectionAllowsWhatBothSetsAllow(t *testing.T) {
	names := rapid.SliceOf(rapid.SampledFrom([]string{"a", "b", "c", "d"}))
	rapid.Check(t, func(t *rapid.T) {
		first, second := Only(names.Draw(t, "first")...), Only(names.Draw(t, "second")...)
		for _, region := range []string{"", "a", "b", "c", "d"} {
			require.Equal(t, first.Allows(region) && second.Allows(region), first.Intersect(second).Allows(region))
		}
		require.Equal(t, first.Intersect(second), second.Intersect(first))
	})
}

func TestTopologyListsZonesAndRegions(t *testing.T) {
	topology := NewTopology(map[string]string{"n1": "north", "n2": "north", "s1": "south"})
	require.Equal(t, "north", topology.Region("n2"))
	require.Empty(t, topology.Region("elsewhere"))
	require.Equal(t, []string{"north", "south"}, topology.Regions())
	require.Equal(t, []string{"n1", "n2", "s1"}, topology.Zones())
}
