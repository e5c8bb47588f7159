package routing

// LeastLoad prefers endpoints with little work, relative to their capacity if
// that is known.
type LeastLoad struct{}

// assumedCapacity stands in for the capacity of an endpoint that reports none.
const assumedCapacity = 32

// Score implements Scorer.
func (LeastLoad) Score(_ *Request, candidate *Candidate) float64 {
	capacity := candidate.Endpoint.Report.Capacity
	if capacity <= 0 {
		capacity = assumedCapacity
	}
	return 1 / (1 + float64(candidate.Endpoint.Load())/float64(capacity))
}
