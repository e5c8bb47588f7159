package schedule

import (
	"slices"
	"time"
)

const (
	// maxSilenceTimeout is the upper bound of the time without an event after which a
	// run's item moves to another sampler.
	maxSilenceTimeout = 1500 * time.Millisecond
	// silenceTimeoutPaces is the silence timeout as a multiple of the sampler's pace, and
	// silenceTimeoutFirstGaps, for runs without an event, as a multiple of the mean time to
	// the first event. minSilenceTimeout is the lower bound of both: events come 35 to
	// 70 ms apart and the first one after 10 to 60 ms, but gaps of 0.3 s occur while a
	// sampler reads prompts; the bound is twice that.
	silenceTimeoutPaces     = 12
	silenceTimeoutFirstGaps = 12
	minSilenceTimeout       = 600 * time.Millisecond
	// minMoveSpeedup is the least ratio of the current sampler's pace to that of another
	// sampler for an item to move to the latter.
	minMoveSpeedup = 1.8
	// minMoveRunTime is how long a run must have been running before it may move.
	minMoveRunTime = 400 * time.Millisecond
	// minMoveSaving is the least estimated time that a move must save.
	minMoveSaving = 400 * time.Millisecond
)

// Move is a run to stop so that its item can continue at another sampler.
type Move struct {
	Key    Key
	Run    uint64
	From   string
	Silent time.Duration
	Pace   time.Duration
	Reason string
}

// Moves returns the runs to stop now: runs of samplers that restarted, silent runs, and
// runs on slow samplers for which a much faster sampler has a free slot. Their items become
// pending again. Stale speculative runs are included; the items that they duplicate are not
// affected.
func (s *Scheduler) Moves(now time.Time) []Move {
	var moves []Move
	fastPace := s.currentFastPace(now)
	noSampler := make(map[*job]bool)
	for _, key := range s.runningKeys() {
		entry := s.items[key]
		silent := now.Sub(entry.lastEvent)
		move := Move{Key: key, Run: entry.run, From: entry.sampler.ID, Silent: silent, Pace: entry.sampler.pace}
		switch {
		case entry.sampler.superseded:
			move.Reason = "restarted"
		case silent > s.silenceTimeout(entry) && !entry.sampler.isLoading(entry.job.spec.Model):
			move.Reason = "silent"
			entry.sampler.connectionLost(now)
			entry.sampler.unresponsive = true
		case float64(entry.sampler.pace) > minMoveSpeedup*float64(fastPace) && !noSampler[entry.job]:
			best, _ := s.selectSampler(entry, now)
			noSampler[entry.job] = best == nil
			if !s.moveSavesTime(entry, best, fastPace, now) {
				continue
			}
			move.Reason = "slow"
		default:
			continue
		}
		entry.lastSampler = entry.sampler.Incarnation()
		s.release(entry)
		entry.phase = pending
		moves = append(moves, move)
	}
	return append(moves, s.staleSpeculativeRuns(now)...)
}

// silenceTimeout returns how long a run may go without an event.
func (s *Scheduler) silenceTimeout(entry *item) time.Duration {
	timeout := silenceTimeoutPaces * entry.sampler.expectedPace(s.fleetPace)
	if entry.lastEvent.Equal(entry.startedAt) {
		timeout = silenceTimeoutFirstGaps * s.firstGap
	}
	return min(max(timeout, minSilenceTimeout), maxSilenceTimeout)
}

// fastPaceDivisor is the fraction (1/n) of the samplers that may be faster than the pace
// with which a slow sampler is compared. The very fastest sampler of a large fleet is
// usually one whose pace was estimated too low; a fleet of two or three samplers has few
// to compare with.
const fastPaceDivisor = 4

// fastPaceCacheTTL is how long the result of computeFastPace is reused in a large fleet,
// because sorting 10,000 paces takes 0.7 ms and Moves is called 20 times a second. The pace
// of one sampler changes by up to a seventh with each event, about every 40 ms, but the
// lower quartile of a large fleet hardly changes in that time.
const fastPaceCacheTTL = 500 * time.Millisecond

// currentFastPace returns the pace that at most a quarter of the samplers surpass, or the
// average pace of the fleet if that is faster.
func (s *Scheduler) currentFastPace(now time.Time) time.Duration {
	if len(s.ordered) > maxCandidates && now.Sub(s.cachedFastPaceAt) < fastPaceCacheTTL {
		return min(s.cachedFastPace, s.fleetPace)
	}
	s.cachedFastPace, s.cachedFastPaceAt = s.computeFastPace(), now
	return min(s.cachedFastPace, s.fleetPace)
}

// computeFastPace sorts the paces of all samplers to find their lower quartile.
func (s *Scheduler) computeFastPace() time.Duration {
	if len(s.ordered) == 0 {
		return s.fleetPace
	}
	paces := make([]time.Duration, 0, len(s.ordered))
	for _, state := range s.ordered {
		paces = append(paces, state.expectedPace(s.fleetPace))
	}
	slices.Sort(paces)
	return paces[(len(paces)-1)/fastPaceDivisor]
}

// runningKeys lists the running items of all jobs, without speculative runs, in the order of
// jobsByDueTime.
func (s *Scheduler) runningKeys() []Key {
	var keys []Key
	for _, open := range s.jobsByDueTime() {
		for _, entry := range open.items {
			if entry.phase == running {
				keys = append(keys, entry.key)
			}
		}
	}
	return keys
}

// moveSavesTime reports whether moving an item from its slow sampler to best saves enough
// time.
func (s *Scheduler) moveSavesTime(entry *item, best *samplerState, fastPace time.Duration, now time.Time) bool {
	if best == nil || best == entry.sampler || best.slow(s.fleetPace) || best.budget.Cold(now) || now.Sub(entry.startedAt) < minMoveRunTime {
		return false
	}
	otherPace := max(best.expectedPace(s.fleetPace), fastPace)
	gain := float64(entry.sampler.pace) - float64(otherPace)
	saved := time.Duration(gain * s.estimator.remainingEvents(entry))
	return float64(entry.sampler.pace) > minMoveSpeedup*float64(otherPace) && saved > minMoveSaving
}
