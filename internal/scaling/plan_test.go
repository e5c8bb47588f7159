package scaling

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var began = time.Unix(1000, 0)

func fleetOf(ordinary, spot int) Service {
	return Service{
		Zones: []Zone{
			{Name: "a", Ordinary: ordinary, Spot: spot, Price: 1.2}, {Name: "b", Ordinary: ordinary, Spot: spot, Price: 0.8},
			{Name: "c", Ordinary: ordinary, Spot: spot, Price: 1},
		},
		Max: 24, Slots: 6, SpotPrice: 0.2, Boot: 4 * time.Second,
	}
}

func desired(orders []Order) map[string]int {
	byZone := make(map[string]int)
	for _, order := range orders {
		byZone[order.Zone] = order.Desired
	}
	return byZone
}

func taken(p *Planner, orders []Order, now time.Time) {
	for _, order := range orders {
		p.Taken(order, now)
	}
}

func TestReserveGivesEachItemOfThePeakASlot(t *testing.T) {
	p := NewPlanner(began)
	orders := p.Plan(began, fleetOf(12, 0), 461)
	require.Equal(t, 77-36, p.Reserve(), "461 items in slots of 6, less the ordinary samplers")
	require.Equal(t, map[string]int{"a": 12, "b": 12, "c": 12}, desired(orders), "the limits of the zones bind")
	require.Empty(t, NewPlanner(began).Plan(began, fleetOf(12, 0), 200), "the ordinary samplers are enough")
	p = NewPlanner(began)
	require.Equal(t, map[string]int{"a": 4, "b": 5, "c": 5}, desired(p.Plan(began, fleetOf(12, 0), 300)), "evenly, the cheapest zone first")
}

func TestNothingIsOrderedWhereSpotIsDearOrThereIsNone(t *testing.T) {
	for _, price := range []float64{0, dearestSpot + 0.1} {
		service := fleetOf(12, 0)
		service.SpotPrice = price
		require.Empty(t, NewPlanner(began).Plan(began, service, 900), "price %v", price)
	}
}

func TestOrdersDoNotFlap(t *testing.T) {
	p := NewPlanner(began)
	taken(p, p.Plan(began, fleetOf(12, 0), 330), began)
	require.Equal(t, 19, p.Reserve())
	now := began.Add(time.Second)
	for _, peak := range []int{340, 320, 310, 348} {
		require.Empty(t, p.Plan(now, fleetOf(12, 6), peak), "peak %d", peak)
	}
	require.NotEmpty(t, p.Plan(now, fleetOf(12, 6), 400), "more work")
}

// A new holder knows neither the orders nor the peaks of the former one.
func TestNewHolderKeepsWhatItFindsAtFirst(t *testing.T) {
	p := NewPlanner(began)
	orders := p.Plan(began, fleetOf(12, 10), 0)
	require.Equal(t, 30, p.Reserve())
	require.Equal(t, map[string]int{"a": 10, "b": 10, "c": 10}, desired(orders), "what is there is ordered by this holder too")
	taken(p, orders, began)
	require.Empty(t, p.Plan(began.Add(keepAfterStart-1), fleetOf(12, 10), 0))
	require.Equal(t, map[string]int{"a": 0, "b": 0, "c": 0}, desired(p.Plan(began.Add(keepAfterStart), fleetOf(12, 10), 0)))
}

func TestZoneThatHasNoneIsLeftAloneAndTheOthersTakeItsShare(t *testing.T) {
	p := NewPlanner(began)
	for _, order := range p.Plan(began, fleetOf(12, 0), 300) {
		if order.Zone == "a" {
			p.Refused(order, began)
		} else {
			p.Taken(order, began)
		}
	}
	later := began.Add(dryPause / 2)
	require.Equal(t, map[string]int{"b": 7, "c": 7}, desired(p.Plan(later, fleetOf(12, 0), 300)))
	later = began.Add(dryPause)
	require.Contains(t, desired(p.Plan(later, fleetOf(12, 0), 300)), "a", "asked again")
}

func TestOrderWhoseSamplersAreMissingIsGivenAgain(t *testing.T) {
	p := NewPlanner(began)
	service := fleetOf(12, 0)
	taken(p, p.Plan(began, service, 300), began)
	require.Empty(t, p.Plan(began.Add(service.Boot+missingAfter), service, 300), "they may boot")
	require.Len(t, p.Plan(began.Add(service.Boot+missingAfter+1), service, 300), 3)
}

func TestOrdersKeepTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := Service{
			Max: rapid.IntRange(1, 30).Draw(t, "max"), Slots: rapid.IntRange(1, 8).Draw(t, "slots"),
			SpotPrice: rapid.Float64Range(0, 0.6).Draw(t, "price"), Boot: time.Second,
		}
		ordinary := make(map[string]int)
		for _, name := range []string{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(t, "zones")] {
			zone := Zone{Name: name, Ordinary: rapid.IntRange(0, 30).Draw(t, "ordinary"), Spot: rapid.IntRange(0, 30).Draw(t, "spot")}
			ordinary[name] = zone.Ordinary
			service.Zones = append(service.Zones, zone)
		}
		p := NewPlanner(began)
		now := began
		for range 10 {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
			for _, order := range p.Plan(now, service, rapid.IntRange(0, 2000).Draw(t, "peak")) {
				require.GreaterOrEqual(t, order.Desired, 0)
				require.LessOrEqual(t, order.Desired, max(service.Max-ordinary[order.Zone], 0))
				if rapid.Bool().Draw(t, "taken") {
					p.Taken(order, now)
				} else {
					p.Refused(order, now)
				}
			}
		}
	})
}

// A zone that is evacuated is left out of the zones; its samplers are replaced in the
// others and given back once it is there again.
func TestSamplersOfAnEvacuatedZoneAreReplacedForAsLong(t *testing.T) {
	for _, price := range []float64{0.2, dearestSpot + 0.1} {
		whole, p := fleetOf(12, 0), NewPlanner(began)
		whole.SpotPrice = price
		require.Empty(t, p.Plan(began, whole, 200))
		out := whole
		out.Zones, out.Evacuated = whole.Zones[1:], 12
		now := began.Add(keepAfterStart)
		orders := p.Plan(now, out, 200)
		require.Equal(t, map[string]int{"b": 5, "c": 5}, desired(orders), "200 items in slots of 6, less 24 samplers")
		taken(p, orders, now)
		back := whole
		back.Zones = []Zone{whole.Zones[0], {Name: "b", Ordinary: 12, Spot: 5}, {Name: "c", Ordinary: 12, Spot: 5}}
		require.Equal(t, map[string]int{"b": 0, "c": 0}, desired(p.Plan(now.Add(time.Minute), back, 200)))
	}
}

// A zone came back from its evacuation and got a share of the reserve at once: four
// samplers booted there while four others were given back.
func TestZoneThatComesBackMovesNoSamplers(t *testing.T) {
	whole, p := fleetOf(12, 0), NewPlanner(began)
	require.Empty(t, p.Plan(began, whole, 200))
	out := whole
	out.Zones, out.Evacuated = whole.Zones[1:], 12
	now := began.Add(time.Second)
	taken(p, p.Plan(now, out, 200), now)
	back := whole
	back.Zones = []Zone{whole.Zones[0], {Name: "b", Ordinary: 12, Spot: 5}, {Name: "c", Ordinary: 12, Spot: 5}}
	require.Empty(t, p.Plan(now.Add(time.Second), back, 200), "the reserve stays for a while after the start")
}
