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

// Prompt requests a group of samples of one prompt.
type Prompt struct {
	Prompt    string `json:"prompt"`
	Group     string `json:"group,omitempty"`
	Samples   int    `json:"samples"`
	MaxTokens int    `json:"max_tokens"`
	Seed      uint64 `json:"seed,omitempty"`
}

// Segment is a range of tokens generated with one weight version, To exclusive.
type Segment struct {
	From    int    `json:"from"`
	To      int    `json:"to"`
	Version uint64 `json:"weight_version"`
}

// Sample is the generated sample of one slot of a job.
type Sample struct {
	Slot         int       `json:"slot"`
	Group        string    `json:"group,omitempty"`
	Tokens       []string  `json:"tokens"`
	Segments     []Segment `json:"segments"`
	FinishReason string    `json:"finish_reason"`
	Attempt      string    `json:"attempt"`
	// MaxTrainerVersion is the highest trainer version at which the sample may be used.
	MaxTrainerVersion uint64 `json:"max_trainer_version"`
	// DiscardAfterMS is how long, in milliseconds after the response was sent, the sample may
	// be used.
	DiscardAfterMS int64 `json:"discard_after_ms"`
}

// SlotRange is a range of consecutive slots, To exclusive.
type SlotRange struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// JobSpec describes a job. Each sample of a prompt is a slot; slots are numbered from 0
// through all prompts in order.
type JobSpec struct {
	JobID   string   `json:"job_id"`
	Model   string   `json:"model"`
	Prompts []Prompt `json:"prompts"`
}

// Job is a trainer's handle on a job. It is not safe for concurrent use.
type Job struct {
	client *Client
	spec   JobSpec
	slots  int
	// held contains the slots whose samples the trainer has.
	held map[int]bool
	// trainerVersion returns the weight version that the trainer is at.
	trainerVersion func() uint64
	// pulled are the samples that Next has not returned yet.
	pulled []pulledSample
}

// pulledSample is a pulled sample with the time at which it becomes too old.
type pulledSample struct {
	Sample
	expiresAt time.Time
}

type submitRequest struct {
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

type pullResponse struct {
	Samples   []Sample `json:"samples"`
	Slots     int      `json:"slots"`
	Remaining int      `json:"remaining"`
}

const (
	// pullWait is how long the service waits for samples before it responds to a pull.
	pullWait    = 2 * time.Second
	pullTimeout = 10 * time.Second
	// codeJobUnknown is the result code job_unknown.
	codeJobUnknown = 4001
	resubmitDelay  = 50 * time.Millisecond
)

// Submit starts a job. trainerVersion returns the weight version that the trainer is at,
// which may rise while the job runs. held lists the slots whose samples the trainer already
// has, for example after a restart from a checkpoint.
func (c *Client) Submit(ctx context.Context, spec JobSpec, trainerVersion func() uint64, held []int) (*Job, error) {
	job := &Job{client: c, spec: spec, held: make(map[int]bool), trainerVersion: trainerVersion}
	for _, prompt := range spec.Prompts {
		job.slots += prompt.Samples
	}
	for _, slot := range held {
		job.held[slot] = true
	}
	return job, job.submit(ctx)
}

func (j *Job) submit(ctx context.Context) error {
	return j.client.callJSON(ctx, http.MethodPost, "/jobs", submitRequest{
		JobSpec: j.spec, TrainerVersion: j.trainerVersion(), Held: j.heldRanges(),
	}, nil)
}

// Held returns, in ascending order, the slots whose samples the trainer has.
func (j *Job) Held() []int {
	slots := make([]int, 0, len(j.held))
	for slot := range j.held {
		slots = append(slots, slot)
	}
	slices.Sort(slots)
	return slots
}

// heldRanges returns the held slots as ranges, ascending.
func (j *Job) heldRanges() []SlotRange {
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

// Next returns the next sample, one for each slot, and io.EOF once the trainer has all slots.
// It waits for samples until ctx ends. If the service no longer knows the job, Next submits
// it again.
func (j *Job) Next(ctx context.Context) (*Sample, error) {
	for {
		if sample := j.nextUsable(); sample != nil {
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

// nextUsable removes pulled samples up to the first one that may be used, marks its slot as
// held and returns it, nil if there is none. Samples expire, and the version of the trainer
// may have risen since the pull.
func (j *Job) nextUsable() *Sample {
	for len(j.pulled) > 0 {
		next := j.pulled[0]
		j.pulled = j.pulled[1:]
		usable := j.trainerVersion() <= next.MaxTrainerVersion && clock.Now().Before(next.expiresAt)
		if usable && !j.held[next.Slot] {
			j.held[next.Slot] = true
			return &next.Sample
		}
	}
	return nil
}

// pull asks the service for samples. Errors after which another pull may succeed are ignored.
func (j *Job) pull(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var response pullResponse
	sentAt := clock.Now()
	err := j.client.callJSON(ctx, http.MethodPost, "/jobs/"+url.PathEscape(j.spec.JobID)+"/pull", pullRequest{
		TrainerVersion: j.trainerVersion(), Held: j.heldRanges(), WaitMS: pullWait.Milliseconds(),
	}, &response)
	var failure *Error
	switch {
	case err == nil:
		j.addPulled(response, sentAt)
		return nil
	case errors.As(err, &failure) && failure.Code == codeJobUnknown:
		wait.For(ctx, resubmitDelay)
		return ignoreTransient(j.submit(ctx))
	default:
		return ignoreTransient(err)
	}
}

// addPulled stores the samples of a response. Their expiry is counted from the time at which
// the pull was sent; the response was sent later, so that no sample is used too late.
func (j *Job) addPulled(response pullResponse, sentAt time.Time) {
	for _, sample := range response.Samples {
		expiresAt := sentAt.Add(time.Duration(sample.DiscardAfterMS) * time.Millisecond)
		j.pulled = append(j.pulled, pulledSample{Sample: sample, expiresAt: expiresAt})
	}
}

// ignoreTransient returns nil for errors after which the next pull may succeed.
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

// finish tells the owner of the job, by a last pull, that all slots are held. The error is
// ignored, since the job expires if the owner does not learn of it.
func (j *Job) finish(ctx context.Context) {
	_ = j.client.callJSON(ctx, http.MethodPost, "/jobs/"+url.PathEscape(j.spec.JobID)+"/pull", pullRequest{
		TrainerVersion: j.trainerVersion(), Held: j.heldRanges(),
	}, nil)
}

// Cancel cancels the job at the service.
func (j *Job) Cancel(ctx context.Context) error {
	return j.client.callJSON(ctx, http.MethodDelete, "/jobs/"+url.PathEscape(j.spec.JobID), struct{}{}, nil)
}

// AnnounceVersion tells the service that a new weight version of a model is in the weight
// store.
func (c *Client) AnnounceVersion(ctx context.Context, model string, version uint64) error {
	return c.callJSON(ctx, http.MethodPost, "/models/"+url.PathEscape(model)+"/version", struct {
		Version uint64 `json:"version"`
	}{version}, nil)
}
