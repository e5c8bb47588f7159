package carry

import (
	"time"

	"github.com/pathbend/pathbend/internal/result"
)

// Session is one time that a node runs the batch jobs.
type Session struct {
	Decider string
	// Generation is that of its share of the jobs, which rises with every change.
	Generation uint64
	// ID is drawn for each session.
	ID uint64
}

// Admit reports whether a call of another session begins a new one at a worker that obeys
// this one, or returns an error if the call came from a node that was replaced.
func (s Session) Admit(call Session) (begins bool, err error) {
	switch {
	case call == s:
		return false, nil
	case call.Generation < s.Generation:
		return false, result.New(result.LeaseConflict, "%s decides since generation %d", s.Decider, s.Generation)
	}
	return true, nil
}

// wayMemory is for how long the quickest call counts at least, twice that at most: the
// clocks of two machines drift apart by up to 0.05 % (chosen; 10 ms in that time).
const wayMemory = 10 * time.Second

// Way tells how long calls of a session were held up, by their times of sending on the
// caller's clock and of arrival on the own one; the two need neither agree nor run quite
// alike. Its zero value has seen no call.
type Way struct {
	began time.Time
	// least is the smallest difference of the two clocks that was seen since renewedAt,
	// former that of the time before.
	least     time.Duration
	former    time.Duration
	renewedAt time.Time
}

// HeldUp returns how much longer a call was on its way than the quickest one of late. The
// calls before a pause count after it, however long it was.
func (w *Way) HeldUp(arrived time.Time, sent time.Duration) time.Duration {
	if w.began.IsZero() {
		w.began, w.renewedAt, w.least, w.former = arrived, arrived, -sent, -sent
	}
	passed := arrived.Sub(w.began) - sent
	if arrived.Sub(w.renewedAt) > wayMemory {
		w.former, w.least, w.renewedAt = w.least, passed, arrived
	}
	w.least = min(w.least, passed)
	return passed - min(w.least, w.former)
}
