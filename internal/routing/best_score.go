package routing

import "math/rand/v2"

// BestScore takes the candidate with the best score, the first of equals: the
// subset's order decides among them. It suits nodes that know most of an endpoint's
// load themselves.
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
