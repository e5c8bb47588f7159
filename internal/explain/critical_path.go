package explain

import (
	"time"
)

// CriticalPath splits the duration of a step into the phases of its deciding item: the
// item whose result completed the last group that the trainer waited for. The phases
// are consecutive and add up to the time from the arrival of the submission to the end
// of the job. A phase that no line shows is zero, and its time is part of the next one.
type CriticalPath struct {
	// ItemID is the deciding item. Events is the length of its text, ExpectedTokens the
	// caller's estimate of it, and Runs how often the item was sent to a sampler.
	ItemID         string
	Events         int
	ExpectedTokens int
	Runs           int
	// Submit is the time until the node had stored the job, Weights the time from there
	// to the first start of any of its items, and Queue from there to the start of the
	// deciding item.
	Submit  time.Duration
	Weights time.Duration
	Queue   time.Duration
	// Prompt, Paused and Stalled are as in schedule.Durations; Tokens is the remaining time
	// until the text was complete.
	Prompt  time.Duration
	Paused  time.Duration
	Stalled time.Duration
	Tokens  time.Duration
	// Reward is the time of the reward call, List the time from there until the result
	// was in the log, and Read from there to the end of the job.
	Reward time.Duration
	List   time.Duration
	Read   time.Duration
}

// Total returns the sum of the phases.
func (c *CriticalPath) Total() time.Duration {
	total := time.Duration(0)
	for _, duration := range c.Phases() {
		total += duration
	}
	return total
}

// PhaseNames holds the names of the phases of a critical path, in order.
var PhaseNames = [...]string{
	"submit", "weights", "queue", "prompt", "tokens", "paused", "stalled", "reward", "list", "read",
}

// Phases returns the durations of the phases in the order of PhaseNames.
func (c *CriticalPath) Phases() [len(PhaseNames)]time.Duration {
	return [...]time.Duration{c.Submit, c.Weights, c.Queue, c.Prompt, c.Tokens, c.Paused, c.Stalled, c.Reward, c.List, c.Read}
}

// decidingResult finds the result that completed the last group that the trainer of a
// step waited for.
type decidingResult struct {
	completeGroups int
	line           Line
	found          bool
}

// record takes the next result of the step; wanted is the number of groups that the trainer
// waits for. A group that an earlier step submitted is always waited for, however many
// others are complete.
func (d *decidingResult) record(line Line, wanted int) {
	_, hasGroup := line.Fields["group_open"]
	if hasGroup && line.Fields.Int("group_open") > 0 {
		return
	}
	d.completeGroups++
	if !hasGroup || d.completeGroups <= wanted || line.Fields.Bool("carried") {
		d.line, d.found = line, true
	}
}

// criticalPath splits the duration of a step that has ended, given the line of its
// deciding result.
func (s *Step) criticalPath(deciding Line) CriticalPath {
	fields := deciding.Fields
	started, completed, scored := timeBefore(deciding, "started_ms_ago"), timeBefore(deciding, completedField(deciding)), timeBefore(deciding, "scored_ms_ago")
	path := CriticalPath{
		ItemID: fields.String("item_id"), Events: fields.Int("events"), ExpectedTokens: fields.Int("expected_tokens"), Runs: fields.Int("runs"),
		Submit: s.SubmitDuration, Prompt: durationField(fields, "prompt_ms"), Paused: durationField(fields, "paused_ms"),
		Stalled: durationField(fields, "stalled_ms"),
	}
	previous := s.Submitted
	next := func(until time.Time) time.Duration {
		if until.Before(previous) {
			return 0
		}
		duration := until.Sub(previous)
		previous = until
		return duration
	}
	path.Weights = next(s.FirstStart)
	path.Queue = next(started)
	path.Tokens = next(completed) - path.Prompt - path.Paused - path.Stalled
	path.Reward = next(scored)
	path.List = next(deciding.Time)
	path.Read = next(s.Ended)
	return path
}

func durationField(fields Fields, name string) time.Duration {
	return time.Duration(fields.Int(name)) * time.Millisecond
}

// MeanCriticalPath returns the mean critical path of the steps that have ended, and the
// number of these steps.
func MeanCriticalPath(steps []Step) (mean CriticalPath, ended int) {
	var sums [len(PhaseNames)]time.Duration
	for i := range steps {
		if steps[i].CriticalPath == nil {
			continue
		}
		ended++
		for phase, duration := range steps[i].CriticalPath.Phases() {
			sums[phase] += duration
		}
	}
	if ended == 0 {
		return CriticalPath{}, 0
	}
	for phase := range sums {
		sums[phase] /= time.Duration(ended)
	}
	return CriticalPath{
		Submit: sums[0], Weights: sums[1], Queue: sums[2], Prompt: sums[3], Tokens: sums[4], Paused: sums[5],
		Stalled: sums[6], Reward: sums[7], List: sums[8], Read: sums[9],
	}, ended
}
