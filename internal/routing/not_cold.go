package routing

// NotCold keeps endpoints that are warm. If there are none, Profile.Pick falls back to cold
// endpoints that have budget left, see WithinBudget.
type NotCold struct{}

// Keep implements Filter.
func (NotCold) Keep(request *Request, endpoint *Endpoint) bool {
	return !endpoint.Warmup.Cold(request.Now)
}
