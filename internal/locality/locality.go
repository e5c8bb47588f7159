// Package locality maps zones to regions and represents the set of regions in which work
// may be served. It does no I/O.
package locality

import (
	"maps"
	"slices"
	"strings"
)

// Topology maps the zones of a deployment to regions. The zero value has no zones.
type Topology struct {
	regionOf map[string]string
}

// NewTopology returns the topology with the given region of each zone. It copies the map.
func NewTopology(regionOf map[string]string) Topology {
	return Topology{regionOf: maps.Clone(regionOf)}
}

// Region returns the region of a zone, or "" if the zone is unknown.
func (t Topology) Region(zone string) string { return t.regionOf[zone] }

// Regions returns the names of all regions, sorted and without duplicates.
func (t Topology) Regions() []string {
	return slices.Compact(slices.Sorted(maps.Values(t.regionOf)))
}

// Zones returns the names of all zones, sorted.
func (t Topology) Zones() []string { return slices.Sorted(maps.Keys(t.regionOf)) }

// Regions is the set of regions in which work may be served. The zero value allows all
// regions. A value never changes.
type Regions struct {
	restricted bool
	names      []string // sorted, without duplicates; empty unless restricted
}

// Only returns the set of the named regions. Without names it allows every region: an
// operator who names none sets no restriction.
func Only(names ...string) Regions {
	if len(names) == 0 {
		return Regions{}
	}
	return Regions{restricted: true, names: slices.Compact(slices.Sorted(slices.Values(names)))}
}

// Restricted reports whether the set is restricted to the regions of Names.
func (r Regions) Restricted() bool { return r.restricted }

// Allows reports whether work may be served in a region. The empty name, which stands for
// an unknown region, is allowed only if the set is not restricted.
func (r Regions) Allows(region string) bool {
	return !r.restricted || region != "" && slices.Contains(r.names, region)
}

// Intersect returns the intersection of two sets. It may allow no region at all.
func (r Regions) Intersect(other Regions) Regions {
	switch {
	case !r.restricted:
		return other
	case !other.restricted:
		return r
	}
	intersection := Regions{restricted: true}
	for _, name := range r.names {
		if other.Allows(name) {
			intersection.names = append(intersection.names, name)
		}
	}
	return intersection
}

// Names returns the allowed regions, sorted. It is empty if the set is not restricted.
func (r Regions) Names() []string { return slices.Clone(r.names) }

// String returns the allowed regions for logs and reports, for example "[north south]", or
// "any region".
func (r Regions) String() string {
	if !r.restricted {
		return "any region"
	}
	return "[" + strings.Join(r.names, " ") + "]"
}
