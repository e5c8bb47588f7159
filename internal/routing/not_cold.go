package routing

// NotCold keeps endpoints that are warm. If none is, cold ones that have budget left
// serve: see Profile.Pick and WithinBudget.
type NotCold struct{}

// Keep implements Filter.
func (NotCold) Keep(request *Request, endpoint *Endpoint) bool {
	return !endpoint.Warmup.Cold(request.Now)
}
