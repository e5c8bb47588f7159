package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
)

// A trainer ends a job once enough of its groups are complete, and resubmits the other
// groups in a later job. The later job requires newer weights, so the text of long items,
// which take an entire step to generate, would be discarded. While the first job is still
// open, such items therefore get a second, speculative run under weights that the later
// job will accept. The later job continues from the text of that run.

const (
	// speculativeSlotDivisor limits speculative runs to this fraction (1/n) of the slots.
	speculativeSlotDivisor = 8
	// SpeculativeRunGracePeriod is how long a speculative run continues after its job has
	// ended.
	SpeculativeRunGracePeriod = 3 * time.Second
	// minSpeculativeLengthRatio is the least ratio of an item's events to the average
	// length of a text for the item to get a speculative run.
	minSpeculativeLengthRatio = 2.0
	// averageEventsWeight is the weight of a new observation in the moving average
	// averageEvents.
	averageEventsWeight = 0.02
)

// RecordVersion records a model version that a trainer announced. It reports whether the
// version is newer than all versions announced before.
func (s *Scheduler) RecordVersion(model string, version uint64) (newer bool) {
	if s.newestVersions[model] >= version {
		return false
	}
	s.newestVersions[model] = version
	return true
}

// recordVersionLag records how far the minimum version of a job is behind the newest
// version of its model. Of several jobs of a model, the one with the latest step counts.
func (s *Scheduler) recordVersionLag(added *job) {
	added.newestVersion = max(s.newestVersions[added.spec.Model], added.spec.MinVersion)
	last, known := s.versionLags[added.spec.Model]
	if !known || added.spec.Step >= last.step {
		s.versionLags[added.spec.Model] = versionLag{step: added.spec.Step, versions: added.newestVersion - added.spec.MinVersion}
	}
}

// versionLag is how many versions behind the newest one a job of a step accepts.
type versionLag struct {
	step     uint64
	versions uint64
}

// laterJobMinVersion returns the oldest version that a job will accept if it is submitted
// after the next version of the model is announced. ok is false if no sampler can serve that
// version yet, or if no version newer than the open job was announced.
func (s *Scheduler) laterJobMinVersion(open *job) (version uint64, ok bool) {
	newest, allowedLag := s.newestVersions[open.spec.Model], s.versionLags[open.spec.Model].versions
	if newest <= open.newestVersion || allowedLag == 0 {
		return 0, false
	}
	return newest + 1 - allowedLag, true
}

// speculativeStarts returns the speculative runs to begin now.
func (s *Scheduler) speculativeStarts(now time.Time) []Start {
	available := -1
	var starts []Start
	for _, open := range s.jobsByDueTime() {
		version, ok := s.laterJobMinVersion(open)
		if !ok || open.paused || !s.resubmitsGroups[open.spec.Model] {
			continue
		}
		for _, entry := range s.speculationCandidates(open, version) {
			if available < 0 {
				// Computed only when needed, because it iterates over all samplers.
				available = s.speculativeCapacity()
			}
			if available == 0 {
				return starts
			}
			speculativeItem := entry.speculativeCopy(version)
			chosen, candidates := s.selectSampler(speculativeItem, now)
			if chosen == nil {
				break
			}
			s.speculativeItems[speculativeItem.key.Item] = speculativeItem
			s.items[speculativeItem.key] = speculativeItem
			starts = append(starts, s.start(speculativeItem, chosen, candidates, now))
			available--
		}
	}
	return starts
}

// speculativeCapacity returns the number of speculative runs that may begin.
func (s *Scheduler) speculativeCapacity() int {
	slots, inUse := 0, 0
	for _, state := range s.ordered {
		if !state.Leaving && !state.evacuated {
			slots += state.slots()
		}
	}
	for _, speculativeItem := range s.speculativeItems {
		if speculativeItem.phase == running {
			inUse++
		}
	}
	return max(slots/speculativeSlotDivisor-inUse, 0)
}

// speculationCandidates lists the long running items of a job whose text a later job would
// not accept, the longest first.
func (s *Scheduler) speculationCandidates(open *job, version uint64) []*item {
	var candidates []*item
	for _, entry := range open.items {
		_, started := s.speculativeItems[entry.key.Item]
		if started || entry.phase != running || entry.events == 0 || entry.versions[0] >= version {
			continue
		}
		if float64(entry.events) >= minSpeculativeLengthRatio*s.averageEvents {
			candidates = append(candidates, entry)
		}
	}
	slices.SortFunc(candidates, func(a, b *item) int {
		return cmp.Or(cmp.Compare(b.events, a.events), cmp.Compare(a.key.Item, b.key.Item))
	})
	return candidates
}

// speculativeCopy returns a copy of an item for a speculative run, whose text may be made
// by the given version or newer ones.
func (i *item) speculativeCopy(version uint64) *item {
	spec := &pathbendv1.BatchJob{
		Host: i.job.spec.Host, Path: i.job.spec.Path, Step: i.job.spec.Step, Model: i.job.spec.Model, MinVersion: version,
		Tenant: i.job.spec.Tenant,
	}
	later := &job{id: i.job.id, spec: spec, policy: i.job.policy}
	key := i.key
	key.Speculative = true
	return &item{key: key, spec: i.spec, job: later, remote: i.job.policy.Remote}
}

// setSpeculativePolicy replaces the policy of a job's speculative runs. It drops texts that the
// policy does not accept and returns their runs to stop.
func (s *Scheduler) setSpeculativePolicy(jobID string, policy Policy) (stopped []Key) {
	for itemID, speculativeItem := range s.speculativeItems {
		if speculativeItem.key.Job != jobID || !speculativeItem.key.Speculative {
			continue
		}
		speculativeItem.job.policy = policy
		if speculativeItem.job.accepts(speculativeItem.versions) {
			continue
		}
		if key, wasRunning := s.dropSpeculative(itemID); wasRunning {
			stopped = append(stopped, key)
		}
	}
	return stopped
}

// endSpeculative records the end of a speculative run. Its text, if there is any, is kept
// for a later job.
func (s *Scheduler) endSpeculative(speculativeItem *item, ending Ending) {
	s.release(speculativeItem)
	delete(s.items, speculativeItem.key)
	speculativeItem.phase = pending
	if ending == Complete && speculativeItem.events > 0 {
		speculativeItem.phase = settled
	}
	if speculativeItem.events == 0 {
		delete(s.speculativeItems, speculativeItem.key.Item)
	}
}

// dropSpeculative removes an item's speculative run and its text. wasRunning reports
// whether the run with the returned key must be stopped.
func (s *Scheduler) dropSpeculative(itemID string) (key Key, wasRunning bool) {
	speculativeItem, ok := s.speculativeItems[itemID]
	if !ok {
		return Key{}, false
	}
	wasRunning = speculativeItem.phase == running
	s.release(speculativeItem)
	delete(s.items, speculativeItem.key)
	delete(s.speculativeItems, itemID)
	return speculativeItem.key, wasRunning
}

// adoptSpeculative gives a resubmitted item the text of its speculative run, or the text kept
// from an earlier job, if the job accepts the versions and the text is longer than the item's
// own. It returns the speculative run to stop, if there is one.
func (s *Scheduler) adoptSpeculative(entry *item) (stopped []Key) {
	speculativeItem, ok := s.speculativeItems[entry.key.Item]
	if !ok {
		return nil
	}
	key, wasRunning := s.dropSpeculative(entry.key.Item)
	if wasRunning {
		stopped = append(stopped, key)
	}
	if speculativeItem.remote == entry.job.policy.Remote && speculativeItem.events > entry.events && entry.job.accepts(speculativeItem.versions) {
		entry.Text = Text{text: speculativeItem.text, events: speculativeItem.events, versions: speculativeItem.versions}
		entry.speculativeComplete = speculativeItem.phase == settled
	}
	return stopped
}

// keepUnfinishedText keeps the text of an unfinished item of an ended job for a later job,
// unless a speculative run provides text under newer weights.
func (s *Scheduler) keepUnfinishedText(entry *item, now time.Time) {
	speculativeItem, started := s.speculativeItems[entry.key.Item]
	if started {
		speculativeItem.jobEndedAt = now
		return
	}
	if entry.events > 0 && entry.phase != settled {
		// No reference to the job is kept: it would retain the texts of all its items.
		s.speculativeItems[entry.key.Item] = &item{
			key: entry.key, jobEndedAt: now, remote: entry.job.policy.Remote,
			Text: Text{text: entry.text, events: entry.events, versions: entry.versions},
		}
	}
}

// staleSpeculativeRuns returns the speculative runs to stop: those whose job ended more
// than SpeculativeRunGracePeriod ago and those that are silent. It deletes kept texts whose
// items were not resubmitted within groupResubmitTimeout.
func (s *Scheduler) staleSpeculativeRuns(now time.Time) []Move {
	var moves []Move
	for _, itemID := range slices.Sorted(maps.Keys(s.speculativeItems)) {
		speculativeItem := s.speculativeItems[itemID]
		jobEnded := !speculativeItem.jobEndedAt.IsZero()
		if speculativeItem.phase != running {
			if jobEnded && now.Sub(speculativeItem.jobEndedAt) > groupResubmitTimeout {
				delete(s.speculativeItems, itemID)
			}
			continue
		}
		move := Move{Key: speculativeItem.key, Run: speculativeItem.run, From: speculativeItem.sampler.ID, Silent: now.Sub(speculativeItem.lastEvent), Pace: speculativeItem.sampler.pace}
		switch {
		case jobEnded && now.Sub(speculativeItem.jobEndedAt) > SpeculativeRunGracePeriod:
			move.Reason = "not resubmitted"
		case move.Silent > maxSilenceTimeout && !speculativeItem.sampler.isLoading(speculativeItem.job.spec.Model):
			move.Reason = "silent"
			speculativeItem.sampler.connectionLost(now)
		default:
			continue
		}
		s.endSpeculative(speculativeItem, Stopped)
		moves = append(moves, move)
	}
	return moves
}

// recordLength adds the length of a complete text to the moving average.
func (s *Scheduler) recordLength(events uint64) {
	if s.averageEvents == 0 {
		s.averageEvents = float64(events)
	}
	s.averageEvents += averageEventsWeight * (float64(events) - s.averageEvents)
}
