package platformnode

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pathbend/pathbend/internal/event"
)

// LogRoute is the way by which a call reached the log service. Its values are metric labels.
type LogRoute string

// Ways to the log service: from this node for itself, from this node for a peer, and through a
// peer for this node.
const (
	LogDirect  LogRoute = "direct"
	LogForPeer LogRoute = "for_peer"
	LogRelayed LogRoute = "relayed"
)

// LogOutcome is how a call to the log service ended. Its values are metric labels.
type LogOutcome string

// Outcomes of calls to the log service.
const (
	// LogAnswered is an answer with success or one that holds at every node.
	LogAnswered LogOutcome = "answered"
	// LogRefused is an answer that the service gave instead of executing the call.
	LogRefused LogOutcome = "refused"
	// LogUnsent is a call that was certainly not made.
	LogUnsent LogOutcome = "unsent"
	// LogTimedOut is a call without an answer within its time.
	LogTimedOut LogOutcome = "timed_out"
	// LogCanceled is a call whose answer was no longer wanted, since another one came first.
	LogCanceled LogOutcome = "canceled"
	// LogBroken is a call whose connection ended before its answer.
	LogBroken LogOutcome = "broken"
)

// failed reports whether a call got no useful answer that its caller still wanted.
func (o LogOutcome) failed() bool { return o != LogAnswered && o != LogCanceled }

// LogCall describes one call to the log service that has ended.
type LogCall struct {
	// Operation is the kind of the call, Topic its topic or group.
	Operation, Topic string
	Route            LogRoute
	Outcome          LogOutcome
	// Bytes is the size of the answer.
	Bytes int
	// Hold is how long the service was asked to wait for a record, Took the duration of the
	// call.
	Hold, Took time.Duration
}

// logCallWindow is the period that one summary of calls covers.
const logCallWindow = time.Second

// logCallSummary collects the calls to the log service of one window and logs a summary of
// a window in which calls failed. It is safe for concurrent use.
type logCallSummary struct {
	logger *event.Logger

	mutex     sync.Mutex
	startedAt time.Time
	failed    int
	kinds     map[logCallKind]*logCallTotals
}

// logCallKind identifies calls that are counted together.
type logCallKind struct {
	operation, topic string
	route            LogRoute
}

// logCallTotals are the totals of one kind of calls, as they appear in the log.
type logCallTotals struct {
	Call      string `json:"call"`
	Answered  int    `json:"answered"`
	Refused   int    `json:"refused,omitempty"`
	Unsent    int    `json:"unsent,omitempty"`
	TimedOut  int    `json:"timed_out,omitempty"`
	Canceled  int    `json:"canceled,omitempty"`
	Broken    int    `json:"broken,omitempty"`
	Bytes     int    `json:"bytes"`
	SlowestMS int64  `json:"slowest_ms"`
}

func newLogCallSummary(logger *event.Logger) *logCallSummary {
	return &logCallSummary{logger: logger, kinds: make(map[logCallKind]*logCallTotals)}
}

// add adds a call that ended at a given time. If the window is over, it logs and starts a new
// one.
func (s *logCallSummary) add(call LogCall, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if elapsed := now.Sub(s.startedAt); elapsed >= logCallWindow {
		s.finish(elapsed)
		s.startedAt = now
	}
	kind := logCallKind{operation: call.Operation, topic: call.Topic, route: call.Route}
	totals := s.kinds[kind]
	if totals == nil {
		totals = &logCallTotals{Call: call.Operation + " " + call.Topic + " " + string(call.Route)}
		s.kinds[kind] = totals
	}
	totals.add(call)
	if call.Outcome.failed() {
		s.failed++
	}
}

// finish logs the window if calls failed in it, and clears it. The caller holds the lock.
func (s *logCallSummary) finish(elapsed time.Duration) {
	if s.failed > 0 {
		calls := make([]logCallTotals, 0, len(s.kinds))
		for _, totals := range s.kinds {
			calls = append(calls, *totals)
		}
		slices.SortFunc(calls, func(a, b logCallTotals) int { return strings.Compare(a.Call, b.Call) })
		s.logger.Log(event.LogCallsFailed, "failed", s.failed, "window_ms", elapsed.Milliseconds(), "calls", calls)
	}
	s.failed = 0
	clear(s.kinds)
}

func (t *logCallTotals) add(call LogCall) {
	switch call.Outcome {
	case LogAnswered:
		t.Answered++
	case LogRefused:
		t.Refused++
	case LogUnsent:
		t.Unsent++
	case LogTimedOut:
		t.TimedOut++
	case LogCanceled:
		t.Canceled++
	case LogBroken:
		t.Broken++
	}
	t.Bytes += call.Bytes
	t.SlowestMS = max(t.SlowestMS, (call.Took - call.Hold).Milliseconds())
}

// RecordLogCall records a call to the log service that has ended.
func (m *Metrics) RecordLogCall(call LogCall) {
	m.logCalls.WithLabelValues(call.Operation, call.Topic, string(call.Route), string(call.Outcome)).Inc()
	m.logCallBytes.WithLabelValues(call.Operation, call.Topic).Add(float64(call.Bytes))
	if call.Hold == 0 {
		m.logCallDuration.WithLabelValues(string(call.Route)).Observe(call.Took.Seconds())
	}
	m.logCallSummary.add(call, time.Now())
}
