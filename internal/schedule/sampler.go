package schedule

import (
	"time"

	"github.com/pathbend/pathbend/internal/coldlimit"
)

// Sampler describes a sampler by its entry in service discovery and its load reports.
type Sampler struct {
	ID string
	// StartedAtMs is the start time of the sampler in Unix milliseconds, 0 if it is not
	// reported. It is compared only between entries of the same id.
	StartedAtMs int64
	Address     string
	Zone        string
	Service     string
	// Slots is the number of items that the sampler generates concurrently, 0 if unknown.
	Slots int
	// Spot is set for a preemptible sampler; all spot samplers of a zone may be preempted
	// together.
	Spot bool
	// Leaving is set once the sampler must get no new work.
	Leaving bool
	// ColdRemaining is the remaining warm-up time of the sampler when it wrote its entry, 0 if
	// it was warm. The entry is some seconds old.
	ColdRemaining time.Duration
	// Versions maps a model to the weight version that the sampler serves.
	Versions map[string]uint64
	// Revision identifies the version of the sampler's entry, 0 if unknown.
	Revision uint64
}

// Incarnation identifies one process lifetime of a sampler. A sampler that restarts under
// the same id keeps no state of its previous incarnation.
type Incarnation struct {
	ID          string
	StartedAtMs int64
}

// Incarnation returns the incarnation that s describes.
func (s *Sampler) Incarnation() Incarnation { return Incarnation{ID: s.ID, StartedAtMs: s.StartedAtMs} }

// samplerState is a sampler with the state that the executor keeps about it.
type samplerState struct {
	Sampler
	// evacuated is set while the sampler's zone is evacuated.
	evacuated bool
	// lastListing is the number of the last list that contained the sampler.
	lastListing uint64
	// superseded is set once a newer incarnation of the sampler is listed.
	superseded bool
	running    int
	// loading is the set of models whose weights are being loaded. Only work for
	// these models has to wait.
	loading map[string]struct{}
	// pace is a moving average of the time between two events of an item. Until observed is
	// set, it is the pace of the fleet when the sampler was first listed.
	pace     time.Duration
	observed bool
	// notBefore is when the sampler may get work again after a refusal or a
	// failure; consecutiveFailures counts these since the last event.
	notBefore           time.Time
	consecutiveFailures int
	// unresponsive is set when a run timed out without an event, until the sampler makes
	// its next event.
	unresponsive bool
	// failureRate is a moving average of the share of runs that ended as Failed.
	failureRate float64
	// budget limits the requests sent to the sampler while it is, or may be, cold.
	budget coldlimit.Budget
	// promptReadAt maps a group to the last time that its prompt was sent to the sampler.
	promptReadAt map[string]time.Time
}

const (
	// initialPace is the pace of the fleet before any event is observed.
	initialPace = 35 * time.Millisecond
	// fleetPaceWeight is the weight of a new observation in the moving averages of the
	// fleet.
	fleetPaceWeight = 0.01
	// slowPaceRatio is the ratio of a sampler's pace to that of the fleet above which it
	// gets only one item at a time. That item shows when the sampler recovers.
	slowPaceRatio = 2.0
	// paceWeight is the weight of a new observation in the pace of a sampler.
	paceWeight = 0.15
	// slowdownPerRun is the fraction by which each running item slows the others.
	slowdownPerRun = 0.033
	// prefixCacheCostFactor multiplies the cost of a sampler that has recently read the
	// group's prompt.
	prefixCacheCostFactor = 0.9
	// failureRateWeight is the weight of a new run in the failure rate.
	failureRateWeight = 0.2
	// maxFailureRate is the failure rate above which a sampler gets one item at a time. Two
	// consecutive failures exceed it; an item that fails everywhere rarely causes these at
	// one sampler.
	maxFailureRate = 0.3
	// failureCostFactor is the additional cost, relative to that of others, of a sampler
	// that fails all its runs. Without it, a sampler that fails runs immediately would get
	// the most items, since it always has free slots.
	failureCostFactor = 4.0
	// defaultSlots is the number of slots of a sampler that reports none.
	defaultSlots = 4
	// prefixCacheTTL is how long a sampler is assumed to keep a prompt in its prefix cache.
	prefixCacheTTL = 20 * time.Second
	// coldCostFactor multiplies the cost of a cold sampler. It exceeds the factor of a
	// fully loaded warm one (1.3 at eight slots), so that warm samplers get work first.
	coldCostFactor = 2.0
	// maxBackoff is the upper bound of the backoff of a sampler that keeps failing.
	maxBackoff = 2 * time.Second
	// baseBackoff is the backoff after the first failure. It doubles with each further one.
	baseBackoff = 100 * time.Millisecond
)

// slots returns the reported number of slots, or defaultSlots.
func (s *samplerState) slots() int {
	if s.Slots > 0 {
		return s.Slots
	}
	return defaultSlots
}

// isLoading reports whether the sampler is loading weights of the model.
func (s *samplerState) isLoading(model string) bool {
	_, loading := s.loading[model]
	return loading
}

// capacity returns the number of items that the sampler may accept now. fleetPace is the
// pace of the fleet.
func (s *samplerState) capacity(fleetPace time.Duration, now time.Time) int {
	if s.Leaving || s.evacuated || now.Before(s.notBefore) {
		return 0
	}
	return min(s.freeSlots(fleetPace), s.budget.Available(now))
}

// freeSlots returns the number of items for which the sampler has slots. Slow, failing and
// unresponsive samplers get one item at a time.
func (s *samplerState) freeSlots(fleetPace time.Duration) int {
	if s.slow(fleetPace) || s.failureRate > maxFailureRate || s.unresponsive {
		return max(1-s.running, 0)
	}
	return max(s.slots()-s.running, 0)
}

// cost estimates the relative time that a new item of the group would take.
func (s *samplerState) cost(group string, fleetPace time.Duration, now time.Time) float64 {
	estimated := float64(s.expectedPace(fleetPace)) * (1 + slowdownPerRun*float64(s.running))
	estimated *= 1 + failureCostFactor*s.failureRate
	if s.unresponsive {
		estimated *= 1 + failureCostFactor
	}
	if s.budget.Cold(now) {
		estimated *= coldCostFactor
	}
	if readAt, read := s.promptReadAt[group]; read && group != "" && now.Sub(readAt) < prefixCacheTTL {
		estimated *= prefixCacheCostFactor
	}
	return estimated
}

// setVersion records the version that a sampler serves. New weights invalidate its prefix
// cache.
func (s *Scheduler) setVersion(state *samplerState, model string, version uint64) {
	previous, known := state.Versions[model]
	if known && previous == version {
		return
	}
	state.Versions[model] = version
	clear(state.promptReadAt)
	if state.superseded {
		return
	}
	if known {
		s.serving.remove(state, model, previous)
	}
	s.serving.add(state, model, version)
}

// observe adds the time between two events to the sampler's pace.
func (s *samplerState) observe(gap, fleetPace time.Duration) {
	s.pace, s.observed = s.expectedPace(fleetPace), true
	s.pace += time.Duration(paceWeight * float64(gap-s.pace))
	s.consecutiveFailures = 0
}

// expectedPace returns the sampler's pace, or that of the fleet if none was observed.
func (s *samplerState) expectedPace(fleetPace time.Duration) time.Duration {
	if s.observed {
		return s.pace
	}
	return fleetPace
}

// slow reports whether the sampler is much slower than the fleet.
func (s *samplerState) slow(fleetPace time.Duration) bool {
	return s.observed && float64(s.pace) > slowPaceRatio*float64(fleetPace)
}

// runFailed records a run that the sampler failed.
func (s *samplerState) runFailed(now time.Time) {
	s.failureRate += failureRateWeight * (1 - s.failureRate)
	s.backOff(now)
}

// runCompleted records a run that completed.
func (s *samplerState) runCompleted() { s.failureRate -= failureRateWeight * s.failureRate }

// connectionLost records that a run of the sampler broke off or was silent. The sampler may
// have restarted, so it is treated as possibly cold.
func (s *samplerState) connectionLost(now time.Time) {
	s.budget.AssumeColdStart(now)
	s.backOff(now)
}

// backOff keeps new work from the sampler after a failure. The backoff grows exponentially.
func (s *samplerState) backOff(now time.Time) {
	s.notBefore = now.Add(min(baseBackoff<<min(s.consecutiveFailures, 6), maxBackoff))
	s.consecutiveFailures++
}
