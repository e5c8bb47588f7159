package rollout

import (
	"fmt"
	"time"

	"github.com/pathbend/pathbend/internal/delivery"
	"github.com/pathbend/pathbend/internal/result"
)

// Limits of a job specification.
const (
	MaxSlots       = 65536
	MaxPromptBytes = 1 << 20
	MaxIDBytes     = 128
)

// Spec is a job as a trainer submits it. Slots are numbered consecutively over the
// prompts: prompt 0 has slots 0 to samples-1, and so on.
type Spec struct {
	JobID   string   `json:"job_id"`
	Model   string   `json:"model"`
	Prompts []Prompt `json:"prompts"`
	// TrainerVersion is the weight version that the trainer is at.
	TrainerVersion uint64 `json:"trainer_version"`
	// Held lists the slots that the trainer holds from an earlier submission.
	Held delivery.Cursor `json:"held,omitempty"`
}

// Prompt requests a group of samples of one prompt.
type Prompt struct {
	Prompt    string `json:"prompt"`
	Group     string `json:"group,omitempty"`
	Samples   int    `json:"samples"`
	MaxTokens int    `json:"max_tokens"`
	Seed      uint64 `json:"seed,omitempty"`
}

// Slots returns the number of samples that the job requests.
func (s *Spec) Slots() int {
	slots := 0
	for _, prompt := range s.Prompts {
		slots += prompt.Samples
	}
	return slots
}

// Validate checks the specification; maxTokens is the model's limit on a generation.
func (s *Spec) Validate(maxTokens int) error {
	if s.JobID == "" || len(s.JobID) > MaxIDBytes {
		return result.New(result.MalformedRequest, "must be 1 to %d bytes long", MaxIDBytes).WithField("job_id")
	}
	if len(s.Prompts) == 0 {
		return result.New(result.MalformedRequest, "must contain at least one prompt").WithField("prompts")
	}
	for i, prompt := range s.Prompts {
		if err := prompt.validate(maxTokens); err != nil {
			return err.WithField(fmt.Sprintf("prompts[%d].%s", i, err.Field))
		}
	}
	if slots := s.Slots(); slots > MaxSlots {
		return result.New(result.MalformedRequest, "requests %d samples, a job may request at most %d", slots, MaxSlots).WithField("prompts")
	}
	return s.Held.Validate(s.Slots())
}

func (p *Prompt) validate(maxTokens int) *result.Error {
	switch {
	case p.Prompt == "" || len(p.Prompt) > MaxPromptBytes:
		return result.New(result.MalformedRequest, "must be 1 to %d bytes long", MaxPromptBytes).WithField("prompt")
	case p.Samples < 1 || p.Samples > MaxSlots:
		return result.New(result.MalformedRequest, "must be from 1 to %d", MaxSlots).WithField("samples")
	case p.MaxTokens < 1 || p.MaxTokens > maxTokens:
		return result.New(result.MalformedRequest, "must be from 1 to the model's max_tokens, %d", maxTokens).WithField("max_tokens")
	}
	return nil
}

// Pull is a trainer's request for samples.
type Pull struct {
	// TrainerVersion is the weight version that the trainer is at.
	TrainerVersion uint64          `json:"trainer_version"`
	Held           delivery.Cursor `json:"held"`
	// MaxSamples limits the samples of the answer; 0 means DefaultPullSamples.
	MaxSamples int `json:"max_samples,omitempty"`
	// WaitMS is how long to wait for a sample if none is ready, in milliseconds.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// Limits of a pull.
const (
	DefaultPullSamples = 64
	MaxPullSamples     = 1024
	MaxPullWait        = 30 * time.Second
)

// Validate checks that the limits of the pull are within range.
func (p *Pull) Validate() error {
	if p.MaxSamples < 0 || p.MaxSamples > MaxPullSamples {
		return result.New(result.MalformedRequest, "must be from 0 to %d", MaxPullSamples).WithField("max_samples")
	}
	if p.WaitMS < 0 || p.WaitMS > MaxPullWait.Milliseconds() {
		return result.New(result.MalformedRequest, "must be from 0 to %d", MaxPullWait.Milliseconds()).WithField("wait_ms")
	}
	return nil
}

// DeliveredSample is a sample with the limits within which the trainer may use it.
type DeliveredSample struct {
	delivery.Sample
	// MaxTrainerVersion is the highest trainer version at which the sample may
	// be used.
	MaxTrainerVersion uint64 `json:"max_trainer_version"`
	// DiscardAfterMS is how long the sample may be used after the answer was sent, in
	// milliseconds.
	DiscardAfterMS int64 `json:"discard_after_ms"`
}

// PullAnswer is the answer to a pull.
type PullAnswer struct {
	JobID   string            `json:"job_id"`
	Samples []DeliveredSample `json:"samples"`
	Slots   int               `json:"slots"`
	// Remaining is the number of slots that neither the cursor nor this answer contains.
	Remaining int `json:"remaining"`
}
