package routing

// SameZone prefers endpoints in the zone of the request.
type SameZone struct{}

// Score implements Scorer.
func (SameZone) Score(request *Request, candidate *Candidate) float64 {
	if candidate.Endpoint.Zone == request.Zone {
		return 1
	}
	return 0
}
