package scaling

import (
	"cmp"
	"slices"
	"time"
)

// Zone is a zone of a service as the list of samplers shows it.
type Zone struct {
	Name string
	// Ordinary and Spot count the samplers that are listed and not leaving.
	Ordinary, Spot int
	// Price is what a second of a sampler costs here, in any unit that is the same in
	// all zones; 0 if it is not known.
	Price float64
}

// Service is what is known of a service.
type Service struct {
	// Zones are those in which samplers may be ordered.
	Zones []Zone
	// Evacuated counts the ordinary samplers of the other zones, which get no work.
	Evacuated int
	// Max bounds the samplers of both kinds in each zone.
	Max int
	// Slots is the number of items that one sampler runs at once.
	Slots int
	// SpotPrice is the price of a spot sampler as a part of an ordinary one's, 0 where
	// there are none.
	SpotPrice float64
	// Boot is how long a new sampler takes until it serves.
	Boot time.Duration
}

// Order asks the platform for a number of spot samplers in a zone.
type Order struct {
	Zone    string
	Desired int
}

const (
	// dearestSpot is the price above which no reserve is held: a reserve as large as
	// the fleet then costs over a third of it more (chosen; 0.22 on the deployment seen).
	dearestSpot = 0.4
	// keepAfterStart is how long a new holder orders no fewer samplers than it finds:
	// until it has seen the peaks of some steps itself.
	keepAfterStart = 30 * time.Second
	// slack is the part of a reserve by which the need must differ for a new order.
	slack = 0.2
	// dryPause is how long a zone that had no spot samplers to give is left alone.
	dryPause = 3 * time.Second
	// missingAfter is how much longer than its boot an ordered sampler may be missing
	// from the list before the order is given again.
	missingAfter = 3 * time.Second
)

// Planner decides for one service while one node holds the duty. The zero value is not
// usable; it is not safe for concurrent use.
type Planner struct {
	beganAt time.Time
	begun   bool
	// reserve is the number of spot samplers wanted in all zones.
	reserve int
	zones   map[string]*zoneState
}

// zoneState is what a planner knows of a zone.
type zoneState struct {
	// taken is the number that the platform took last, valid once any was.
	taken   int
	any     bool
	takenAt time.Time
	dryTill time.Time
}

// NewPlanner returns a planner of a node that holds the duty from a time on.
func NewPlanner(now time.Time) *Planner {
	return &Planner{beganAt: now, zones: make(map[string]*zoneState)}
}

// Plan returns the orders to give now. peak is the most items that were wanted from the
// service at once of late.
func (p *Planner) Plan(now time.Time, service Service, peak int) []Order {
	if service.SpotPrice <= 0 || service.Slots <= 0 {
		return nil
	}
	p.adjust(now, service, peak)
	var orders []Order
	for _, order := range p.spread(now, service.Zones, service.Max) {
		if p.due(now, service, order) {
			orders = append(orders, order)
		}
	}
	return orders
}

// adjust sets the reserve: with it each item of the peak has a slot of its own.
func (p *Planner) adjust(now time.Time, service Service, peak int) {
	ordinary, spot := 0, 0
	for _, zone := range service.Zones {
		ordinary += zone.Ordinary
		spot += zone.Spot
	}
	needed := max((peak+service.Slots-1)/service.Slots-ordinary, 0)
	if service.SpotPrice > dearestSpot {
		// What is lost for a time is replaced at any price below an ordinary sampler's.
		needed = min(needed, service.Evacuated)
	}
	if !p.begun {
		p.reserve, p.begun = spot, true
	}
	difference := needed - p.reserve
	if float64(max(difference, -difference)) <= slack*float64(p.reserve) {
		return
	}
	if difference < 0 && now.Sub(p.beganAt) < keepAfterStart {
		return
	}
	p.reserve = needed
}

// spread divides the reserve over the zones: the cheapest first, but none gets more than
// its even share of what is left if others have room, since the spot samplers of a zone
// go together.
func (p *Planner) spread(now time.Time, zones []Zone, most int) []Order {
	ordered := slices.Clone(zones)
	slices.SortFunc(ordered, func(a, b Zone) int {
		return cmp.Or(
			cmp.Compare(p.room(now, a, most), p.room(now, b, most)),
			cmp.Compare(a.Price, b.Price), cmp.Compare(a.Name, b.Name),
		)
	})
	if standing, ok := p.standing(now, ordered, most); ok {
		return standing
	}
	left := p.reserve
	orders := make([]Order, 0, len(ordered))
	for i, zone := range ordered {
		rest := len(ordered) - i
		share := (left + rest - 1) / rest
		desired := min(share, p.room(now, zone, most))
		left -= desired
		orders = append(orders, Order{Zone: zone.Name, Desired: desired})
	}
	return orders
}

// standing returns the orders that the platform took, if together they are the reserve
// and their zones hold them. A zone that comes back, as after its evacuation, does not
// make others give samplers back that it would then boot itself.
func (p *Planner) standing(now time.Time, zones []Zone, most int) (orders []Order, ok bool) {
	left := p.reserve
	for _, zone := range zones {
		order := Order{Zone: zone.Name}
		if state := p.zones[zone.Name]; state != nil {
			order.Desired = state.taken
		}
		if order.Desired > p.room(now, zone, most) {
			return nil, false
		}
		left -= order.Desired
		orders = append(orders, order)
	}
	return orders, left == 0
}

// room is how many spot samplers a zone can hold now.
func (p *Planner) room(now time.Time, zone Zone, most int) int {
	room := max(most-zone.Ordinary, 0)
	if state := p.zones[zone.Name]; state != nil && now.Before(state.dryTill) {
		return min(room, zone.Spot)
	}
	return room
}

// due reports whether an order says something new, or its samplers are missing.
func (p *Planner) due(now time.Time, service Service, order Order) bool {
	state := p.zones[order.Zone]
	if state == nil || !state.any {
		return order.Desired > 0 || spotIn(service.Zones, order.Zone) > 0
	}
	if now.Before(state.dryTill) {
		return false
	}
	if state.taken != order.Desired {
		return true
	}
	missing := spotIn(service.Zones, order.Zone) < order.Desired
	return missing && now.Sub(state.takenAt) > service.Boot+missingAfter
}

func spotIn(zones []Zone, name string) int {
	for _, zone := range zones {
		if zone.Name == name {
			return zone.Spot
		}
	}
	return 0
}

// Taken records that the platform took an order.
func (p *Planner) Taken(order Order, now time.Time) {
	p.zones[order.Zone] = &zoneState{taken: order.Desired, any: true, takenAt: now}
}

// Refused records that the platform did not take an order.
func (p *Planner) Refused(order Order, now time.Time) {
	state := p.zones[order.Zone]
	if state == nil {
		state = &zoneState{}
		p.zones[order.Zone] = state
	}
	state.dryTill = now.Add(dryPause)
}

// Reserve is the number of spot samplers wanted in all zones.
func (p *Planner) Reserve() int { return p.reserve }
