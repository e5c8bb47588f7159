package schedule

import (
	"time"

	"github.com/pathbend/pathbend/internal/locality"
)

// The runs of a job whose policy is Remote are carried by a worker, which holds the items'
// bodies and texts. The scheduler places and counts them as it does others.

// Resumed records how many events the text has that a run goes on from, as its worker
// holds it. It reports false if the run is not wanted any more.
func (s *Scheduler) Resumed(key Key, run, events uint64, versions []uint64) bool {
	entry := s.current(key, run)
	if entry == nil {
		return false
	}
	entry.Text = Text{events: events, versions: versions}
	return true
}

// Seen records the version that made an event of a run, also of one that was not wanted.
func (s *Scheduler) Seen(key Key, run, version uint64) {
	entry := s.current(key, run)
	if entry != nil && version > 0 && version != entry.sampler.Versions[entry.job.spec.Model] {
		s.setVersion(entry.sampler, entry.job.spec.Model, version)
	}
}

// Advanced records the events that a run made since the last word of it. They are taken to
// have come evenly. It reports false if the run is not wanted any more.
func (s *Scheduler) Advanced(key Key, run, events uint64, versions []uint64, now time.Time) bool {
	entry := s.current(key, run)
	if entry == nil {
		return false
	}
	made := events - entry.events
	if events <= entry.events || made > mostMade {
		return s.Resumed(key, run, events, versions)
	}
	since := entry.lastEvent
	version := entry.sampler.Versions[entry.job.spec.Model]
	if len(versions) > 0 {
		version = versions[len(versions)-1]
	}
	for i := range made {
		at := since.Add(now.Sub(since) * time.Duration(i+1) / time.Duration(made))
		event := Event{ID: entry.events + 1, Version: version}
		if !s.Progress(key, run, event, at) {
			return false
		}
	}
	entry.versions = versions
	return true
}

// Regions returns those by whose samplers the items of a job may be generated, false if
// the job is not known.
func (s *Scheduler) Regions(jobID string) (locality.Regions, bool) {
	open, known := s.jobs[jobID]
	if !known {
		return locality.Regions{}, false
	}
	return open.policy.Regions, true
}

// mostMade bounds the events of one report: more are another text's.
const mostMade = 1000

// Reopen makes an item pending again whose complete text its worker does not hold.
func (s *Scheduler) Reopen(key Key) {
	if entry, ok := s.items[key]; ok && entry.phase == scoring {
		entry.Restart()
		entry.aheadComplete = false
		entry.phase = pending
	}
}

// Hold keeps the items of a job from being started, or lets them be started again.
func (s *Scheduler) Hold(jobID string, held bool) {
	if open, ok := s.jobs[jobID]; ok {
		open.held = held
	}
}

// WorkerLost takes back what the worker of a job had under way: its runs, also those
// ahead, and its texts that wait for their scores.
func (s *Scheduler) WorkerLost(jobID string) {
	open, ok := s.jobs[jobID]
	if !ok {
		return
	}
	for _, entry := range open.items {
		if entry.phase == running || entry.phase == scoring {
			s.free(entry)
			entry.phase = pending
		}
	}
	for itemID, copied := range s.ahead {
		if copied.remote && copied.key.Job == jobID {
			s.free(copied)
			delete(s.items, copied.key)
			delete(s.ahead, itemID)
		}
	}
}
