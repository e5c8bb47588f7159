package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pathbend/pathbend/internal/locality"
)

var twoRegions = locality.NewTopology(map[string]string{"a": "north", "b": "north", "c": "south"})

// Every attempt of a region-restricted request goes to an allowed region, also after
// endpoints were ejected or excluded by earlier attempts.
func TestPickStaysInAllowedRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newZonedTable(rapid.IntRange(1, 12).Draw(t, "endpoints"))
		profile := NewPlatformProfile(newRandom(), NodeLocation{Node: "node-1", Zone: "a", Topology: twoRegions})
		allowed := rapid.SampledFrom([]locality.Regions{locality.Only("south"), locality.Only("north"), locality.Only("elsewhere")}).Draw(t, "allowed")
		request := &Request{Pool: "app", Zone: "a", Regions: allowed, Now: now}
		inRegion := 0
		for _, endpoint := range table.Pool("app") {
			if allowed.Allows(twoRegions.Region(endpoint.Zone)) {
				inRegion++
			}
			for range rapid.IntRange(0, failuresToEject).Draw(t, "failures") {
				endpoint.AttemptStarted()
				endpoint.AttemptFailed(now)
			}
		}
		for range inRegion {
			picked := profile.Pick(table, request)
			require.NotNil(t, picked, "an endpoint in an allowed region is available")
			require.True(t, allowed.Allows(twoRegions.Region(picked.Zone)))
			request.Excluded = append(request.Excluded, picked.ID)
		}
		require.Nil(t, profile.Pick(table, request), "all endpoints in the allowed regions are excluded")
	})
}

func TestEndpointInUnknownZoneServesOnlyUnrestrictedRequests(t *testing.T) {
	filter := AllowedRegion{Topology: twoRegions}
	nowhere := &Endpoint{ID: "e", Zone: "z"}
	require.True(t, filter.Keep(&Request{}, nowhere))
	require.False(t, filter.Keep(&Request{Regions: locality.Only("north")}, nowhere))
}

func TestOtherRegionIsPickedOnceLocalOneHasTwoMoreRequests(t *testing.T) {
	table := NewTable()
	table.Update([]Machine{
		{ID: "near", Pool: "p", Zone: "b", Capacity: 6}, {ID: "far", Pool: "p", Zone: "c", Capacity: 6},
	})
	profile := NewPlatformProfile(newRandom(), NodeLocation{Node: "node-1", Zone: "a", Topology: twoRegions})
	for _, wanted := range []string{"near", "near", "far"} {
		picked := profile.Pick(table, &Request{Pool: "p", Zone: "a", Now: now})
		require.Equal(t, wanted, picked.ID)
		picked.AttemptStarted()
	}
}
