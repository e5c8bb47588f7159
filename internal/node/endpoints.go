package node

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/pathbend/pathbend/internal/config"
	"github.com/pathbend/pathbend/internal/fleet"
)

const (
	// loadInterval is how often an engine is asked for its load.
	loadInterval = 250 * time.Millisecond
	// freshReport is how old a load report may be to count as an answer.
	freshReport = 2 * time.Second
)

// pollEnginesLoop asks the engines of all configured pools for their load.
func (n *Node) pollEnginesLoop(ctx context.Context) {
	polls := &enginePolls{running: make(map[string]bool)}
	defer polls.group.Wait()
	every(ctx, loadInterval, func() {
		document, _ := n.Current()
		for _, pool := range enginePools(document) {
			for _, target := range n.fleet.Engines(pool) {
				polls.start(ctx, n, target)
			}
		}
	})
}

// enginePools lists the pools of all models, each once.
func enginePools(document *config.Document) []string {
	if document == nil {
		return nil
	}
	seen := make(map[string]bool)
	for _, tenant := range document.Tenants {
		for _, model := range tenant.Spec.Models {
			seen[model.Pool] = true
		}
	}
	return sortedKeys(seen)
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
			n.fleet.TakeLoad(target.ID, load, time.Now())
		}
		p.mutex.Lock()
		defer p.mutex.Unlock()
		delete(p.running, target.ID)
	})
}
