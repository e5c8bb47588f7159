package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// PreferredSubset looks at endpoints in an order of the node's own: those of the
// request's zone first, each part by rendezvous hash over node and endpoint. A node
// with little to send thus uses few endpoints again and again, on connections that
// it has, while all nodes together spread over all endpoints. The subset grows with
// the node's requests in progress: it ends once it holds spareEndpoints that have
// none of them.
type PreferredSubset struct {
	// Node is the name of the deciding node.
	Node string
}

// spareEndpoints is the number of endpoints without a request of this node that one
// decision looks at, so that the next best is at hand if filters drop the best
// (chosen: a node sees two failures at once, hardly three).
const spareEndpoints = 3

// Choose implements Subset.
func (s PreferredSubset) Choose(into []*Endpoint, _ *rand.Rand, found *pool, request *Request) []*Endpoint {
	spare := 0
	for _, endpoint := range found.preferredBy(s.Node, request.Zone) {
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
func (p *pool) preferredBy(node, zone string) []*Endpoint {
	if ordered, known := p.orders[zone]; known {
		return ordered
	}
	ordered := slices.Clone(p.endpoints)
	elsewhere := func(endpoint *Endpoint) int {
		if endpoint.Zone == zone {
			return 0
		}
		return 1
	}
	slices.SortFunc(ordered, func(a, b *Endpoint) int {
		return cmp.Or(
			cmp.Compare(elsewhere(a), elsewhere(b)),
			cmp.Compare(rendezvousHash(node, b.ID), rendezvousHash(node, a.ID)),
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
