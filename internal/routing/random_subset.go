package routing

import (
	"math/rand/v2"
	"slices"
)

const (
	// randomSubsetSize limits the random endpoints that a decision examines. Choosing two out of
	// eight comes close to choosing two out of all.
	randomSubsetSize = 8
	// affinitySubsetSize limits the endpoints that prefix affinity adds.
	affinitySubsetSize = 2
)

// RandomSubset selects a few random endpoints and those with affinity to the prompt prefix.
// It suits endpoints that report their load.
type RandomSubset struct{}

// Select implements SubsetSelector.
func (RandomSubset) Select(destination []*Endpoint, random *rand.Rand, pool *endpointPool, request *Request) []*Endpoint {
	if request.PrefixHash != 0 {
		destination = pool.appendRingSuccessors(destination, request.PrefixHash, affinitySubsetSize)
	}
	size := len(pool.endpoints)
	if size <= randomSubsetSize {
		for _, endpoint := range pool.endpoints {
			destination = appendUnique(destination, endpoint)
		}
		return destination
	}
	for range randomSubsetSize {
		destination = appendUnique(destination, pool.endpoints[random.IntN(size)])
	}
	return destination
}

// appendUnique appends the endpoint unless the slice contains it already.
func appendUnique(destination []*Endpoint, endpoint *Endpoint) []*Endpoint {
	if slices.Contains(destination, endpoint) {
		return destination
	}
	return append(destination, endpoint)
}
