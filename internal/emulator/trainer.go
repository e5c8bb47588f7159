package emulator

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/pathbend/pathbend/client"
	"github.com/pathbend/pathbend/internal/wait"
)

// Trainer emulates a training loop: collect a step's samples, train, and every
// few steps publish new weights.
type Trainer struct {
	Name   string
	Tenant string
	Model  string
	Client *client.Client
	Truth  *Truth
	// MaxVersions is the tenant's freshness bound, to check against.
	MaxVersions uint64
	// Groups of SamplesPerGroup samples make a step.
	Groups          int
	SamplesPerGroup int
	MaxTokens       int
	// PromptBytes is the length of a prompt.
	PromptBytes int
	// TrainTime is the time to train on a step's samples.
	TrainTime time.Duration
	// StepsPerVersion is how many steps lie between two weight versions.
	StepsPerVersion int
	// ScoreTime is what the scoring service takes for a sample. Samples are
	// scored as they arrive, all at once.
	ScoreTime time.Duration
	// Score has a sample scored; nil waits for ScoreTime instead.
	Score func(ctx context.Context, sample *client.Sample) error

	mutex   sync.Mutex
	version uint64
	steps   []Step
	idle    time.Duration
	busy    time.Duration
}

// Step is the record of one training step.
type Step struct {
	Number  int           `json:"number"`
	Version uint64        `json:"version"`
	Samples int           `json:"samples"`
	Tokens  int           `json:"tokens"`
	Wait    time.Duration `json:"wait_ns"`
}

// Version returns the weight version that the trainer is at.
func (t *Trainer) Version() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.version
}

// Steps returns the finished steps.
func (t *Trainer) Steps() []Step {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return append([]Step(nil), t.steps...)
}

// IdleShare is the share of its time that the trainer waited for samples.
func (t *Trainer) IdleShare() float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.idle+t.busy == 0 {
		return 0
	}
	return float64(t.idle) / float64(t.idle+t.busy)
}

// Run trains until ctx ends.
func (t *Trainer) Run(ctx context.Context) {
	t.setVersion(1)
	t.announce(ctx)
	for number := 1; ctx.Err() == nil; number++ {
		step, err := t.collect(ctx, number)
		if err != nil {
			if ctx.Err() == nil {
				t.Truth.Violate("trainer %s: step %d failed: %v", t.Name, number, err)
			}
			return
		}
		wait.For(ctx, t.TrainTime)
		t.finish(step)
		if number%max(t.StepsPerVersion, 1) == 0 {
			t.setVersion(t.Version() + 1)
			t.announce(ctx)
		}
	}
}

func (t *Trainer) setVersion(version uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.version = version
}

func (t *Trainer) finish(step Step) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.steps = append(t.steps, step)
	t.idle += step.Wait
	t.busy += t.TrainTime
}

// announce repeats until the service knows the version.
func (t *Trainer) announce(ctx context.Context) {
	const pause = 100 * time.Millisecond
	for ctx.Err() == nil {
		if t.Client.AnnounceVersion(ctx, t.Model, t.Version()) == nil {
			return
		}
		wait.For(ctx, pause)
	}
}

func (t *Trainer) collect(ctx context.Context, number int) (Step, error) {
	began := time.Now()
	step := Step{Number: number, Version: t.Version()}
	job, err := t.submit(ctx, number)
	if err != nil {
		return step, err
	}
	got := make(map[int]bool)
	var scoring conc.WaitGroup
	defer scoring.Wait()
	for {
		sample, err := job.Next(ctx)
		if errors.Is(err, io.EOF) {
			scoring.Wait()
			step.Wait = time.Since(began)
			return step, nil
		}
		if err != nil {
			return step, err
		}
		if got[sample.Slot] {
			return step, errors.Newf("slot %d came twice", sample.Slot)
		}
		got[sample.Slot] = true
		t.Truth.Received(t.Tenant, sample, t.Version(), t.MaxVersions)
		scoring.Go(func() { t.score(ctx, number, sample) })
		step.Samples++
		step.Tokens += len(sample.Tokens)
	}
}

func (t *Trainer) score(ctx context.Context, number int, sample *client.Sample) {
	if t.Score == nil {
		wait.For(ctx, t.ScoreTime)
		return
	}
	if err := t.Score(ctx, sample); err != nil && ctx.Err() == nil {
		t.Truth.Violate("trainer %s: step %d: slot %d was not scored: %v", t.Name, number, sample.Slot, err)
	}
}

// submit repeats until a node takes the job.
func (t *Trainer) submit(ctx context.Context, number int) (*client.Job, error) {
	const pause = 200 * time.Millisecond
	spec := client.JobSpec{JobID: fmt.Sprintf("%s-step-%d", t.Name, number), Model: t.Model}
	for group := range t.Groups {
		name := fmt.Sprintf("%s step %d group %d ", t.Name, number, group)
		spec.Prompts = append(spec.Prompts, client.Prompt{
			Prompt: padded(name, t.PromptBytes), Group: name, Samples: t.SamplesPerGroup, MaxTokens: t.MaxTokens,
		})
	}
	for {
		job, err := t.Client.Submit(ctx, spec, t.Version, nil)
		var failure *client.Error
		if err == nil || ctx.Err() != nil || errors.As(err, &failure) && failure.Code >= 1000 && failure.Code < 2000 {
			return job, err
		}
		wait.For(ctx, pause)
	}
}

func padded(text string, length int) string {
	for len(text) < length {
		text += "."
	}
	return text
}
