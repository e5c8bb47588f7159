package explain

import (
	"cmp"
	"slices"
	"time"

	"github.com/pathbend/pathbend/internal/event"
)

// Step holds the times of a batch job, a training step, from its submission to its end
// according to the log lines of all nodes. A time that no line shows is zero.
type Step struct {
	JobID     string
	Model     string
	Number    int
	ItemCount int
	// Submitted is when the job was stored; FirstStart and LastStart are when its first
	// and last items were sent to samplers.
	Submitted  time.Time
	FirstStart time.Time
	LastStart  time.Time
	// LastCompleted, LastScored and LastResult are the times at which the last item that
	// got a result before the end of the job was complete, scored and had its result in
	// the log.
	LastCompleted time.Time
	LastScored    time.Time
	LastResult    time.Time
	// Ended is when the trainer ended the job.
	Ended time.Time
	// RunCount is the number of runs, ResultCount the number of items with a result.
	RunCount    int
	ResultCount int
	// LastItem is the last item that got a result, LastItemEvents the length of its
	// text and LastItemSampler the sampler that completed it.
	LastItem        string
	LastItemEvents  int
	LastItemSampler string
	// SubmitDuration is the time that the node took to store the job. WantedGroups is the
	// number of groups that the trainer waits for, 0 if no line shows it.
	SubmitDuration time.Duration
	WantedGroups   int
	// CriticalPath splits the duration of a step that has ended; nil for other steps.
	CriticalPath *CriticalPath

	decidingResult  decidingResult
	itemsWithResult map[string]struct{}
}

// Steps returns the batch jobs whose submission the lines show, sorted by model and
// submission time.
func Steps(lines []Line) []Step {
	byJob := make(map[string]*Step)
	for _, line := range lines {
		id := line.Fields.String("job_id")
		if id == "" {
			continue
		}
		step := byJob[id]
		if step == nil {
			step = &Step{JobID: id}
			byJob[id] = step
		}
		step.record(line)
	}
	var steps []Step
	for _, step := range byJob {
		if !step.Submitted.IsZero() {
			steps = append(steps, *step)
		}
	}
	slices.SortFunc(steps, func(a, b Step) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), a.Submitted.Compare(b.Submitted), cmp.Compare(a.JobID, b.JobID))
	})
	return steps
}

// record records one line about the job.
func (s *Step) record(line Line) {
	switch line.Number {
	case event.BatchSubmitted:
		if s.Submitted.IsZero() {
			s.Submitted = line.Time
		}
		s.Model, s.Number, s.ItemCount = line.Fields.String("model"), line.Fields.Int("step"), line.Fields.Int("items")
		s.WantedGroups, s.SubmitDuration = line.Fields.Int("wanted_groups"), durationField(line.Fields, "took_ms")
	case event.ItemStarted:
		if s.FirstStart.IsZero() {
			s.FirstStart = line.Time
		}
		s.LastStart = line.Time
		s.RunCount++
	case event.ItemListed:
		if s.Ended.IsZero() {
			s.recordResult(line)
		}
	case event.BatchEnded:
		if s.Ended.IsZero() {
			s.Ended = line.Time
			if s.decidingResult.found {
				path := s.criticalPath(s.decidingResult.line)
				s.CriticalPath = &path
			}
		}
	}
}

func (s *Step) recordResult(line Line) {
	item := line.Fields.String("item_id")
	if s.itemsWithResult == nil {
		s.itemsWithResult = make(map[string]struct{})
	}
	if _, listed := s.itemsWithResult[item]; listed {
		// A former executor that regains contact reads the same results again.
		return
	}
	s.itemsWithResult[item] = struct{}{}
	s.ResultCount++
	s.decidingResult.record(line, s.WantedGroups)
	s.LastResult = line.Time
	s.LastCompleted = timeBefore(line, completedField(line))
	s.LastScored = timeBefore(line, "scored_ms_ago")
	s.LastItem, s.LastItemEvents, s.LastItemSampler = item, line.Fields.Int("events"), line.Fields.String("sampler")
}

// completedField returns the name of the field that holds the time at which the text was
// complete. Earlier releases wrote it as whole_ms_ago.
func completedField(line Line) string {
	const current, former = "completed_ms_ago", "whole_ms_ago"
	if _, isFormer := line.Fields[former]; isFormer {
		return former
	}
	return current
}

// timeBefore returns the time that a field of a line gives in milliseconds before the
// line's own time, zero if the field is negative, which stands for unknown.
func timeBefore(line Line, field string) time.Time {
	elapsed := line.Fields.Int(field)
	if elapsed < 0 {
		return time.Time{}
	}
	return line.Time.Add(-time.Duration(elapsed) * time.Millisecond)
}

// SinceSubmission returns the time from the submission to a moment, -1 ns if the moment
// is zero.
func (s *Step) SinceSubmission(moment time.Time) time.Duration {
	if moment.IsZero() {
		return -1
	}
	return moment.Sub(s.Submitted)
}
