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

// peaks returns the peak of both windows for each model.
func (d *demand) peaks() map[string]int {
	peaks := maps.Clone(d.current)
	for model, count := range d.previous {
		peaks[model] = max(peaks[model], count)
	}
	return peaks
}

// PeakDemand returns, by model, the recent peak number of unfinished items of open jobs. Models
// without recent jobs are absent.
func (s *Scheduler) PeakDemand(now time.Time) map[string]int {
	wanted := make(map[string]int)
	for _, open := range s.jobs {
		for _, entry := range open.items {
			if entry.phase == pending || entry.phase == running {
				wanted[open.spec.Model]++
			}
		}
	}
	s.demand.record(wanted, now)
	return s.demand.peaks()
}

// RecordDemand records the number of items that a job of a model had. A new executor uses it
// to account for jobs that have already ended: otherwise a model of unknown demand would get
// an even share of the fleet, however little work it has.
func (s *Scheduler) RecordDemand(model string, items int, now time.Time) {
	s.demand.record(map[string]int{model: items}, now)
}
