package routing

import "math/rand/v2"

// TwoChoices takes the better of two random candidates and of the one with the
// best affinity. Looking at two rather than at all keeps nodes that hold the
// same lagging reports from flocking to one endpoint.
type TwoChoices struct{}

// Pick implements Picker.
func (TwoChoices) Pick(random *rand.Rand, candidates []Candidate) *Endpoint {
	best := &candidates[random.IntN(len(candidates))]
	other := &candidates[random.IntN(len(candidates))]
	if other.Score > best.Score {
		best = other
	}
	// Affinity candidates stand first.
	if candidates[0].Rank == 0 && candidates[0].Score > best.Score {
		best = &candidates[0]
	}
	return best.Endpoint
}
