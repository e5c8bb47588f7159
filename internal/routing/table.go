package routing

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pathbend/pathbend/internal/coldlimit"
	"github.com/pathbend/pathbend/internal/evacuation"
)

// Machine is an entry for an engine or back end in the platform's machine list.
type Machine struct {
	ID      string
	Pool    string
	Address string
	Zone    string
	Leaving bool
	// Capacity is the number of concurrent requests that it accepts; 0 if unknown.
	Capacity int
	// StartedAtMs is the start time of its incarnation in Unix milliseconds, 0 if it reports
	// none.
	StartedAtMs int64
	// ColdRemaining is how much longer the machine expects to be cold, 0 if it is warm.
	ColdRemaining time.Duration
	// Limits bound the requests that this node may send while the machine is cold.
	Limits coldlimit.Limits
}

// Table holds the endpoints of all pools. It is not safe for concurrent use.
type Table struct {
	byID  map[string]*Endpoint
	pools map[string]*endpointPool
	// leaving holds the ids of endpoints that announced that they are leaving, including those
	// that are not in the machine list yet.
	leaving   map[string]struct{}
	evacuated evacuation.Zones
}

// endpointPool holds the endpoints of one pool and the orders derived from them.
type endpointPool struct {
	// endpoints are ordered by id.
	endpoints []*Endpoint
	// ring is the consistent-hash ring for prefix affinity, built on first use.
	ring []ringPoint
	// orderByZone caches this node's preference order by the request's zone.
	orderByZone map[string][]*Endpoint
}

// ringPoint is a virtual node on the consistent-hash ring.
type ringPoint struct {
	hash     uint64
	endpoint *Endpoint
}

// virtualNodesPerEndpoint is the number of virtual nodes per endpoint on the affinity ring,
// which even out the shares of the keys.
const virtualNodesPerEndpoint = 16

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		byID:    make(map[string]*Endpoint),
		pools:   make(map[string]*endpointPool),
		leaving: make(map[string]struct{}),
	}
}

// Changes lists the endpoints that an update added, marked as leaving or removed. Restarted
// holds the previous state of those that restarted.
type Changes struct {
	Added, Leaving, Removed, Restarted []*Endpoint
}

// Update applies the machine list. Endpoints keep their dynamic state unless they restarted
// or moved to another address or pool. An endpoint that is no longer listed gets no new
// requests; attempts in flight keep their pointer to it and run to completion.
func (t *Table) Update(machines []Machine) Changes {
	var changes Changes
	listed := make(map[string]struct{}, len(machines))
	for _, machine := range machines {
		listed[machine.ID] = struct{}{}
		endpoint, ok := t.byID[machine.ID]
		if ok && endpoint.StartedAtMs != machine.StartedAtMs {
			// The endpoint restarted; the leaving state belongs to its previous incarnation.
			delete(t.leaving, machine.ID)
			changes.Restarted = append(changes.Restarted, endpoint)
		}
		if !ok || endpoint.StartedAtMs != machine.StartedAtMs || endpoint.Address != machine.Address || endpoint.Pool != machine.Pool {
			endpoint = &Endpoint{ID: machine.ID, StartedAtMs: machine.StartedAtMs, Address: machine.Address, Zone: machine.Zone, Pool: machine.Pool}
			endpoint.Report.Capacity = machine.Capacity
			endpoint.Evacuated = t.evacuated.Contains(machine.Zone)
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
		if _, ok := listed[id]; !ok {
			endpoint.Leaving = true
			changes.Removed = append(changes.Removed, endpoint)
			delete(t.byID, id)
			delete(t.leaving, id)
		}
	}
	slices.SortFunc(changes.Removed, func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	if len(changes.Added)+len(changes.Removed) > 0 {
		t.rebuild()
	}
	return changes
}

// UpdateColdState applies the cold state in the machine list. An entry without limits leaves
// those of an earlier list in force until the endpoint is warm. All machines must be in the
// table.
func (t *Table) UpdateColdState(machines []Machine, now time.Time) {
	for _, machine := range machines {
		endpoint := t.byID[machine.ID]
		if machine.Limits != (coldlimit.Limits{}) {
			endpoint.Warmup.SetLimits(machine.Limits)
		}
		endpoint.Warmup.UpdateColdRemaining(machine.ColdRemaining, now)
	}
}

// NextColdBudget returns the earliest time at which a cold endpoint that passes the filter
// allowed has budget for the request again. cold is false if no endpoint is unavailable for
// lack of budget.
func (t *Table) NextColdBudget(request *Request, allowed Filter) (at time.Time, cold bool) {
	for _, endpoint := range t.Pool(request.Pool) {
		if endpoint.Leaving || endpoint.Evacuated || !allowed.Keep(request, endpoint) || slices.Contains(request.Excluded, endpoint.ID) || endpoint.Warmup.Available(request.Now) > 0 {
			continue
		}
		if next := endpoint.Warmup.NextAvailable(request.Now); !cold || next.Before(at) {
			at, cold = next, true
		}
	}
	return at, cold
}

// MarkLeaving records that an endpoint accepts no new work, and reports whether that was
// unknown before.
func (t *Table) MarkLeaving(id string) bool {
	if _, marked := t.leaving[id]; marked {
		return false
	}
	t.leaving[id] = struct{}{}
	if endpoint, ok := t.byID[id]; ok {
		endpoint.Leaving = true
	}
	return true
}

// Evacuate sets the zones that are evacuated. Endpoints of restored zones are treated as
// possibly cold.
func (t *Table) Evacuate(zones evacuation.Zones, now time.Time) {
	t.evacuated = zones
	for _, endpoint := range t.byID {
		wasEvacuated := endpoint.Evacuated
		if endpoint.Evacuated = zones.Contains(endpoint.Zone); wasEvacuated && !endpoint.Evacuated {
			// The endpoint may have become cold without the machine list showing it yet.
			endpoint.Warmup.AssumeColdStart(now)
		}
	}
}

// PoolEvacuated reports whether a pool has no endpoints for new work only because zones are
// evacuated.
func (t *Table) PoolEvacuated(pool string) bool {
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

// LeavingIDs returns the ids of all endpoints known to be leaving, in ascending order.
func (t *Table) LeavingIDs() []string { return slices.Sorted(maps.Keys(t.leaving)) }

// Get returns the endpoint with an id, or nil if there is none.
func (t *Table) Get(id string) *Endpoint { return t.byID[id] }

// Pool returns the endpoints of a pool ordered by id, or nil if there is no such pool. The
// caller must not modify the slice.
func (t *Table) Pool(name string) []*Endpoint {
	pool, ok := t.pools[name]
	if !ok {
		return nil
	}
	return pool.endpoints
}

// Pools returns the names of all pools in ascending order.
func (t *Table) Pools() []string { return slices.Sorted(maps.Keys(t.pools)) }

// rebuild groups the endpoints into pools and drops all cached orders.
func (t *Table) rebuild() {
	clear(t.pools)
	for _, id := range slices.Sorted(maps.Keys(t.byID)) {
		endpoint := t.byID[id]
		pool, ok := t.pools[endpoint.Pool]
		if !ok {
			pool = &endpointPool{}
			t.pools[endpoint.Pool] = pool
		}
		pool.endpoints = append(pool.endpoints, endpoint)
	}
}

// buildRing builds the consistent-hash ring. Nodes without prefix affinity never need it, and
// for a large pool it costs more than the rest of an update.
func (p *endpointPool) buildRing() {
	p.ring = make([]ringPoint, 0, len(p.endpoints)*virtualNodesPerEndpoint)
	for _, endpoint := range p.endpoints {
		for point := range virtualNodesPerEndpoint {
			p.ring = append(p.ring, ringPoint{hash: pointHash(endpoint.ID, point), endpoint: endpoint})
		}
	}
	slices.SortFunc(p.ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
}

func pointHash(id string, point int) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(uint64(point))
	digest.WriteString(id) // Never returns an error.
	return digest.Sum64()
}

// appendRingSuccessors appends up to count distinct endpoints that follow a hash on the ring.
func (p *endpointPool) appendRingSuccessors(destination []*Endpoint, hash uint64, count int) []*Endpoint {
	if p.ring == nil {
		p.buildRing()
	}
	start, _ := slices.BinarySearchFunc(p.ring, hash, func(point ringPoint, hash uint64) int {
		return cmp.Compare(point.hash, hash)
	})
	first := len(destination)
	for step := 0; step < len(p.ring) && len(destination)-first < count; step++ {
		endpoint := p.ring[(start+step)%len(p.ring)].endpoint
		if !slices.Contains(destination[first:], endpoint) {
			destination = append(destination, endpoint)
		}
	}
	return destination
}
