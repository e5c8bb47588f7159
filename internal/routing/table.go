package routing

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pathbend/pathbend/internal/evacuation"
	"github.com/pathbend/pathbend/internal/warmup"
)

// Machine is an engine or back end in the platform's machine list.
type Machine struct {
	ID      string
	Pool    string
	Address string
	Zone    string
	Leaving bool
	// Capacity is the work that it takes at once; 0 if unknown.
	Capacity int
	// Born is the start of its incarnation, 0 where endpoints do not tell.
	Born int64
	// ColdFor is how much longer it said that it is cold, Limits what this node may send
	// it meanwhile.
	ColdFor time.Duration
	Limits  warmup.Limits
}

// Table holds the endpoints by pool. It is not safe for concurrent use.
type Table struct {
	byID  map[string]*Endpoint
	pools map[string]*pool
	// leaving remembers endpoints that said that they leave, also before the
	// machine list names them.
	leaving   map[string]struct{}
	evacuated evacuation.Zones
}

type pool struct {
	endpoints []*Endpoint
	// ring places every endpoint for affinity. It is made at the first use.
	ring []ringPoint
	// orders holds the order that this node prefers, by zone of the request.
	orders map[string][]*Endpoint
}

type ringPoint struct {
	hash     uint64
	endpoint *Endpoint
}

// pointsPerEndpoint evens out the share of keys on the affinity ring.
const pointsPerEndpoint = 16

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		byID:    make(map[string]*Endpoint),
		pools:   make(map[string]*pool),
		leaving: make(map[string]struct{}),
	}
}

// Changes lists the endpoints that an update added, found leaving or removed, and those
// that started again, as they were before.
type Changes struct {
	Added, Leaving, Gone, Restarted []*Endpoint
}

// Update applies the machine list. Endpoints keep their dynamic state. An
// endpoint that vanished from the list gets no new work; attempts in flight
// keep their pointer and finish.
func (t *Table) Update(machines []Machine) Changes {
	var changes Changes
	present := make(map[string]struct{}, len(machines))
	for _, machine := range machines {
		present[machine.ID] = struct{}{}
		endpoint, ok := t.byID[machine.ID]
		if ok && endpoint.Born != machine.Born {
			// It started again: that its former incarnation left tells nothing.
			delete(t.leaving, machine.ID)
			changes.Restarted = append(changes.Restarted, endpoint)
		}
		if !ok || endpoint.Born != machine.Born || endpoint.Address != machine.Address || endpoint.Pool != machine.Pool {
			endpoint = &Endpoint{ID: machine.ID, Born: machine.Born, Address: machine.Address, Zone: machine.Zone, Pool: machine.Pool}
			endpoint.Report.Capacity = machine.Capacity
			endpoint.Evacuated = t.evacuated.Has(machine.Zone)
			_, endpoint.Leaving = t.leaving[machine.ID]
			t.byID[machine.ID] = endpoint
			changes.Added = append(changes.Added, endpoint)
		}
		if machine.Leaving && !endpoint.Leaving {
			t.MarkLeaving(machine.ID)
			changes.Leaving = append(changes.Leaving, endpoint)
		}
	}
	for id, endpoint := range t.byID {
		if _, ok := present[id]; !ok {
			endpoint.Leaving = true
			changes.Gone = append(changes.Gone, endpoint)
			delete(t.byID, id)
			delete(t.leaving, id)
		}
	}
	slices.SortFunc(changes.Gone, func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	if len(changes.Added)+len(changes.Gone) > 0 {
		t.rebuild()
	}
	return changes
}

// NoteCold applies what the machine list says of cold endpoints. Limits that it named
// before last until the endpoint is warm.
func (t *Table) NoteCold(machines []Machine, now time.Time) {
	for _, machine := range machines {
		endpoint := t.byID[machine.ID]
		if machine.Limits != (warmup.Limits{}) {
			endpoint.Warmup.SetLimits(machine.Limits)
		}
		endpoint.Warmup.Told(machine.ColdFor, now)
	}
}

// RoomAgain returns when an endpoint that a request may not go to because it is cold has
// room again, the first of all that allowed keeps; false if none is kept away for that.
func (t *Table) RoomAgain(request *Request, allowed Filter) (at time.Time, cold bool) {
	for _, endpoint := range t.Pool(request.Pool) {
		if endpoint.Leaving || endpoint.Evacuated || !allowed.Keep(request, endpoint) || slices.Contains(request.Excluded, endpoint.ID) || endpoint.Warmup.Room(request.Now) > 0 {
			continue
		}
		if next := endpoint.Warmup.Next(request.Now); !cold || next.Before(at) {
			at, cold = next, true
		}
	}
	return at, cold
}

// MarkLeaving records that an endpoint takes no new work. It reports whether
// that was news.
func (t *Table) MarkLeaving(id string) bool {
	if _, known := t.leaving[id]; known {
		return false
	}
	t.leaving[id] = struct{}{}
	if endpoint, ok := t.byID[id]; ok {
		endpoint.Leaving = true
	}
	return true
}

// Evacuate applies the list of evacuated zones.
func (t *Table) Evacuate(zones evacuation.Zones, now time.Time) {
	t.evacuated = zones
	for _, endpoint := range t.byID {
		before := endpoint.Evacuated
		if endpoint.Evacuated = zones.Has(endpoint.Zone); before && !endpoint.Evacuated {
			// It may have become cold shortly before.
			endpoint.Warmup.Doubt(now)
		}
	}
}

// Evacuated reports whether a pool would have endpoints for new work if no zone were
// evacuated, and has none.
func (t *Table) Evacuated(pool string) bool {
	evacuated := false
	for _, endpoint := range t.Pool(pool) {
		switch {
		case endpoint.Leaving:
		case !endpoint.Evacuated:
			return false
		default:
			evacuated = true
		}
	}
	return evacuated
}

// LeavingIDs returns the endpoints known to leave, ordered.
func (t *Table) LeavingIDs() []string { return slices.Sorted(maps.Keys(t.leaving)) }

// Get returns an endpoint or nil.
func (t *Table) Get(id string) *Endpoint { return t.byID[id] }

// Pool returns the endpoints of a pool ordered by id. The caller must not
// modify the slice.
func (t *Table) Pool(name string) []*Endpoint {
	found, ok := t.pools[name]
	if !ok {
		return nil
	}
	return found.endpoints
}

// Pools returns the names of all pools, ordered.
func (t *Table) Pools() []string { return slices.Sorted(maps.Keys(t.pools)) }

func (t *Table) rebuild() {
	clear(t.pools)
	for _, id := range slices.Sorted(maps.Keys(t.byID)) {
		endpoint := t.byID[id]
		found, ok := t.pools[endpoint.Pool]
		if !ok {
			found = &pool{}
			t.pools[endpoint.Pool] = found
		}
		found.endpoints = append(found.endpoints, endpoint)
	}
}

// buildRing places the endpoints. Nodes without prefix affinity never need it, and
// it costs more than all else at a change of a large pool.
func (p *pool) buildRing() {
	p.ring = make([]ringPoint, 0, len(p.endpoints)*pointsPerEndpoint)
	for _, endpoint := range p.endpoints {
		for point := range pointsPerEndpoint {
			p.ring = append(p.ring, ringPoint{hash: pointHash(endpoint.ID, point), endpoint: endpoint})
		}
	}
	slices.SortFunc(p.ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
}

func pointHash(id string, point int) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(uint64(point))
	digest.WriteString(id) // never fails
	return digest.Sum64()
}

// preferred appends up to count distinct endpoints after a hash on the ring.
func (p *pool) preferred(into []*Endpoint, hash uint64, count int) []*Endpoint {
	if p.ring == nil {
		p.buildRing()
	}
	start, _ := slices.BinarySearchFunc(p.ring, hash, func(point ringPoint, hash uint64) int {
		return cmp.Compare(point.hash, hash)
	})
	first := len(into)
	for step := 0; step < len(p.ring) && len(into)-first < count; step++ {
		endpoint := p.ring[(start+step)%len(p.ring)].endpoint
		if !slices.Contains(into[first:], endpoint) {
			into = append(into, endpoint)
		}
	}
	return into
}
