package routing

import "github.com/pathbend/pathbend/internal/locality"

// AllowedRegion keeps the endpoints in regions where the request may be served. An endpoint
// whose zone belongs to no known region serves only requests without a region restriction.
type AllowedRegion struct {
	// Topology maps zones to regions.
	Topology locality.Topology
}

// Keep implements Filter.
func (a AllowedRegion) Keep(request *Request, endpoint *Endpoint) bool {
	return !request.Regions.Restricted() || request.Regions.Allows(a.Topology.Region(endpoint.Zone))
}
