package node

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/pathbend/pathbend/internal/fleet"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// pollsPerSecond is the rate at which a node requests load reports. It does not
	// depend on the size of the pools, so that the control traffic of a node does not
	// grow with them.
	pollsPerSecond = 8
	pollInterval   = time.Second / pollsPerSecond
	// demandWindow is the time for which a pool is polled after this node last
	// requested an engine of it.
	demandWindow = 10 * time.Second
	// reportAgeFloor is the smallest value of maxReportAge.
	reportAgeFloor = 2 * time.Second
	// maxReportAgeRounds is the value of maxReportAge for large pools, in rounds of
	// polling of the pool.
	maxReportAgeRounds = 3
)

// pollEnginesLoop requests the load reports that this node needs, one engine after the
// other: those of engines in pools that it places generations on, and of models whose
// weight lease it holds.
func (n *Node) pollEnginesLoop(ctx context.Context) {
	polls := &enginePolls{running: make(map[string]bool)}
	defer polls.group.Wait()
	next := 0
	wait.Every(ctx, pollInterval, func() {
		engines := n.enginesToPoll()
		if len(engines) == 0 {
			return
		}
		polls.start(ctx, n, engines[next%len(engines)])
		next++
	})
}

// enginesToPoll returns the engines whose load reports this node needs.
func (n *Node) enginesToPoll() []fleet.Engine {
	document, _ := n.Current()
	if document == nil {
		return nil
	}
	pools := make(map[string]bool)
	for _, tenant := range document.Tenants {
		for _, model := range tenant.Spec.Models {
			holdsLease := n.lease(leaseName(tenant.Name, model.Name)).Holder == n.id
			if holdsLease || n.fleet.InDemand(model.Pool, demandWindow) {
				pools[model.Pool] = true
			}
		}
	}
	var engines []fleet.Engine
	for _, pool := range sortedKeys(pools) {
		engines = append(engines, n.fleet.Engines(pool)...)
	}
	return engines
}

// maxReportAge returns the age up to which a load report counts as an answer of its
// engine, by the number of engines in the pool.
func maxReportAge(poolSize int) time.Duration {
	return max(reportAgeFloor, maxReportAgeRounds*time.Duration(poolSize)*pollInterval)
}

// enginePolls limits the polls in progress to one per engine.
type enginePolls struct {
	mutex   sync.Mutex
	running map[string]bool
	group   conc.WaitGroup
}

// start polls an engine in the background unless a poll of it is in progress. The load is
// not recorded if the engine does not answer.
func (p *enginePolls) start(ctx context.Context, n *Node, target fleet.Engine) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.running[target.ID] {
		return
	}
	p.running[target.ID] = true
	p.group.Go(func() {
		load, err := n.engines.FetchLoad(ctx, target.Address)
		if err == nil {
			n.fleet.RecordLoad(target.ID, load, time.Now())
		}
		p.mutex.Lock()
		defer p.mutex.Unlock()
		delete(p.running, target.ID)
	})
}
