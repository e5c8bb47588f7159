// Package quota divides a tenant's rate over the nodes by demand, without a
// central counter.
//
// Each tenant has an owner, the node that ranks first for it. Nodes that see
// requests of the tenant report their demand to the owner every Interval and get
// a share; nodes without demand ask for nothing. Ledger is the owner's pure
// state. What a node may use while it has no share is its even part of the rate.
//
// Invariant: the shares handed out to nodes whose reports are fresh add up to
// the rate at most, whenever each of them has reported once more.
package quota

import "time"

const (
	// Interval is how often a node with demand reports.
	Interval = 500 * time.Millisecond
	// Lifetime is how long a report and a share count.
	Lifetime = 3 * Interval
)

type report struct {
	demand float64
	at     time.Time
}

// Ledger holds the fresh demands on one tenant's rate, in requests a second. It
// is not safe for concurrent use.
type Ledger struct {
	reports map[string]report
}

// NewLedger returns a ledger without reports.
func NewLedger() *Ledger { return &Ledger{reports: make(map[string]report)} }

// Report records a node's demand and returns its share of the rate. Under
// overload the rate is divided in proportion to demand; otherwise every node
// gets its demand and an equal part of what is left, so that demand can grow.
func (l *Ledger) Report(now time.Time, node string, demand, rate float64) float64 {
	l.reports[node] = report{demand: demand, at: now}
	total := 0.0
	for id, known := range l.reports {
		if now.Sub(known.at) >= Lifetime {
			delete(l.reports, id)
			continue
		}
		total += known.demand
	}
	if total >= rate {
		return rate * demand / total
	}
	return demand + (rate-total)/float64(len(l.reports))
}

// Active counts the nodes with fresh reports.
func (l *Ledger) Active() int { return len(l.reports) }

// Meter turns counts of arrivals into a smoothed demand.
type Meter struct {
	demand float64
}

// smoothing is the weight of the latest interval.
const smoothing = 0.5

// Observe records the arrivals of an interval and returns the demand in
// requests a second.
func (m *Meter) Observe(arrivals int, interval time.Duration) float64 {
	latest := float64(arrivals) / interval.Seconds()
	m.demand += smoothing * (latest - m.demand)
	if m.demand < idleDemand {
		m.demand = 0
	}
	return m.demand
}

// idleDemand is the demand below which a node counts as having none.
const idleDemand = 0.05
