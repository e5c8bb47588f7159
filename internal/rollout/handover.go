package rollout

import (
	"time"

	"github.com/pathbend/pathbend/internal/delivery"
)

// Handover is the state of a job that is transferred to another node.
type Handover struct {
	Tenant         string         `json:"tenant"`
	Spec           Spec           `json:"spec"`
	TrainerVersion uint64         `json:"trainer_version"`
	Slots          []HandoverSlot `json:"slots"`
}

// HandoverSlot is a finished or partial sample of a transferred job.
type HandoverSlot struct {
	Slot     int                `json:"slot"`
	Tokens   []string           `json:"tokens"`
	Segments []delivery.Segment `json:"segments"`
	// FinishReason is empty for a partial sample.
	FinishReason string `json:"finish_reason,omitempty"`
	Attempt      string `json:"attempt,omitempty"`
	// AgeMS is the time since the sample's oldest token was requested.
	AgeMS int64 `json:"age_ms"`
}

// Export returns the job's state with all finished samples and, if the policy resumes
// failed attempts, the tokens of unfinished ones.
func (j *Job) Export(tenant string, now time.Time) Handover {
	exported := Handover{Tenant: tenant, Spec: j.spec, TrainerVersion: j.trainerVersion}
	exported.Spec.Held = nil
	for i := range j.slots {
		s := &j.slots[i]
		switch {
		case s.held:
			exported.Spec.Held = exported.Spec.Held.Add(i)
		case s.sample != nil:
			exported.Slots = append(exported.Slots, HandoverSlot{
				Slot: i, Tokens: s.sample.Tokens, Segments: s.sample.Segments, FinishReason: s.sample.FinishReason,
				Attempt: s.sample.Attempt, AgeMS: now.Sub(s.sample.StartedAt).Milliseconds(),
			})
		case j.policy.CarryOver:
			if partial, ok := longestPartial(s, i, now); ok {
				exported.Slots = append(exported.Slots, partial)
			}
		}
	}
	return exported
}

// longestPartial returns the longest token sequence that the attempts of a slot have
// generated; false if there is none.
func longestPartial(s *slot, index int, now time.Time) (HandoverSlot, bool) {
	tokens, segments, startedAt := s.partialTokens, s.partialSegments, s.partialStartedAt
	for _, running := range s.attempts {
		if len(running.tokens) > len(tokens) {
			tokens, segments, startedAt = running.tokens, running.segments, running.startedAt
		}
	}
	partial := HandoverSlot{Slot: index, Tokens: tokens, Segments: segments, AgeMS: now.Sub(startedAt).Milliseconds()}
	return partial, len(tokens) > 0
}

// Import returns a job with the state that another node exported. Slots outside the
// job or already held by the trainer are ignored.
func Import(handover Handover, policy Policy, now time.Time) *Job {
	job := NewJob(handover.Spec, policy, now)
	job.trainerVersion = max(job.trainerVersion, handover.TrainerVersion)
	for _, imported := range handover.Slots {
		if imported.Slot < 0 || imported.Slot >= len(job.slots) || job.slots[imported.Slot].held {
			continue
		}
		s := &job.slots[imported.Slot]
		startedAt := now.Add(-time.Duration(imported.AgeMS) * time.Millisecond)
		if imported.FinishReason == "" {
			s.partialTokens, s.partialSegments, s.partialStartedAt = imported.Tokens, imported.Segments, startedAt
			continue
		}
		s.sample = &delivery.Sample{
			Slot: imported.Slot, Group: handover.Spec.Prompts[s.promptIndex].Group, Tokens: imported.Tokens,
			Segments: imported.Segments, FinishReason: imported.FinishReason, Attempt: imported.Attempt, StartedAt: startedAt,
		}
	}
	return job
}
