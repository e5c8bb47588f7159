package schedule

import "time"

// The runs of a job whose policy is Remote are executed by a worker, which holds the items'
// bodies and texts. The scheduler assigns and tracks them like other runs.

// Resumed records the length and versions of the text that a run continues from, as held
// by its worker. It reports false if the run is no longer current.
func (s *Scheduler) Resumed(key Key, run, events uint64, versions []uint64) bool {
	entry := s.currentRun(key, run)
	if entry == nil {
		return false
	}
	entry.Text = Text{events: events, versions: versions}
	return true
}

// RecordServedVersion records the version that made an event of a run, even if the event
// was rejected.
func (s *Scheduler) RecordServedVersion(key Key, run, version uint64) {
	entry := s.currentRun(key, run)
	if entry != nil && version > 0 && version != entry.sampler.Versions[entry.job.spec.Model] {
		s.setVersion(entry.sampler, entry.job.spec.Model, version)
	}
}

// RecordEvents records the total number of events of a run and the versions that made them.
// The events since the last report are assumed to be evenly spaced. It reports false if the
// run is no longer current or an event is rejected.
func (s *Scheduler) RecordEvents(key Key, run, events uint64, versions []uint64, now time.Time) bool {
	entry := s.currentRun(key, run)
	if entry == nil {
		return false
	}
	added := events - entry.events
	if events <= entry.events || added > maxReportedEvents {
		return s.Resumed(key, run, events, versions)
	}
	since := entry.lastEvent
	version := entry.sampler.Versions[entry.job.spec.Model]
	if len(versions) > 0 {
		version = versions[len(versions)-1]
	}
	for i := range added {
		at := since.Add(now.Sub(since) * time.Duration(i+1) / time.Duration(added))
		event := Event{ID: entry.events + 1, Version: version}
		if !s.Progress(key, run, event, at) {
			return false
		}
	}
	entry.versions = versions
	return true
}

// maxReportedEvents limits the new events of one report. A larger number means that the
// report is about another text, which replaces the known one.
const maxReportedEvents = 1000

// Reopen discards the complete text of an item and makes the item pending again. It is used
// if the worker does not hold that text.
func (s *Scheduler) Reopen(key Key) {
	if entry, ok := s.items[key]; ok && entry.phase == scoring {
		entry.Restart()
		entry.speculativeComplete = false
		entry.phase = pending
	}
}

// SetPaused pauses the start of a job's items if paused is set, and resumes it otherwise.
// Current runs continue.
func (s *Scheduler) SetPaused(jobID string, paused bool) {
	if open, ok := s.jobs[jobID]; ok {
		open.paused = paused
	}
}

// WorkerLost resets the state that the lost worker of a job held: items that were running
// or waiting for their scores become pending, and the job's speculative runs are dropped.
func (s *Scheduler) WorkerLost(jobID string) {
	open, ok := s.jobs[jobID]
	if !ok {
		return
	}
	for _, entry := range open.items {
		if entry.phase == running || entry.phase == scoring {
			s.release(entry)
			entry.phase = pending
		}
	}
	for itemID, speculativeItem := range s.speculativeItems {
		if speculativeItem.remote && speculativeItem.key.Job == jobID {
			s.release(speculativeItem)
			delete(s.items, speculativeItem.key)
			delete(s.speculativeItems, itemID)
		}
	}
}
