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
	// pollsPerSecond bounds the load reports that a node asks for, whatever the
	// size of its pools: the control traffic of a node must not grow with them.
	pollsPerSecond = 8
	pollInterval   = time.Second / pollsPerSecond
	// demandWindow is how long a pool is polled after the last generation that
	// this node placed on it.
	demandWindow = 10 * time.Second
	// minFreshReport is how old a load report may be at least to count as an
	// answer; with a large pool it may be as old as a few rounds of polling.
	minFreshReport = 2 * time.Second
	freshRounds    = 3
)

// pollEnginesLoop asks engines for their load in turn, as far as this node
// needs to know it: engines of pools that it places generations on, and of
// models whose weights it orders.
func (n *Node) pollEnginesLoop(ctx context.Context) {
	polls := &enginePolls{running: make(map[string]bool)}
	defer polls.group.Wait()
	next := 0
	wait.Every(ctx, pollInterval, func() {
		wanted := n.wantedEngines()
		if len(wanted) == 0 {
			return
		}
		polls.start(ctx, n, wanted[next%len(wanted)])
		next++
	})
}

// wantedEngines lists the engines whose load this node needs.
func (n *Node) wantedEngines() []fleet.Engine {
	document, _ := n.Current()
	if document == nil {
		return nil
	}
	pools := make(map[string]bool)
	for _, tenant := range document.Tenants {
		for _, model := range tenant.Spec.Models {
			ordered := n.lease(leaseName(tenant.Name, model.Name)).Holder == n.id
			if ordered || n.fleet.InDemand(model.Pool, demandWindow) {
				pools[model.Pool] = true
			}
		}
	}
	var wanted []fleet.Engine
	for _, pool := range sortedKeys(pools) {
		wanted = append(wanted, n.fleet.Engines(pool)...)
	}
	return wanted
}

// freshReport is how old a report of an engine may be in a pool of a size.
func freshReport(poolSize int) time.Duration {
	return max(minFreshReport, freshRounds*time.Duration(poolSize)*pollInterval)
}

// enginePolls keeps at most one poll per engine in progress.
type enginePolls struct {
	mutex   sync.Mutex
	running map[string]bool
	group   conc.WaitGroup
}

func (p *enginePolls) start(ctx context.Context, n *Node, target fleet.Engine) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.running[target.ID] {
		return
	}
	p.running[target.ID] = true
	p.group.Go(func() {
		load, err := n.engines.Load(ctx, target.Address)
		if err == nil {
			n.fleet.RecordLoad(target.ID, load, time.Now())
		}
		p.mutex.Lock()
		defer p.mutex.Unlock()
		delete(p.running, target.ID)
	})
}
