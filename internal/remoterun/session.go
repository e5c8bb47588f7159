package remoterun

import (
	"time"

	"github.com/pathbend/pathbend/internal/result"
)

// Session identifies a period in which one node is the executor of a share of the batch jobs.
type Session struct {
	Executor string
	// Generation is the generation of that share. It increases with every change of the share's
	// assignment.
	Generation uint64
	// ID is a random number that tells sessions of one generation apart.
	ID uint64
}

// Admit reports whether a call begins a new session at a worker whose session is s. It returns
// result.LeaseConflict if the call comes from an executor that has been replaced.
func (s Session) Admit(call Session) (begins bool, err error) {
	switch {
	case call == s:
		return false, nil
	case call.Generation < s.Generation:
		return false, result.New(result.LeaseConflict, "%s has been the executor since generation %d", s.Executor, s.Generation)
	}
	return true, nil
}

// baselineWindow is the minimum time for which the fastest call remains the baseline, and half
// of the maximum. The clocks of two machines may drift apart by up to 0.05 %, which is 10 ms
// within that maximum.
const baselineWindow = 10 * time.Second

// DelayEstimator estimates by how much the calls of a session were delayed, from their send
// times on the caller's clock and their arrival times on the local one. The clocks may differ by
// any offset, and may drift slowly. The zero value has observed no call.
type DelayEstimator struct {
	// firstArrival is the arrival time of the first call, from which transit times are counted.
	firstArrival time.Time
	// minimum is the least transit time, up to a constant offset, since windowStart;
	// previousMinimum is that of the window before.
	minimum         time.Duration
	previousMinimum time.Duration
	windowStart     time.Time
}

// Delay returns how much longer a call was in transit than the fastest recent one. Calls before
// a pause remain the baseline after it, however long the pause was.
func (e *DelayEstimator) Delay(arrived time.Time, sent time.Duration) time.Duration {
	if e.firstArrival.IsZero() {
		e.firstArrival, e.windowStart, e.minimum, e.previousMinimum = arrived, arrived, -sent, -sent
	}
	transit := arrived.Sub(e.firstArrival) - sent
	if arrived.Sub(e.windowStart) > baselineWindow {
		e.previousMinimum, e.minimum, e.windowStart = e.minimum, transit, arrived
	}
	e.minimum = min(e.minimum, transit)
	return transit - min(e.minimum, e.previousMinimum)
}
