package routing

// NotEjected keeps endpoints that did not fail repeatedly of late.
type NotEjected struct{}

// Keep implements Filter.
func (NotEjected) Keep(request *Request, endpoint *Endpoint) bool {
	return !endpoint.Ejected(request.Now)
}
