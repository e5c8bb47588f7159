package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pathbend/pathbend/internal/coldlimit"
)

func nodeNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprint("node-", i)
	}
	return names
}

func TestColdSharesAddUpToTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := nodeNames(rapid.IntRange(1, 80).Draw(t, "nodes"))
		requests := rapid.IntRange(0, 12).Draw(t, "requests")
		sum := 0
		for _, node := range nodes {
			sum += ColdBudgetShare(requests, nodes, node, "s")
		}
		require.Equal(t, requests, sum)
	})
}

// During a partition each of two sets of nodes spends the budget at most once.
func TestDivergentMembershipSpendsAtMostTwiceTheBudget(t *testing.T) {
	nodes := nodeNames(10)
	firstView, secondView := nodes[:6], nodes[4:]
	sum := 0
	for i, node := range nodes {
		view := firstView
		if i >= 5 {
			view = secondView
		}
		sum += ColdBudgetShare(7, view, node, "s")
	}
	require.LessOrEqual(t, sum, 2*7)
}

func TestUnlistedNodeHasNoColdShare(t *testing.T) {
	require.Zero(t, ColdBudgetShare(7, nodeNames(3), "another", "s"))
	require.Zero(t, ColdBudgetShare(7, nil, "another", "s"))
}

var coldNow = time.Unix(1_000_000, 0)

// newColdTable returns a table with one pool in which the endpoints in cold are cold and accept
// share requests per second from this node.
func newColdTable(share int, cold map[string]bool, ids ...string) *Table {
	table := NewTable()
	var machines []Machine
	for _, id := range ids {
		machine := Machine{ID: id, Pool: "p", Address: id}
		if cold[id] {
			machine.ColdRemaining = 3 * time.Second
			machine.Limits = coldlimit.Limits{ColdDuration: 3 * time.Second, ColdPerSecond: share, WarmPerSecond: math.MaxInt}
		}
		machines = append(machines, machine)
	}
	table.Update(machines)
	table.UpdateColdState(machines, coldNow)
	return table
}

// pickCold picks an endpoint and charges the request to its cold budget, as fleet.Fleet does. It
// returns the endpoint's id, or an empty string if none was picked.
func pickCold(table *Table) string {
	profile := NewPlatformProfile(rand.New(rand.NewPCG(1, 2)), NodeLocation{Node: "node"})
	endpoint := profile.Pick(table, &Request{Pool: "p", Now: coldNow})
	if endpoint == nil {
		return ""
	}
	endpoint.Warmup.RecordSent(coldNow)
	return endpoint.ID
}

func TestWarmEndpointsArePreferred(t *testing.T) {
	table := newColdTable(5, map[string]bool{"a": true, "c": true}, "a", "b", "c")
	for range 20 {
		require.Equal(t, "b", pickCold(table))
	}
}

func TestColdEndpointsServeUpToTheirBudgetWhenNoneIsWarm(t *testing.T) {
	table := newColdTable(2, map[string]bool{"a": true, "b": true}, "a", "b")
	picked := map[string]int{}
	for range 10 {
		picked[pickCold(table)]++
	}
	require.Equal(t, map[string]int{"a": 2, "b": 2, "": 6}, picked)
	at, cold := table.NextColdBudget(&Request{Pool: "p", Now: coldNow}, AllowedRegion{})
	require.True(t, cold)
	require.Equal(t, coldNow.Add(time.Second), at)
}

func TestNodeWithoutColdShareWaitsUntilEndpointIsWarm(t *testing.T) {
	table := newColdTable(0, map[string]bool{"a": true}, "a")
	require.Empty(t, pickCold(table))
	at, cold := table.NextColdBudget(&Request{Pool: "p", Now: coldNow}, AllowedRegion{})
	require.True(t, cold)
	require.Equal(t, coldNow.Add(3*time.Second), at)
}

func TestNextColdBudgetReportsNoColdEndpointInWarmPool(t *testing.T) {
	_, cold := newColdTable(0, nil, "a").NextColdBudget(&Request{Pool: "p", Now: coldNow, Excluded: []string{"a"}}, AllowedRegion{})
	require.False(t, cold)
}

func TestEndpointsAreAssumedColdAfterZoneIsRestored(t *testing.T) {
	table := newColdTable(2, map[string]bool{"a": true}, "a")
	later := coldNow.Add(time.Minute)
	table.Evacuate(evacuatedZones(""), later)
	table.Evacuate(evacuatedZones(), later)
	warm := []Machine{{ID: "a", Pool: "p", Address: "a"}}
	table.Update(warm)
	table.UpdateColdState(warm, later)
	require.True(t, table.Get("a").Warmup.Cold(later), "the machine list lags and may not show yet that the endpoint is cold")
	require.Equal(t, 2, table.Get("a").Warmup.Available(later))
}
