package routing

import (
	"time"

	"github.com/pathbend/pathbend/internal/warmup"
)

// Endpoint is one engine or back end.
type Endpoint struct {
	ID string
	// Born is the start of its incarnation, in Unix milliseconds, 0 if it does not tell.
	Born    int64
	Address string
	Zone    string
	Pool    string
	// Leaving is set once the endpoint accepts no new work, from whichever
	// source said so first. It is never cleared.
	Leaving bool
	// Evacuated is set while the endpoint's zone is evacuated.
	Evacuated bool
	// InFlight is the work that this node has at the endpoint.
	InFlight int
	// Report is the last load report; ReportedAt is zero if there is none.
	Report     LoadReport
	ReportedAt time.Time
	// SentSinceReport is the work started here since the report was made.
	SentSinceReport int
	// Latency is a moving average of the time to a complete answer.
	Latency time.Duration
	// Warmup bounds what this node sends while the endpoint is cold.
	Warmup warmup.Budget

	// seenVersions are the versions seen on streams, by model.
	seenVersions map[string]seenVersion

	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
}

// seenVersion is a weight version seen on a stream.
type seenVersion struct {
	version uint64
	at      time.Time
}

// versionMemory is how long an engine is passed over after it was found to
// serve an older version than wanted.
const versionMemory = time.Second

// LoadReport is what an engine tells of itself. It lags.
type LoadReport struct {
	Running  int
	Waiting  int
	Capacity int
	// Versions maps a model to the weight version that is served.
	Versions map[string]uint64
}

const (
	// failuresToEject is how many failures in a row make an endpoint avoided.
	failuresToEject = 3
	// ejectBase doubles with every ejection in a row up to ejectMax.
	ejectBase = time.Second
	ejectMax  = 30 * time.Second
	// latencyWeight is the share of a new observation in the moving average.
	latencyWeight = 8
)

// Load is the estimated work at the endpoint: the lagging report corrected by
// what this node sent since, and never below what it has in flight. Without a
// report, what was sent long ago says nothing of the work that is there now.
func (e *Endpoint) Load() int {
	if e.ReportedAt.IsZero() {
		return e.InFlight
	}
	return max(e.InFlight, e.Report.Running+e.Report.Waiting+e.SentSinceReport)
}

// Ejected reports whether the endpoint is avoided after failures.
func (e *Endpoint) Ejected(now time.Time) bool { return now.Before(e.ejectedUntil) }

// Started records that an attempt went to the endpoint.
func (e *Endpoint) Started() {
	e.InFlight++
	e.SentSinceReport++
}

// Succeeded records a complete answer.
func (e *Endpoint) Succeeded(latency time.Duration) {
	e.InFlight--
	e.consecutiveFailures = 0
	e.ejections = 0
	if e.Latency == 0 {
		e.Latency = latency
		return
	}
	e.Latency += (latency - e.Latency) / latencyWeight
}

// Released records an attempt that ended without telling about the endpoint's
// health, such as one that the caller cancelled.
func (e *Endpoint) Released() { e.InFlight-- }

// Failed records a failed attempt and reports whether the endpoint is ejected
// by it.
func (e *Endpoint) Failed(now time.Time) bool {
	e.InFlight--
	e.consecutiveFailures++
	if e.consecutiveFailures < failuresToEject {
		return false
	}
	e.consecutiveFailures = 0
	e.ejectedUntil = now.Add(min(ejectBase<<min(e.ejections, 10), ejectMax))
	e.ejections++
	return true
}

// NoteVersion records the version that the endpoint was seen to generate with.
func (e *Endpoint) NoteVersion(model string, version uint64, at time.Time) {
	if e.seenVersions == nil {
		e.seenVersions = make(map[string]seenVersion)
	}
	e.seenVersions[model] = seenVersion{version: version, at: at}
}

// serves reports whether the endpoint can make tokens of at least a version,
// as far as is known. What was seen or reported long ago may have changed, and
// the versions on the stream decide in the end.
func (e *Endpoint) serves(model string, minimum uint64, now time.Time) bool {
	seen, reported := e.seenVersions[model], e.Report.Versions[model]
	if seen.version >= minimum || reported >= minimum {
		return true
	}
	recent := now.Sub(seen.at) < versionMemory || now.Sub(e.ReportedAt) < versionMemory
	return !recent
}

// Reported records a load report made at a time.
func (e *Endpoint) Reported(report LoadReport, at time.Time) {
	e.Report = report
	e.ReportedAt = at
	e.SentSinceReport = 0
}
