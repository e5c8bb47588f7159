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
	present := make(map[string]struct{}, len(listed))
	for _, sampler := range listed {
		present[sampler.ID] = struct{}{}
		state, ok := s.samplers[sampler.ID]
		if ok && sampler.Born < state.Born {
			continue
		}
		if ok && sampler.Born > state.Born {
			state.ended, state.Leaving, ok = true, true, false
		}
		if !ok {
			state = &samplerState{pace: s.fleetPace, groups: make(map[string]time.Time), loading: make(map[string]struct{})}
			s.samplers[sampler.ID] = state
		}
		known := state.Versions
		state.Sampler = sampler
		state.evacuated = s.evacuated.Has(sampler.Zone)
		state.budget.SetLimits(s.limits[sampler.Service])
		state.budget.Told(sampler.ColdFor, now)
		if !ok && !first {
			state.budget.Doubt(now)
		}
		state.Versions = newest(known, sampler.Versions)
	}
	for id, state := range s.samplers {
		if _, ok := present[id]; !ok {
			state.Leaving = true
			if state.running == 0 {
				delete(s.samplers, id)
			}
		}
	}
	s.ordered = slices.Collect(maps.Values(s.samplers))
	slices.SortFunc(s.ordered, func(a, b *samplerState) int { return cmp.Compare(a.ID, b.ID) })
	s.lookFrom = 0
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
		state.setVersion(model, version)
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
		loads = append(loads, Load{
			ID: state.ID, Born: state.Born, Running: state.running, Slots: state.slots(), Pace: state.pace, Leaving: state.Leaving,
			Evacuated: state.evacuated,
			Versions:  state.Versions,
		})
	}
	return loads
}
