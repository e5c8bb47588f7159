package rollout

import (
	"time"

	"github.com/pathbend/pathbend/internal/delivery"
)

// Handover is a job on its way to another node.
type Handover struct {
	Tenant         string         `json:"tenant"`
	Spec           Spec           `json:"spec"`
	TrainerVersion uint64         `json:"trainer_version"`
	Slots          []HandoverSlot `json:"slots"`
}

// HandoverSlot is a finished or partial sample.
type HandoverSlot struct {
	Slot     int                `json:"slot"`
	Tokens   []string           `json:"tokens"`
	Segments []delivery.Segment `json:"segments"`
	// FinishReason is empty for a partial sample.
	FinishReason string `json:"finish_reason,omitempty"`
	Attempt      string `json:"attempt,omitempty"`
	AgeMS        int64  `json:"age_ms"`
}

// Export encodes the job with all finished samples and the tokens so far of
// unfinished ones.
func (j *Job) Export(tenant string, now time.Time) Handover {
	exported := Handover{Tenant: tenant, Spec: j.spec, TrainerVersion: j.trainerVersion}
	exported.Spec.Held = nil
	for i := range j.slots {
		s := &j.slots[i]
		switch {
		case s.held:
			exported.Spec.Held = exported.Spec.Held.Add(i)
		case s.ready != nil:
			exported.Slots = append(exported.Slots, HandoverSlot{
				Slot: i, Tokens: s.ready.Tokens, Segments: s.ready.Segments, FinishReason: s.ready.FinishReason,
				Attempt: s.ready.Attempt, AgeMS: now.Sub(s.ready.Started).Milliseconds(),
			})
		case j.policy.CarryOver:
			if partial, ok := partialOf(s, i, now); ok {
				exported.Slots = append(exported.Slots, partial)
			}
		}
	}
	return exported
}

func partialOf(s *slot, index int, now time.Time) (HandoverSlot, bool) {
	tokens, segments, started := s.kept, s.keptSegs, s.keptStarted
	for _, running := range s.attempts {
		if len(running.tokens) > len(tokens) {
			tokens, segments, started = running.tokens, running.segments, running.started
		}
	}
	partial := HandoverSlot{Slot: index, Tokens: tokens, Segments: segments, AgeMS: now.Sub(started).Milliseconds()}
	return partial, len(tokens) > 0
}

// Import returns the state of a job that another node handed over.
func Import(handover Handover, policy Policy, now time.Time) *Job {
	job := NewJob(handover.Spec, policy, now)
	job.trainerVersion = max(job.trainerVersion, handover.TrainerVersion)
	for _, exported := range handover.Slots {
		if exported.Slot < 0 || exported.Slot >= len(job.slots) || job.slots[exported.Slot].held {
			continue
		}
		s := &job.slots[exported.Slot]
		started := now.Add(-time.Duration(exported.AgeMS) * time.Millisecond)
		if exported.FinishReason == "" {
			s.kept, s.keptSegs, s.keptStarted = exported.Tokens, exported.Segments, started
			continue
		}
		s.ready = &delivery.Sample{
			Slot: exported.Slot, Group: handover.Spec.Prompts[s.prompt].Group, Tokens: exported.Tokens,
			Segments: exported.Segments, FinishReason: exported.FinishReason, Attempt: exported.Attempt, Started: started,
		}
	}
	return job
}
