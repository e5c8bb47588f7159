package scaling

import (
	"cmp"
	"slices"
	"time"
)

// Zone describes a zone of a service according to the list of samplers.
type Zone struct {
	Name string
	// Ordinary and Spot count the listed samplers of each kind that are not leaving.
	Ordinary, Spot int
	// Price is the price of a sampler per second, in a unit common to all zones; 0 if it
	// is unknown.
	Price float64
}

// Service describes the samplers of a service.
type Service struct {
	// Zones lists the zones in which samplers may be ordered.
	Zones []Zone
	// Evacuated counts the ordinary samplers in evacuated zones, which get no work. These
	// zones are not in Zones.
	Evacuated int
	// Max is the maximum number of samplers of both kinds together in each zone.
	Max int
	// Slots is the number of items that one sampler runs concurrently.
	Slots int
	// SpotPrice is the price of a spot sampler as a fraction of that of an ordinary one, 0
	// if there are no spot samplers.
	SpotPrice float64
	// BootTime is the time from the order of a sampler until it serves.
	BootTime time.Duration
}

// Order is a request to the platform to run Desired spot samplers in a zone. It replaces
// earlier orders of the zone.
type Order struct {
	Zone    string
	Desired int
}

const (
	// maxSpotPrice is the Service.SpotPrice above which no reserve is held, since a reserve
	// as large as the fleet would then raise its cost by more than a third. Known
	// deployments have a price of 0.22.
	maxSpotPrice = 0.4
	// minReserveHold is how long a new planner orders no fewer spot samplers than it finds,
	// so that it has observed the peaks of several steps before it lowers the number.
	minReserveHold = 30 * time.Second
	// minReserveChange is the fraction of the reserve that a change must exceed to take
	// effect.
	minReserveChange = 0.2
	// refusedZoneDelay is how long a zone gets no order after the platform refused one,
	// which means that the zone has no spot samplers available.
	refusedZoneDelay = 3 * time.Second
	// missingTimeout is how much longer than Service.BootTime an ordered sampler may be absent
	// from the list before the order is repeated.
	missingTimeout = 3 * time.Second
)

// Planner plans the orders of one service for as long as its node holds the scaling lease.
// The zero value is not usable. It is not safe for concurrent use.
type Planner struct {
	startedAt   time.Time
	initialized bool
	// reserve is the number of spot samplers wanted in all zones.
	reserve int
	zones   map[string]*zoneState
}

// zoneState is the state of the orders of a zone.
type zoneState struct {
	// accepted is the number of samplers in the last order that the platform accepted, at
	// acceptedAt. Both are valid if hasAccepted is set.
	accepted    int
	hasAccepted bool
	acceptedAt  time.Time
	// retryAt is the time before which no order is given after a refusal.
	retryAt time.Time
}

// NewPlanner returns a planner for a node that acquired the scaling lease at now.
func NewPlanner(now time.Time) *Planner {
	return &Planner{startedAt: now, zones: make(map[string]*zoneState)}
}

// Plan returns the orders to give now. peak is the recent maximum of the items wanted from
// the service at once. It returns none if the service has no spot samplers or no slots.
func (p *Planner) Plan(now time.Time, service Service, peak int) []Order {
	if service.SpotPrice <= 0 || service.Slots <= 0 {
		return nil
	}
	p.updateReserve(now, service, peak)
	var orders []Order
	for _, order := range p.distribute(now, service.Zones, service.Max) {
		if p.shouldOrder(now, service, order) {
			orders = append(orders, order)
		}
	}
	return orders
}

// updateReserve sets the reserve so that each item of the peak has its own slot.
func (p *Planner) updateReserve(now time.Time, service Service, peak int) {
	ordinary, spot := 0, 0
	for _, zone := range service.Zones {
		ordinary += zone.Ordinary
		spot += zone.Spot
	}
	needed := max((peak+service.Slots-1)/service.Slots-ordinary, 0)
	if service.SpotPrice > maxSpotPrice {
		// Samplers of evacuated zones are replaced at any price below that of ordinary samplers,
		// since the loss is temporary.
		needed = min(needed, service.Evacuated)
	}
	if !p.initialized {
		p.reserve, p.initialized = spot, true
	}
	difference := needed - p.reserve
	if float64(max(difference, -difference)) <= minReserveChange*float64(p.reserve) {
		return
	}
	if difference < 0 && now.Sub(p.startedAt) < minReserveHold {
		return
	}
	p.reserve = needed
}

// distribute divides the reserve among the zones, the smallest capacity first and, of equal
// ones, the cheapest first. A zone gets at most an even share of what remains for it and the
// zones after it, since all spot samplers of a zone may be preempted together.
func (p *Planner) distribute(now time.Time, zones []Zone, maxPerZone int) []Order {
	ordered := slices.Clone(zones)
	slices.SortFunc(ordered, func(a, b Zone) int {
		return cmp.Or(
			cmp.Compare(p.spotCapacity(now, a, maxPerZone), p.spotCapacity(now, b, maxPerZone)),
			cmp.Compare(a.Price, b.Price), cmp.Compare(a.Name, b.Name),
		)
	})
	if accepted, ok := p.acceptedOrders(now, ordered, maxPerZone); ok {
		return accepted
	}
	remaining := p.reserve
	orders := make([]Order, 0, len(ordered))
	for i, zone := range ordered {
		zonesLeft := len(ordered) - i
		share := (remaining + zonesLeft - 1) / zonesLeft
		desired := min(share, p.spotCapacity(now, zone, maxPerZone))
		remaining -= desired
		orders = append(orders, Order{Zone: zone.Name, Desired: desired})
	}
	return orders
}

// acceptedOrders returns the orders that the platform accepted, if they add up to the reserve
// and the zones have the capacity for them. This way a zone that returns, for instance after
// its evacuation, does not cause samplers to be stopped elsewhere and booted in that zone.
func (p *Planner) acceptedOrders(now time.Time, zones []Zone, maxPerZone int) (orders []Order, ok bool) {
	remaining := p.reserve
	for _, zone := range zones {
		order := Order{Zone: zone.Name}
		if state := p.zones[zone.Name]; state != nil {
			order.Desired = state.accepted
		}
		if order.Desired > p.spotCapacity(now, zone, maxPerZone) {
			return nil, false
		}
		remaining -= order.Desired
		orders = append(orders, order)
	}
	return orders, remaining == 0
}

// spotCapacity returns the number of spot samplers that a zone can have now. A zone that
// recently refused an order can have no more than it has.
func (p *Planner) spotCapacity(now time.Time, zone Zone, maxPerZone int) int {
	capacity := max(maxPerZone-zone.Ordinary, 0)
	if state := p.zones[zone.Name]; state != nil && now.Before(state.retryAt) {
		return min(capacity, zone.Spot)
	}
	return capacity
}

// shouldOrder reports whether an order differs from the last accepted one, or samplers of
// that one are missing.
func (p *Planner) shouldOrder(now time.Time, service Service, order Order) bool {
	state := p.zones[order.Zone]
	if state == nil || !state.hasAccepted {
		return order.Desired > 0 || spotCount(service.Zones, order.Zone) > 0
	}
	if now.Before(state.retryAt) {
		return false
	}
	if state.accepted != order.Desired {
		return true
	}
	missing := spotCount(service.Zones, order.Zone) < order.Desired
	return missing && now.Sub(state.acceptedAt) > service.BootTime+missingTimeout
}

// spotCount returns the number of spot samplers in the named zone, 0 if it is not listed.
func spotCount(zones []Zone, name string) int {
	for _, zone := range zones {
		if zone.Name == name {
			return zone.Spot
		}
	}
	return 0
}

// Accepted records that the platform accepted an order.
func (p *Planner) Accepted(order Order, now time.Time) {
	p.zones[order.Zone] = &zoneState{accepted: order.Desired, hasAccepted: true, acceptedAt: now}
}

// Refused records that the platform refused an order. The zone gets no order for
// refusedZoneDelay.
func (p *Planner) Refused(order Order, now time.Time) {
	state := p.zones[order.Zone]
	if state == nil {
		state = &zoneState{}
		p.zones[order.Zone] = state
	}
	state.retryAt = now.Add(refusedZoneDelay)
}

// Reserve returns the number of spot samplers wanted in all zones together.
func (p *Planner) Reserve() int { return p.reserve }
