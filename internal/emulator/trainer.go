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

// Trainer emulates a training loop: it collects the samples of a step, trains on
// them, and announces a new weight version every few steps.
type Trainer struct {
	Name    string
	Tenant  string
	Model   string
	Client  *client.Client
	Checker *Checker
	// MaxVersions is the tenant's freshness bound, in weight versions, that
	// received samples are checked against.
	MaxVersions uint64
	// Groups is the number of prompts in a step, SamplesPerGroup the number of
	// samples of each.
	Groups          int
	SamplesPerGroup int
	MaxTokens       int
	// PromptBytes is the minimum length of a prompt; shorter ones are padded.
	PromptBytes int
	// TrainTime is the time to train on a step's samples.
	TrainTime time.Duration
	// StepsPerVersion is how many steps are trained per weight version; values
	// below 1 mean 1.
	StepsPerVersion int
	// ScoreTime is how long scoring a sample takes. Samples are scored as they
	// arrive, concurrently and without a limit.
	ScoreTime time.Duration
	// Score sends a sample to a scoring service; nil waits for ScoreTime instead.
	Score func(ctx context.Context, sample *client.Sample) error

	mutex   sync.Mutex
	version uint64
	steps   []Step
	idle    time.Duration
	busy    time.Duration
}

// Step describes one finished training step. Wait is how long the trainer waited
// for all of the step's samples and their scores.
type Step struct {
	Number  int           `json:"number"`
	Version uint64        `json:"version"`
	Samples int           `json:"samples"`
	Tokens  int           `json:"tokens"`
	Wait    time.Duration `json:"wait_ns"`
}

// Version returns the trainer's current weight version.
func (t *Trainer) Version() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.version
}

// Steps returns the finished steps in order.
func (t *Trainer) Steps() []Step {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return append([]Step(nil), t.steps...)
}

// IdleShare returns the share of its time, 0 to 1, that the trainer has waited for
// samples; 0 before the first step is finished.
func (t *Trainer) IdleShare() float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.idle+t.busy == 0 {
		return 0
	}
	return float64(t.idle) / float64(t.idle+t.busy)
}

// Run trains until ctx is done. A step that fails for another reason is recorded
// as a violation and ends the run.
func (t *Trainer) Run(ctx context.Context) {
	t.setVersion(1)
	t.announce(ctx)
	for number := 1; ctx.Err() == nil; number++ {
		step, err := t.collect(ctx, number)
		if err != nil {
			if ctx.Err() == nil {
				t.Checker.ReportViolation("trainer %s: step %d failed: %v", t.Name, number, err)
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

// announce retries until the service accepts the current version.
func (t *Trainer) announce(ctx context.Context) {
	const retryInterval = 100 * time.Millisecond
	for ctx.Err() == nil {
		if t.Client.AnnounceVersion(ctx, t.Model, t.Version()) == nil {
			return
		}
		wait.For(ctx, retryInterval)
	}
}

// collect submits the job of a step and receives and scores all of its samples.
func (t *Trainer) collect(ctx context.Context, number int) (Step, error) {
	startedAt := time.Now()
	step := Step{Number: number, Version: t.Version()}
	job, err := t.submit(ctx, number)
	if err != nil {
		return step, err
	}
	receivedSlots := make(map[int]bool)
	var scoring conc.WaitGroup
	defer scoring.Wait()
	for {
		sample, err := job.Next(ctx)
		if errors.Is(err, io.EOF) {
			scoring.Wait()
			step.Wait = time.Since(startedAt)
			return step, nil
		}
		if err != nil {
			return step, err
		}
		if receivedSlots[sample.Slot] {
			return step, errors.Newf("slot %d was delivered twice", sample.Slot)
		}
		receivedSlots[sample.Slot] = true
		t.Checker.RecordSample(t.Tenant, sample, t.Version(), t.MaxVersions)
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
		t.Checker.ReportViolation("trainer %s: step %d: slot %d could not be scored: %v", t.Name, number, sample.Slot, err)
	}
}

// submit retries until a node accepts the job or rejects it for good, with a
// failure code from 1000 to 1999.
func (t *Trainer) submit(ctx context.Context, number int) (*client.Job, error) {
	const retryInterval = 200 * time.Millisecond
	spec := client.JobSpec{JobID: fmt.Sprintf("%s-step-%d", t.Name, number), Model: t.Model}
	for group := range t.Groups {
		name := fmt.Sprintf("%s step %d group %d ", t.Name, number, group)
		spec.Prompts = append(spec.Prompts, client.Prompt{
			Prompt: padTo(name, t.PromptBytes), Group: name, Samples: t.SamplesPerGroup, MaxTokens: t.MaxTokens,
		})
	}
	for {
		job, err := t.Client.Submit(ctx, spec, t.Version, nil)
		var failure *client.Error
		if err == nil || ctx.Err() != nil || errors.As(err, &failure) && failure.Code >= 1000 && failure.Code < 2000 {
			return job, err
		}
		wait.For(ctx, retryInterval)
	}
}

// padTo appends dots to a text until it has the given length in bytes.
func padTo(text string, length int) string {
	for len(text) < length {
		text += "."
	}
	return text
}
