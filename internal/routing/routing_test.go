package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/evacuation"
)

var now = time.Unix(1000, 0)

// newTestTable returns a table with one pool of endpoints, distributed round-robin over three
// zones.
func newTestTable(size int) *Table {
	var machines []Machine
	for i := range size {
		machines = append(machines, Machine{
			ID: fmt.Sprintf("engine-%03d", i), Pool: "samplers",
			Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: fmt.Sprintf("zone-%d", i%3),
		})
	}
	table := NewTable()
	table.Update(machines)
	return table
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestLeavingEndpointIsNeverPicked(t *testing.T) {
	table := newTestTable(4)
	require.True(t, table.MarkLeaving("engine-001"))
	require.False(t, table.MarkLeaving("engine-001"))
	profile := NewApplicationProfile(newRandom())
	for range 200 {
		picked := profile.Pick(table, &Request{Pool: "samplers", Now: now})
		require.NotEqual(t, "engine-001", picked.ID)
	}
}

func TestLeavingIsKeptWhenMachineListLags(t *testing.T) {
	table := NewTable()
	table.MarkLeaving("engine-000")
	table.Update([]Machine{{ID: "engine-000", Pool: "samplers", Address: "a"}})
	require.Nil(t, NewApplicationProfile(newRandom()).Pick(table, &Request{Pool: "samplers", Now: now}))
}

func TestEjectedEndpointIsAvoidedUnlessAllAreEjected(t *testing.T) {
	table := newTestTable(2)
	profile := NewApplicationProfile(newRandom())
	eject := func(id string) {
		endpoint := table.Get(id)
		for range failuresToEject {
			endpoint.AttemptStarted()
			endpoint.AttemptFailed(now)
		}
		require.True(t, endpoint.Ejected(now))
	}
	eject("engine-000")
	for range 50 {
		require.Equal(t, "engine-001", profile.Pick(table, &Request{Pool: "samplers", Now: now}).ID)
	}
	eject("engine-001")
	require.NotNil(t, profile.Pick(table, &Request{Pool: "samplers", Now: now}))
	require.False(t, table.Get("engine-000").Ejected(now.Add(baseEjectionDuration)))
}

func TestEngineBelowMinVersionIsSkipped(t *testing.T) {
	table := newTestTable(3)
	for i, version := range []uint64{4, 5, 6} {
		report := LoadReport{Versions: map[string]uint64{"m": version}}
		table.Get(fmt.Sprintf("engine-%03d", i)).ApplyReport(report, now)
	}
	profile := NewGenerationProfile(newRandom())
	for range 50 {
		picked := profile.Pick(table, &Request{Pool: "samplers", Model: "m", MinVersion: 5, Now: now})
		require.NotEqual(t, "engine-000", picked.ID)
	}
	require.Nil(t, profile.Pick(table, &Request{Pool: "samplers", Model: "m", MinVersion: 7, Now: now}))
	later := now.Add(versionObservationTTL)
	require.NotNil(t, profile.Pick(table, &Request{Pool: "samplers", Model: "m", MinVersion: 7, Now: later}), "an old report does not rule an engine out")
	for _, endpoint := range table.Pool("samplers") {
		endpoint.RecordVersion("m", 6, later)
	}
	require.Nil(t, profile.Pick(table, &Request{Pool: "samplers", Model: "m", MinVersion: 7, Now: later}))
}

func TestLoadIsBalancedAndPrefixAffinityIsKept(t *testing.T) {
	table := newTestTable(8)
	profile := NewApplicationProfile(newRandom())
	for range 800 {
		profile.Pick(table, &Request{Pool: "samplers", Zone: "none", Now: now}).AttemptStarted()
	}
	for _, endpoint := range table.Pool("samplers") {
		require.InDelta(t, 100, endpoint.InFlight, 20)
	}
	idle := newTestTable(8)
	generation := NewGenerationProfile(newRandom())
	first := generation.Pick(idle, &Request{Pool: "samplers", PrefixHash: 77, Now: now})
	for range 20 {
		require.Same(t, first, generation.Pick(idle, &Request{Pool: "samplers", PrefixHash: 77, Now: now}))
	}
	first.InFlight = 10 * defaultCapacity
	require.NotSame(t, first, generation.Pick(idle, &Request{Pool: "samplers", PrefixHash: 77, Now: now}))
}

func TestRemovedEndpointRemapsFewAffinityKeys(t *testing.T) {
	const keys, size = 4000, 20
	before, after := newTestTable(size), newTestTable(size)
	var remaining []Machine
	for _, endpoint := range after.Pool("samplers")[1:] {
		remaining = append(remaining, Machine{ID: endpoint.ID, Pool: endpoint.Pool, Address: endpoint.Address})
	}
	after.Update(remaining)
	moved := 0
	random := newRandom()
	for range keys {
		hash := random.Uint64()
		a := before.pools["samplers"].appendRingSuccessors(nil, hash, 1)[0].ID
		b := after.pools["samplers"].appendRingSuccessors(nil, hash, 1)[0].ID
		if a != b {
			moved++
		}
	}
	require.Less(t, float64(moved)/keys, 2.0/size)
}

func BenchmarkPick(b *testing.B) {
	for _, size := range []int{8, 100, 740} {
		b.Run(fmt.Sprintf("endpoints=%d", size), func(b *testing.B) {
			table := newTestTable(size)
			profile := NewGenerationProfile(newRandom())
			request := &Request{Pool: "samplers", Zone: "zone-1", Model: "m", PrefixHash: 99, Now: now}
			b.ReportAllocs()
			for b.Loop() {
				request.PrefixHash += 0x9e3779b97f4a7c15
				if profile.Pick(table, request) == nil {
					b.Fatal("no endpoint was picked")
				}
			}
		})
	}
}

// The own zone must only decide between equally loaded endpoints. With a higher weight the
// endpoints of one zone got 2.5 times their share in a burst.
func TestPlatformProfilePrefersOwnZoneOnlyAtEqualLoad(t *testing.T) {
	table := NewTable()
	table.Update([]Machine{
		{ID: "near", Pool: "p", Zone: "a", Capacity: 6}, {ID: "far", Pool: "p", Zone: "b", Capacity: 6},
	})
	profile := NewPlatformProfile(newRandom(), NodeLocation{Node: "node-1", Zone: "a"})
	request := &Request{Pool: "p", Zone: "a"}
	for range 20 {
		require.Equal(t, "near", profile.Pick(table, request).ID)
	}
	table.Get("near").AttemptStarted()
	for range 20 {
		require.Equal(t, "far", profile.Pick(table, request).ID)
	}
}

func evacuatedZones(zones ...string) evacuation.Zones {
	next, _ := evacuation.Zones{}.ReplaceSource(evacuation.SourceOperator, zones, now)
	return next
}

func TestEvacuatedEndpointIsNotPickedUntilItsZoneIsRestored(t *testing.T) {
	for _, profile := range []*Profile{
		NewApplicationProfile(newRandom()), NewPlatformProfile(newRandom(), NodeLocation{Node: "n"}), NewGenerationProfile(newRandom()),
	} {
		table := NewTable()
		table.Evacuate(evacuatedZones("a"), now)
		table.Update([]Machine{{ID: "a1", Pool: "p", Address: "a1", Zone: "a"}, {ID: "b1", Pool: "p", Address: "b1", Zone: "b"}})
		request := &Request{Pool: "p", Zone: "a", Now: now}
		for range 20 {
			require.Equal(t, "b1", profile.Pick(table, request).ID, "endpoints that are added after the evacuation are evacuated too")
		}
		for range failuresToEject {
			table.Get("b1").AttemptStarted()
			table.Get("b1").AttemptFailed(now)
		}
		require.Equal(t, "b1", profile.Pick(table, request).ID, "an ejected endpoint is preferred to an evacuated one")
		table.Evacuate(evacuatedZones("b"), now)
		require.Equal(t, "a1", profile.Pick(table, request).ID)
	}
}

func TestPoolIsEvacuatedOnceNoOtherEndpointAcceptsWork(t *testing.T) {
	table := NewTable()
	require.False(t, table.PoolEvacuated("p"), "the pool is empty")
	table.Update([]Machine{{ID: "a1", Pool: "p", Address: "a1", Zone: "a"}, {ID: "b1", Pool: "p", Address: "b1", Zone: "b"}})
	table.Evacuate(evacuatedZones("a"), now)
	require.False(t, table.PoolEvacuated("p"))
	table.MarkLeaving("b1")
	require.True(t, table.PoolEvacuated("p"))
	table.MarkLeaving("a1")
	require.False(t, table.PoolEvacuated("p"), "no endpoint would accept work without the evacuation either")
}
