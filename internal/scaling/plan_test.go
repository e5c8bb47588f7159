package scaling

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var startTime = time.Unix(1000, 0)

func fleetOf(ordinary, spot int) Service {
	return Service{
		Zones: []Zone{
			{Name: "a", Ordinary: ordinary, Spot: spot, Price: 1.2}, {Name: "b", Ordinary: ordinary, Spot: spot, Price: 0.8},
			{Name: "c", Ordinary: ordinary, Spot: spot, Price: 1},
		},
		Max: 24, Slots: 6, SpotPrice: 0.2, BootTime: 4 * time.Second,
	}
}

func desired(orders []Order) map[string]int {
	byZone := make(map[string]int)
	for _, order := range orders {
		byZone[order.Zone] = order.Desired
	}
	return byZone
}

func acceptAll(p *Planner, orders []Order, now time.Time) {
	for _, order := range orders {
		p.Accepted(order, now)
	}
}

func TestReserveProvidesASlotForEachItemOfThePeak(t *testing.T) {
	p := NewPlanner(startTime)
	orders := p.Plan(startTime, fleetOf(12, 0), 461)
	require.Equal(t, 77-36, p.Reserve(), "461 items in slots of 6, less the ordinary samplers")
	require.Equal(t, map[string]int{"a": 12, "b": 12, "c": 12}, desired(orders), "the limits of the zones apply")
	require.Empty(t, NewPlanner(startTime).Plan(startTime, fleetOf(12, 0), 200), "the ordinary samplers are enough")
	p = NewPlanner(startTime)
	require.Equal(t, map[string]int{"a": 4, "b": 5, "c": 5}, desired(p.Plan(startTime, fleetOf(12, 0), 300)), "evenly, the cheapest zone first")
}

func TestNoOrdersIfSpotIsExpensiveOrUnavailable(t *testing.T) {
	for _, price := range []float64{0, maxSpotPrice + 0.1} {
		service := fleetOf(12, 0)
		service.SpotPrice = price
		require.Empty(t, NewPlanner(startTime).Plan(startTime, service, 900), "price %v", price)
	}
}

func TestSmallChangesOfThePeakGiveNoOrders(t *testing.T) {
	p := NewPlanner(startTime)
	acceptAll(p, p.Plan(startTime, fleetOf(12, 0), 330), startTime)
	require.Equal(t, 19, p.Reserve())
	now := startTime.Add(time.Second)
	for _, peak := range []int{340, 320, 310, 348} {
		require.Empty(t, p.Plan(now, fleetOf(12, 6), peak), "peak %d", peak)
	}
	require.NotEmpty(t, p.Plan(now, fleetOf(12, 6), 400), "more work")
}

// A new planner knows neither the orders nor the peaks of the previous one.
func TestNewPlannerKeepsExistingSamplersAtFirst(t *testing.T) {
	p := NewPlanner(startTime)
	orders := p.Plan(startTime, fleetOf(12, 10), 0)
	require.Equal(t, 30, p.Reserve())
	require.Equal(t, map[string]int{"a": 10, "b": 10, "c": 10}, desired(orders), "existing samplers are ordered by this planner too")
	acceptAll(p, orders, startTime)
	require.Empty(t, p.Plan(startTime.Add(minReserveHold-1), fleetOf(12, 10), 0))
	require.Equal(t, map[string]int{"a": 0, "b": 0, "c": 0}, desired(p.Plan(startTime.Add(minReserveHold), fleetOf(12, 10), 0)))
}

func TestOtherZonesTakeTheShareOfAZoneThatRefused(t *testing.T) {
	p := NewPlanner(startTime)
	for _, order := range p.Plan(startTime, fleetOf(12, 0), 300) {
		if order.Zone == "a" {
			p.Refused(order, startTime)
		} else {
			p.Accepted(order, startTime)
		}
	}
	later := startTime.Add(refusedZoneDelay / 2)
	require.Equal(t, map[string]int{"b": 7, "c": 7}, desired(p.Plan(later, fleetOf(12, 0), 300)))
	later = startTime.Add(refusedZoneDelay)
	require.Contains(t, desired(p.Plan(later, fleetOf(12, 0), 300)), "a", "the order is given again")
}

func TestOrderIsRepeatedIfItsSamplersAreMissing(t *testing.T) {
	p := NewPlanner(startTime)
	service := fleetOf(12, 0)
	acceptAll(p, p.Plan(startTime, service, 300), startTime)
	require.Empty(t, p.Plan(startTime.Add(service.BootTime+missingTimeout), service, 300), "the samplers may still boot")
	require.Len(t, p.Plan(startTime.Add(service.BootTime+missingTimeout+1), service, 300), 3)
}

func TestOrdersRespectTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := Service{
			Max: rapid.IntRange(1, 30).Draw(t, "max"), Slots: rapid.IntRange(1, 8).Draw(t, "slots"),
			SpotPrice: rapid.Float64Range(0, 0.6).Draw(t, "price"), BootTime: time.Second,
		}
		ordinary := make(map[string]int)
		for _, name := range []string{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(t, "zones")] {
			zone := Zone{Name: name, Ordinary: rapid.IntRange(0, 30).Draw(t, "ordinary"), Spot: rapid.IntRange(0, 30).Draw(t, "spot")}
			ordinary[name] = zone.Ordinary
			service.Zones = append(service.Zones, zone)
		}
		p := NewPlanner(startTime)
		now := startTime
		for range 10 {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
			for _, order := range p.Plan(now, service, rapid.IntRange(0, 2000).Draw(t, "peak")) {
				require.GreaterOrEqual(t, order.Desired, 0)
				require.LessOrEqual(t, order.Desired, max(service.Max-ordinary[order.Zone], 0))
				if rapid.Bool().Draw(t, "accepted") {
					p.Accepted(order, now)
				} else {
					p.Refused(order, now)
				}
			}
		}
	})
}

// An evacuated zone is absent from Service.Zones. Its samplers are replaced in the other
// zones, and the replacements are released once the zone returns.
func TestSamplersOfAnEvacuatedZoneAreReplacedUntilItReturns(t *testing.T) {
	for _, price := range []float64{0.2, maxSpotPrice + 0.1} {
		allZones, p := fleetOf(12, 0), NewPlanner(startTime)
		allZones.SpotPrice = price
		require.Empty(t, p.Plan(startTime, allZones, 200))
		withoutZoneA := allZones
		withoutZoneA.Zones, withoutZoneA.Evacuated = allZones.Zones[1:], 12
		now := startTime.Add(minReserveHold)
		orders := p.Plan(now, withoutZoneA, 200)
		require.Equal(t, map[string]int{"b": 5, "c": 5}, desired(orders), "200 items in slots of 6, less 24 samplers")
		acceptAll(p, orders, now)
		afterEvacuation := allZones
		afterEvacuation.Zones = []Zone{allZones.Zones[0], {Name: "b", Ordinary: 12, Spot: 5}, {Name: "c", Ordinary: 12, Spot: 5}}
		require.Equal(t, map[string]int{"b": 0, "c": 0}, desired(p.Plan(now.Add(time.Minute), afterEvacuation, 200)))
	}
}

// Guards against a zone that gets a share of the reserve as soon as its evacuation ends: four
// samplers were booted there while four others were released.
func TestReturningZoneMovesNoSamplers(t *testing.T) {
	allZones, p := fleetOf(12, 0), NewPlanner(startTime)
	require.Empty(t, p.Plan(startTime, allZones, 200))
	withoutZoneA := allZones
	withoutZoneA.Zones, withoutZoneA.Evacuated = allZones.Zones[1:], 12
	now := startTime.Add(time.Second)
	acceptAll(p, p.Plan(now, withoutZoneA, 200), now)
	afterEvacuation := allZones
	afterEvacuation.Zones = []Zone{allZones.Zones[0], {Name: "b", Ordinary: 12, Spot: 5}, {Name: "c", Ordinary: 12, Spot: 5}}
	require.Empty(t, p.Plan(now.Add(time.Second), afterEvacuation, 200), "the reserve is not lowered shortly after the start")
}
