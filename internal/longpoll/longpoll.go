// Package longpoll decides how long the answer to a read of results is held although
// there are some.
//
// A caller that follows a job reads again half a second after its last read, and acts on
// what it read at its next one. Answered at once, it reads a few results each time, and
// the one that it waits for stays unread for up to that pause; the read after it starts
// the next step later still. So while the caller surely waits for more, its read is held
// for as long as it allows, and the result that it waits for goes out as it is listed.
//
// The package is pure.
package longpoll

import (
	"time"

	"github.com/pathbend/pathbend/internal/ledger"
)

// Read is a read of a job's results.
type Read struct {
	// From is the first position wanted.
	From int
	// Asked is when it arrived, Hold how long the caller lets it be held.
	Asked time.Time
	Hold  time.Duration
	// Due is when the results are wanted at the latest.
	Due time.Time
}

// Holds reports whether the answer is held although there are results.
func (r Read) Holds(job *ledger.Job, now time.Time) bool {
	return job.Open() && job.Undecided() && r.follows(job) && now.Before(r.until())
}

// follows reports whether the caller follows the job: it read what was listed before its
// last read. One that looks back gets its answer at once.
func (r Read) follows(job *ledger.Job) bool {
	return r.From < len(job.Results) && r.Asked.Sub(job.Results[r.From].ReadAt) <= r.Hold
}

// until is when the answer goes out at the latest.
func (r Read) until() time.Time {
	until := r.Asked.Add(r.Hold)
	if r.Due.Before(until) {
		return r.Due
	}
	return until
}
