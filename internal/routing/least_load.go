package routing

// LeastLoad scores endpoints higher the lower their load is relative to their capacity.
type LeastLoad struct{}

// defaultCapacity is the capacity, in concurrent requests, of an endpoint that reports none.
const defaultCapacity = 32

// Score implements Scorer.
func (LeastLoad) Score(_ *Request, candidate *Candidate) float64 {
	capacity := candidate.Endpoint.Report.Capacity
	if capacity <= 0 {
		capacity = defaultCapacity
	}
	return 1 / (1 + float64(candidate.Endpoint.Load())/float64(capacity))
}
