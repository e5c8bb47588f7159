package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pathbend/pathbend/internal/warmup"
)

func nodeNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprint("node-", i)
	}
	return names
}

func TestNodesShareWhatAColdEndpointBears(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := nodeNames(rapid.IntRange(1, 80).Draw(t, "nodes"))
		requests := rapid.IntRange(0, 12).Draw(t, "requests")
		sum := 0
		for _, node := range nodes {
			sum += ColdShare(requests, nodes, node, "s")
		}
		require.Equal(t, requests, sum)
	})
}

// Two sets of nodes that do not know of each other spend the budget twice at most.
func TestNodesThatDifferSpendTheBudgetTwice(t *testing.T) {
	nodes := nodeNames(10)
	one, other := nodes[:6], nodes[4:]
	sum := 0
	for i, node := range nodes {
		view := one
		if i >= 5 {
			view = other
		}
		sum += ColdShare(7, view, node, "s")
	}
	require.LessOrEqual(t, sum, 2*7)
}

func TestNodeThatIsNotKnownHasNoShare(t *testing.T) {
	require.Zero(t, ColdShare(7, nodeNames(3), "another", "s"))
	require.Zero(t, ColdShare(7, nil, "another", "s"))
}

var coldNow = time.Unix(1_000_000, 0)

// coldTable returns endpoints of a pool, of which those named are cold with a share.
func coldTable(share int, cold map[string]bool, ids ...string) *Table {
	table := NewTable()
	var machines []Machine
	for _, id := range ids {
		machine := Machine{ID: id, Pool: "p", Address: id}
		if cold[id] {
			machine.ColdFor = 3 * time.Second
			machine.Limits = warmup.Limits{ColdFor: 3 * time.Second, Cold: share, Warm: math.MaxInt}
		}
		machines = append(machines, machine)
	}
	table.Update(machines)
	table.NoteCold(machines, coldNow)
	return table
}

// pickCold picks an endpoint and counts the request in its budget, as the fleet does.
func pickCold(table *Table) string {
	profile := NewHostedProfile(rand.New(rand.NewPCG(1, 2)), Place{Node: "node"})
	endpoint := profile.Pick(table, &Request{Pool: "p", Now: coldNow})
	if endpoint == nil {
		return ""
	}
	endpoint.Warmup.Sent(coldNow)
	return endpoint.ID
}

func TestWarmEndpointsGoFirst(t *testing.T) {
	table := coldTable(5, map[string]bool{"a": true, "c": true}, "a", "b", "c")
	for range 20 {
		require.Equal(t, "b", pickCold(table))
	}
}

func TestColdEndpointsServeUpToTheBudgetWhenAllAreCold(t *testing.T) {
	table := coldTable(2, map[string]bool{"a": true, "b": true}, "a", "b")
	picked := map[string]int{}
	for range 10 {
		picked[pickCold(table)]++
	}
	require.Equal(t, map[string]int{"a": 2, "b": 2, "": 6}, picked)
	at, cold := table.RoomAgain(&Request{Pool: "p", Now: coldNow}, AllowedRegion{})
	require.True(t, cold)
	require.Equal(t, coldNow.Add(time.Second), at)
}

func TestNodeWithoutAShareWaitsForTheWarmth(t *testing.T) {
	table := coldTable(0, map[string]bool{"a": true}, "a")
	require.Empty(t, pickCold(table))
	at, cold := table.RoomAgain(&Request{Pool: "p", Now: coldNow}, AllowedRegion{})
	require.True(t, cold)
	require.Equal(t, coldNow.Add(3*time.Second), at)
}

func TestPoolWithoutColdEndpointsIsNotCalledCold(t *testing.T) {
	_, cold := coldTable(0, nil, "a").RoomAgain(&Request{Pool: "p", Now: coldNow, Excluded: []string{"a"}}, AllowedRegion{})
	require.False(t, cold)
}

func TestEndpointsOfAZoneThatIsTakenBackAreTakenForCold(t *testing.T) {
	table := coldTable(2, map[string]bool{"a": true}, "a")
	later := coldNow.Add(time.Minute)
	table.Evacuate(evacuated(""), later)
	table.Evacuate(evacuated(), later)
	warm := []Machine{{ID: "a", Pool: "p", Address: "a"}}
	table.Update(warm)
	table.NoteCold(warm, later)
	require.True(t, table.Get("a").Warmup.Cold(later), "its entry is some seconds old")
	require.Equal(t, 2, table.Get("a").Warmup.Room(later))
}
