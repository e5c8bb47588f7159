package quarantine

import "time"

// Policy says how often back ends may end under a request, and when it is tried again.
type Policy struct {
	// Ends is how many back ends may end under a request before it is held.
	Ends int
	// Pauses are the times from the last end, or the last trial, to the next trial; the last
	// one repeats.
	Pauses []time.Duration
	// Trial is how long a trial is waited for before another one may begin.
	Trial time.Duration
}

// Ends is how many back ends may end under a request: one may be chance, two may be a node
// that took both down, and the users' rules know a request by the third.
const Ends = 3

const (
	// lastPause is the last of all pauses: a trial an hour costs one back end an hour (chosen).
	lastPause = time.Hour
	// trialTime is longer than any deadline that clients give.
	trialTime = 30 * time.Second
)

// Requests returns the policy for requests of clients and reward calls. A node hears of the
// others' ends within some 100 ms; the users allow three sends after nodes had 3 s to hear of
// the third end, of which two are trials and one is left to nodes that have just started.
func Requests() Policy {
	return Policy{Ends: Ends, Pauses: []time.Duration{15 * time.Second, 2 * time.Minute, lastPause}, Trial: trialTime}
}

// Items returns the policy for items of batch jobs. Several run beside each other at one
// sampler, so that an item may stand beside the cause more often, and only one node starts
// them: it tries again sooner. The first trial comes within the 3 s after the third end that
// the users leave to nodes, the two others are sends after it.
func Items() Policy {
	return Policy{Ends: Ends, Pauses: []time.Duration{time.Second, 4 * time.Second, 8 * time.Second, lastPause}, Trial: trialTime}
}

// pause returns the time before the next trial after a number of trials, or of ends beyond
// the limit.
func (p Policy) pause(trials int) time.Duration {
	return p.Pauses[min(trials, len(p.Pauses)-1)]
}
