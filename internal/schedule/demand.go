package schedule

import (
	"maps"
	"time"
)

// demandWindow is how long a peak of the work wanted counts at least: several steps
// of a trainer, which come some seconds apart (chosen; steps of the deployments seen
// come each 4 s).
const demandWindow = 15 * time.Second

// demand keeps the most items of each model that were wanted at once of late. It
// keeps the peaks of two windows, the one under way and the one before.
type demand struct {
	since          time.Time
	former, latest map[string]int
}

// take records what is wanted at a time.
func (d *demand) take(wanted map[string]int, now time.Time) {
	if d.latest == nil || now.Sub(d.since) >= demandWindow {
		d.since, d.former, d.latest = now, d.latest, make(map[string]int)
	}
	for model, count := range wanted {
		d.latest[model] = max(d.latest[model], count)
	}
}

// peaks returns the peaks by model.
func (d *demand) peaks() map[string]int {
	peaks := maps.Clone(d.latest)
	for model, count := range d.former {
		peaks[model] = max(peaks[model], count)
	}
	return peaks
}

// Demand returns, by model, the most items that open jobs wanted from samplers at
// once of late. A model of which no job was seen is missing.
func (s *Scheduler) Demand(now time.Time) map[string]int {
	wanted := make(map[string]int)
	for _, open := range s.jobs {
		for _, entry := range open.items {
			if entry.phase == pending || entry.phase == running {
				wanted[open.spec.Model]++
			}
		}
	}
	s.demand.take(wanted, now)
	return s.demand.peaks()
}

// Wanted records that a job wanted so many items of a model. A new holder of the jobs
// learns of those that are over that way: a model of which it knew nothing would take its
// even share of a fleet, however little work it has.
func (s *Scheduler) Wanted(model string, items int, now time.Time) {
	s.demand.take(map[string]int{model: items}, now)
}
