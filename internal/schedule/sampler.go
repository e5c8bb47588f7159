package schedule

import (
	"time"

	"github.com/pathbend/pathbend/internal/warmup"
)

// Sampler is a sampler as service discovery and load reports describe it.
type Sampler struct {
	ID string
	// Born is when it started, in Unix milliseconds, 0 where samplers do not tell. Starts
	// of one id only are compared.
	Born    int64
	Address string
	Zone    string
	Service string
	// Slots is the number of items that it generates at once.
	Slots int
	// Spot is set for a sampler that may be taken away together with all others of its
	// zone.
	Spot bool
	// Leaving is set once it must get no new work.
	Leaving bool
	// ColdFor is how much longer the sampler was cold when it wrote its entry, 0 if it was
	// not. The entry is some seconds old.
	ColdFor time.Duration
	// Versions maps a model to the weight version that it serves.
	Versions map[string]uint64
	// Revision tells one entry of the sampler from another, 0 if that is not known.
	Revision uint64
}

// Incarnation is a sampler from one of its starts to its end. One that starts again under
// its id holds and knows nothing of what was before.
type Incarnation struct {
	ID   string
	Born int64
}

// Incarnation returns the incarnation that the description is of.
func (s *Sampler) Incarnation() Incarnation { return Incarnation{ID: s.ID, Born: s.Born} }

// samplerState is a sampler with what the executor knows of it.
type samplerState struct {
	Sampler
	// evacuated is set while the sampler's zone is evacuated.
	evacuated bool
	// listing is the last list that named the sampler.
	listing uint64
	// ended is set once the sampler has started again: this is its former incarnation.
	ended   bool
	running int
	// suspects counts those of them under which a sampler ended before.
	suspects int
	// loading holds the models whose weights are being changed. Only work for
	// these has to wait.
	loading map[string]struct{}
	// pace is a moving average of the time to one event of one item. It is that of
	// the fleet until the sampler made an event.
	pace     time.Duration
	observed bool
	// notBefore is when the sampler may get work again after a refusal or a
	// failure; failures counts those in a row.
	notBefore time.Time
	failures  int
	// dark is set once a run fell silent, until the sampler makes an event.
	dark bool
	// failing is a moving average of the share of runs that it failed itself.
	failing float64
	// budget bounds what it gets while it is cold, or may be.
	budget warmup.Budget
	// groups remembers when a group's prompt was last read here.
	groups map[string]time.Time
}

const (
	// initialPace is assumed of the fleet before any event.
	initialPace = 35 * time.Millisecond
	// fleetWeight is the share of a new observation in the pace of the fleet.
	fleetWeight = 0.01
	// slowRatio is how much slower than the fleet a sampler is that gets one item
	// at a time only, which shows when it is well again.
	slowRatio = 2.0
	// paceWeight is the share of a new observation in the moving average.
	paceWeight = 0.15
	// loadSlowdown is how much each running item slows the others.
	loadSlowdown = 0.033
	// affinityGain is the advantage of a sampler that has read the prompt.
	affinityGain = 0.9
	// failingWeight is the share of a new run in the average of failed ones.
	failingWeight = 0.2
	// failingShare is the average from which on a sampler gets one item at a time: two
	// failures in a row, which an item that fails everywhere rarely makes.
	failingShare = 0.3
	// failingCost is how much dearer than others a sampler is that fails all its runs:
	// one that fails at once has room always, and would get the most (chosen).
	failingCost = 4.0
	// defaultSlots is assumed of a sampler that names none.
	defaultSlots = 4
	// groupMemory is how long a sampler is taken to keep a prompt.
	groupMemory = 20 * time.Second
	// coldCost is how much dearer a cold sampler is: more than a full one of the same pace
	// (1.3 at eight slots), so that work goes to warm ones first (chosen).
	coldCost = 2.0
	// maxPause bounds the pause of a sampler that keeps failing.
	maxPause = 2 * time.Second
	// basePause is the pause after the first failure; it doubles.
	basePause = 100 * time.Millisecond
)

func (s *samplerState) slots() int {
	if s.Slots > 0 {
		return s.Slots
	}
	return defaultSlots
}

func (s *samplerState) isLoading(model string) bool {
	_, loading := s.loading[model]
	return loading
}

// room is the number of items that the sampler may take on.
func (s *samplerState) room(fleet time.Duration, now time.Time) int {
	if s.Leaving || s.evacuated || now.Before(s.notBefore) {
		return 0
	}
	return min(s.freeSlots(fleet), s.budget.Room(now))
}

// freeSlots is the number of items that the sampler has slots for.
func (s *samplerState) freeSlots(fleet time.Duration) int {
	if s.slow(fleet) || s.failing > failingShare || s.dark {
		return max(1-s.running, 0)
	}
	return max(s.slots()-s.running, 0)
}

// cost estimates the relative time that a new item would take.
func (s *samplerState) cost(group string, fleet time.Duration, now time.Time) float64 {
	estimated := float64(s.expectedPace(fleet)) * (1 + loadSlowdown*float64(s.running))
	estimated *= 1 + failingCost*s.failing
	if s.dark {
		estimated *= 1 + failingCost
	}
	if s.budget.Cold(now) {
		estimated *= coldCost
	}
	if readAt, read := s.groups[group]; read && group != "" && now.Sub(readAt) < groupMemory {
		estimated *= affinityGain
	}
	return estimated
}

// setVersion records the version that a sampler serves. New weights drop the kept prompts.
func (s *Scheduler) setVersion(state *samplerState, model string, version uint64) {
	former, known := state.Versions[model]
	if known && former == version {
		return
	}
	state.Versions[model] = version
	clear(state.groups)
	if state.ended {
		return
	}
	if known {
		s.serving.drop(state, model, former)
	}
	s.serving.put(state, model, version)
}

// observe records the time to one event.
func (s *samplerState) observe(gap, fleet time.Duration) {
	s.pace, s.observed = s.expectedPace(fleet), true
	s.pace += time.Duration(paceWeight * float64(gap-s.pace))
	s.failures = 0
}

// expectedPace is the sampler's pace, that of the fleet while it made no event.
func (s *samplerState) expectedPace(fleet time.Duration) time.Duration {
	if s.observed {
		return s.pace
	}
	return fleet
}

// slow reports whether the sampler is much slower than the fleet.
func (s *samplerState) slow(fleet time.Duration) bool {
	return s.observed && float64(s.pace) > slowRatio*float64(fleet)
}

// failed records a run that the sampler failed itself.
func (s *samplerState) failed(now time.Time) {
	s.failing += failingWeight * (1 - s.failing)
	s.pause(now)
}

// completed records a run that ended well.
func (s *samplerState) completed() { s.failing -= failingWeight * s.failing }

// lost records that the sampler broke off or was silent: it may have started anew.
func (s *samplerState) lost(now time.Time) {
	s.budget.Doubt(now)
	s.pause(now)
}

// pause keeps work away after a failure.
func (s *samplerState) pause(now time.Time) {
	s.notBefore = now.Add(min(basePause<<min(s.failures, 6), maxPause))
	s.failures++
}
