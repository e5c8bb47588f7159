package routing

// PrefixAffinity prefers the engine that serves a prompt prefix by consistent
// hashing, as long as it is not overloaded, and then the next on the ring.
type PrefixAffinity struct{}

// affinityLoadLimit is the load relative to capacity above which affinity
// yields to balance.
const affinityLoadLimit = 1.25

// Score implements Scorer.
func (PrefixAffinity) Score(_ *Request, candidate *Candidate) float64 {
	capacity := candidate.Endpoint.Report.Capacity
	if capacity <= 0 {
		capacity = assumedCapacity
	}
	if candidate.Rank < 0 || float64(candidate.Endpoint.Load()) > affinityLoadLimit*float64(capacity) {
		return 0
	}
	return 1 / float64(1+candidate.Rank)
}
