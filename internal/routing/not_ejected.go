package routing

// NotEjected keeps endpoints that are not ejected after consecutive failures.
type NotEjected struct{}

// Keep implements Filter.
func (NotEjected) Keep(request *Request, endpoint *Endpoint) bool {
	return !endpoint.Ejected(request.Now)
}
