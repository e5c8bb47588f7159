package hosted

import (
	"math"
	"time"

	"github.com/pathbend/pathbend/internal/catalog"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/routing"
	"github.com/pathbend/pathbend/internal/schedule"
	"github.com/pathbend/pathbend/internal/warmup"
)

// coldLimits returns what the cold samplers of each service bear.
func (n *Node) coldLimits() map[string]warmup.Limits {
	current := n.Catalog()
	if current == nil {
		return nil
	}
	limits := make(map[string]warmup.Limits, len(current.Services))
	for name := range current.Services {
		limits[name] = n.limitsOf(current, name)
	}
	return limits
}

func (n *Node) limitsOf(current *catalog.Catalog, service string) warmup.Limits {
	declared := current.Services[service]
	return warmup.NewLimits(declared.ColdStart, declared.ColdPerSecond, n.settings.ColdOver, n.settings.ColdSlack)
}

// requestLimits returns what this node may send a sampler as requests of clients and
// reward calls. Warm samplers have no bound: their requests come from all nodes, and what
// one may send to each cannot be told from here. Cold model samplers are the executor's.
func (n *Node) requestLimits(current *catalog.Catalog, sampler schedule.Sampler, nodes []string) warmup.Limits {
	limits := n.limitsOf(current, sampler.Service)
	limits.Warm = math.MaxInt
	if len(current.Services[sampler.Service].Models) > 0 {
		limits.Cold = 0
		return limits
	}
	limits.Cold = routing.ColdShare(limits.Cold, nodes, n.settings.Name, sampler.ID)
	return limits
}

// noteCold tells, at a change, how many samplers are cold. It is called under the lock.
func (e *executor) noteCold(now time.Time) {
	status := e.scheduler.Cold(now)
	e.node.metrics.recordCold(status)
	if status.Cold != e.coldBefore {
		e.coldBefore = status.Cold
		e.node.logger.Log(event.SamplersCold, "cold", status.Cold, "listed", status.Listed)
	}
	if status.Kept > 0 && now.Sub(e.coldToldAt) >= coldWorkLogInterval {
		e.coldToldAt = now
		e.node.logger.Log(event.ColdWorkWaits, "waiting", status.Waiting, "samplers", status.Kept, "cold", status.Cold)
	}
}

// coldWorkLogInterval is how often work that waits for cold samplers is told of.
const coldWorkLogInterval = time.Second
