package schedule

import (
	"time"
)

const (
	// silenceLimit is how long a run may make no event before the item is taken
	// elsewhere.
	silenceLimit = 1500 * time.Millisecond
	// moveRatio is how much faster another sampler must be for an item to move.
	moveRatio = 1.8
	// moveAfter is how long a run is watched before it may move.
	moveAfter = 400 * time.Millisecond
	// moveWorth is the time that a move must save.
	moveWorth = 400 * time.Millisecond
	// assumedTokensPerEvent serves to turn expected tokens into events.
	assumedTokensPerEvent = 45
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

// Moves returns the runs to stop now: silent ones, and, if there is room at a
// much faster sampler, those on slow ones. Their items are pending again.
func (s *Scheduler) Moves(now time.Time) []Move {
	var moves []Move
	fastest := s.fastestPace()
	for _, key := range s.runningKeys() {
		entry := s.items[key]
		silent := now.Sub(entry.lastEvent)
		move := Move{Key: key, Run: entry.run, From: entry.sampler.ID, Silent: silent, Pace: entry.sampler.pace}
		switch {
		case silent > silenceLimit && !entry.sampler.isLoading(entry.job.spec.Model):
			move.Reason = "silent"
			entry.sampler.pause(now)
		case float64(entry.sampler.pace) > moveRatio*float64(fastest) && s.fasterElsewhere(entry, now):
			move.Reason = "slow"
		default:
			continue
		}
		entry.avoid = entry.sampler.ID
		s.free(entry)
		entry.phase = pending
		moves = append(moves, move)
	}
	return append(moves, s.staleAhead(now)...)
}

// fastestPace is a pace that no sampler betters.
func (s *Scheduler) fastestPace() time.Duration {
	fastest := s.fleetPace
	for _, state := range s.ordered {
		fastest = min(fastest, state.expectedPace(s.fleetPace))
	}
	return fastest
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

func (s *Scheduler) fasterElsewhere(entry *item, now time.Time) bool {
	if now.Sub(entry.startedAt) < moveAfter {
		return false
	}
	best, _ := s.choose(entry, now)
	if best == nil || best == entry.sampler || best.slow(s.fleetPace) {
		return false
	}
	there := best.expectedPace(s.fleetPace)
	gain := float64(entry.sampler.pace) - float64(there)
	saved := time.Duration(gain * entry.remaining(assumedTokensPerEvent))
	return float64(entry.sampler.pace) > moveRatio*float64(there) && saved > moveWorth
}
