// Package quota divides a tenant's request rate among the nodes by demand, without
// a central counter.
//
// Each tenant has an owner, the node that ranks first for it. Nodes that receive
// requests of the tenant report their demand to the owner at a fixed interval and
// get a share of the rate in return; nodes without demand send no report. The
// owner's state does no I/O and reads no clock. A node without a current share
// uses an equal part of the rate.
//
// Invariant: once every node with a current report has reported again, the
// shares granted to these nodes add up to at most the rate.
package quota

import "time"

const (
	// ReportInterval is the time between two reports of a node with demand.
	ReportInterval = 500 * time.Millisecond
	// ReportTTL is how long a report and the share granted for it are valid.
	ReportTTL = 3 * ReportInterval
)

// report is the newest demand of a node, in requests per second.
type report struct {
	demand     float64
	receivedAt time.Time
}

// Allocator holds the current reports for one tenant, by node, and divides the
// tenant's rate among them. It is not safe for concurrent use.
type Allocator struct {
	reports map[string]report
}

// NewAllocator returns an allocator without reports.
func NewAllocator() *Allocator { return &Allocator{reports: make(map[string]report)} }

// Report records a node's demand and returns its share of rate; all three are in
// requests per second. If the total demand reaches the rate, the rate is divided
// in proportion to demand. Otherwise every node gets its demand and an equal part
// of the remaining rate, so that its demand can grow.
func (a *Allocator) Report(now time.Time, node string, demand, rate float64) float64 {
	a.reports[node] = report{demand: demand, receivedAt: now}
	total := 0.0
	for id, latest := range a.reports {
		if now.Sub(latest.receivedAt) >= ReportTTL {
			delete(a.reports, id)
			continue
		}
		total += latest.demand
	}
	if total >= rate {
		return rate * demand / total
	}
	return demand + (rate-total)/float64(len(a.reports))
}

// ActiveNodes returns the number of nodes whose reports had not expired at the
// last call of Report.
func (a *Allocator) ActiveNodes() int { return len(a.reports) }

// Meter estimates a node's demand from its arrivals by exponential smoothing. The
// zero value has no demand.
type Meter struct {
	demand float64
}

// smoothingWeight is the weight of the latest interval in the smoothed demand.
const smoothingWeight = 0.5

// Observe records the number of arrivals in an interval and returns the smoothed
// demand in requests per second.
func (m *Meter) Observe(arrivals int, interval time.Duration) float64 {
	current := float64(arrivals) / interval.Seconds()
	m.demand += smoothingWeight * (current - m.demand)
	if m.demand < minDemand {
		m.demand = 0
	}
	return m.demand
}

// minDemand is the demand, in requests per second, below which a node counts as
// having none.
const minDemand = 0.05
