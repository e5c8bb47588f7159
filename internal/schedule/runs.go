package schedule

import (
	"slices"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
)

const (
	// itemRetryDelay is the delay before an item is retried after its first refused, failed
	// or broken run. It doubles with each further one.
	itemRetryDelay = 30 * time.Millisecond
	// maxItemRetryDelay is the upper bound of that delay.
	maxItemRetryDelay = 500 * time.Millisecond
)

// Progress records an event of a run. It reports false if the run is no longer
// current, or the event is out of sequence or made by a version that is not accepted.
func (s *Scheduler) Progress(key Key, run uint64, event Event, now time.Time) bool {
	entry := s.currentRun(key, run)
	if entry == nil || event.ID != entry.events+1 {
		return false
	}
	if event.Version < entry.job.spec.MinVersion {
		s.setVersion(entry.sampler, entry.job.spec.Model, event.Version)
		return false
	}
	if !entry.appendEvent(event) {
		return false
	}
	first := entry.lastEvent.Equal(entry.startedAt)
	entry.milestones.Durations.addGap(now.Sub(entry.lastEvent), first)
	entry.sampler.unresponsive = false
	if first {
		s.firstGap += time.Duration(fleetPaceWeight * float64(now.Sub(entry.lastEvent)-s.firstGap))
	}
	if entry.lastEvent != entry.startedAt {
		s.observe(entry.sampler, now.Sub(entry.lastEvent))
	}
	entry.lastEvent, entry.unplacedSince = now, time.Time{}
	if event.Version > entry.sampler.Versions[entry.job.spec.Model] {
		s.setVersion(entry.sampler, entry.job.spec.Model, event.Version)
	}
	return true
}

// appendEvent adds an event to the item's text, or only counts it if a worker holds the
// text.
func (i *item) appendEvent(event Event) bool {
	if i.job.policy.Remote {
		return i.advance(event, i.job.versionConstraint())
	}
	return i.Append(event, i.job.versionConstraint())
}

// observe adds the time between two events to the pace of the sampler and of the fleet.
func (s *Scheduler) observe(state *samplerState, gap time.Duration) {
	state.observe(gap, s.fleetPace)
	s.fleetPace += time.Duration(fleetPaceWeight * float64(gap-s.fleetPace))
}

// currentRun returns the item of a run, or nil if the item is not running or has a newer
// run.
func (s *Scheduler) currentRun(key Key, run uint64) *item {
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
	// StoredText locates the text in the log, in place of Text, if it is already in the result
	// of an earlier job.
	StoredText *pathbendv1.Blob
	Versions   []uint64
	Reward     *pathbendv1.RewardCall
	// Tenant is the tenant that submitted the job.
	Tenant string
	// Remote is set if the job's worker holds the text.
	Remote bool
	// VersionConstraint holds the versions that may make the text.
	VersionConstraint
	// Score is the result of the same reward call for an earlier job, empty if there is
	// none.
	Score string
}

// Unscored reports whether the text needs a score but has none, although its item was not
// given up. That is the case if the job was dropped during the reward call.
func (f *Finished) Unscored(score string, alive bool) bool {
	return alive && score == "" && f.Reward != nil
}

// finished describes the item as one whose text is complete.
func (i *item) finished() Finished {
	return Finished{Key: i.key, Text: i.text, Versions: i.versions, Reward: i.spec.Reward, Tenant: i.job.spec.Tenant, Remote: i.job.policy.Remote, VersionConstraint: i.job.versionConstraint()}
}

// Ending is the outcome of a run.
type Ending int

// Endings of a run.
const (
	// Complete means that the stream ended as complete.
	Complete Ending = iota + 1
	// Refused means that the sampler did not start the item.
	Refused
	// WrongSampler means that the address belongs to another sampler.
	WrongSampler
	// Failed means that the sampler ran the item and failed.
	Failed
	// Impossible means that no sampler can ever complete the item.
	Impossible
	// Broken means that the stream ended early or was malformed.
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

// Verdict is the state of an item after the end of a run. In its zero value the item is
// neither complete nor given up.
type Verdict struct {
	// Finished is set if the text is complete and needs its score.
	Finished *Finished
	// Dead is set if the item was given up.
	Dead bool
	// Failures counts the failed runs of the item.
	Failures int
}

// RunEnded records the end of a run. It returns the zero Verdict if the run is not current
// or is speculative.
func (s *Scheduler) RunEnded(key Key, run uint64, ending Ending, now time.Time) Verdict {
	entry := s.currentRun(key, run)
	if entry == nil {
		return Verdict{}
	}
	if key.Speculative {
		s.endSpeculative(entry, ending)
		return Verdict{}
	}
	sampler := entry.sampler
	s.release(entry)
	entry.phase = pending
	entry.lastSampler = sampler.Incarnation()
	switch ending {
	case Complete:
		sampler.runCompleted()
		if entry.events == 0 {
			entry.notBefore = now.Add(itemRetryDelay)
			return Verdict{}
		}
		entry.phase = scoring
		entry.milestones.Completed, entry.milestones.Events = now, entry.events
		s.recordLength(entry.events)
		s.estimator.observe(entry.spec.ExpectedTokens, entry.events)
		completed := entry.finished()
		return Verdict{Finished: &completed}
	case Impossible:
		entry.phase = settled
		return Verdict{Dead: true}
	case Failed:
		sampler.runFailed(now)
		return s.recordFailure(entry, sampler.Incarnation(), now)
	case WrongSampler:
		sampler.Leaving = true
	case Refused:
		sampler.backOff(now)
		entry.backOff(now)
	case Broken:
		sampler.connectionLost(now)
		entry.backOff(now)
	}
	return Verdict{}
}

// recordFailure records that a sampler ran an item and failed.
func (s *Scheduler) recordFailure(entry *item, at Incarnation, now time.Time) Verdict {
	entry.failures++
	if entry.failedAt == nil {
		entry.failedAt = make(map[Incarnation]struct{})
	}
	entry.failedAt[at] = struct{}{}
	if s.exhausted(entry) {
		entry.phase = settled
		return Verdict{Dead: true, Failures: entry.failures}
	}
	entry.backOff(now)
	return Verdict{Failures: entry.failures}
}

// maxFailuresFactor multiplies Policy.MaxFailures to give the number of failures after which
// an item is given up even if its samplers may be at fault. Users allow a factor of up to
// three.
const maxFailuresFactor = 2

// exhausted reports whether an item that failed at least MaxFailures times is to be given
// up: it failed at that many samplers, at all samplers that can run it, or
// maxFailuresFactor times as often as allowed.
func (s *Scheduler) exhausted(entry *item) bool {
	maxFailures := entry.job.policy.MaxFailures
	switch {
	case entry.failures < maxFailures:
		return false
	case len(entry.failedAt) >= maxFailures || entry.failures >= maxFailures*maxFailuresFactor:
		return true
	}
	return !slices.ContainsFunc(s.ordered, func(state *samplerState) bool {
		_, failed := entry.failedAt[state.Incarnation()]
		_, serves := s.servedVersion(state, entry)
		return serves && !failed && !state.Leaving
	})
}

// backOff delays the next run of the item. The delay grows exponentially.
func (i *item) backOff(now time.Time) {
	i.notBefore = now.Add(min(itemRetryDelay<<min(i.refusals, 5), maxItemRetryDelay))
	i.refusals++
}

// Scored records that an item has its score and its result is about to be appended to the
// log. It reports false if the item is unknown.
func (s *Scheduler) Scored(key Key, now time.Time) bool {
	entry, ok := s.items[key]
	if !ok {
		return false
	}
	entry.phase = settled
	entry.milestones.Scored = now
	return true
}
