package hosted

import (
	"context"
	"sync"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/fanout"
	"github.com/pathbend/pathbend/internal/feed"
	"github.com/pathbend/pathbend/internal/sharedlog"
	"github.com/pathbend/pathbend/internal/wait"
)

// maxPlanAge is how old a plan may be while the directory does not change: entries of nodes
// that are gone run out (chosen).
const maxPlanAge = 5 * time.Second

// readers tells which nodes read the samplers' entries for the others, by the directory.
type readers struct {
	node *Node

	mutex     sync.Mutex
	plan      fanout.Plan
	plannedAt time.Time
	changes   uint64
	// readAll is set while this node needs every entry although it does not read for others.
	readAll bool
}

// Plan returns what this node does now.
func (r *readers) Plan() fanout.Plan {
	now := time.Now()
	changes := r.node.directory.Changes()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if changes != r.changes || now.Sub(r.plannedAt) > maxPlanAge {
		settings := &r.node.settings
		r.plan = fanout.Make(settings.Sharing, settings.Name, settings.Zone, r.node.directory.Answering())
		r.changes, r.plannedAt = changes, now
	}
	return r.plan
}

// SetReadAll makes this node read every entry, or leave that again.
func (r *readers) SetReadAll(whole bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.readAll = whole
}

// wanted returns the services whose samplers this node needs: those to which requests of
// clients and reward calls may go. Who executes needs all.
func (r *readers) wanted() fanout.Groups {
	r.mutex.Lock()
	whole := r.readAll
	r.mutex.Unlock()
	current := r.node.Catalog()
	if whole || current == nil {
		return fanout.All()
	}
	return fanout.Only(current.RequestServices()...)
}

// Candidate implements ownership.Candidacy: where some nodes read for the others, they stand
// for the jobs, as they have the list of samplers already.
func (r *readers) Candidate() (stands bool, candidates int) {
	plan := r.Plan()
	return plan.Reads, plan.Readers
}

// Able implements ownership.Candidacy.
func (r *readers) Able() bool { return !r.node.samplerFeed.Partial() }

// Prepare and Release implement ownership.Candidacy: who executes needs every entry.
func (r *readers) Prepare() { r.SetReadAll(true) }
func (r *readers) Release() { r.SetReadAll(false) }

// Topics are the keyed topics that nodes read for each other.
type Topics struct {
	// Samplers holds the samplers' entries; ServiceOf names the service of one, empty if it
	// names no sampler.
	Samplers  string
	ServiceOf func(sharedlog.KeyedRecord) string
	// Operator holds what the operator writes.
	Operator string
}

// createFeeds makes the feeds through which topics are read.
func (n *Node) createFeeds(topics Topics) {
	shared := feed.Config{
		Log: n.log, Plan: n.readers.Plan, Caller: n.peers, Counts: n.metrics, Logger: n.logger,
	}
	samplers, operator := shared, shared
	samplers.Topic, samplers.GroupOf, samplers.Wanted = topics.Samplers, topics.serviceOf, n.readers.wanted
	operator.Topic, operator.GroupOf, operator.Wanted = topics.Operator, ungrouped, fanout.All
	// Routes are small, and nothing is served without them.
	operator.Hurried = true
	n.samplerFeed, n.operatorFeed = feed.New(samplers), feed.New(operator)
	n.entries = feed.NewServer(n.samplerFeed, n.operatorFeed)
}

// serviceOf names the service of a sampler's entry.
func (t Topics) serviceOf(record sharedlog.KeyedRecord) string {
	if t.ServiceOf == nil {
		return ""
	}
	return t.ServiceOf(record)
}

// nodesPollInterval is the pause between two looks whether all nodes are known (chosen; 985 nodes
// that look each 20 ms wake up 49,000 times a second, worked out).
const nodesPollInterval = 100 * time.Millisecond

// AwaitNodes waits until it is known which nodes there are, as far as they tell. Where many
// start at once, each would follow all samplers itself before it knows of any other: 246
// nodes that did so kept the log busy for 8 s.
func (n *Node) AwaitNodes(ctx context.Context) {
	for n.settings.takesCalls() && !n.directory.Settled() && wait.For(ctx, nodesPollInterval) {
	}
}

func ungrouped(sharedlog.KeyedRecord) string { return "" }

// SamplerFeed returns what the samplers' entries are read through, OperatorFeed what the
// operator's documents are.
func (n *Node) SamplerFeed() *feed.Feed  { return n.samplerFeed }
func (n *Node) OperatorFeed() *feed.Feed { return n.operatorFeed }

// peerHandler hands calls of other nodes to whoever they are for.
type peerHandler struct{ node *Node }

// HandlePeer implements peer.Handler.
func (c peerHandler) HandlePeer(ctx context.Context, call *pathbendv1.Envelope) (*pathbendv1.Envelope, error) {
	question := call.GetReadEntries()
	if question == nil {
		return c.node.worker.HandlePeer(ctx, call)
	}
	answer, err := c.node.entries.Answer(ctx, question)
	if err != nil {
		return nil, err
	}
	return &pathbendv1.Envelope{Body: &pathbendv1.Envelope_EntryBatch{EntryBatch: answer}}, nil
}
