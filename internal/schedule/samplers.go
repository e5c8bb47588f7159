package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pathbend/pathbend/internal/coldlimit"
	"github.com/pathbend/pathbend/internal/evacuation"
)

// SetLimits sets the request limits of cold samplers by service. Services that are absent
// from the map have no limit.
func (s *Scheduler) SetLimits(limits map[string]coldlimit.Limits) {
	s.limits = limits
	for _, state := range s.samplers {
		state.budget.SetLimits(limits[state.Service])
	}
}

// SetSamplers applies the current list of samplers. State of known incarnations is kept; a
// sampler that restarted counts as new. A sampler that appears after the first list is
// treated as possibly cold, regardless of its entry, which is some seconds old.
func (s *Scheduler) SetSamplers(listed []Sampler, now time.Time) {
	first := len(s.samplers) == 0
	s.listingCount++
	anyNew := false
	for i := range listed {
		state, isNew := s.applyEntry(&listed[i], now)
		state.lastListing = s.listingCount
		if isNew && !first {
			state.budget.AssumeColdStart(now)
		}
		anyNew = anyNew || isNew
	}
	if s.removeUnlisted() || anyNew {
		s.ordered = slices.Collect(maps.Values(s.samplers))
		slices.SortFunc(s.ordered, func(a, b *samplerState) int { return cmp.Compare(a.ID, b.ID) })
		s.nextIndex = 0
	}
}

// applyEntry applies one entry of the list and reports whether the sampler is new. Entries of
// previous incarnations are ignored. An entry with a known revision is skipped, since few of
// 10,000 entries differ from one list to the next, unless the sampler is cold: then its
// remaining warm-up time is updated.
func (s *Scheduler) applyEntry(sampler *Sampler, now time.Time) (state *samplerState, isNew bool) {
	state, known := s.samplers[sampler.ID]
	switch {
	case known && sampler.StartedAtMs < state.StartedAtMs:
		return state, false
	case known && sampler.StartedAtMs > state.StartedAtMs:
		s.serving.removeAll(state)
		state.superseded, state.Leaving, known = true, true, false
	case known && sampler.Revision > 0 && sampler.Revision == state.Revision && sampler.ColdRemaining == 0 && state.lastListing == s.listingCount-1:
		return state, false
	}
	if !known {
		state = &samplerState{pace: s.fleetPace, promptReadAt: make(map[string]time.Time), loading: make(map[string]struct{})}
		s.samplers[sampler.ID] = state
	}
	served := state.Versions
	state.Sampler = *sampler
	state.evacuated = s.evacuated.Contains(sampler.Zone)
	state.budget.SetLimits(s.limits[sampler.Service])
	state.budget.UpdateColdRemaining(sampler.ColdRemaining, now)
	state.Versions = mergeNewest(served, sampler.Versions)
	s.serving.update(state, served)
	return state, !known
}

// removeUnlisted marks the samplers that are not in the list as leaving, and removes those of
// them that have no run. It reports whether it removed any.
func (s *Scheduler) removeUnlisted() (removed bool) {
	for id, state := range s.samplers {
		if state.lastListing == s.listingCount {
			continue
		}
		state.Leaving = true
		if state.running == 0 {
			s.serving.removeAll(state)
			delete(s.samplers, id)
			removed = true
		}
	}
	return removed
}

// SetEvacuatedZones sets the evacuated zones. Their samplers get no new runs; current runs
// continue. Samplers of a zone that is no longer evacuated are treated as possibly cold.
func (s *Scheduler) SetEvacuatedZones(zones evacuation.Zones, now time.Time) {
	s.evacuated = zones
	for _, state := range s.samplers {
		before := state.evacuated
		if state.evacuated = zones.Contains(state.Zone); before && !state.evacuated {
			state.budget.AssumeColdStart(now)
		}
	}
}

// mergeNewest returns the newer version of each model. It modifies neither map.
func mergeNewest(known, listed map[string]uint64) map[string]uint64 {
	merged := maps.Clone(listed)
	if merged == nil {
		merged = make(map[string]uint64)
	}
	for model, version := range known {
		merged[model] = max(merged[model], version)
	}
	return merged
}

// SetVersion records the version that a sampler was observed to serve. Observations of a
// previous incarnation are ignored.
func (s *Scheduler) SetVersion(incarnation Incarnation, model string, version uint64) {
	if state, ok := s.samplers[incarnation.ID]; ok && state.StartedAtMs == incarnation.StartedAtMs {
		s.setVersion(state, model, version)
	}
}

// SetLoading records whether a sampler is loading weights of a model. Reports about a
// previous incarnation are ignored.
func (s *Scheduler) SetLoading(incarnation Incarnation, model string, loading bool) {
	state, ok := s.samplers[incarnation.ID]
	switch {
	case !ok || state.StartedAtMs != incarnation.StartedAtMs:
	case loading:
		state.loading[model] = struct{}{}
	default:
		delete(state.loading, model)
	}
}

// Sampler returns the sampler with an id, or false if it is unknown.
func (s *Scheduler) Sampler(id string) (Sampler, bool) {
	state, ok := s.samplers[id]
	if !ok {
		return Sampler{}, false
	}
	return state.Sampler, true
}

// ColdStatus counts cold samplers and the work that they hold back.
type ColdStatus struct {
	// Listed counts the samplers that are not leaving, Cold those of them that are, or may
	// be, cold. Sent counts the requests sent to the latter in the last second.
	Listed, Cold, Sent int
	// AtLimit counts the samplers with free slots that have reached their request limit of
	// this second, Waiting the items that are ready to start. Both are 0 unless both are
	// positive.
	AtLimit, Waiting int
}

// Cold returns the current counts of cold samplers.
func (s *Scheduler) Cold(now time.Time) ColdStatus {
	var status ColdStatus
	for _, state := range s.ordered {
		if state.Leaving {
			continue
		}
		status.Listed++
		if state.budget.Cold(now) {
			status.Cold++
			status.Sent += state.budget.SentLastSecond(now)
		}
		if !state.evacuated && !now.Before(state.notBefore) && state.freeSlots(s.fleetPace) > 0 && state.budget.Available(now) == 0 {
			status.AtLimit++
		}
	}
	if status.AtLimit == 0 {
		return status
	}
	if status.Waiting = len(s.readyItems(now)); status.Waiting == 0 {
		status.AtLimit = 0
	}
	return status
}

// Load describes the load of a sampler.
type Load struct {
	ID      string
	Service string
	Zone    string
	// StartedAtMs is the start time of the incarnation in Unix milliseconds.
	StartedAtMs int64
	Running     int
	// Slots is the number of items that the sampler generates concurrently.
	Slots int
	// Pace is the moving average of the time between two events of an item.
	Pace    time.Duration
	Leaving bool
	// Evacuated is set while the sampler's zone is evacuated.
	Evacuated bool
	// Versions maps a model to the version that the sampler serves. It is the scheduler's
	// own map: callers must not modify it or use it after the scheduler changes.
	Versions map[string]uint64
}

// Loads returns the loads of all samplers, ordered by id.
func (s *Scheduler) Loads() []Load {
	loads := make([]Load, 0, len(s.samplers))
	for _, state := range s.ordered {
		loads = append(loads, state.load())
	}
	return loads
}

// Load returns the load of a sampler, or false if it is unknown.
func (s *Scheduler) Load(id string) (Load, bool) {
	state, known := s.samplers[id]
	if !known {
		return Load{}, false
	}
	return state.load(), true
}

// SamplerCount returns the number of known samplers.
func (s *Scheduler) SamplerCount() int { return len(s.samplers) }

// load returns the exported description of the sampler's load.
func (s *samplerState) load() Load {
	return Load{
		ID: s.ID, Service: s.Service, Zone: s.Zone, StartedAtMs: s.StartedAtMs, Running: s.running, Slots: s.slots(), Pace: s.pace, Leaving: s.Leaving,
		Evacuated: s.evacuated, Versions: s.Versions,
	}
}
