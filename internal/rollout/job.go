package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/pathbend/pathbend/internal/config"
	"github.com/pathbend/pathbend/internal/delivery"
)

// Policy configures how a job's slots are run.
type Policy struct {
	Freshness delivery.FreshnessLimit
	// MaxConcurrentAttempts limits the attempts of the job in progress.
	MaxConcurrentAttempts int
	// CarryOver resumes a failed attempt from its tokens; otherwise the slot
	// restarts from the prompt.
	CarryOver bool
	// HedgeAfter is the time without a token after which a second attempt starts; 0
	// disables hedging.
	HedgeAfter time.Duration
}

// NewPolicy returns the policy that a tenant's configuration sets for a model.
func NewPolicy(capacity config.Capacity, model *config.Model) Policy {
	return Policy{
		Freshness:             delivery.NewFreshnessLimit(model.Freshness),
		MaxConcurrentAttempts: capacity.ConcurrentSamples,
		CarryOver:             model.Stragglers.Policy == "carry_over" && model.Switch.Policy != "restart",
		HedgeAfter:            model.Stragglers.HedgeAfter,
	}
}

// maxAttemptsPerSlot limits the concurrent attempts of one slot.
const maxAttemptsPerSlot = 2

const (
	// maxPullBytes is the size of an answer above which no further sample is added.
	maxPullBytes = 4 << 20
	// tokenOverheadBytes is the size of the JSON encoding around one token.
	tokenOverheadBytes = 3
)

// retryDelay is the time after a failed attempt before its slot is retried.
const retryDelay = 100 * time.Millisecond

// AttemptRequest is a request to the driver to run an attempt.
type AttemptRequest struct {
	Slot       int
	Attempt    string
	Prompt     Prompt
	Seed       uint64
	MinVersion uint64
	// Resume holds the tokens after which generation continues.
	Resume []string
	// Exclude lists the engines that other attempts of the slot use.
	Exclude []string
	// Age is the time since the slot's first attempt; it raises the priority.
	Age time.Duration
}

type attempt struct {
	id           string
	engine       string
	tokens       []string
	segments     []delivery.Segment
	startedAt    time.Time
	lastProgress time.Time
}

type slot struct {
	promptIndex  int
	indexInGroup int
	held         bool
	sample       *delivery.Sample
	attempts     []*attempt
	// partialTokens are the tokens of a failed attempt, from which the next one resumes.
	partialTokens    []string
	partialSegments  []delivery.Segment
	partialStartedAt time.Time
	firstStart       time.Time
	retryAt          time.Time
}

// Job is the state of one job. It is not safe for concurrent use.
type Job struct {
	spec           Spec
	policy         Policy
	slots          []slot
	trainerVersion uint64
	running        int
	remaining      int
	attemptCount   int
	lastPull       time.Time
	cancelled      []string
	counters       Counters
}

// Counters counts events of a job.
type Counters struct {
	Started   int `json:"started"`
	Resumed   int `json:"resumed"`
	Hedged    int `json:"hedged"`
	Failed    int `json:"failed"`
	Stale     int `json:"stale"`
	Delivered int `json:"delivered"`
}

// NewJob returns a job for a validated specification.
func NewJob(spec Spec, policy Policy, now time.Time) *Job {
	job := &Job{spec: spec, policy: policy, trainerVersion: spec.TrainerVersion, lastPull: now}
	for index, prompt := range spec.Prompts {
		for sample := range prompt.Samples {
			job.slots = append(job.slots, slot{promptIndex: index, indexInGroup: sample})
		}
	}
	job.remaining = len(job.slots)
	job.markHeld(spec.Held)
	return job
}

// Spec returns the job's specification.
func (j *Job) Spec() Spec { return j.spec }

// Remaining returns the number of slots that the trainer does not hold.
func (j *Job) Remaining() int { return j.remaining }

// Running returns the number of attempts in progress.
func (j *Job) Running() int { return j.running }

// Ready returns the number of slots with a finished sample that the trainer does not hold.
func (j *Job) Ready() int {
	count := 0
	for i := range j.slots {
		if j.slots[i].sample != nil {
			count++
		}
	}
	return count
}

// Counters returns the counts of the job's events so far.
func (j *Job) Counters() Counters { return j.counters }

// LastPull returns the time of the trainer's last pull, or of the submission.
func (j *Job) LastPull() time.Time { return j.lastPull }

// SetPolicy replaces the job's policy. A stricter freshness limit applies from the next
// pull.
func (j *Job) SetPolicy(policy Policy) { j.policy = policy }

func (j *Job) markHeld(cursor delivery.Cursor) {
	for _, run := range cursor {
		for index := run.From; index < run.To; index++ {
			s := &j.slots[index]
			if s.held {
				continue
			}
			s.held = true
			s.sample = nil
			s.partialTokens, s.partialSegments = nil, nil
			j.remaining--
			j.cancelAttempts(s)
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

// TakeCancelled returns the attempts that the driver must cancel and clears the list.
func (j *Job) TakeCancelled() []string {
	cancelled := j.cancelled
	j.cancelled = nil
	return cancelled
}

// Pull records the trainer's cursor and version and returns the samples that may be
// delivered to it.
func (j *Job) Pull(now time.Time, pull Pull) PullAnswer {
	j.lastPull = now
	j.markHeld(pull.Held)
	j.trainerVersion = max(j.trainerVersion, pull.TrainerVersion)
	j.dropStale(now)
	limit := pull.MaxSamples
	if limit == 0 {
		limit = DefaultPullSamples
	}
	answer := PullAnswer{JobID: j.spec.JobID, Slots: len(j.slots), Samples: []DeliveredSample{}}
	size := 0
	for i := range j.slots {
		if len(answer.Samples) == limit || size > maxPullBytes {
			break
		}
		if ready := j.slots[i].sample; ready != nil {
			answer.Samples = append(answer.Samples, j.deliver(ready, now))
			size += encodedSize(ready)
		}
	}
	answer.Remaining = j.remaining - len(answer.Samples)
	j.counters.Delivered += len(answer.Samples)
	return answer
}

func encodedSize(sample *delivery.Sample) int {
	size := 0
	for _, token := range sample.Tokens {
		size += len(token) + tokenOverheadBytes
	}
	return size
}

func (j *Job) deliver(sample *delivery.Sample, now time.Time) DeliveredSample {
	return DeliveredSample{
		Sample:            *sample,
		MaxTrainerVersion: delivery.OldestVersion(sample.Segments) + j.policy.Freshness.MaxVersions,
		DiscardAfterMS:    (j.policy.Freshness.MaxAge - now.Sub(sample.StartedAt)).Milliseconds(),
	}
}

// dropStale drops finished samples, partial tokens and running attempts whose tokens
// exceed the freshness limit. Their slots are then started again.
func (j *Job) dropStale(now time.Time) {
	for i := range j.slots {
		s := &j.slots[i]
		if s.sample != nil && !j.isFresh(s.sample.Segments, s.sample.StartedAt, now) {
			s.sample = nil
			j.counters.Stale++
		}
		if s.partialTokens != nil && !j.isFresh(s.partialSegments, s.partialStartedAt, now) {
			s.partialTokens, s.partialSegments = nil, nil
			j.counters.Stale++
		}
		for _, running := range slices.Clone(s.attempts) {
			if len(running.segments) > 0 && !j.isFresh(running.segments, running.startedAt, now) {
				j.dropAttempt(s, running)
				j.cancelled = append(j.cancelled, running.id)
				j.counters.Stale++
			}
		}
	}
}

func (j *Job) isFresh(segments []delivery.Segment, startedAt, now time.Time) bool {
	return j.policy.Freshness.Fresh(delivery.OldestVersion(segments), startedAt, now, j.trainerVersion)
}

func (j *Job) dropAttempt(s *slot, dropped *attempt) {
	s.attempts = slices.DeleteFunc(s.attempts, func(a *attempt) bool { return a == dropped })
	j.running--
}

// StartAttempts returns the attempts to start now: first those of slots without a
// running attempt, in slot order, then second attempts of slots without progress.
func (j *Job) StartAttempts(now time.Time) []AttemptRequest {
	var requests []AttemptRequest
	for i := range j.slots {
		if j.running >= j.policy.MaxConcurrentAttempts {
			return requests
		}
		if j.canStart(&j.slots[i], now) {
			requests = append(requests, j.startAttempt(i, now))
		}
	}
	return append(requests, j.startHedges(now)...)
}

func (j *Job) canStart(s *slot, now time.Time) bool {
	return !s.held && s.sample == nil && len(s.attempts) == 0 && !now.Before(s.retryAt)
}

func (j *Job) startHedges(now time.Time) []AttemptRequest {
	var requests []AttemptRequest
	if j.policy.HedgeAfter == 0 {
		return nil
	}
	for i := range j.slots {
		s := &j.slots[i]
		if len(s.attempts) == 0 || len(s.attempts) >= maxAttemptsPerSlot || j.running >= j.policy.MaxConcurrentAttempts {
			continue
		}
		if now.Sub(s.attempts[0].lastProgress) >= j.policy.HedgeAfter {
			j.counters.Hedged++
			requests = append(requests, j.startAttempt(i, now))
		}
	}
	return requests
}

func (j *Job) startAttempt(index int, now time.Time) AttemptRequest {
	s := &j.slots[index]
	if s.firstStart.IsZero() {
		s.firstStart = now
	}
	j.attemptCount++
	added := &attempt{id: fmt.Sprintf("%s/%d/%d", j.spec.JobID, index, j.attemptCount), startedAt: now, lastProgress: now}
	prompt := j.spec.Prompts[s.promptIndex]
	request := AttemptRequest{
		Slot: index, Attempt: added.id, Prompt: prompt, Seed: prompt.Seed + uint64(s.indexInGroup),
		MinVersion: j.policy.Freshness.MinVersion(j.trainerVersion), Age: now.Sub(s.firstStart),
	}
	for _, other := range s.attempts {
		request.Exclude = append(request.Exclude, other.engine)
	}
	if len(s.attempts) == 0 && s.partialTokens != nil {
		added.tokens, added.segments, added.startedAt = s.partialTokens, s.partialSegments, s.partialStartedAt
		request.Resume = slices.Clone(s.partialTokens)
		s.partialTokens, s.partialSegments = nil, nil
		j.counters.Resumed++
	}
	s.attempts = append(s.attempts, added)
	j.running++
	j.counters.Started++
	return request
}

// findAttempt returns a slot and its running attempt; the attempt is nil if it was cancelled.
func (j *Job) findAttempt(index int, id string) (*slot, *attempt) {
	s := &j.slots[index]
	for _, running := range s.attempts {
		if running.id == id {
			return s, running
		}
	}
	return s, nil
}

// SetEngine records the engine of an attempt.
func (j *Job) SetEngine(index int, id, engine string) {
	if _, running := j.findAttempt(index, id); running != nil {
		running.engine = engine
	}
}

// AddTokens appends tokens to an attempt. It returns false if the attempt was cancelled and
// must stop.
func (j *Job) AddTokens(now time.Time, index int, id string, tokens []string, version uint64) bool {
	_, running := j.findAttempt(index, id)
	if running == nil {
		return false
	}
	running.tokens = append(running.tokens, tokens...)
	running.segments = delivery.AppendTokens(running.segments, len(tokens), version)
	running.lastProgress = now
	return true
}

// CompleteAttempt records that an attempt finished with a sample. An attempt without
// tokens counts as failed, since no chunk names its weight version.
func (j *Job) CompleteAttempt(now time.Time, index int, id, reason string) {
	s, running := j.findAttempt(index, id)
	if running == nil {
		return
	}
	if len(running.tokens) == 0 {
		j.FailAttempt(now, index, id)
		return
	}
	j.dropAttempt(s, running)
	j.cancelAttempts(s)
	s.sample = &delivery.Sample{
		Slot: index, Group: j.spec.Prompts[s.promptIndex].Group, Tokens: running.tokens, Segments: running.segments,
		FinishReason: reason, Attempt: id, StartedAt: running.startedAt,
	}
}

// FailAttempt records that an attempt ended without a sample. The slot is retried after
// retryDelay.
func (j *Job) FailAttempt(now time.Time, index int, id string) {
	s, running := j.findAttempt(index, id)
	if running == nil {
		return
	}
	j.dropAttempt(s, running)
	j.counters.Failed++
	s.retryAt = now.Add(retryDelay)
	longer := len(running.tokens) > len(s.partialTokens)
	if j.policy.CarryOver && longer && j.isFresh(running.segments, running.startedAt, now) {
		s.partialTokens, s.partialSegments, s.partialStartedAt = running.tokens, running.segments, running.startedAt
	}
}
