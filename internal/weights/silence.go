package weights

import (
	"maps"
	"time"
)

const (
	// fewestSilent is how many samplers of a zone, of which none took an order meanwhile,
	// must have failed to do so for the zone to count as silent: one or two fail beside
	// each other in a usual minute (chosen).
	fewestSilent = 3
	// silenceMemory is for how long a zone counts as silent after the last of them failed.
	// Then its samplers are tried again, of which each takes up to a second of the others'
	// turn if the zone is silent still (chosen).
	silenceMemory = 3 * time.Second
)

// silence is what is known of a zone whose samplers do not take their orders.
type silence struct {
	// samplers are those that failed since the last that did not.
	samplers map[string]struct{}
	last     time.Time
}

// noteEnd records how an order to a sampler ended.
func (r *Roll) noteEnd(samplerID string, reached bool, now time.Time) {
	zone, known := r.zoneOf[samplerID]
	switch {
	case !known:
	case reached:
		delete(r.silences, zone)
	default:
		seen, ok := r.silences[zone]
		if !ok {
			seen = &silence{samplers: make(map[string]struct{})}
			r.silences[zone] = seen
		}
		seen.samplers[samplerID] = struct{}{}
		seen.last = now
	}
}

// silent reports whether a zone's samplers seem to be out of reach together, as when the
// zone is lost or cut off.
func (r *Roll) silent(zone string, now time.Time) bool {
	seen, ok := r.silences[zone]
	return ok && len(seen.samplers) >= fewestSilent && now.Sub(seen.last) < silenceMemory
}

// noteZones remembers the zones of the members.
func (r *Roll) noteZones(members []Member) {
	r.zoneOf = make(map[string]string, len(members))
	for _, member := range members {
		r.zoneOf[member.ID] = member.Zone
	}
}

// reachable drops the samplers of silent zones, unless nothing else is left: then whoever
// gives the orders is out of reach.
func (r *Roll) reachable(able map[string]Member, now time.Time) map[string]Member {
	reached := maps.Clone(able)
	maps.DeleteFunc(reached, func(_ string, member Member) bool { return r.silent(member.Zone, now) })
	if len(reached) == 0 {
		return able
	}
	return reached
}
