package carry

import (
	"slices"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
)

// Reports are what a worker has to tell, kept until the caller has them. Its zero value is
// empty. It is not safe for concurrent use.
type Reports struct {
	last    uint64
	pending []*pathbendv1.CarryReport
}

// Add appends a report. The state of a run replaces an earlier one of the same run that
// still waits, so that reports do not pile up while the caller is slow.
func (r *Reports) Add(report *pathbendv1.CarryReport) {
	if state := report.GetRun(); state != nil {
		r.pending = slices.DeleteFunc(r.pending, func(other *pathbendv1.CarryReport) bool {
			return other.GetRun() != nil && other.GetRun().Run == state.Run
		})
	}
	r.last++
	report.Sequence = r.last
	r.pending = append(r.pending, report)
}

// Acknowledge drops the reports that the caller has.
func (r *Reports) Acknowledge(sequence uint64) {
	r.pending = slices.DeleteFunc(r.pending, func(report *pathbendv1.CarryReport) bool { return report.Sequence <= sequence })
}

// Pending are the reports that the caller may lack. The caller must not modify them.
func (r *Reports) Pending() []*pathbendv1.CarryReport { return slices.Clone(r.pending) }
