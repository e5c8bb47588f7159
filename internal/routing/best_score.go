package routing

import "math/rand/v2"

// BestScore takes the candidate with the best score, the first of equals after
// a random start. It suits nodes that know most of an endpoint's load
// themselves, such as a few nodes that each prefer the endpoints of their zone.
type BestScore struct{}

// Pick implements Picker.
func (BestScore) Pick(random *rand.Rand, candidates []Candidate) *Endpoint {
	start := random.IntN(len(candidates))
	best := &candidates[start]
	for i := range candidates {
		candidate := &candidates[(start+i)%len(candidates)]
		if candidate.Score > best.Score {
			best = candidate
		}
	}
	return best.Endpoint
}
