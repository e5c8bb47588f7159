package main

import (
	"fmt"
	"time"
)

func samplerID(number int) string { return fmt.Sprintf("i-%08x", 0x7f3a9100+number) }

// judgeStep checks the rule LOST for a step that runs out of time now: no item of it that no
// sampler has finished has been at no sampler for stuckTime of a steady state, which began at
// steadyFrom, unless none of the step had begun, the samplers are half full or a version was named
// in the last 6 s.
func (c *cluster) judgeStep(record *recorder, j *job, samplers []*sampler, steadyFrom, now time.Time) verdict {
	const namedTime = 6 * time.Second
	lastAt, running, finished := make(map[string]time.Time), make(map[string]bool), make(map[string]bool)
	begun := 0
	slots, busy := 0, 0
	for _, s := range samplers {
		s.mutex.Lock()
		down := s.down
		s.mutex.Unlock()
		if !down {
			slots += s.slots
		}
		for _, run := range s.runs() {
			running[run.id] = running[run.id] || run.end.IsZero()
			finished[run.id] = finished[run.id] || run.whole
			if run.end.IsZero() && !down {
				busy++
			}
			if run.end.After(lastAt[run.id]) {
				lastAt[run.id] = run.end
			}
		}
	}
	for _, item := range j.items {
		if running[item.id] || finished[item.id] || !lastAt[item.id].IsZero() {
			begun++
		}
	}
	result := held
	for _, item := range j.items {
		if _, listed := j.listed[item.id]; listed || finished[item.id] || running[item.id] {
			continue
		}
		since := steadyFrom
		if lastAt[item.id].After(since) {
			since = lastAt[item.id]
		}
		away := now.Sub(since)
		record.log("step %d is out of time: item %s is neither listed nor finished, at no sampler for %.1f s of steady state; %d of %d items had begun, %d of %d slots are taken",
			j.step, item.id, away.Seconds(), begun, len(j.items), busy, slots)
		if away >= stuckTime && begun > 0 && 2*busy < slots && now.Sub(c.namedAt) > namedTime {
			result = broken
		}
	}
	record.log("step %d: %d of %d items listed", j.step, len(j.listed), len(j.items))
	return result
}

// logRuns records what the samplers ran.
func (r *recorder) logRuns(samplers []*sampler) {
	for _, s := range samplers {
		for _, run := range s.runs() {
			until := "now"
			if !run.end.IsZero() {
				until = fmt.Sprintf("%.3f", run.end.Sub(r.started).Seconds())
			}
			r.logAt(run.at, "sampler %s of %s ran %s after event %d, until %s, whole %v", s.id, s.service, run.id, run.lastEvent, until, run.whole)
		}
	}
}
