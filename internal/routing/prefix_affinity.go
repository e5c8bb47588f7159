package routing

// PrefixAffinity prefers the engine to which consistent hashing maps the prompt prefix, then
// its successor on the ring. Overloaded engines get no affinity score.
type PrefixAffinity struct{}

// maxAffinityLoadRatio is the load relative to capacity above which load balancing takes
// precedence over affinity.
const maxAffinityLoadRatio = 1.25

// Score implements Scorer.
func (PrefixAffinity) Score(_ *Request, candidate *Candidate) float64 {
	capacity := candidate.Endpoint.Report.Capacity
	if capacity <= 0 {
		capacity = defaultCapacity
	}
	if candidate.AffinityRank < 0 || float64(candidate.Endpoint.Load()) > maxAffinityLoadRatio*float64(capacity) {
		return 0
	}
	return 1 / float64(1+candidate.AffinityRank)
}
