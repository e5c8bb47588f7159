package remoterun

import (
	"slices"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
)

// Reports holds a worker's reports until the executor has acknowledged them. The zero value is
// empty. It is not safe for concurrent use.
type Reports struct {
	// lastSequence is the sequence number of the latest report, 0 if there was none.
	lastSequence uint64
	pending      []*pathbendv1.CarryReport
}

// Add appends a report and sets its sequence number. The state of a run replaces a pending
// state of the same run, so that reports do not accumulate while the executor is slow.
func (r *Reports) Add(report *pathbendv1.CarryReport) {
	if state := report.GetRun(); state != nil {
		r.pending = slices.DeleteFunc(r.pending, func(other *pathbendv1.CarryReport) bool {
			return other.GetRun() != nil && other.GetRun().Run == state.Run
		})
	}
	r.lastSequence++
	report.Sequence = r.lastSequence
	r.pending = append(r.pending, report)
}

// Acknowledge removes the reports up to a sequence number, which the executor has received.
func (r *Reports) Acknowledge(sequence uint64) {
	r.pending = slices.DeleteFunc(r.pending, func(report *pathbendv1.CarryReport) bool { return report.Sequence <= sequence })
}

// Pending returns the reports that are not acknowledged, in order of their sequence numbers.
// The caller must not modify them.
func (r *Reports) Pending() []*pathbendv1.CarryReport { return slices.Clone(r.pending) }
