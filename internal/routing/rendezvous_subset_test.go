package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newZonedTable returns a table of endpoints with a capacity of six, distributed round-robin over
// zones a, b and c.
func newZonedTable(size int) *Table {
	var machines []Machine
	for i := range size {
		machines = append(machines, Machine{
			ID: fmt.Sprintf("app-%03d", i), Pool: "app", Zone: string(rune('a' + i%3)), Capacity: 6,
		})
	}
	table := NewTable()
	table.Update(machines)
	return table
}

// A node with few requests must reuse one endpoint. When completed requests kept counting as
// load, each of 295 nodes used all 12 endpoints in turn: 3,540 node-endpoint pairs, whose
// connections the endpoints closed before they were reused.
func TestLightlyLoadedNodeReusesOneEndpoint(t *testing.T) {
	table := newZonedTable(12)
	profile := NewPlatformProfile(newRandom(), NodeLocation{Node: "node-1", Zone: "b"})
	used := make(map[string]int)
	for range 100 {
		picked := profile.Pick(table, &Request{Pool: "app", Zone: "b", Now: now})
		require.Equal(t, "b", picked.Zone)
		picked.AttemptStarted()
		picked.AttemptSucceeded(time.Millisecond)
		used[picked.ID]++
	}
	require.Len(t, used, 1)
}

func TestNodesSpreadOverEndpointsOfTheirZone(t *testing.T) {
	table := newZonedTable(12)
	used := make(map[string]int)
	const nodes = 200
	for i := range nodes {
		profile := NewPlatformProfile(newRandom(), NodeLocation{Node: fmt.Sprintf("node-%d", i), Zone: "b"})
		// The table caches the preference order of a single node.
		table.rebuild()
		used[profile.Pick(table, &Request{Pool: "app", Zone: "b", Now: now}).ID]++
	}
	require.Len(t, used, 4, "all endpoints of the zone are used")
	for endpoint, count := range used {
		require.Less(t, count, nodes/4*3/2, "%s must get less than 1.5 times its fair share", endpoint)
	}
}

func TestSubsetGrowsWithRequestsInFlight(t *testing.T) {
	table := newZonedTable(12)
	profile := NewPlatformProfile(newRandom(), NodeLocation{Node: "node-1", Zone: "b"})
	inFlight := make(map[string]int)
	for range 36 {
		picked := profile.Pick(table, &Request{Pool: "app", Now: now})
		picked.AttemptStarted()
		inFlight[picked.ID]++
	}
	require.Len(t, inFlight, 12)
	for endpoint, count := range inFlight {
		require.Equal(t, 3, count, endpoint)
	}
}

func TestPickFallsBackWhenPreferredEndpointsAreUnavailable(t *testing.T) {
	table := newZonedTable(12)
	profile := NewPlatformProfile(newRandom(), NodeLocation{Node: "node-1", Zone: "b"})
	request := &Request{Pool: "app", Zone: "b", Now: now}
	first := profile.Pick(table, request)
	table.MarkLeaving(first.ID)
	second := profile.Pick(table, request)
	require.NotEqual(t, first.ID, second.ID)
	require.Equal(t, "b", second.Zone)
	for range failuresToEject {
		second.AttemptStarted()
		second.AttemptFailed(now)
	}
	third := profile.Pick(table, request)
	require.NotContains(t, []string{first.ID, second.ID}, third.ID)
	request.Excluded = []string{third.ID}
	require.NotContains(t, []string{first.ID, second.ID, third.ID}, profile.Pick(table, request).ID)
	for _, endpoint := range table.Pool("app")[:11] {
		request.Excluded = append(request.Excluded, endpoint.ID)
	}
	table.Get("app-011").Leaving = false
	require.NotNil(t, profile.Pick(table, request), "all endpoints are examined if none of the subset qualifies")
}

func TestCompletedRequestsAreNoLoadWithoutAReport(t *testing.T) {
	endpoint := &Endpoint{}
	for range 5 {
		endpoint.AttemptStarted()
		endpoint.AttemptSucceeded(time.Millisecond)
	}
	require.Zero(t, endpoint.Load())
	endpoint.ApplyReport(LoadReport{Running: 2}, now)
	endpoint.AttemptStarted()
	endpoint.AttemptSucceeded(time.Millisecond)
	require.Equal(t, 3, endpoint.Load(), "the report does not include the request sent after it")
}
