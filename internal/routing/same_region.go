package routing

import "github.com/pathbend/pathbend/internal/locality"

// SameRegion prefers endpoints in the routing node's region.
type SameRegion struct {
	// Topology maps zones to regions.
	Topology locality.Topology
	// Region is the routing node's region.
	Region string
}

// Score implements Scorer.
func (s SameRegion) Score(_ *Request, candidate *Candidate) float64 {
	if s.Topology.Region(candidate.Endpoint.Zone) == s.Region {
		return 1
	}
	return 0
}
