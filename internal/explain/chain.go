package explain

import (
	"time"
)

// Chain splits the time of a step along the item that decided it: the one whose result
// made the last group whole that the trainer waited for. The parts follow each other and
// add up to the time from the submission's arrival to the end of the job. A part that no
// line shows is zero and counts in the next.
type Chain struct {
	// Item is the item that decided, Events the length of its text and Expected the
	// caller's guess of its tokens, Runs how often it was sent to a sampler.
	Item     string
	Events   int
	Expected int
	Runs     int
	// Submit is the time that the node took to keep the job, Weights that to the first
	// start of any of its items, Queue from then to the start of this one.
	Submit  time.Duration
	Weights time.Duration
	Queue   time.Duration
	// Prompt, Paused and Stalled are as in schedule.Spent; Tokens is the rest of the time
	// to the complete text.
	Prompt  time.Duration
	Paused  time.Duration
	Stalled time.Duration
	Tokens  time.Duration
	// Reward is the time of the reward call, List from there to the place in the log,
	// Read from there to the end of the job.
	Reward time.Duration
	List   time.Duration
	Read   time.Duration
}

// Total is the sum of the parts.
func (c *Chain) Total() time.Duration {
	total := time.Duration(0)
	for _, part := range c.Parts() {
		total += part
	}
	return total
}

// ChainParts names the parts of a chain in order.
var ChainParts = [...]string{
	"submit", "weights", "queue", "prompt", "tokens", "paused", "stalled", "reward", "list", "read",
}

// Parts returns the parts in the order of ChainParts.
func (c *Chain) Parts() [len(ChainParts)]time.Duration {
	return [...]time.Duration{c.Submit, c.Weights, c.Queue, c.Prompt, c.Tokens, c.Paused, c.Stalled, c.Reward, c.List, c.Read}
}

// decider follows the listings of a step to the one that made it whole.
type decider struct {
	whole int
	line  Line
	found bool
}

// take records a listing; wanted is the number of groups that the trainer waits for. A
// group that an earlier step brought is waited for whichever others are whole.
func (d *decider) take(line Line, wanted int) {
	_, told := line.Fields["group_open"]
	if told && line.Fields.Count("group_open") > 0 {
		return
	}
	d.whole++
	if !told || d.whole <= wanted || line.Fields.Flag("carried") {
		d.line, d.found = line, true
	}
}

// chain splits the time of a step that ended.
func (s *Step) chain(decided Line) Chain {
	fields := decided.Fields
	started, completed, scored := ago(decided, "started_ms_ago"), ago(decided, completedField(decided)), ago(decided, "scored_ms_ago")
	split := Chain{
		Item: fields.Text("item_id"), Events: fields.Count("events"), Expected: fields.Count("expected_tokens"), Runs: fields.Count("runs"),
		Submit: s.Submit, Prompt: milliseconds(fields, "prompt_ms"), Paused: milliseconds(fields, "paused_ms"),
		Stalled: milliseconds(fields, "stalled_ms"),
	}
	moment := s.Asked
	next := func(until time.Time) time.Duration {
		if until.Before(moment) {
			return 0
		}
		passed := until.Sub(moment)
		moment = until
		return passed
	}
	split.Weights = next(s.FirstStart)
	split.Queue = next(started)
	split.Tokens = next(completed) - split.Prompt - split.Paused - split.Stalled
	split.Reward = next(scored)
	split.List = next(decided.Time)
	split.Read = next(s.Ended)
	return split
}

func milliseconds(fields Fields, name string) time.Duration {
	return time.Duration(fields.Count(name)) * time.Millisecond
}

// Means returns the mean chain of the steps that ended, and their number.
func Means(steps []Step) (mean Chain, ended int) {
	var sums [len(ChainParts)]time.Duration
	for i := range steps {
		if steps[i].Chain == nil {
			continue
		}
		ended++
		for part, length := range steps[i].Chain.Parts() {
			sums[part] += length
		}
	}
	if ended == 0 {
		return Chain{}, 0
	}
	for part := range sums {
		sums[part] /= time.Duration(ended)
	}
	return Chain{
		Submit: sums[0], Weights: sums[1], Queue: sums[2], Prompt: sums[3], Tokens: sums[4], Paused: sums[5],
		Stalled: sums[6], Reward: sums[7], List: sums[8], Read: sums[9],
	}, ended
}
