package routing

// NotLeaving keeps endpoints that accept new work.
type NotLeaving struct{}

// Keep implements Filter.
func (NotLeaving) Keep(_ *Request, endpoint *Endpoint) bool { return !endpoint.Leaving }
