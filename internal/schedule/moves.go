package schedule

import (
	"slices"
	"time"
)

const (
	// silenceLimit is how long a run may make no event at most before the item is taken
	// elsewhere.
	silenceLimit = 1500 * time.Millisecond
	// silencePaces is the same in times between two events of its sampler, silenceFirsts
	// that until the first event in mean times to a first event, and shortestSilence the
	// least of both: events come 35 to 70 ms apart, the first after 10 to 60, and gaps of
	// 0.3 s are seen where a sampler reads prompts (chosen twice that).
	silencePaces    = 12
	silenceFirsts   = 12
	shortestSilence = 600 * time.Millisecond
	// moveRatio is how much faster another sampler must be for an item to move.
	moveRatio = 1.8
	// moveAfter is how long a run is watched before it may move.
	moveAfter = 400 * time.Millisecond
	// moveWorth is the time that a move must save.
	moveWorth = 400 * time.Millisecond
)

// Move is a run to stop so that the item goes on elsewhere.
type Move struct {
	Key    Key
	Run    uint64
	From   string
	Silent time.Duration
	Pace   time.Duration
	Reason string
}

// Moves returns the runs to stop now: those of samplers that started again, silent ones,
// and, if there is room at a much faster sampler, those on slow ones. Their items are pending again.
func (s *Scheduler) Moves(now time.Time) []Move {
	var moves []Move
	brisk := s.briskPace(now)
	noRoom := make(map[*job]bool)
	for _, key := range s.runningKeys() {
		entry := s.items[key]
		silent := now.Sub(entry.lastEvent)
		move := Move{Key: key, Run: entry.run, From: entry.sampler.ID, Silent: silent, Pace: entry.sampler.pace}
		switch {
		case entry.sampler.ended:
			move.Reason = "restarted"
		case silent > s.patience(entry) && !entry.sampler.isLoading(entry.job.spec.Model):
			move.Reason = "silent"
			entry.sampler.lost(now)
			entry.sampler.dark = true
		case float64(entry.sampler.pace) > moveRatio*float64(brisk) && !noRoom[entry.job]:
			best, _ := s.choose(entry, now)
			noRoom[entry.job] = best == nil
			if !s.worthMove(entry, best, brisk, now) {
				continue
			}
			move.Reason = "slow"
		default:
			continue
		}
		entry.avoid = entry.sampler.Incarnation()
		s.free(entry)
		entry.phase = pending
		moves = append(moves, move)
	}
	return append(moves, s.staleAhead(now)...)
}

// patience is how long a run may make no event.
func (s *Scheduler) patience(entry *item) time.Duration {
	usual := silencePaces * entry.sampler.expectedPace(s.fleetPace)
	if entry.lastEvent.Equal(entry.startedAt) {
		usual = silenceFirsts * s.firstGap
	}
	return min(max(usual, shortestSilence), silenceLimit)
}

// briskPart is the part of the samplers that may be faster than the pace with which
// a slow one is compared. The very fastest of a large fleet is mostly one whose pace
// was estimated too low, and few are in a fleet of two or three.
const briskPart = 4

// briskFor is how long the pace of a large fleet that a quarter of it betters is taken to
// stay: to sort 10,000 took 0.7 ms at each of 20 looks a second (chosen; one run's pace moves
// by a seventh an event, some 40 ms, that of a quarter of a fleet by next to nothing).
const briskFor = 500 * time.Millisecond

// briskPace is a pace that a quarter of the samplers may better.
func (s *Scheduler) briskPace(now time.Time) time.Duration {
	if len(s.ordered) > mostCandidates && now.Sub(s.briskAt) < briskFor {
		return min(s.brisk, s.fleetPace)
	}
	s.brisk, s.briskAt = s.sortedPace(), now
	return min(s.brisk, s.fleetPace)
}

func (s *Scheduler) sortedPace() time.Duration {
	if len(s.ordered) == 0 {
		return s.fleetPace
	}
	paces := make([]time.Duration, 0, len(s.ordered))
	for _, state := range s.ordered {
		paces = append(paces, state.expectedPace(s.fleetPace))
	}
	slices.Sort(paces)
	return paces[(len(paces)-1)/briskPart]
}

func (s *Scheduler) runningKeys() []Key {
	var keys []Key
	for _, open := range s.byDue() {
		for _, entry := range open.items {
			if entry.phase == running {
				keys = append(keys, entry.key)
			}
		}
	}
	return keys
}

// worthMove reports whether an item on a slow sampler gains by another one.
func (s *Scheduler) worthMove(entry *item, best *samplerState, brisk time.Duration, now time.Time) bool {
	if best == nil || best == entry.sampler || best.slow(s.fleetPace) || best.budget.Cold(now) || now.Sub(entry.startedAt) < moveAfter {
		return false
	}
	there := max(best.expectedPace(s.fleetPace), brisk)
	gain := float64(entry.sampler.pace) - float64(there)
	saved := time.Duration(gain * s.lengths.remaining(entry))
	return float64(entry.sampler.pace) > moveRatio*float64(there) && saved > moveWorth
}
