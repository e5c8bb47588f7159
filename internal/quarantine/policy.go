package quarantine

import "time"

// Policy defines how many back ends a request may crash before it is quarantined, and when
// it is tried again.
type Policy struct {
	// CrashLimit is the number of back-end crashes at which a request is quarantined.
	CrashLimit int
	// TrialDelays are the delays from the latest crash or trial to the next trial. The last
	// one repeats.
	TrialDelays []time.Duration
	// TrialTimeout is the retry delay of a request whose trial another node has claimed.
	TrialTimeout time.Duration
}

// CrashLimit is the number of back-end crashes at which a request is quarantined. One crash
// may be a coincidence, and two may be one node that took both back ends down. The service's
// requirements expect a request to be recognized at the third.
const CrashLimit = 3

const (
	// maxTrialDelay is the longest delay between trials: at one trial an hour a request
	// costs at most one back end an hour.
	maxTrialDelay = time.Hour
	// trialTimeout exceeds any deadline that clients set.
	trialTimeout = 30 * time.Second
)

// RequestPolicy returns the policy for client requests. Nodes learn of
// crashes seen by others within about 100 ms. The requirements allow three sends after nodes
// have had 3 s to learn of the third crash: two of them are trials, and one is left for nodes
// that have just started.
func RequestPolicy() Policy {
	return Policy{CrashLimit: CrashLimit, TrialDelays: []time.Duration{15 * time.Second, 2 * time.Minute, maxTrialDelay}, TrialTimeout: trialTimeout}
}

// trialDelay returns the delay before the next trial, given the number of trials so far or
// of crashes beyond the limit.
func (p Policy) trialDelay(trials int) time.Duration {
	return p.TrialDelays[min(trials, len(p.TrialDelays)-1)]
}
