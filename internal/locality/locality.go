// Package locality tells in which region a zone lies and in which regions work may be
// served. The package is pure.
package locality

import (
	"maps"
	"slices"
	"strings"
)

// Topology maps zones to regions. The zero value knows no zone.
type Topology struct {
	regionOf map[string]string
}

// NewTopology returns the topology of a deployment: the region of each zone.
func NewTopology(regionOf map[string]string) Topology {
	return Topology{regionOf: maps.Clone(regionOf)}
}

// Region returns the region of a zone, empty if the zone is not known.
func (t Topology) Region(zone string) string { return t.regionOf[zone] }

// Regions returns all regions, ordered.
func (t Topology) Regions() []string {
	return slices.Compact(slices.Sorted(maps.Values(t.regionOf)))
}

// Zones returns all zones, ordered.
func (t Topology) Zones() []string { return slices.Sorted(maps.Keys(t.regionOf)) }

// Regions are the regions in which work may be served. The zero value allows all.
type Regions struct {
	bound bool
	names []string
}

// Only returns the regions named. No name at all allows every region: an operator who
// names none sets no bound.
func Only(names ...string) Regions {
	if len(names) == 0 {
		return Regions{}
	}
	return Regions{bound: true, names: slices.Compact(slices.Sorted(slices.Values(names)))}
}

// Bound reports whether any region is ruled out.
func (r Regions) Bound() bool { return r.bound }

// Allow reports whether work may be served in a region. A region that is not known, by
// its empty name, is allowed only where none is ruled out.
func (r Regions) Allow(region string) bool {
	return !r.bound || region != "" && slices.Contains(r.names, region)
}

// And returns the regions that both sets allow, which may be none.
func (r Regions) And(other Regions) Regions {
	switch {
	case !r.bound:
		return other
	case !other.bound:
		return r
	}
	both := Regions{bound: true}
	for _, name := range r.names {
		if other.Allow(name) {
			both.names = append(both.names, name)
		}
	}
	return both
}

// Names returns the regions allowed, ordered; none where all are.
func (r Regions) Names() []string { return slices.Clone(r.names) }

// String implements fmt.Stringer.
func (r Regions) String() string {
	if !r.bound {
		return "any region"
	}
	return "[" + strings.Join(r.names, " ") + "]"
}
