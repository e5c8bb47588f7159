package routing

import "slices"

// NotExcluded keeps endpoints that the request does not exclude, usually because an earlier
// attempt used them.
type NotExcluded struct{}

// Keep implements Filter.
func (NotExcluded) Keep(request *Request, endpoint *Endpoint) bool {
	return !slices.Contains(request.Excluded, endpoint.ID)
}
