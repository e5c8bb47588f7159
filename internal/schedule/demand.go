package schedule

import (
	"maps"
	"time"
)

// demandWindow is the minimum time for which a peak of demand counts. It spans several
// steps of a trainer; in known deployments a step takes about 4 s.
const demandWindow = 15 * time.Second

// demand tracks, by model, the peak number of items wanted at once. It keeps the peaks of
// the current and the previous window.
type demand struct {
	windowStart       time.Time
	previous, current map[string]int
	// atLatestJob is the number of items wanted of each model when its latest job with
	// unfinished items was added. It does not expire.
	atLatestJob map[string]int
}

// record raises the peaks of the current window to the number of items wanted now, and
// begins a new window if demandWindow has passed.
func (d *demand) record(wanted map[string]int, now time.Time) {
	if d.current == nil || now.Sub(d.windowStart) >= demandWindow {
		d.windowStart, d.previous, d.current = now, d.current, make(map[string]int)
	}
	for model, count := range wanted {
		d.current[model] = max(d.current[model], count)
	}
}

// recordJob records the number of items wanted of a model when a job was added.
func (d *demand) recordJob(model string, wanted int, now time.Time) {
	if wanted == 0 {
		return
	}
	d.record(map[string]int{model: wanted}, now)
	if d.atLatestJob == nil {
		d.atLatestJob = make(map[string]int)
	}
	d.atLatestJob[model] = wanted
}

// peaks returns the peak of both windows for each model.
func (d *demand) peaks() map[string]int { return maxOfEach(d.current, d.previous) }

// expected returns the peaks, but for each model at least the demand at its latest job.
func (d *demand) expected() map[string]int { return maxOfEach(d.peaks(), d.atLatestJob) }

// maxOfEach returns the higher count of each model.
func maxOfEach(a, b map[string]int) map[string]int {
	higher := make(map[string]int, len(a))
	maps.Copy(higher, a)
	for model, count := range b {
		higher[model] = max(higher[model], count)
	}
	return higher
}

// PeakDemand returns, by model, the recent peak number of unfinished items of open jobs. Models
// without recent jobs are absent.
func (s *Scheduler) PeakDemand(now time.Time) map[string]int {
	s.demand.record(s.openItems(), now)
	return s.demand.peaks()
}

// ExpectedDemand returns, by model, the number of items to expect at once of the next jobs: the
// recent peak, but at least the number when the model's latest job was added, however long
// ago. Without jobs during an outage the demand of a model is still known. Only models that
// never had a job are absent.
func (s *Scheduler) ExpectedDemand(now time.Time) map[string]int {
	s.demand.record(s.openItems(), now)
	return s.demand.expected()
}

// openItems returns the number of unfinished items of the open jobs of each model.
func (s *Scheduler) openItems() map[string]int {
	wanted := make(map[string]int)
	for _, open := range s.jobs {
		for _, entry := range open.items {
			if entry.phase == pending || entry.phase == running {
				wanted[open.spec.Model]++
			}
		}
	}
	return wanted
}

// RecordDemand records the number of items that a job of a model had. The executor uses it to
// account for jobs that ended before they could be added: otherwise a model of unknown demand
// would get an even share of the fleet, however little work it has.
func (s *Scheduler) RecordDemand(model string, items int, now time.Time) {
	s.demand.recordJob(model, items, now)
}
