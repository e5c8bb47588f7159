package routing

import "github.com/pathbend/pathbend/internal/locality"

// SameRegion prefers endpoints in the region of the deciding node.
type SameRegion struct {
	Topology locality.Topology
	// Region is that of the deciding node.
	Region string
}

// Score implements Scorer.
func (s SameRegion) Score(_ *Request, candidate *Candidate) float64 {
	if s.Topology.Region(candidate.Endpoint.Zone) == s.Region {
		return 1
	}
	return 0
}
