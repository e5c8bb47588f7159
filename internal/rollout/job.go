package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/pathbend/pathbend/internal/config"
	"github.com/pathbend/pathbend/internal/delivery"
)

// Policy is how a job's slots are run.
type Policy struct {
	Bound delivery.Bound
	// Concurrent bounds the attempts in progress.
	Concurrent int
	// CarryOver resumes a broken attempt with its tokens; otherwise a slot
	// starts anew.
	CarryOver bool
	// HedgeAfter starts a second attempt after so long without a token; 0 never.
	HedgeAfter time.Duration
}

// PolicyOf returns the policy that a tenant's configuration sets for a model.
func PolicyOf(capacity config.Capacity, model *config.Model) Policy {
	return Policy{
		Bound:      delivery.BoundOf(model.Freshness),
		Concurrent: capacity.ConcurrentSamples,
		CarryOver:  model.Stragglers.Policy == "carry_over" && model.Switch.Policy != "restart",
		HedgeAfter: model.Stragglers.HedgeAfter,
	}
}

// maxAttemptsASlot bounds the attempts of one slot in progress.
const maxAttemptsASlot = 2

const (
	// maxPullBytes is the size above which no further sample joins an answer.
	maxPullBytes = 4 << 20
	// tokenOverheadBytes is the encoding around one token.
	tokenOverheadBytes = 3
)

// retryPause is how long a slot rests after a failed attempt.
const retryPause = 100 * time.Millisecond

// Start asks the driver to run an attempt.
type Start struct {
	Slot       int
	Attempt    string
	Prompt     Prompt
	Seed       uint64
	MinVersion uint64
	// Resume are the tokens to continue after.
	Resume []string
	// Exclude are engines that other attempts of the slot use.
	Exclude []string
	// Age is how long the slot has been running, for priority.
	Age time.Duration
}

type attempt struct {
	id           string
	engine       string
	tokens       []string
	segments     []delivery.Segment
	started      time.Time
	lastProgress time.Time
}

type slot struct {
	prompt   int
	index    int // within the prompt's group
	held     bool
	ready    *delivery.Sample
	attempts []*attempt
	// kept are tokens of a broken attempt, to be resumed.
	kept        []string
	keptSegs    []delivery.Segment
	keptStarted time.Time
	firstStart  time.Time
	notBefore   time.Time
}

// Job is the state of one job. It is not safe for concurrent use.
type Job struct {
	spec           Spec
	policy         Policy
	slots          []slot
	trainerVersion uint64
	running        int
	remaining      int
	sequence       int
	lastPull       time.Time
	cancelled      []string
	counters       Counters
}

// Counters tell what a job went through.
type Counters struct {
	Started   int `json:"started"`
	Resumed   int `json:"resumed"`
	Hedged    int `json:"hedged"`
	Failed    int `json:"failed"`
	Stale     int `json:"stale"`
	Delivered int `json:"delivered"`
}

// NewJob returns the state of a validated job.
func NewJob(spec Spec, policy Policy, now time.Time) *Job {
	job := &Job{spec: spec, policy: policy, trainerVersion: spec.TrainerVersion, lastPull: now}
	for index, prompt := range spec.Prompts {
		for sample := range prompt.Samples {
			job.slots = append(job.slots, slot{prompt: index, index: sample})
		}
	}
	job.remaining = len(job.slots)
	job.hold(spec.Held)
	return job
}

// Spec returns the job's specification.
func (j *Job) Spec() Spec { return j.spec }

// Remaining counts the slots that the trainer does not hold.
func (j *Job) Remaining() int { return j.remaining }

// Running counts the attempts in progress.
func (j *Job) Running() int { return j.running }

// Ready counts the slots with a finished sample that the trainer lacks.
func (j *Job) Ready() int {
	count := 0
	for i := range j.slots {
		if j.slots[i].ready != nil {
			count++
		}
	}
	return count
}

// Counters returns what the job went through.
func (j *Job) Counters() Counters { return j.counters }

// LastPull is when the trainer last asked.
func (j *Job) LastPull() time.Time { return j.lastPull }

// SetPolicy puts another policy in force. A tighter bound applies at the next
// hand-over.
func (j *Job) SetPolicy(policy Policy) { j.policy = policy }

func (j *Job) hold(cursor delivery.Cursor) {
	for _, run := range cursor {
		for index := run.From; index < run.To; index++ {
			held := &j.slots[index]
			if held.held {
				continue
			}
			held.held = true
			held.ready = nil
			held.kept, held.keptSegs = nil, nil
			j.remaining--
			j.cancelAttempts(held)
		}
	}
}

func (j *Job) cancelAttempts(s *slot) {
	for _, running := range s.attempts {
		j.cancelled = append(j.cancelled, running.id)
		j.running--
	}
	s.attempts = nil
}

// TakeCancelled returns the attempts that the driver must stop.
func (j *Job) TakeCancelled() []string {
	cancelled := j.cancelled
	j.cancelled = nil
	return cancelled
}

// Pull records the trainer's cursor and version and returns what it may have.
func (j *Job) Pull(now time.Time, pull Pull) PullAnswer {
	j.lastPull = now
	j.hold(pull.Held)
	j.trainerVersion = max(j.trainerVersion, pull.TrainerVersion)
	j.dropStale(now)
	limit := pull.MaxSamples
	if limit == 0 {
		limit = DefaultPullSamples
	}
	answer := PullAnswer{JobID: j.spec.JobID, Slots: len(j.slots), Samples: []Delivered{}}
	bytes := 0
	for i := range j.slots {
		if len(answer.Samples) == limit || bytes > maxPullBytes {
			break
		}
		if ready := j.slots[i].ready; ready != nil {
			answer.Samples = append(answer.Samples, j.deliver(ready, now))
			bytes += sizeOf(ready)
		}
	}
	answer.Remaining = j.remaining - len(answer.Samples)
	j.counters.Delivered += len(answer.Samples)
	return answer
}

func sizeOf(sample *delivery.Sample) int {
	size := 0
	for _, token := range sample.Tokens {
		size += len(token) + tokenOverheadBytes
	}
	return size
}

func (j *Job) deliver(sample *delivery.Sample, now time.Time) Delivered {
	return Delivered{
		Sample:            *sample,
		MaxTrainerVersion: delivery.OldestVersion(sample.Segments) + j.policy.Bound.MaxVersions,
		DiscardAfterMS:    (j.policy.Bound.MaxAge - now.Sub(sample.Started)).Milliseconds(),
	}
}

// dropStale returns slots to the start whose tokens no trainer may receive any
// more, whether finished, running or kept.
func (j *Job) dropStale(now time.Time) {
	for i := range j.slots {
		s := &j.slots[i]
		if s.ready != nil && !j.fresh(s.ready.Segments, s.ready.Started, now) {
			s.ready = nil
			j.counters.Stale++
		}
		if s.kept != nil && !j.fresh(s.keptSegs, s.keptStarted, now) {
			s.kept, s.keptSegs = nil, nil
			j.counters.Stale++
		}
		for _, running := range slices.Clone(s.attempts) {
			if len(running.segments) > 0 && !j.fresh(running.segments, running.started, now) {
				j.dropAttempt(s, running)
				j.cancelled = append(j.cancelled, running.id)
				j.counters.Stale++
			}
		}
	}
}

func (j *Job) fresh(segments []delivery.Segment, started, now time.Time) bool {
	return j.policy.Bound.Fresh(delivery.OldestVersion(segments), started, now, j.trainerVersion)
}

func (j *Job) dropAttempt(s *slot, gone *attempt) {
	s.attempts = slices.DeleteFunc(s.attempts, func(a *attempt) bool { return a == gone })
	j.running--
}

// Starts returns the attempts to begin now: first slots that run nowhere, the
// oldest ones first, then second attempts of slots without progress.
func (j *Job) Starts(now time.Time) []Start {
	var starts []Start
	for i := range j.slots {
		if j.running >= j.policy.Concurrent {
			return starts
		}
		if j.idle(&j.slots[i], now) {
			starts = append(starts, j.start(i, now))
		}
	}
	return append(starts, j.hedges(now)...)
}

func (j *Job) idle(s *slot, now time.Time) bool {
	return !s.held && s.ready == nil && len(s.attempts) == 0 && !now.Before(s.notBefore)
}

func (j *Job) hedges(now time.Time) []Start {
	var starts []Start
	if j.policy.HedgeAfter == 0 {
		return nil
	}
	for i := range j.slots {
		s := &j.slots[i]
		if len(s.attempts) == 0 || len(s.attempts) >= maxAttemptsASlot || j.running >= j.policy.Concurrent {
			continue
		}
		if now.Sub(s.attempts[0].lastProgress) >= j.policy.HedgeAfter {
			j.counters.Hedged++
			starts = append(starts, j.start(i, now))
		}
	}
	return starts
}

func (j *Job) start(index int, now time.Time) Start {
	s := &j.slots[index]
	if s.firstStart.IsZero() {
		s.firstStart = now
	}
	j.sequence++
	added := &attempt{id: fmt.Sprintf("%s/%d/%d", j.spec.JobID, index, j.sequence), started: now, lastProgress: now}
	prompt := j.spec.Prompts[s.prompt]
	start := Start{
		Slot: index, Attempt: added.id, Prompt: prompt, Seed: prompt.Seed + uint64(s.index),
		MinVersion: j.policy.Bound.Minimum(j.trainerVersion), Age: now.Sub(s.firstStart),
	}
	for _, other := range s.attempts {
		start.Exclude = append(start.Exclude, other.engine)
	}
	if len(s.attempts) == 0 && s.kept != nil {
		added.tokens, added.segments, added.started = s.kept, s.keptSegs, s.keptStarted
		start.Resume = slices.Clone(s.kept)
		s.kept, s.keptSegs = nil, nil
		j.counters.Resumed++
	}
	s.attempts = append(s.attempts, added)
	j.running++
	j.counters.Started++
	return start
}

// find returns a running attempt; nil if it was cancelled meanwhile.
func (j *Job) find(index int, id string) (*slot, *attempt) {
	s := &j.slots[index]
	for _, running := range s.attempts {
		if running.id == id {
			return s, running
		}
	}
	return s, nil
}

// Placed records the engine of an attempt.
func (j *Job) Placed(index int, id, engine string) {
	if _, running := j.find(index, id); running != nil {
		running.engine = engine
	}
}

// Progress records tokens of an attempt. It reports false if the attempt is no
// longer wanted and must stop.
func (j *Job) Progress(now time.Time, index int, id string, tokens []string, version uint64) bool {
	_, running := j.find(index, id)
	if running == nil {
		return false
	}
	running.tokens = append(running.tokens, tokens...)
	running.segments = delivery.AppendTokens(running.segments, len(tokens), version)
	running.lastProgress = now
	return true
}

// Finished records the end of an attempt with a sample. An attempt without a
// token is no sample, since nothing proves its version.
func (j *Job) Finished(now time.Time, index int, id, reason string) {
	s, running := j.find(index, id)
	if running == nil {
		return
	}
	if len(running.tokens) == 0 {
		j.Failed(now, index, id)
		return
	}
	j.dropAttempt(s, running)
	j.cancelAttempts(s)
	s.ready = &delivery.Sample{
		Slot: index, Group: j.spec.Prompts[s.prompt].Group, Tokens: running.tokens, Segments: running.segments,
		FinishReason: reason, Attempt: id, Started: running.started,
	}
}

// Failed records the end of an attempt without a sample.
func (j *Job) Failed(now time.Time, index int, id string) {
	j.FailedUntil(now, now.Add(retryPause), index, id)
}

// FailedUntil records the end of an attempt without a sample after which the slot rests until
// a time.
func (j *Job) FailedUntil(now, until time.Time, index int, id string) {
	s, running := j.find(index, id)
	if running == nil {
		return
	}
	j.dropAttempt(s, running)
	j.counters.Failed++
	s.notBefore = until
	better := len(running.tokens) > len(s.kept)
	if j.policy.CarryOver && better && j.fresh(running.segments, running.started, now) {
		s.kept, s.keptSegs, s.keptStarted = running.tokens, running.segments, running.started
	}
}
