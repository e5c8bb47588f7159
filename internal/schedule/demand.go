package schedule

import (
	"maps"
	"time"
)

// demandWindow is the minimum time for which a peak of demand counts. It spans several
// steps of a trainer; in known deployments a step takes about 4 s.
const demandWindow = 15 * time.Second

// demand tracks, by workload, the peak number of items wanted at once. It keeps the peaks of
// the current and the previous window.
type demand struct {
	windowStart       time.Time
	previous, current map[Workload]int
	// atLatestJob is the number of items wanted of each workload when its latest job with
	// unfinished items was added. It does not expire before the model has a later job of another
	// workload.
	atLatestJob map[Workload]latestJob
}

// latestJob is the demand of a workload when its latest job was added.
type latestJob struct {
	items int
	at    time.Time
}

// record raises the peaks of the current window to the number of items wanted now, and
// begins a new window if demandWindow has passed.
func (d *demand) record(wanted map[Workload]int, now time.Time) {
	if d.current == nil || now.Sub(d.windowStart) >= demandWindow {
		d.windowStart, d.previous, d.current = now, d.current, make(map[Workload]int)
	}
	for workload, count := range wanted {
		d.current[workload] = max(d.current[workload], count)
	}
}

// formerWorkloadTimeout is how long the demand at the latest job of a workload counts once the
// model has a later job of another workload. It exceeds the interval between two jobs of a
// trainer.
const formerWorkloadTimeout = 2 * time.Minute

// recordJob records the number of items wanted of a workload when a job was added.
func (d *demand) recordJob(workload Workload, wanted int, now time.Time) {
	if wanted == 0 {
		return
	}
	d.record(map[Workload]int{workload: wanted}, now)
	if d.atLatestJob == nil {
		d.atLatestJob = make(map[Workload]latestJob)
	}
	maps.DeleteFunc(d.atLatestJob, func(other Workload, last latestJob) bool {
		return other.Model == workload.Model && now.Sub(last.at) > formerWorkloadTimeout
	})
	d.atLatestJob[workload] = latestJob{items: wanted, at: now}
}

// move replaces each workload that has destinations by these.
func (d *demand) move(destinations map[Workload][]Workload) {
	d.previous, d.current = movePeaks(d.previous, destinations), movePeaks(d.current, destinations)
	moved := make(map[Workload]latestJob, len(d.atLatestJob))
	for workload, last := range d.atLatestJob {
		for _, to := range destinationsOf(workload, destinations) {
			if last.items >= moved[to].items {
				moved[to] = last
			}
		}
	}
	d.atLatestJob = moved
}

func movePeaks(peaks map[Workload]int, destinations map[Workload][]Workload) map[Workload]int {
	moved := make(map[Workload]int, len(peaks))
	for workload, count := range peaks {
		for _, to := range destinationsOf(workload, destinations) {
			moved[to] = max(moved[to], count)
		}
	}
	return moved
}

func destinationsOf(workload Workload, destinations map[Workload][]Workload) []Workload {
	if moved, known := destinations[workload]; known {
		return moved
	}
	return []Workload{workload}
}

// peaks returns the peak of both windows for each workload.
func (d *demand) peaks() map[Workload]int {
	higher := make(map[Workload]int, len(d.current))
	maps.Copy(higher, d.current)
	for workload, count := range d.previous {
		higher[workload] = max(higher[workload], count)
	}
	return higher
}

// expected returns the peaks, but for each workload at least the demand at its latest job.
func (d *demand) expected() map[Workload]int {
	expected := d.peaks()
	for workload, last := range d.atLatestJob {
		expected[workload] = max(expected[workload], last.items)
	}
	return expected
}

// PeakDemand returns, by workload, the recent peak number of unfinished items of open jobs.
// Workloads without recent jobs are absent.
func (s *Scheduler) PeakDemand(now time.Time) map[Workload]int {
	s.demand.record(s.openItems(), now)
	return s.demand.peaks()
}

// ExpectedDemand returns, by workload, the number of items to expect at once of the next jobs:
// the recent peak, but at least the number when the workload's latest job was added, however
// long ago. Without jobs during an outage the demand is still known. Only models that never had
// a job are absent.
func (s *Scheduler) ExpectedDemand(now time.Time) map[Workload]int {
	s.demand.record(s.openItems(), now)
	return s.demand.expected()
}

// openItems returns the number of unfinished items of the open jobs of each workload.
func (s *Scheduler) openItems() map[Workload]int {
	wanted := make(map[Workload]int)
	for _, open := range s.jobs {
		workload := open.workload()
		for _, entry := range open.items {
			if entry.phase == pending || entry.phase == running {
				wanted[workload]++
			}
		}
	}
	return wanted
}

// RecordDemand records the number of items that a job had. The executor uses it to account for
// jobs that ended before they could be added: otherwise a model of unknown demand would get an
// even share of the fleet, however little work it has.
func (s *Scheduler) RecordDemand(workload Workload, items int, now time.Time) {
	s.demand.recordJob(workload, items, now)
}

// MoveDemand records that the work of workloads now goes to other pools. It goes to each of
// the destinations of its workload, which may include the workload itself.
func (s *Scheduler) MoveDemand(destinations map[Workload][]Workload) { s.demand.move(destinations) }
