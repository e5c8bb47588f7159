package routing

import "github.com/pathbend/pathbend/internal/locality"

// AllowedRegion keeps endpoints in the regions in which the request may be served. An
// endpoint whose zone is in no known region serves only requests that no region binds.
type AllowedRegion struct {
	Topology locality.Topology
}

// Keep implements Filter.
func (a AllowedRegion) Keep(request *Request, endpoint *Endpoint) bool {
	return !request.Regions.Bound() || request.Regions.Allow(a.Topology.Region(endpoint.Zone))
}
