package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pathbend/pathbend/internal/evacuation"
	"github.com/pathbend/pathbend/internal/warmup"
)

// SetLimits applies what cold samplers bear, by service. Services that it does not name
// have no such bound.
func (s *Scheduler) SetLimits(limits map[string]warmup.Limits) {
	s.limits = limits
	for _, state := range s.samplers {
		state.budget.SetLimits(limits[state.Service])
	}
}

// Samplers applies the list of samplers. What is known of each is kept, of its incarnation
// that is: one that started again is a new sampler. One that is new since the first list may
// have just started, whatever its entry says, which is some seconds old.
func (s *Scheduler) Samplers(listed []Sampler, now time.Time) {
	first := len(s.samplers) == 0
	s.listings++
	came := false
	for i := range listed {
		state, isNew := s.takeListed(&listed[i], now)
		state.listing = s.listings
		if isNew && !first {
			state.budget.Doubt(now)
		}
		came = came || isNew
	}
	if s.dropUnlisted() || came {
		s.ordered = slices.Collect(maps.Values(s.samplers))
		slices.SortFunc(s.ordered, func(a, b *samplerState) int { return cmp.Compare(a.ID, b.ID) })
		s.lookFrom = 0
	}
}

// takeListed takes one entry of the list. It reports whether the sampler is new. An entry
// that was taken before changes nothing but for a cold sampler, whose time is told anew:
// of 10,000 entries few differ from one list to the next.
func (s *Scheduler) takeListed(sampler *Sampler, now time.Time) (state *samplerState, isNew bool) {
	state, known := s.samplers[sampler.ID]
	switch {
	case known && sampler.Born < state.Born:
		return state, false
	case known && sampler.Born > state.Born:
		s.serving.remove(state)
		state.ended, state.Leaving, known = true, true, false
	case known && sampler.Revision > 0 && sampler.Revision == state.Revision && sampler.ColdFor == 0 && state.listing == s.listings-1:
		return state, false
	}
	if !known {
		state = &samplerState{pace: s.fleetPace, groups: make(map[string]time.Time), loading: make(map[string]struct{})}
		s.samplers[sampler.ID] = state
	}
	served := state.Versions
	state.Sampler = *sampler
	state.evacuated = s.evacuated.Has(sampler.Zone)
	state.budget.SetLimits(s.limits[sampler.Service])
	state.budget.Told(sampler.ColdFor, now)
	state.Versions = newest(served, sampler.Versions)
	s.serving.change(state, served)
	return state, !known
}

// dropUnlisted lets the samplers leave that are not in the list, and forgets those of them
// that have no run. It reports whether it forgot any.
func (s *Scheduler) dropUnlisted() (dropped bool) {
	for id, state := range s.samplers {
		if state.listing == s.listings {
			continue
		}
		state.Leaving = true
		if state.running == 0 {
			s.serving.remove(state)
			delete(s.samplers, id)
			dropped = true
		}
	}
	return dropped
}

// Evacuate applies the list of evacuated zones: their samplers get no new run. Runs
// that they have go on.
func (s *Scheduler) Evacuate(zones evacuation.Zones, now time.Time) {
	s.evacuated = zones
	for _, state := range s.samplers {
		before := state.evacuated
		if state.evacuated = zones.Has(state.Zone); before && !state.evacuated {
			state.budget.Doubt(now)
		}
	}
}

func newest(known, listed map[string]uint64) map[string]uint64 {
	merged := maps.Clone(listed)
	if merged == nil {
		merged = make(map[string]uint64)
	}
	for model, version := range known {
		merged[model] = max(merged[model], version)
	}
	return merged
}

// SetVersion records the version that a sampler was found to serve. What a former
// incarnation served tells nothing of the one that came in its place.
func (s *Scheduler) SetVersion(of Incarnation, model string, version uint64) {
	if state, ok := s.samplers[of.ID]; ok && state.Born == of.Born {
		s.setVersion(state, model, version)
	}
}

// SetLoading records whether a sampler changes the weights of a model.
func (s *Scheduler) SetLoading(of Incarnation, model string, loading bool) {
	state, ok := s.samplers[of.ID]
	switch {
	case !ok || state.Born != of.Born:
	case loading:
		state.loading[model] = struct{}{}
	default:
		delete(state.loading, model)
	}
}

// Sampler returns a sampler by id.
func (s *Scheduler) Sampler(id string) (Sampler, bool) {
	state, ok := s.samplers[id]
	if !ok {
		return Sampler{}, false
	}
	return state.Sampler, true
}

// Cold tells how cold the samplers are.
type Cold struct {
	// Listed counts the samplers that take work, Cold those of them that are cold, or may
	// be. Sent counts the requests that these got in the last second.
	Listed, Cold, Sent int
	// Kept counts the samplers with free slots that got all that they may get in a second,
	// Waiting the items that could run meanwhile; 0 unless both are positive.
	Kept, Waiting int
}

// Cold tells how cold the samplers are now.
func (s *Scheduler) Cold(now time.Time) Cold {
	var status Cold
	for _, state := range s.ordered {
		if state.Leaving {
			continue
		}
		status.Listed++
		if state.budget.Cold(now) {
			status.Cold++
			status.Sent += state.budget.Spent(now)
		}
		if !state.evacuated && !now.Before(state.notBefore) && state.freeSlots(s.fleetPace) > 0 && state.budget.Room(now) == 0 {
			status.Kept++
		}
	}
	if status.Kept == 0 {
		return status
	}
	if status.Waiting = len(s.waiting(now)); status.Waiting == 0 {
		status.Kept = 0
	}
	return status
}

// Load tells how loaded a sampler is.
type Load struct {
	ID string
	// Born is the start of its incarnation.
	Born    int64
	Running int
	// Slots is the number of items that it generates at once.
	Slots   int
	Pace    time.Duration
	Leaving bool
	// Evacuated is set while the sampler's zone is evacuated.
	Evacuated bool
	// Versions maps a model to the version that it serves. It is the scheduler's own
	// and changes with it.
	Versions map[string]uint64
}

// Loads lists the samplers by id.
func (s *Scheduler) Loads() []Load {
	loads := make([]Load, 0, len(s.samplers))
	for _, state := range s.ordered {
		loads = append(loads, state.load())
	}
	return loads
}

// Load returns the load of a sampler.
func (s *Scheduler) Load(id string) (Load, bool) {
	state, known := s.samplers[id]
	if !known {
		return Load{}, false
	}
	return state.load(), true
}

// Size counts the samplers.
func (s *Scheduler) Size() int { return len(s.samplers) }

func (s *samplerState) load() Load {
	return Load{
		ID: s.ID, Born: s.Born, Running: s.running, Slots: s.slots(), Pace: s.pace, Leaving: s.Leaving,
		Evacuated: s.evacuated, Versions: s.Versions,
	}
}
