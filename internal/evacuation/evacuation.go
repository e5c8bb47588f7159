// Package evacuation holds which zones are evacuated. Nothing may be sent to the
// samplers and back ends of such a zone, from whichever source that was asked; what
// runs there ends as it would. The package is pure: callers pass the time and hold the
// newest Zones.
package evacuation

import (
	"cmp"
	"slices"
	"time"
)

// Source names who asked for an evacuation.
type Source string

// SourceOperator is the operator's record in the platform's store.
const SourceOperator Source = "operator"

// Zone is a zone that one source wants evacuated.
type Zone struct {
	Name   string
	Source Source
	// Since is when this process learned of it.
	Since time.Time
}

// Zones are the evacuated zones at a moment, ordered by name and source. The zero
// value is none. A value never changes, so that it may be shared.
type Zones struct {
	zones []Zone
}

// Changes tell what a source's word changed.
type Changes struct {
	// Evacuated are zones that no source wanted evacuated before, TakenBack those that
	// none does any more.
	Evacuated, TakenBack []Zone
}

// Take returns the zones after a source named all those that it wants evacuated. Zones
// that it named before keep their time.
func (z Zones) Take(source Source, names []string, now time.Time) (Zones, Changes) {
	var next Zones
	for _, known := range z.zones {
		if known.Source != source || slices.Contains(names, known.Name) {
			next.zones = append(next.zones, known)
		}
	}
	for _, name := range names {
		if !next.names(name, source) {
			next.zones = append(next.zones, Zone{Name: name, Source: source, Since: now})
		}
	}
	slices.SortFunc(next.zones, func(a, b Zone) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Source, b.Source))
	})
	return next, Changes{Evacuated: next.without(z), TakenBack: z.without(next)}
}

func (z Zones) names(name string, source Source) bool {
	return slices.ContainsFunc(z.zones, func(zone Zone) bool { return zone.Name == name && zone.Source == source })
}

// without returns the zones that are not evacuated in another list.
func (z Zones) without(other Zones) []Zone {
	var found []Zone
	for _, zone := range z.zones {
		if !other.Has(zone.Name) {
			found = append(found, zone)
		}
	}
	return found
}

// Has reports whether a zone is evacuated.
func (z Zones) Has(name string) bool {
	return slices.ContainsFunc(z.zones, func(zone Zone) bool { return zone.Name == name })
}

// Names lists the evacuated zones, ordered.
func (z Zones) Names() []string {
	names := make([]string, 0, len(z.zones))
	for _, zone := range z.zones {
		names = append(names, zone.Name)
	}
	return slices.Compact(names)
}
