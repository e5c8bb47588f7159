package routing

import (
	"time"

	"github.com/pathbend/pathbend/internal/coldlimit"
)

// Endpoint is an engine or a back end, as seen by this node.
type Endpoint struct {
	ID string
	// StartedAtMs is the start time of the endpoint's current incarnation in Unix
	// milliseconds, 0 if it reports none.
	StartedAtMs int64
	Address     string
	Zone        string
	Pool        string
	// Leaving is set once any source reports that the endpoint accepts no new work. It is
	// never cleared.
	Leaving bool
	// Evacuated is set while the endpoint's zone is evacuated.
	Evacuated bool
	// InFlight is the number of requests that this node has in progress at the endpoint.
	InFlight int
	// Report is the latest load report. ReportedAt is its time, zero if there is none.
	Report     LoadReport
	ReportedAt time.Time
	// SentSinceReport is the number of requests that this node started since it applied
	// Report.
	SentSinceReport int
	// Latency is an exponential moving average of the time to a complete answer, 0 until there
	// was one.
	Latency time.Duration
	// Warmup limits the requests that this node sends while the endpoint is cold.
	Warmup coldlimit.Budget

	// observedVersions are the weight versions last observed in answer streams, by model.
	observedVersions map[string]observedVersion

	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
}

// observedVersion is a weight version observed in an answer stream.
type observedVersion struct {
	version uint64
	at      time.Time
}

// versionObservationTTL is how long an engine is skipped after it was observed or reported to
// serve an older weight version than requested.
const versionObservationTTL = time.Second

// LoadReport is the load that an engine reports about itself. It lags behind the actual load.
type LoadReport struct {
	Running  int
	Waiting  int
	Capacity int
	// Versions maps each model to the weight version that the engine serves.
	Versions map[string]uint64
}

const (
	// failuresToEject is the number of consecutive failures after which an endpoint is
	// ejected.
	failuresToEject = 3
	// baseEjectionDuration is the duration of the first ejection. It doubles with each ejection
	// that follows without a success in between, up to maxEjectionDuration.
	baseEjectionDuration = time.Second
	maxEjectionDuration  = 30 * time.Second
	// latencySmoothingDivisor divides the difference of a new observation from the moving
	// average.
	latencySmoothingDivisor = 8
)

// Load estimates the number of requests at the endpoint: the lagging report plus the requests
// that this node sent since, but at least those that it has in flight. Without a report
// only the requests in flight count, because earlier ones may have completed.
func (e *Endpoint) Load() int {
	if e.ReportedAt.IsZero() {
		return e.InFlight
	}
	return max(e.InFlight, e.Report.Running+e.Report.Waiting+e.SentSinceReport)
}

// Ejected reports whether the endpoint is currently avoided after consecutive failures.
func (e *Endpoint) Ejected(now time.Time) bool { return now.Before(e.ejectedUntil) }

// AttemptStarted records that an attempt was assigned to the endpoint.
func (e *Endpoint) AttemptStarted() {
	e.InFlight++
	e.SentSinceReport++
}

// AttemptSucceeded records an attempt that was answered completely, and its latency. It
// resets the failure and ejection counts.
func (e *Endpoint) AttemptSucceeded(latency time.Duration) {
	e.InFlight--
	e.consecutiveFailures = 0
	e.ejections = 0
	if e.Latency == 0 {
		e.Latency = latency
		return
	}
	e.Latency += (latency - e.Latency) / latencySmoothingDivisor
}

// AttemptReleased records an attempt whose end says nothing about the endpoint's health, such
// as one that the caller cancelled.
func (e *Endpoint) AttemptReleased() { e.InFlight-- }

// AttemptFailed records a failed attempt and reports whether it caused the endpoint's
// ejection.
func (e *Endpoint) AttemptFailed(now time.Time) bool {
	e.InFlight--
	e.consecutiveFailures++
	if e.consecutiveFailures < failuresToEject {
		return false
	}
	e.consecutiveFailures = 0
	e.ejectedUntil = now.Add(min(baseEjectionDuration<<min(e.ejections, 10), maxEjectionDuration))
	e.ejections++
	return true
}

// RecordVersion records the weight version of a model that the endpoint was observed to
// generate with.
func (e *Endpoint) RecordVersion(model string, version uint64, at time.Time) {
	if e.observedVersions == nil {
		e.observedVersions = make(map[string]observedVersion)
	}
	e.observedVersions[model] = observedVersion{version: version, at: at}
}

// mayServe reports whether the endpoint may generate with at least the minimum weight version.
// Older observations and reports may be out of date and do not rule an endpoint out; the
// versions in the answer stream are authoritative.
func (e *Endpoint) mayServe(model string, minimum uint64, now time.Time) bool {
	observed, reported := e.observedVersions[model], e.Report.Versions[model]
	if observed.version >= minimum || reported >= minimum {
		return true
	}
	recent := now.Sub(observed.at) < versionObservationTTL || now.Sub(e.ReportedAt) < versionObservationTTL
	return !recent
}

// ApplyReport records a load report and the time at which it was made.
func (e *Endpoint) ApplyReport(report LoadReport, at time.Time) {
	e.Report = report
	e.ReportedAt = at
	e.SentSinceReport = 0
}
