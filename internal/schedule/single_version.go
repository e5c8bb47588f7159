package schedule

import (
	"slices"
	"time"
)

// A text that must be made by a single version can only be continued by samplers of that version.
// Samplers move on to newer versions, so the last one that serves it may be gone.

// boundVersion returns the version that must make the rest of the item's text. bound is false if
// several versions may make the text, or if there is no text yet.
func (i *item) boundVersion() (version uint64, bound bool) {
	if !i.job.policy.SingleVersion || len(i.versions) == 0 {
		return 0, false
	}
	return i.versions[0], true
}

// restartAtNewerVersion selects a sampler for an item that none can continue, and discards the
// item's text if it finds one. The sampler's version is newer than that of the text: if the text
// is of the newest version, samplers will load it.
func (s *Scheduler) restartAtNewerVersion(entry *item, now time.Time) (*samplerState, int) {
	version, bound := entry.boundVersion()
	if !bound {
		return nil, 0
	}
	if entry.unplacedSince.IsZero() {
		entry.unplacedSince = now
	}
	if s.canContinue(entry) && now.Sub(entry.unplacedSince) < s.regenerationTime(entry) {
		return nil, 0
	}
	chosen, candidates := s.selectAmong(entry, func(state *samplerState, entry *item) bool {
		served, serves := s.servedVersion(state, entry)
		return serves && served > version
	}, now)
	if chosen != nil {
		entry.Restart()
	}
	return chosen, candidates
}

// canContinue reports whether a sampler can continue the item's text once it has a free slot.
func (s *Scheduler) canContinue(entry *item) bool {
	return slices.ContainsFunc(s.ordered, func(state *samplerState) bool {
		return !state.Leaving && !state.evacuated && s.serves(state, entry)
	})
}

// regenerationTime returns the estimated time to generate the item's text again. It limits the wait
// for a sampler of the text's version.
func (s *Scheduler) regenerationTime(entry *item) time.Duration {
	return time.Duration(entry.events) * s.fleetPace
}
