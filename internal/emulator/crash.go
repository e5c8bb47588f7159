package emulator

import (
	"bytes"
	"time"
)

// CrashMarker in the body of a request, or in a prompt, crashes the back end or
// engine that runs it.
const CrashMarker = "crashes its back end"

// DuringCrashesMarker does the same in its first CrashesDuringWork runs.
const (
	DuringCrashesMarker = "runs while back ends crash"
	CrashesDuringWork   = 2 * crashLimit
)

const (
	// crashLimit is the number of crashes after which a request should be
	// quarantined.
	crashLimit = 3
	// CrashPropagationLimit is how long all nodes may take to learn that a request
	// has reached crashLimit.
	CrashPropagationLimit = 3 * time.Second
)

// crashingRequest records the runs of one request that crashes back ends or
// engines.
type crashingRequest struct {
	crashes        int
	limitReachedAt time.Time
	lateRuns       int
}

// CrashingRuns counts the runs of requests that crash their back end or engine.
type CrashingRuns struct {
	Runs int
	// LateRuns counts the runs that began later than CrashPropagationLimit after
	// the request reached crashLimit.
	LateRuns int
}

// Crasher terminates a back end or an engine when it runs a request that carries
// CrashMarker, or one of the first runs of a request that carries DuringCrashesMarker.
type Crasher struct {
	checker *Checker
	// terminate ends the process and reports whether this call did so, rather than
	// an earlier one.
	terminate func() bool
}

// NewCrasher returns a crasher that records runs and crashes in checker. terminate
// ends the process and reports whether this call did so, rather than an earlier
// one.
func NewCrasher(checker *Checker, terminate func() bool) *Crasher {
	return &Crasher{checker: checker, terminate: terminate}
}

// triggeredBy reports whether a run of a request with some content crashes the process.
// request identifies it across its attempts. It is false for a nil crasher.
func (c *Crasher) triggeredBy(request string, content []byte) bool {
	switch {
	case c == nil:
		return false
	case bytes.Contains(content, []byte(DuringCrashesMarker)):
		return c.checker.crashCount(request) < CrashesDuringWork
	}
	return bytes.Contains(content, []byte(CrashMarker))
}

// run runs a request that crashes the process after a delay. request identifies it
// across its attempts.
func (c *Crasher) run(request string, delay time.Duration) {
	c.checker.recordCrashingRun(request)
	time.Sleep(delay)
	if c.terminate() {
		c.checker.recordCrash(request)
	}
}

// recordCrashingRun counts a run, and counts it as late if all nodes have had time
// to quarantine the request.
func (c *Checker) recordCrashingRun(request string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.crashing[request] == nil {
		c.crashing[request] = &crashingRequest{}
	}
	c.crashingRuns.Runs++
	known := c.crashing[request]
	if known.crashes >= crashLimit && time.Since(known.limitReachedAt) > CrashPropagationLimit {
		known.lateRuns++
		c.crashingRuns.LateRuns++
	}
}

// crashCount returns how often a request has crashed a process.
func (c *Checker) crashCount(request string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if known := c.crashing[request]; known != nil {
		return known.crashes
	}
	return 0
}

// recordCrash counts a crash and records when the request reaches crashLimit.
func (c *Checker) recordCrash(request string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.crashing[request]
	known.crashes++
	if known.crashes == crashLimit {
		known.limitReachedAt = time.Now()
	}
}

// CrashingRuns returns how often requests ran that crash their back end or engine.
func (c *Checker) CrashingRuns() CrashingRuns {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.crashingRuns
}
