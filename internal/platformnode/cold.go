package platformnode

import (
	"math"
	"time"

	"github.com/pathbend/pathbend/internal/catalog"
	"github.com/pathbend/pathbend/internal/coldlimit"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/routing"
	"github.com/pathbend/pathbend/internal/schedule"
)

// coldLimits returns the limits of cold samplers by service, nil without a configuration.
func (n *Node) coldLimits() map[string]coldlimit.Limits {
	current := n.Catalog()
	if current == nil {
		return nil
	}
	limits := make(map[string]coldlimit.Limits, len(current.Services))
	for name := range current.Services {
		limits[name] = n.limitsOf(current, name)
	}
	return limits
}

func (n *Node) limitsOf(current *catalog.Catalog, service string) coldlimit.Limits {
	declared := current.Services[service]
	return coldlimit.NewLimits(declared.ColdDuration, declared.ColdRequestsPerSecond, n.settings.ColdFactor, n.settings.ColdSlack)
}

// requestLimits returns the limits of the requests of clients and reward calls that this node
// may send to a sampler. Warm samplers have no limit: they get requests from all nodes, and a
// single node cannot tell its own share. Cold samplers of models get none, as their budget
// belongs to the executor. Other cold samplers get this node's share of their limit.
func (n *Node) requestLimits(current *catalog.Catalog, sampler schedule.Sampler, nodes []string) coldlimit.Limits {
	limits := n.limitsOf(current, sampler.Service)
	limits.WarmPerSecond = math.MaxInt
	if len(current.Services[sampler.Service].Models) > 0 {
		limits.ColdPerSecond = 0
		return limits
	}
	limits.ColdPerSecond = routing.ColdBudgetShare(limits.ColdPerSecond, nodes, n.settings.Name, sampler.ID)
	return limits
}

// recordColdSamplers updates the metrics of cold samplers. It logs their number when it
// changes, and at intervals that work waits for them. The caller holds the lock.
func (e *executor) recordColdSamplers(now time.Time) {
	status := e.scheduler.Cold(now)
	e.node.metrics.recordCold(status)
	if status.Cold != e.lastColdCount {
		e.lastColdCount = status.Cold
		e.node.logger.Log(event.SamplersCold, "cold", status.Cold, "listed", status.Listed)
	}
	if status.AtLimit > 0 && now.Sub(e.coldWaitLoggedAt) >= coldWorkLogInterval {
		e.coldWaitLoggedAt = now
		e.node.logger.Log(event.ColdWorkWaits, "waiting", status.Waiting, "samplers", status.AtLimit, "cold", status.Cold)
	}
}

// coldWorkLogInterval is the minimum interval between log lines about work that waits for
// cold samplers.
const coldWorkLogInterval = time.Second
