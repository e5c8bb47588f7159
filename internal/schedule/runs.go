package schedule

import (
	"slices"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
)

const (
	// itemPause is how long an item rests after a refused or broken run.
	itemPause = 30 * time.Millisecond
	// maxItemPause bounds the growing pause of an item that is refused again
	// and again.
	maxItemPause = 500 * time.Millisecond
)

// Progress records an event of a run. It reports false if the run is not
// wanted any more.
func (s *Scheduler) Progress(key Key, run uint64, event Event, now time.Time) bool {
	entry := s.current(key, run)
	if entry == nil || event.ID != entry.events+1 {
		return false
	}
	if event.Version < entry.job.spec.MinVersion {
		s.setVersion(entry.sampler, entry.job.spec.Model, event.Version)
		return false
	}
	if !entry.take(event) {
		return false
	}
	first := entry.lastEvent.Equal(entry.startedAt)
	entry.milestones.Spent.gap(now.Sub(entry.lastEvent), first)
	entry.sampler.dark = false
	if first {
		s.firstGap += time.Duration(fleetWeight * float64(now.Sub(entry.lastEvent)-s.firstGap))
	}
	if entry.lastEvent != entry.startedAt {
		s.observe(entry.sampler, now.Sub(entry.lastEvent))
	}
	entry.lastEvent = now
	if event.Version > entry.sampler.Versions[entry.job.spec.Model] {
		s.setVersion(entry.sampler, entry.job.spec.Model, event.Version)
	}
	return true
}

// take adds an event to the item's text, or counts it where a worker holds the text.
func (i *item) take(event Event) bool {
	if i.job.policy.Remote {
		return i.count(event, i.job.accepted())
	}
	return i.Take(event, i.job.accepted())
}

func (s *Scheduler) observe(state *samplerState, gap time.Duration) {
	state.observe(gap, s.fleetPace)
	s.fleetPace += time.Duration(fleetWeight * float64(gap-s.fleetPace))
}

func (s *Scheduler) current(key Key, run uint64) *item {
	entry, ok := s.items[key]
	if !ok || entry.phase != running || entry.run != run {
		return nil
	}
	return entry
}

// Finished is an item whose text is complete.
type Finished struct {
	Key  Key
	Text []byte
	// Kept names the text in the log, in place of Text, if an earlier job listed
	// it.
	Kept     *pathbendv1.Blob
	Versions []uint64
	Reward   *pathbendv1.RewardCall
	// Tenant is who submitted the job.
	Tenant string
	// Remote is set if the job's worker holds the text.
	Remote bool
	// Acceptance tells which versions the text may have.
	Acceptance
	// Score is set if the text was scored by the same call before.
	Score string
}

// Unscored reports whether a text that wants a score has none and was not given up: its job
// was dropped while the call was under way.
func (f *Finished) Unscored(stamp string, alive bool) bool {
	return alive && stamp == "" && f.Reward != nil
}

func (i *item) finished() Finished {
	return Finished{Key: i.key, Text: i.text, Versions: i.versions, Reward: i.spec.Reward, Tenant: i.job.spec.Tenant, Remote: i.job.policy.Remote, Acceptance: i.job.accepted()}
}

// Ending is how a run ended.
type Ending int

// Endings of a run.
const (
	// Complete means that the stream ended as complete.
	Complete Ending = iota + 1
	// Refused means that the sampler did not begin.
	Refused
	// WrongSampler means that the address belongs to another sampler.
	WrongSampler
	// Failed means that the sampler ran the item and failed.
	Failed
	// Impossible means that the item can never be done.
	Impossible
	// Broken means that the stream ended early or made no sense.
	Broken
	// Stopped means that the executor stopped the run.
	Stopped
)

var endingNames = [...]string{
	Complete: "complete", Refused: "refused", WrongSampler: "wrong_sampler", Failed: "failed",
	Impossible: "impossible", Broken: "broken", Stopped: "stopped",
}

// String implements fmt.Stringer.
func (e Ending) String() string { return endingNames[e] }

// Verdict is what follows from the end of a run.
type Verdict struct {
	// Finished is set if the text is complete and wants its score.
	Finished *Finished
	// Dead is set if the item is given up.
	Dead bool
	// Failures counts the failed runs of the item.
	Failures int
}

// RunEnded records the end of a run.
func (s *Scheduler) RunEnded(key Key, run uint64, ending Ending, now time.Time) Verdict {
	entry := s.current(key, run)
	if entry == nil {
		return Verdict{}
	}
	if key.Ahead {
		s.endAhead(entry, ending)
		return Verdict{}
	}
	sampler := entry.sampler
	s.free(entry)
	entry.phase = pending
	entry.avoid = sampler.Incarnation()
	switch ending {
	case Complete:
		sampler.completed()
		if entry.events == 0 {
			entry.notBefore = now.Add(itemPause)
			return Verdict{}
		}
		entry.phase = scoring
		entry.milestones.Completed, entry.milestones.Events = now, entry.events
		s.noteLength(entry.events)
		s.lengths.note(entry.spec.ExpectedTokens, entry.events)
		completed := entry.finished()
		return Verdict{Finished: &completed}
	case Impossible:
		entry.phase = settled
		return Verdict{Dead: true}
	case Failed:
		sampler.failed(now)
		return s.failed(entry, sampler.Incarnation(), now)
	case WrongSampler:
		sampler.Leaving = true
	case Refused:
		sampler.pause(now)
		entry.rest(now)
	case Broken:
		sampler.lost(now)
		entry.rest(now)
	}
	return Verdict{}
}

// failed records that a sampler ran an item and failed.
func (s *Scheduler) failed(entry *item, at Incarnation, now time.Time) Verdict {
	entry.failures++
	if entry.failedAt == nil {
		entry.failedAt = make(map[Incarnation]struct{})
	}
	entry.failedAt[at] = struct{}{}
	if s.hopeless(entry) {
		entry.phase = settled
		return Verdict{Dead: true, Failures: entry.failures}
	}
	entry.rest(now)
	return Verdict{Failures: entry.failures}
}

// doubtfulFailures is how many times the operator's number of failures an item may have
// while the fault may be that of its samplers (chosen; the users' bound is three).
const doubtfulFailures = 2

// hopeless reports whether an item failed often enough to be given up: at as many
// samplers as it may fail, at all that could run it, or too often all the same.
func (s *Scheduler) hopeless(entry *item) bool {
	most := entry.job.policy.MaxFailures
	switch {
	case entry.failures < most:
		return false
	case len(entry.failedAt) >= most || entry.failures >= most*doubtfulFailures:
		return true
	}
	return !slices.ContainsFunc(s.ordered, func(state *samplerState) bool {
		_, failed := entry.failedAt[state.Incarnation()]
		return !failed && !state.Leaving && s.serves(state, entry)
	})
}

func (i *item) rest(now time.Time) {
	i.notBefore = now.Add(min(itemPause<<min(i.refusals, 5), maxItemPause))
	i.refusals++
}

// Scored records that an item's result waits for its place in the log.
func (s *Scheduler) Scored(key Key, now time.Time) bool {
	entry, ok := s.items[key]
	if !ok {
		return false
	}
	entry.phase = settled
	entry.milestones.Scored = now
	return true
}
