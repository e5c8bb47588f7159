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
	// AfterEvent is the event to continue after, 0 to begin.
	AfterEvent uint64
	// SingleVersion wants the text made by one weight version.
	SingleVersion bool
	// Candidates and Running tell what the choice was made from.
	Candidates int
	Running    int
	Pace       time.Duration
}

// Starts returns the runs to begin now, the most urgent items first.
func (s *Scheduler) Starts(now time.Time) []Start {
	free := s.freeSlots(now)
	if free == 0 {
		return nil
	}
	starts := s.startsAhead(now)
	free -= len(starts)
	full := make(map[*job]bool)
	for _, entry := range s.waiting(now) {
		if free <= 0 {
			break
		}
		if full[entry.job] {
			continue
		}
		chosen, candidates := s.choose(entry, now)
		if chosen == nil {
			// The other items of the job find no sampler either, unless each has
			// a version of its own, or this one waits for a sampler of its own.
			full[entry.job] = !entry.job.policy.SingleVersion && !s.suspect(entry)
			continue
		}
		starts = append(starts, s.start(entry, chosen, candidates, now))
		free--
	}
	return starts
}

// waiting lists the items that may begin, by the time at which each must begin to
// be complete when its job is due: a long item of a later job may go before a short
// one of an earlier.
func (s *Scheduler) waiting(now time.Time) []*item {
	var waiting []*item
	for _, open := range s.jobs {
		if open.held {
			continue
		}
		for _, entry := range open.items {
			if entry.phase == pending && !now.Before(entry.notBefore) && !s.held(entry, now) {
				entry.latestStart = s.latestStart(entry)
				waiting = append(waiting, entry)
			}
		}
	}
	slices.SortFunc(waiting, func(a, b *item) int {
		return cmp.Or(a.latestStart.Compare(b.latestStart), cmp.Compare(a.key.Job, b.key.Job), cmp.Compare(a.rank, b.rank))
	})
	return waiting
}

func (s *Scheduler) latestStart(entry *item) time.Time {
	needed := time.Duration(s.lengths.remaining(entry) * float64(s.fleetPace))
	if entry.carried {
		needed += carriedLead
	}
	needed -= time.Duration(entry.job.policy.Priority) * priorityLead
	return entry.job.policy.Due.Add(-needed)
}

// priorityLead is how much earlier an item begins than one of a job that ranks
// one behind.
const priorityLead = time.Second

// carriedLead is how much earlier than others an item begins whose group an
// earlier job brought already: the job waits for it whichever others are complete.
const carriedLead = 2 * time.Second

// freeSlots counts the items that all samplers may take on. In a large fleet it only tells
// whether there is room at all: to count took 0.3 ms at 10,000 samplers at each of up to 250
// looks a second, and each choice finds out for itself.
func (s *Scheduler) freeSlots(now time.Time) int {
	free := 0
	for _, state := range s.ordered {
		free += state.room(s.fleetPace, now)
		if free > 0 && len(s.ordered) > mostCandidates {
			return math.MaxInt
		}
	}
	return free
}

func (s *Scheduler) byDue() []*job {
	ordered := slices.Collect(maps.Values(s.jobs))
	slices.SortFunc(ordered, func(a, b *job) int {
		return cmp.Or(a.policy.Due.Compare(b.policy.Due), cmp.Compare(a.id, b.id))
	})
	return ordered
}

// mostCandidates bounds the samplers that one choice compares: the cost of a choice
// stays flat as the fleet grows, and the best of so many is hardly worse than the
// best of all. Fleets of up to so many samplers are looked at in full.
const mostCandidates = 128

// choose returns the sampler that is expected to finish the item first among those
// it looked at, nil if none of all may run it now, and the number that might.
func (s *Scheduler) choose(entry *item, now time.Time) (*samplerState, int) {
	found := comparison{scheduler: s, entry: entry, suspect: s.suspect(entry), now: now}
	if len(s.ordered) <= mostCandidates {
		found.look(s.ordered, 0)
		return found.best, found.candidates
	}
	model := entry.job.spec.Model
	from := s.serving.lookFrom[model]
	for _, list := range s.serving.from(model, entry.job.spec.MinVersion) {
		if next, full := found.look(list, from); full {
			s.serving.lookFrom[model] = next
			break
		}
	}
	return found.best, found.candidates
}

// comparison is one choice of a sampler for an item.
type comparison struct {
	scheduler  *Scheduler
	entry      *item
	suspect    bool
	now        time.Time
	best       *samplerState
	bestCost   float64
	candidates int
}

// look compares the samplers of a list, those from a place on first. It reports whether as
// many were compared as one choice may, and where the next goes on.
func (c *comparison) look(list []*samplerState, from int) (next int, full bool) {
	pace := c.scheduler.fleetPace
	for i := range list {
		place := (from + i) % len(list)
		state := list[place]
		if state.room(pace, c.now) == 0 || !c.scheduler.serves(state, c.entry) || c.suspect && state.suspects > 0 {
			continue
		}
		cost := state.cost(c.entry.spec.Group, pace, c.now) * c.entry.reluctance(state.Incarnation())
		if c.best == nil || cost < c.bestCost {
			c.best, c.bestCost = state, cost
		}
		if c.candidates++; c.candidates == mostCandidates {
			return place + 1, true
		}
	}
	return 0, false
}

const (
	// avoidance is how much dearer the sampler of the last run is that did not end well,
	// failedAvoidance one that ran the item and failed (chosen).
	avoidance       = 2.0
	failedAvoidance = 8.0
)

// reluctance is how much dearer a sampler is for an item than for others.
func (i *item) reluctance(sampler Incarnation) float64 {
	if _, failed := i.failedAt[sampler]; failed {
		return failedAvoidance
	}
	if sampler == i.avoid {
		return avoidance
	}
	return 1
}

// serves reports whether a sampler's place, service and weights fit an item.
func (s *Scheduler) serves(state *samplerState, entry *item) bool {
	if !entry.job.policy.allows(&state.Sampler) {
		return false
	}
	version, known := state.Versions[entry.job.spec.Model]
	if !known || version < entry.job.spec.MinVersion || state.isLoading(entry.job.spec.Model) {
		return false
	}
	if entry.job.policy.SingleVersion && len(entry.versions) > 0 {
		return entry.versions[0] == version
	}
	return true
}

func (s *Scheduler) start(entry *item, chosen *samplerState, candidates int, now time.Time) Start {
	s.runs++
	entry.phase, entry.sampler, entry.run = running, chosen, s.runs
	entry.milestones.sent(chosen.ID, entry.lastEvent, now)
	entry.startedAt, entry.lastEvent = now, now
	started := Start{
		Key: entry.key, Run: s.runs, Sampler: chosen.Sampler, Job: entry.job.spec, Item: entry.spec,
		AfterEvent: entry.events, SingleVersion: entry.job.policy.SingleVersion, Candidates: candidates, Running: chosen.running, Pace: chosen.pace,
	}
	chosen.running++
	if entry.suspect = s.suspect(entry); entry.suspect {
		chosen.suspects++
	}
	chosen.budget.Sent(now)
	chosen.groups[entry.spec.Group] = now
	return started
}

// free takes an item off its sampler.
func (s *Scheduler) free(entry *item) {
	if entry.sampler == nil {
		return
	}
	entry.sampler.running--
	if entry.suspect {
		entry.sampler.suspects--
		entry.suspect = false
	}
	entry.sampler = nil
}
