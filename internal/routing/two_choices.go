package routing

import "math/rand/v2"

// TwoChoices picks the best of two random candidates and the candidate with the highest
// prefix affinity. Comparing two instead of all prevents nodes with the same lagging load
// reports from sending their requests to the same endpoint.
type TwoChoices struct{}

// Pick implements Picker.
func (TwoChoices) Pick(random *rand.Rand, candidates []Candidate) *Endpoint {
	best := &candidates[random.IntN(len(candidates))]
	other := &candidates[random.IntN(len(candidates))]
	if other.Score > best.Score {
		best = other
	}
	// Candidates with prefix affinity come first.
	if candidates[0].AffinityRank == 0 && candidates[0].Score > best.Score {
		best = &candidates[0]
	}
	return best.Endpoint
}
