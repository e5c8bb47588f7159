package schedule

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
)

// Start asks the executor to run an item at a sampler.
type Start struct {
	Key     Key
	Run     uint64
	Sampler Sampler
	Job     *pathbendv1.BatchJob
	Item    *pathbendv1.BatchItem
	// AfterEvent is the id of the event to continue after, 0 to start from the beginning.
	AfterEvent uint64
	// SingleVersion requires the text to be made by one weight version.
	SingleVersion bool
	// MinVersion is the oldest version that may have made text that the run continues. If
	// SingleVersion is set it is the version of the sampler.
	MinVersion uint64
	// Candidates is the number of samplers that were compared. Running and Pace are the
	// runs of the selected sampler before this one and its average time per event.
	Candidates int
	Running    int
	Pace       time.Duration
}

// Starts returns the runs to begin now, the most urgent items first.
func (s *Scheduler) Starts(now time.Time) []Start {
	available := s.freeSlots(now)
	if available == 0 {
		return nil
	}
	starts := s.speculativeStarts(now)
	available -= len(starts)
	noSampler := make(map[*job]bool)
	for _, entry := range s.readyItems(now) {
		if available <= 0 {
			break
		}
		if noSampler[entry.job] {
			continue
		}
		chosen, candidates := s.selectSampler(entry, now)
		if chosen == nil {
			chosen, candidates = s.restartAtNewerVersion(entry, now)
		}
		if chosen == nil {
			// No sampler is available to the other items of the job either, unless each
			// item is bound to its own version.
			noSampler[entry.job] = !entry.job.policy.SingleVersion
			continue
		}
		starts = append(starts, s.start(entry, chosen, candidates, now))
		available--
	}
	return starts
}

// readyItems lists the items that may start, ordered by the latest time at which each can
// start and still complete before its job is due. A long item of a later job may therefore
// precede a short item of an earlier one.
func (s *Scheduler) readyItems(now time.Time) []*item {
	var ready []*item
	for _, open := range s.jobs {
		if open.paused {
			continue
		}
		for _, entry := range open.items {
			if entry.phase == pending && !now.Before(entry.notBefore) {
				entry.latestStart = s.latestStart(entry)
				ready = append(ready, entry)
			}
		}
	}
	slices.SortFunc(ready, func(a, b *item) int {
		return cmp.Or(a.latestStart.Compare(b.latestStart), cmp.Compare(a.key.Job, b.key.Job), cmp.Compare(a.rank, b.rank))
	})
	return ready
}

// latestStart returns the latest time to start an item so that it completes before its job is
// due. The item's priority and a resubmitted group shift it.
func (s *Scheduler) latestStart(entry *item) time.Time {
	needed := time.Duration(s.estimator.remainingEvents(entry) * float64(s.fleetPace))
	if entry.resubmitted {
		needed += resubmittedLead
	}
	needed -= time.Duration(entry.job.policy.Priority) * priorityLead
	return entry.job.policy.Due.Add(-needed)
}

// priorityLead is how much earlier an item starts than an equal item of a job whose
// priority is one rank lower.
const priorityLead = time.Second

// resubmittedLead is how much earlier than others an item of a resubmitted group starts:
// the job waits for such a group, no matter which other groups are complete.
const resubmittedLead = 2 * time.Second

// freeSlots counts the items that all samplers together can accept. In a large fleet it
// returns math.MaxInt if there is any free slot: counting takes 0.3 ms for 10,000 samplers,
// is needed up to 250 times a second, and selectSampler checks each sampler anyway.
func (s *Scheduler) freeSlots(now time.Time) int {
	total := 0
	for _, state := range s.ordered {
		total += state.capacity(s.fleetPace, now)
		if total > 0 && len(s.ordered) > maxCandidates {
			return math.MaxInt
		}
	}
	return total
}

// jobsByDueTime lists the open jobs, the one that is due first at the front.
func (s *Scheduler) jobsByDueTime() []*job {
	ordered := slices.Collect(maps.Values(s.jobs))
	slices.SortFunc(ordered, func(a, b *job) int {
		return cmp.Or(a.policy.Due.Compare(b.policy.Due), cmp.Compare(a.id, b.id))
	})
	return ordered
}

// maxCandidates limits the samplers that one selection compares, so that its cost does not
// grow with the fleet; the best of this many is hardly worse than the best of all. In
// fleets of up to this size, all samplers are compared.
const maxCandidates = 128

// selectSampler returns the sampler with the lowest estimated cost for the item among those
// compared, or nil if no sampler can run it now, and the number of samplers compared.
func (s *Scheduler) selectSampler(entry *item, now time.Time) (*samplerState, int) {
	return s.selectAmong(entry, s.serves, now)
}

// selectAmong does what selectSampler does, among the samplers that suit the item.
func (s *Scheduler) selectAmong(entry *item, suits func(*samplerState, *item) bool, now time.Time) (*samplerState, int) {
	selection := samplerSelection{scheduler: s, entry: entry, suits: suits, now: now}
	if len(s.ordered) <= maxCandidates {
		selection.scan(s.ordered, 0)
		return selection.best, selection.candidates
	}
	model := entry.job.spec.Model
	start := s.serving.nextIndex[model]
	for _, list := range s.serving.servingAtLeast(model, entry.job.spec.MinVersion) {
		if next, full := selection.scan(list, start); full {
			s.serving.nextIndex[model] = next
			break
		}
	}
	return selection.best, selection.candidates
}

// samplerSelection is the state of one selection of a sampler for an item.
type samplerSelection struct {
	scheduler *Scheduler
	entry     *item
	// suits reports whether a sampler may run the item.
	suits      func(*samplerState, *item) bool
	now        time.Time
	best       *samplerState
	bestCost   float64
	candidates int
}

// scan compares the samplers of a list, beginning at index start and wrapping around. full
// reports whether maxCandidates is reached; next is then the index at which the next
// selection begins.
func (c *samplerSelection) scan(list []*samplerState, start int) (next int, full bool) {
	pace := c.scheduler.fleetPace
	for i := range list {
		index := (start + i) % len(list)
		state := list[index]
		if state.capacity(pace, c.now) == 0 || !c.suits(state, c.entry) {
			continue
		}
		cost := state.cost(c.entry.spec.Group, pace, c.now) * c.entry.costFactor(state.Incarnation())
		if c.best == nil || cost < c.bestCost {
			c.best, c.bestCost = state, cost
		}
		if c.candidates++; c.candidates == maxCandidates {
			return index + 1, true
		}
	}
	return 0, false
}

const (
	// lastSamplerCostFactor multiplies the cost of the sampler of the item's last run,
	// failedSamplerCostFactor that of a sampler that ran the item and failed.
	lastSamplerCostFactor   = 2.0
	failedSamplerCostFactor = 8.0
)

// costFactor returns the factor by which the history of the item raises the cost of a
// sampler.
func (i *item) costFactor(sampler Incarnation) float64 {
	if _, failed := i.failedAt[sampler]; failed {
		return failedSamplerCostFactor
	}
	if sampler == i.lastSampler {
		return lastSamplerCostFactor
	}
	return 1
}

// serves reports whether a sampler's region, service and weights suit an item and its text.
func (s *Scheduler) serves(state *samplerState, entry *item) bool {
	version, serves := s.servedVersion(state, entry)
	textVersion, bound := entry.boundVersion()
	return serves && (!bound || version == textVersion)
}

// servedVersion returns the version at which a sampler serves the job of an item. serves is false
// if its region, service or weights do not suit the job.
func (s *Scheduler) servedVersion(state *samplerState, entry *item) (version uint64, serves bool) {
	if !entry.job.policy.allows(&state.Sampler) {
		return 0, false
	}
	version, known := state.Versions[entry.job.spec.Model]
	if !known || version < entry.job.spec.MinVersion || state.isLoading(entry.job.spec.Model) {
		return 0, false
	}
	return version, true
}

// start assigns an item to a sampler and returns the run to begin.
func (s *Scheduler) start(entry *item, chosen *samplerState, candidates int, now time.Time) Start {
	s.runs++
	entry.phase, entry.sampler, entry.run = running, chosen, s.runs
	entry.milestones.recordStart(chosen.ID, entry.lastEvent, now)
	entry.startedAt, entry.lastEvent = now, now
	minVersion := entry.job.spec.MinVersion
	if entry.job.policy.SingleVersion {
		minVersion = max(minVersion, chosen.Versions[entry.job.spec.Model])
	}
	started := Start{
		Key: entry.key, Run: s.runs, Sampler: chosen.Sampler, Job: entry.job.spec, Item: entry.spec,
		AfterEvent: entry.events, SingleVersion: entry.job.policy.SingleVersion, MinVersion: minVersion, Candidates: candidates, Running: chosen.running, Pace: chosen.pace,
	}
	chosen.running++
	chosen.budget.RecordSent(now)
	chosen.promptReadAt[entry.spec.Group] = now
	return started
}

// release removes an item's run from its sampler.
func (s *Scheduler) release(entry *item) {
	if entry.sampler == nil {
		return
	}
	entry.sampler.running--
	entry.sampler = nil
}
