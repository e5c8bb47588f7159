package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// PreferredSubset looks at endpoints in an order of the node's own: those of the
// request's zone first, then those of the node's region, each part by rendezvous hash over
// node and endpoint; those that the request's regions rule out are left out. A node
// with little to send thus uses few endpoints again and again, on connections that
// it has, while all nodes together spread over all endpoints. The subset grows with
// the node's requests in progress: it ends once it holds spareEndpoints that have
// none of them.
type PreferredSubset struct {
	// Place is that of the deciding node.
	Place Place
}

// spareEndpoints is the number of endpoints without a request of this node that one
// decision looks at, so that the next best is at hand if filters drop the best
// (chosen: a node sees two failures at once, hardly three).
const spareEndpoints = 3

// Choose implements Subset.
func (s PreferredSubset) Choose(into []*Endpoint, _ *rand.Rand, found *pool, request *Request) []*Endpoint {
	spare, allowed := 0, AllowedRegion{s.Place.Topology}
	for _, endpoint := range found.preferredBy(s.Place, request.Zone) {
		if !allowed.Keep(request, endpoint) {
			continue
		}
		into = append(into, endpoint)
		if endpoint.InFlight > 0 || endpoint.Leaving || endpoint.Ejected(request.Now) {
			continue
		}
		if spare++; spare == spareEndpoints {
			break
		}
	}
	return into
}

// preferredBy returns all endpoints of the pool in a node's order for requests from
// a zone. The order is kept as long as the pool: there is one node, and it asks for
// its own zone or for none.
func (p *pool) preferredBy(place Place, zone string) []*Endpoint {
	if ordered, known := p.orders[zone]; known {
		return ordered
	}
	ordered := slices.Clone(p.endpoints)
	region := place.Topology.Region(place.Zone)
	elsewhere := func(endpoint *Endpoint) int {
		switch {
		case endpoint.Zone == zone:
			return 0
		case place.Topology.Region(endpoint.Zone) == region:
			return 1
		}
		return 2
	}
	slices.SortFunc(ordered, func(a, b *Endpoint) int {
		return cmp.Or(
			cmp.Compare(elsewhere(a), elsewhere(b)),
			cmp.Compare(rendezvousHash(place.Node, b.ID), rendezvousHash(place.Node, a.ID)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	if p.orders == nil {
		p.orders = make(map[string][]*Endpoint)
	}
	p.orders[zone] = ordered
	return ordered
}

func rendezvousHash(node, endpoint string) uint64 {
	// A byte that no name holds keeps "ab"+"c" apart from "a"+"bc".
	return xxhash.Sum64String(node + "\x00" + endpoint)
}
