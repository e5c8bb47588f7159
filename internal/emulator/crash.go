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

// crashes reports whether a request crashes the back end.
func (b *BackEnd) crashes(body []byte) bool {
	return b.Crash != nil && bytes.Contains(body, []byte(CrashMark))
}

// crashUnder runs a request that crashes the back end.
func (b *BackEnd) crashUnder(path string, service time.Duration) {
	b.truth.crashingRun(path)
	time.Sleep(service)
	if b.Crash() {
		b.truth.crashed(path)
	}
}

func (t *Truth) crashingRun(path string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.crashing[path] == nil {
		t.crashing[path] = &crashingRequest{}
	}
	t.crashingRuns.Runs++
	known := t.crashing[path]
	if known.crashes >= crashLimit && time.Since(known.thirdAt) > CrashKnownAfter {
		known.late++
		t.crashingRuns.Late++
	}
}

func (t *Truth) crashed(path string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.crashing[path]
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
