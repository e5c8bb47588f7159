package emulator

import (
	"bytes"
	"time"
)

// CrashMark stands in the body of a request that crashes whatever back end runs it.
const CrashMark = "crashes its back end"

const (
	// crashLimit is the number of crashes after which a request is known for it.
	crashLimit = 3
	// CrashKnownAfter is how long nodes may take to learn that.
	CrashKnownAfter = 3 * time.Second
)

// crashingRequest is what back ends saw of a request that crashes them.
type crashingRequest struct {
	crashes int
	thirdAt time.Time
	late    int
}

// CrashingRuns counts runs of requests that crash their back ends.
type CrashingRuns struct {
	Runs int
	// Late are the runs that began after all nodes could know of the request.
	Late int
}

// Crasher ends the process of a back end or an engine under a request that has the CrashMark.
type Crasher struct {
	truth *Truth
	// end ends the process, and reports whether this request was the one to do so.
	end func() bool
}

// NewCrasher returns a crasher that records into truth.
func NewCrasher(truth *Truth, end func() bool) *Crasher { return &Crasher{truth: truth, end: end} }

// crashes reports whether a request ends the process. A nil crasher ends nothing.
func (c *Crasher) crashes(content []byte) bool {
	return c != nil && bytes.Contains(content, []byte(CrashMark))
}

// under runs a request, named by what its tries have in common, that ends the process after a
// time.
func (c *Crasher) under(request string, after time.Duration) {
	c.truth.crashingRun(request)
	time.Sleep(after)
	if c.end() {
		c.truth.crashed(request)
	}
}

func (t *Truth) crashingRun(request string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.crashing[request] == nil {
		t.crashing[request] = &crashingRequest{}
	}
	t.crashingRuns.Runs++
	known := t.crashing[request]
	if known.crashes >= crashLimit && time.Since(known.thirdAt) > CrashKnownAfter {
		known.late++
		t.crashingRuns.Late++
	}
}

func (t *Truth) crashed(request string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.crashing[request]
	known.crashes++
	if known.crashes == crashLimit {
		known.thirdAt = time.Now()
	}
}

// CrashingRuns returns how often requests ran that crash their back ends.
func (t *Truth) CrashingRuns() CrashingRuns {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.crashingRuns
}
