package client

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pathbend/pathbend/internal/wait"

	"github.com/pathbend/pathbend/internal/clock"
)

// Prompt asks for a group of samples that share a prompt.
type Prompt struct {
	Prompt    string `json:"prompt"`
	Group     string `json:"group,omitempty"`
	Samples   int    `json:"samples"`
	MaxTokens int    `json:"max_tokens"`
	Seed      uint64 `json:"seed,omitempty"`
}

// Segment is a token range made by one weight version.
type Segment struct {
	From    int    `json:"from"`
	To      int    `json:"to"`
	Version uint64 `json:"weight_version"`
}

// Sample is a generation for one slot of a job.
type Sample struct {
	Slot         int       `json:"slot"`
	Group        string    `json:"group,omitempty"`
	Tokens       []string  `json:"tokens"`
	Segments     []Segment `json:"segments"`
	FinishReason string    `json:"finish_reason"`
	Attempt      string    `json:"attempt"`
	// MaxTrainerVersion is the highest trainer version at which the sample may
	// be used, DiscardAfterMS how long after the answer was sent.
	MaxTrainerVersion uint64 `json:"max_trainer_version"`
	DiscardAfterMS    int64  `json:"discard_after_ms"`
}

// SlotRange is a run of slots, To exclusive.
type SlotRange struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// JobSpec describes a job. Slots are numbered through the prompts in order.
type JobSpec struct {
	JobID   string   `json:"job_id"`
	Model   string   `json:"model"`
	Prompts []Prompt `json:"prompts"`
}

// Job is a trainer's handle on a job. It is used by one goroutine.
type Job struct {
	client *Client
	spec   JobSpec
	slots  int
	held   map[int]bool
	// version returns the version that the trainer is at.
	version func() uint64
	waiting []waitingSample
}

// waitingSample is a pulled sample with the time after which it is too old.
type waitingSample struct {
	Sample
	useBefore time.Time
}

type submission struct {
	JobSpec
	TrainerVersion uint64      `json:"trainer_version"`
	Held           []SlotRange `json:"held,omitempty"`
}

type pullRequest struct {
	TrainerVersion uint64      `json:"trainer_version"`
	Held           []SlotRange `json:"held"`
	MaxSamples     int         `json:"max_samples,omitempty"`
	WaitMS         int64       `json:"wait_ms,omitempty"`
}

type pullAnswer struct {
	Samples   []Sample `json:"samples"`
	Slots     int      `json:"slots"`
	Remaining int      `json:"remaining"`
}

const (
	pullWait     = 2 * time.Second
	pullTimeout  = 10 * time.Second
	jobUnknown   = 4001
	resubmitRest = 50 * time.Millisecond
)

// Submit starts a job. version returns the weight version that the trainer is
// at whenever it is asked; it may rise while the job runs. held are slots that
// the trainer has from before, as after a restart from a checkpoint.
func (c *Client) Submit(ctx context.Context, spec JobSpec, version func() uint64, held []int) (*Job, error) {
	job := &Job{client: c, spec: spec, held: make(map[int]bool), version: version}
	for _, prompt := range spec.Prompts {
		job.slots += prompt.Samples
	}
	for _, slot := range held {
		job.held[slot] = true
	}
	return job, job.submit(ctx)
}

func (j *Job) submit(ctx context.Context) error {
	return j.client.callJSON(ctx, http.MethodPost, "/jobs", submission{
		JobSpec: j.spec, TrainerVersion: j.version(), Held: j.ranges(),
	}, nil)
}

// Held returns the slots that the trainer holds, ascending.
func (j *Job) Held() []int {
	slots := make([]int, 0, len(j.held))
	for slot := range j.held {
		slots = append(slots, slot)
	}
	slices.Sort(slots)
	return slots
}

func (j *Job) ranges() []SlotRange {
	ranges := []SlotRange{}
	for _, slot := range j.Held() {
		if last := len(ranges) - 1; last >= 0 && ranges[last].To == slot {
			ranges[last].To++
			continue
		}
		ranges = append(ranges, SlotRange{From: slot, To: slot + 1})
	}
	return ranges
}

// Next returns the next sample, each slot once. It returns io.EOF when the
// trainer holds every slot. A job that its owner lost is submitted again.
func (j *Job) Next(ctx context.Context) (*Sample, error) {
	for {
		if sample := j.takeWaiting(); sample != nil {
			return sample, nil
		}
		if len(j.held) == j.slots {
			j.finish(ctx)
			return nil, io.EOF
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if err := j.pull(ctx); err != nil {
			return nil, err
		}
	}
}

// takeWaiting returns a pulled sample that may still be used. The trainer's
// version may have risen since the pull.
func (j *Job) takeWaiting() *Sample {
	for len(j.waiting) > 0 {
		next := j.waiting[0]
		j.waiting = j.waiting[1:]
		usable := j.version() <= next.MaxTrainerVersion && clock.Now().Before(next.useBefore)
		if usable && !j.held[next.Slot] {
			j.held[next.Slot] = true
			return &next.Sample
		}
	}
	return nil
}

func (j *Job) pull(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var answer pullAnswer
	sent := clock.Now()
	err := j.client.callJSON(ctx, http.MethodPost, "/jobs/"+url.PathEscape(j.spec.JobID)+"/pull", pullRequest{
		TrainerVersion: j.version(), Held: j.ranges(), WaitMS: pullWait.Milliseconds(),
	}, &answer)
	var failure *Error
	switch {
	case err == nil:
		j.take(answer, sent)
		return nil
	case errors.As(err, &failure) && failure.Code == jobUnknown:
		wait.For(ctx, resubmitRest)
		return ignoreTransient(j.submit(ctx))
	default:
		return ignoreTransient(err)
	}
}

// take keeps the samples of an answer. Their age is counted from when the pull
// was sent: the answer was sent later, so none is used too late.
func (j *Job) take(answer pullAnswer, sent time.Time) {
	for _, sample := range answer.Samples {
		useBefore := sent.Add(time.Duration(sample.DiscardAfterMS) * time.Millisecond)
		j.waiting = append(j.waiting, waitingSample{Sample: sample, useBefore: useBefore})
	}
}

// ignoreTransient drops errors after which the next pull may succeed.
func ignoreTransient(err error) error {
	var failure *Error
	if errors.As(err, &failure) && retryable(failure, true) {
		return nil
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

// finish tells the owner that the job is done. If that is lost, the job expires.
func (j *Job) finish(ctx context.Context) {
	_ = j.client.callJSON(ctx, http.MethodPost, "/jobs/"+url.PathEscape(j.spec.JobID)+"/pull", pullRequest{
		TrainerVersion: j.version(), Held: j.ranges(),
	}, nil)
}

// Cancel drops the job.
func (j *Job) Cancel(ctx context.Context) error {
	return j.client.callJSON(ctx, http.MethodDelete, "/jobs/"+url.PathEscape(j.spec.JobID), struct{}{}, nil)
}

// AnnounceVersion states that a new weight version of a model is in the weight
// store.
func (c *Client) AnnounceVersion(ctx context.Context, model string, version uint64) error {
	return c.callJSON(ctx, http.MethodPost, "/models/"+url.PathEscape(model)+"/version", struct {
		Version uint64 `json:"version"`
	}{version}, nil)
}
