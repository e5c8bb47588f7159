package routing

import (
	"math/rand/v2"
	"slices"
)

const (
	// subsetSize bounds the random endpoints that one decision looks at. Two
	// choices among eight are close to two among all (chosen, not measured).
	subsetSize = 8
	// affinitySize bounds the endpoints that prefix affinity adds.
	affinitySize = 2
)

// RandomSubset looks at a few random endpoints, and at those that the prompt's
// prefix prefers. It suits endpoints that report their load.
type RandomSubset struct{}

// Choose implements Subset.
func (RandomSubset) Choose(into []*Endpoint, random *rand.Rand, found *pool, request *Request) []*Endpoint {
	if request.PrefixHash != 0 {
		into = found.preferred(into, request.PrefixHash, affinitySize)
	}
	size := len(found.endpoints)
	if size <= subsetSize {
		for _, endpoint := range found.endpoints {
			into = addOnce(into, endpoint)
		}
		return into
	}
	for range subsetSize {
		into = addOnce(into, found.endpoints[random.IntN(size)])
	}
	return into
}

func addOnce(into []*Endpoint, endpoint *Endpoint) []*Endpoint {
	if slices.Contains(into, endpoint) {
		return into
	}
	return append(into, endpoint)
}
