package routing

// WithinBudget drops cold endpoints of which this node has spent its share for the last
// second, or has none. It is never relaxed: too many requests make a cold endpoint fall
// over, and then it serves nobody.
type WithinBudget struct{}

// Keep implements Filter.
func (WithinBudget) Keep(request *Request, endpoint *Endpoint) bool {
	return endpoint.Warmup.Room(request.Now) > 0
}
