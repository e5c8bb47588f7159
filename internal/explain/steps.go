package explain

import (
	"cmp"
	"slices"
	"time"

	"github.com/pathbend/pathbend/internal/event"
)

// Step is the way of one batch job from its submission to its end, as the lines of
// all nodes show it. A moment that no line shows is the zero time.
type Step struct {
	JobID  string
	Model  string
	Number int
	Items  int
	// Asked is when the job was kept, FirstStart and LastStart when items were sent
	// to samplers.
	Asked      time.Time
	FirstStart time.Time
	LastStart  time.Time
	// LastCompleted, LastScored and LastListed are those of the item that was listed
	// last before the end.
	LastCompleted time.Time
	LastScored    time.Time
	LastListed    time.Time
	// Ended is when the trainer ended the job.
	Ended time.Time
	// Starts counts runs, Listed results.
	Starts int
	Listed int
	// Last is the item that was listed last, Events its length and Sampler where its
	// text ended.
	Last    string
	Events  int
	Sampler string
	// Submit is how long the node took to keep the job, Wanted the number of groups that
	// the trainer waits for, 0 if no line tells.
	Submit time.Duration
	Wanted int
	// Chain splits the time of a step that ended, nil for others.
	Chain *Chain

	decider     decider
	listedItems map[string]struct{}
}

// Steps returns the batch jobs that lines tell of, by model and submission.
func Steps(lines []Line) []Step {
	byJob := make(map[string]*Step)
	for _, line := range lines {
		id := line.Fields.Text("job_id")
		if id == "" {
			continue
		}
		step := byJob[id]
		if step == nil {
			step = &Step{JobID: id}
			byJob[id] = step
		}
		step.take(line)
	}
	var steps []Step
	for _, step := range byJob {
		if !step.Asked.IsZero() {
			steps = append(steps, *step)
		}
	}
	slices.SortFunc(steps, func(a, b Step) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), a.Asked.Compare(b.Asked), cmp.Compare(a.JobID, b.JobID))
	})
	return steps
}

// take records one line about the job.
func (s *Step) take(line Line) {
	switch line.Number {
	case event.BatchSubmitted:
		if s.Asked.IsZero() {
			s.Asked = line.Time
		}
		s.Model, s.Number, s.Items = line.Fields.Text("model"), line.Fields.Count("step"), line.Fields.Count("items")
		s.Wanted, s.Submit = line.Fields.Count("wanted_groups"), milliseconds(line.Fields, "took_ms")
	case event.ItemStarted:
		if s.FirstStart.IsZero() {
			s.FirstStart = line.Time
		}
		s.LastStart = line.Time
		s.Starts++
	case event.ItemListed:
		if s.Ended.IsZero() {
			s.listed(line)
		}
	case event.BatchEnded:
		if s.Ended.IsZero() {
			s.Ended = line.Time
			if s.decider.found {
				split := s.chain(s.decider.line)
				s.Chain = &split
			}
		}
	}
}

func (s *Step) listed(line Line) {
	item := line.Fields.Text("item_id")
	if s.listedItems == nil {
		s.listedItems = make(map[string]struct{})
	}
	if _, again := s.listedItems[item]; again {
		// A former executor that is back in touch reads the same results.
		return
	}
	s.listedItems[item] = struct{}{}
	s.Listed++
	s.decider.take(line, s.Wanted)
	s.LastListed = line.Time
	s.LastCompleted = ago(line, completedField(line))
	s.LastScored = ago(line, "scored_ms_ago")
	s.Last, s.Events, s.Sampler = item, line.Fields.Count("events"), line.Fields.Text("sampler")
}

// completedField is the name under which a line tells when the text was complete.
// Releases before December 2026 had another.
func completedField(line Line) string {
	const current, former = "completed_ms_ago", "whole_ms_ago"
	if _, old := line.Fields[former]; old {
		return former
	}
	return current
}

// ago returns the moment that a line tells as milliseconds before it, the zero time
// if it does not know.
func ago(line Line, field string) time.Time {
	passed := line.Fields.Count(field)
	if passed < 0 {
		return time.Time{}
	}
	return line.Time.Add(-time.Duration(passed) * time.Millisecond)
}

// After returns how long after the submission a moment was, -1 if it is not known.
func (s *Step) After(moment time.Time) time.Duration {
	if moment.IsZero() {
		return -1
	}
	return moment.Sub(s.Asked)
}
