package routing

// WithinBudget drops cold endpoints for which this node has no share of the request budget,
// or has used it up in the last second. It is never relaxed, because a cold endpoint that
// gets too many requests fails and then serves none.
type WithinBudget struct{}

// Keep implements Filter.
func (WithinBudget) Keep(request *Request, endpoint *Endpoint) bool {
	return endpoint.Warmup.Available(request.Now) > 0
}
