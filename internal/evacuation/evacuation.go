// Package evacuation keeps the set of evacuated zones. No new work may be sent to the
// samplers and back ends of an evacuated zone, whichever source requested the evacuation;
// work that already runs there continues to its end. The package does no I/O and reads no
// clock: callers pass the time and keep the current Zones.
package evacuation

import (
	"cmp"
	"slices"
	"time"
)

// Source identifies who requests an evacuation.
type Source string

// SourceOperator is the operator, whose request is a record in the platform's store.
const SourceOperator Source = "operator"

// Zone is the request of one source to evacuate a zone.
type Zone struct {
	Name   string
	Source Source
	// Since is when this process learned of the request.
	Since time.Time
}

// Zones is an immutable snapshot of the evacuated zones. The zero value has none. It is
// safe for concurrent use.
type Zones struct {
	requests []Zone // ordered by name, then by source
}

// Changes lists the zones whose state differs between two snapshots.
type Changes struct {
	// Evacuated are the requests for zones that no source had requested before, Restored
	// the former requests for zones that no source requests any more.
	Evacuated, Restored []Zone
}

// ReplaceSource returns a snapshot in which one source requests the evacuation of exactly the
// named zones, and the changes that this makes. Zones that the source requested before keep
// their Since.
func (z Zones) ReplaceSource(source Source, names []string, now time.Time) (Zones, Changes) {
	var next Zones
	for _, request := range z.requests {
		if request.Source != source || slices.Contains(names, request.Name) {
			next.requests = append(next.requests, request)
		}
	}
	for _, name := range names {
		if !next.requestedBy(name, source) {
			next.requests = append(next.requests, Zone{Name: name, Source: source, Since: now})
		}
	}
	slices.SortFunc(next.requests, func(a, b Zone) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Source, b.Source))
	})
	return next, Changes{Evacuated: next.notIn(z), Restored: z.notIn(next)}
}

// requestedBy reports whether a source requests the evacuation of a zone.
func (z Zones) requestedBy(name string, source Source) bool {
	return slices.ContainsFunc(z.requests, func(zone Zone) bool { return zone.Name == name && zone.Source == source })
}

// notIn returns the requests for zones that are not evacuated in another snapshot.
func (z Zones) notIn(other Zones) []Zone {
	var missing []Zone
	for _, zone := range z.requests {
		if !other.Contains(zone.Name) {
			missing = append(missing, zone)
		}
	}
	return missing
}

// Contains reports whether any source requests the evacuation of a zone.
func (z Zones) Contains(name string) bool {
	return slices.ContainsFunc(z.requests, func(zone Zone) bool { return zone.Name == name })
}

// Names returns the names of the evacuated zones, sorted and without duplicates.
func (z Zones) Names() []string {
	names := make([]string, 0, len(z.requests))
	for _, zone := range z.requests {
		names = append(names, zone.Name)
	}
	return slices.Compact(names)
}
