package routing

import "math/rand/v2"

// BestScore picks the candidate with the highest score. Ties go to the first one, so the
// order of the subset decides. It suits nodes that cause most of an endpoint's load and
// therefore know it first-hand.
type BestScore struct{}

// Pick implements Picker.
func (BestScore) Pick(_ *rand.Rand, candidates []Candidate) *Endpoint {
	best := &candidates[0]
	for i := range candidates[1:] {
		if candidate := &candidates[i+1]; candidate.Score > best.Score {
			best = candidate
		}
	}
	return best.Endpoint
}
