package carry

import "github.com/pathbend/pathbend/internal/result"

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
