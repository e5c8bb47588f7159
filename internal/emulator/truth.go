package emulator

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pathbend/pathbend/client"
)

// Execution is one run of an application request at a back end.
type Execution struct {
	BackEnd string
	// Caller is the caller's own id of the request.
	Caller string
	Key    string
	Tenant string
	Path   string
	// Leaving is set if the back end had said before that it leaves.
	Leaving bool
	At      time.Time
}

// Outcome is what a caller was told of a request.
type Outcome struct {
	Caller     string
	AtMostOnce bool
	// Err is the failure; nil for an answer.
	Err *client.Error
	// Body and Want are the answer and the right one.
	Body string
	Want string
}

// Truth records what happened outside of pathbend and judges the invariants.
// It is safe for concurrent use.
type Truth struct {
	// Trace receives a line for every observation; nil for none. It is set
	// before the first.
	Trace io.Writer
	// Blind is set if the executions are not seen, as they happen in other
	// processes; only answers are judged then.
	Blind bool

	mutex      sync.Mutex
	executions map[string][]Execution
	outcomes   []Outcome
	leftAt     map[string]time.Time
	violations []string
	trace      xxhash.Digest
	samples    int
	versions   map[string]map[uint64]int
	staleness  map[string][]uint64
	// crashing holds, by path, the requests that crash their back ends.
	crashing     map[string]*crashingRequest
	crashingRuns CrashingRuns
}

// NewTruth returns an empty record.
func NewTruth() *Truth {
	return &Truth{
		executions: make(map[string][]Execution), leftAt: make(map[string]time.Time),
		versions: make(map[string]map[uint64]int), staleness: make(map[string][]uint64),
		crashing: make(map[string]*crashingRequest),
	}
}

// note adds an observation and its time to the trace.
func (t *Truth) note(format string, arguments ...any) {
	line := fmt.Sprintf("%d ", time.Now().UnixNano()) + fmt.Sprintf(format, arguments...) + "\n"
	_, _ = t.trace.WriteString(line) // never fails
	if t.Trace != nil {
		_, _ = io.WriteString(t.Trace, line)
	}
}

// TraceHash returns a hash of all observations and their times.
func (t *Truth) TraceHash() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.trace.Sum64()
}

// Executed records a run.
func (t *Truth) Executed(execution Execution) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.note("run %s at %s", execution.Caller, execution.BackEnd)
	t.executions[execution.Caller] = append(t.executions[execution.Caller], execution)
	if left, ok := t.leftAt[execution.BackEnd]; ok && execution.At.Sub(left) > LeaveLimit {
		t.violate("back end %s got new work %v after it began to leave", execution.BackEnd, execution.At.Sub(left))
	}
}

// LeaveLimit is how long a leaving back end may still receive new work.
const LeaveLimit = 3 * time.Second

// Leaving records that a back end began to leave.
func (t *Truth) Leaving(backEnd string, at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.leftAt[backEnd] = at
}

// Answered records what a caller was told.
func (t *Truth) Answered(outcome Outcome) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.outcomes = append(t.outcomes, outcome)
	t.note("answer %s %v", outcome.Caller, outcome.Err)
}

// Violate records a violation that an observer saw by itself.
func (t *Truth) Violate(format string, arguments ...any) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.violate(format, arguments...)
}

func (t *Truth) violate(format string, arguments ...any) {
	t.violations = append(t.violations, fmt.Sprintf(format, arguments...))
}

// Received records a sample that a trainer took, with the trainer's version.
func (t *Truth) Received(tenant string, sample *client.Sample, trainerVersion, maxVersions uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.samples++
	t.note("sample %s %d %v", tenant, sample.Slot, sample.Segments)
	t.checkSegments(tenant, sample)
	oldest := trueOldest(sample.Tokens)
	if oldest+maxVersions < trainerVersion {
		t.violate("%s: slot %d has a token of version %d, the trainer is at %d and the bound is %d", tenant, sample.Slot, oldest, trainerVersion, maxVersions)
	}
	t.staleness[tenant] = append(t.staleness[tenant], trainerVersion-min(oldest, trainerVersion))
	if t.versions[tenant] == nil {
		t.versions[tenant] = make(map[uint64]int)
	}
	t.versions[tenant][oldest]++
}

// checkSegments compares the versions that a sample names with those that its
// tokens carry: an emulated engine writes into each token what made it.
func (t *Truth) checkSegments(tenant string, sample *client.Sample) {
	covered := 0
	for _, segment := range sample.Segments {
		if segment.From != covered || segment.To > len(sample.Tokens) || segment.To <= segment.From {
			t.violate("%s: slot %d has segments %v for %d tokens", tenant, sample.Slot, sample.Segments, len(sample.Tokens))
			return
		}
		for at := segment.From; at < segment.To; at++ {
			if made := versionOfToken(sample.Tokens[at]); made != segment.Version {
				t.violate("%s: slot %d token %d names version %d, version %d made it", tenant, sample.Slot, at, segment.Version, made)
				return
			}
		}
		covered = segment.To
	}
	if covered != len(sample.Tokens) || covered == 0 {
		t.violate("%s: slot %d names versions for %d of %d tokens", tenant, sample.Slot, covered, len(sample.Tokens))
	}
}

func trueOldest(tokens []string) uint64 {
	var oldest uint64
	for i, token := range tokens {
		if version := versionOfToken(token); i == 0 || version < oldest {
			oldest = version
		}
	}
	return oldest
}

// tokenText is the token at a position, made by a version.
func tokenText(index int, version uint64) string { return fmt.Sprintf("t%d.%d ", index, version) }

func versionOfToken(token string) uint64 {
	var version uint64
	_, after, _ := strings.Cut(token, ".")
	_, _ = fmt.Sscanf(after, "%d", &version)
	return version
}

// Judge checks the application requests and returns every violation found.
func (t *Truth) Judge() []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	found := slices.Clone(t.violations)
	for _, outcome := range t.outcomes {
		found = append(found, t.judgeOutcome(outcome)...)
	}
	slices.Sort(found)
	return found
}

func (t *Truth) judgeOutcome(outcome Outcome) []string {
	var found []string
	if outcome.Err == nil && outcome.Body != outcome.Want {
		found = append(found, fmt.Sprintf("request %s got %q for %q", outcome.Caller, outcome.Body, outcome.Want))
	}
	if t.Blind {
		return found
	}
	runs := len(t.executions[outcome.Caller])
	if outcome.AtMostOnce && runs > 1 {
		found = append(found, fmt.Sprintf("request %s may run at most once and ran %d times", outcome.Caller, runs))
	}
	switch {
	case outcome.Err == nil && runs == 0:
		found = append(found, fmt.Sprintf("request %s was answered and never ran", outcome.Caller))
	case outcome.Err != nil && outcome.Err.Run == client.NotRun && runs > 0:
		found = append(found, fmt.Sprintf("request %s was said not to have run and ran %d times: %v", outcome.Caller, runs, outcome.Err))
	}
	return found
}

// Summary counts what was observed.
type Summary struct {
	Requests   int                       `json:"requests"`
	Answered   int                       `json:"answered"`
	Executions int                       `json:"executions"`
	Samples    int                       `json:"samples"`
	Refusals   map[string]int            `json:"refusals"`
	Versions   map[string]map[uint64]int `json:"versions"`
	Staleness  map[string][]uint64       `json:"-"`
}

// Summary returns the counts so far.
func (t *Truth) Summary() Summary {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	summary := Summary{
		Requests: len(t.outcomes), Samples: t.samples, Refusals: make(map[string]int),
		Versions: maps.Clone(t.versions), Staleness: maps.Clone(t.staleness),
	}
	for _, outcome := range t.outcomes {
		if outcome.Err == nil {
			summary.Answered++
			continue
		}
		summary.Refusals[fmt.Sprintf("%d %s", outcome.Err.Code, outcome.Err.Name)]++
	}
	for _, runs := range t.executions {
		summary.Executions += len(runs)
	}
	return summary
}
