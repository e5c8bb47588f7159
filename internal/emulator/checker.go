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
	// RequestID is the caller's own id of the request.
	RequestID      string
	IdempotencyKey string
	Tenant         string
	Path           string
	// Leaving is set if the back end was leaving when it received the request.
	Leaving bool
	At      time.Time
}

// Outcome is the result of a request as its caller saw it.
type Outcome struct {
	RequestID  string
	AtMostOnce bool
	// Err is the reported failure; nil if the request was answered.
	Err *client.Error
	// Body is the received answer, WantBody the correct one.
	Body     string
	WantBody string
}

// Checker is the test oracle: it records what happened outside of pathbend and
// checks the invariants. It is safe for concurrent use.
type Checker struct {
	// TraceWriter receives a line for every observation; nil for none. It must
	// be set before the first observation.
	TraceWriter io.Writer
	// ExecutionsUnobserved is set if executions are not recorded because they
	// happen in other processes. Of application requests, only the contents of
	// answers are checked then.
	ExecutionsUnobserved bool

	mutex sync.Mutex
	// executions holds the executions by the caller's request id, versions the
	// number of samples by tenant and oldest version, staleness how many versions
	// each sample was behind, by tenant.
	executions   map[string][]Execution
	outcomes     []Outcome
	leavingSince map[string]time.Time
	violations   []string
	traceDigest  xxhash.Digest
	samples      int
	versions     map[string]map[uint64]int
	staleness    map[string][]uint64
	// crashing holds the requests that crash their back end or engine, by path
	// or prompt.
	crashing     map[string]*crashingRequest
	crashingRuns CrashingRuns
}

// NewChecker returns a Checker without observations.
func NewChecker() *Checker {
	return &Checker{
		executions: make(map[string][]Execution), leavingSince: make(map[string]time.Time),
		versions: make(map[string]map[uint64]int), staleness: make(map[string][]uint64),
		crashing: make(map[string]*crashingRequest),
	}
}

// writeTrace adds an observation and its time to the trace. The caller holds
// c.mutex.
func (c *Checker) writeTrace(format string, arguments ...any) {
	line := fmt.Sprintf("%d ", time.Now().UnixNano()) + fmt.Sprintf(format, arguments...) + "\n"
	_, _ = c.traceDigest.WriteString(line) // never fails
	if c.TraceWriter != nil {
		_, _ = io.WriteString(c.TraceWriter, line)
	}
}

// TraceHash returns a hash of all observations and their times. Equal hashes mean
// that two simulated runs took the same course.
func (c *Checker) TraceHash() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.traceDigest.Sum64()
}

// RecordExecution records that a back end ran a request. A run by a back end that
// began to leave more than LeavePropagationLimit ago is a violation.
func (c *Checker) RecordExecution(execution Execution) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writeTrace("run %s at %s", execution.RequestID, execution.BackEnd)
	c.executions[execution.RequestID] = append(c.executions[execution.RequestID], execution)
	if since, ok := c.leavingSince[execution.BackEnd]; ok && execution.At.Sub(since) > LeavePropagationLimit {
		c.addViolation("back end %s received a new request %v after it began to leave", execution.BackEnd, execution.At.Sub(since))
	}
}

// LeavePropagationLimit is how long a leaving back end may still receive new
// requests.
const LeavePropagationLimit = 3 * time.Second

// RecordLeaving records when a back end began to leave.
func (c *Checker) RecordLeaving(backEnd string, at time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leavingSince[backEnd] = at
}

// RecordOutcome records the result of a request as its caller saw it.
func (c *Checker) RecordOutcome(outcome Outcome) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.outcomes = append(c.outcomes, outcome)
	c.writeTrace("answer %s %v", outcome.RequestID, outcome.Err)
}

// ReportViolation records a violation that was detected elsewhere.
func (c *Checker) ReportViolation(format string, arguments ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.addViolation(format, arguments...)
}

func (c *Checker) addViolation(format string, arguments ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, arguments...))
}

// RecordSample checks a sample that a trainer received while at trainerVersion
// against the freshness bound and the versions of its tokens.
func (c *Checker) RecordSample(tenant string, sample *client.Sample, trainerVersion, maxVersions uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.samples++
	c.writeTrace("sample %s %d %v", tenant, sample.Slot, sample.Segments)
	c.checkSegments(tenant, sample)
	oldest := oldestVersion(sample.Tokens)
	if oldest+maxVersions < trainerVersion {
		c.addViolation("%s: slot %d has a token of version %d, but the trainer is at version %d and the bound is %d", tenant, sample.Slot, oldest, trainerVersion, maxVersions)
	}
	c.staleness[tenant] = append(c.staleness[tenant], trainerVersion-min(oldest, trainerVersion))
	if c.versions[tenant] == nil {
		c.versions[tenant] = make(map[uint64]int)
	}
	c.versions[tenant][oldest]++
}

// checkSegments compares the versions that a sample states for its tokens with
// those that generated them: an emulated engine writes its version into each
// token. The caller holds c.mutex.
func (c *Checker) checkSegments(tenant string, sample *client.Sample) {
	covered := 0
	for _, segment := range sample.Segments {
		if segment.From != covered || segment.To > len(sample.Tokens) || segment.To <= segment.From {
			c.addViolation("%s: slot %d has invalid segments %v for %d tokens", tenant, sample.Slot, sample.Segments, len(sample.Tokens))
			return
		}
		for index := segment.From; index < segment.To; index++ {
			if generatedBy := tokenVersion(sample.Tokens[index]); generatedBy != segment.Version {
				c.addViolation("%s: slot %d token %d is labelled with version %d but was generated by version %d", tenant, sample.Slot, index, segment.Version, generatedBy)
				return
			}
		}
		covered = segment.To
	}
	if covered != len(sample.Tokens) || covered == 0 {
		c.addViolation("%s: slot %d states versions for %d of %d tokens", tenant, sample.Slot, covered, len(sample.Tokens))
	}
}

// oldestVersion returns the lowest version that generated any of the tokens; 0 if
// there are none.
func oldestVersion(tokens []string) uint64 {
	var oldest uint64
	for i, token := range tokens {
		if version := tokenVersion(token); i == 0 || version < oldest {
			oldest = version
		}
	}
	return oldest
}

// tokenText returns the token at a position as generated by a version.
func tokenText(index int, version uint64) string { return fmt.Sprintf("t%d.%d ", index, version) }

// tokenVersion returns the version that generated a token.
func tokenVersion(token string) uint64 {
	var version uint64
	_, after, _ := strings.Cut(token, ".")
	_, _ = fmt.Sscanf(after, "%d", &version)
	return version
}

// CheckInvariants checks the outcomes of all application requests and returns
// these violations and all earlier ones, sorted.
func (c *Checker) CheckInvariants() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	found := slices.Clone(c.violations)
	for _, outcome := range c.outcomes {
		found = append(found, c.checkOutcome(outcome)...)
	}
	slices.Sort(found)
	return found
}

// checkOutcome compares a request's outcome with its executions and returns the
// violations. The caller holds c.mutex.
func (c *Checker) checkOutcome(outcome Outcome) []string {
	var found []string
	if outcome.Err == nil && outcome.Body != outcome.WantBody {
		found = append(found, fmt.Sprintf("request %s was answered with %q instead of %q", outcome.RequestID, outcome.Body, outcome.WantBody))
	}
	if c.ExecutionsUnobserved {
		return found
	}
	runs := len(c.executions[outcome.RequestID])
	if outcome.AtMostOnce && runs > 1 {
		found = append(found, fmt.Sprintf("request %s may run at most once but ran %d times", outcome.RequestID, runs))
	}
	switch {
	case outcome.Err == nil && runs == 0:
		found = append(found, fmt.Sprintf("request %s was answered but never ran", outcome.RequestID))
	case outcome.Err != nil && outcome.Err.Run == client.NotRun && runs > 0:
		found = append(found, fmt.Sprintf("request %s was reported as not run but ran %d times: %v", outcome.RequestID, runs, outcome.Err))
	}
	return found
}

// Summary holds the counts of all observations. Refusals are counted by code and
// name; Versions counts samples by tenant and their oldest token's version;
// Staleness holds, by tenant, how many versions each sample was behind.
type Summary struct {
	Requests   int                       `json:"requests"`
	Answered   int                       `json:"answered"`
	Executions int                       `json:"executions"`
	Samples    int                       `json:"samples"`
	Refusals   map[string]int            `json:"refusals"`
	Versions   map[string]map[uint64]int `json:"versions"`
	Staleness  map[string][]uint64       `json:"-"`
}

// Summary returns the counts of the observations so far.
func (c *Checker) Summary() Summary {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	summary := Summary{
		Requests: len(c.outcomes), Samples: c.samples, Refusals: make(map[string]int),
		Versions: maps.Clone(c.versions), Staleness: maps.Clone(c.staleness),
	}
	for _, outcome := range c.outcomes {
		if outcome.Err == nil {
			summary.Answered++
			continue
		}
		summary.Refusals[fmt.Sprintf("%d %s", outcome.Err.Code, outcome.Err.Name)]++
	}
	for _, runs := range c.executions {
		summary.Executions += len(runs)
	}
	return summary
}
