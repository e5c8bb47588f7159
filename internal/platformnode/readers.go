package platformnode

import (
	"context"
	"sync"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/fanout"
	"github.com/pathbend/pathbend/internal/sharedlog"
	"github.com/pathbend/pathbend/internal/topicreader"
	"github.com/pathbend/pathbend/internal/wait"
)

// maxPlanAge is the largest age of a plan while the directory does not change. The plan is
// renewed because entries of nodes that are gone expire without a change.
const maxPlanAge = 5 * time.Second

// readers determines from the directory which nodes read the samplers' entries, the operator's
// documents and the jobs' records on behalf of the others.
type readers struct {
	node *Node

	mutex     sync.Mutex
	plan      fanout.Plan
	plannedAt time.Time
	// changes is the change count of the directory at which the plan was made.
	changes uint64
	// readAll is set while this node needs every entry although it does not read for others.
	readAll bool
}

// Plan returns this node's current part in the reading: whether it reads for others, and from
// whom it gets entries otherwise.
func (r *readers) Plan() fanout.Plan {
	now := time.Now()
	changes := r.node.directory.ChangeCount()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if changes != r.changes || now.Sub(r.plannedAt) > maxPlanAge {
		settings := &r.node.settings
		r.plan = fanout.NewPlan(settings.Sharing, settings.Name, settings.Zone, r.node.directory.Responders())
		r.changes, r.plannedAt = changes, now
	}
	return r.plan
}

// SetReadAll makes this node read the entries of all services, or only those it needs for
// requests.
func (r *readers) SetReadAll(readAll bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.readAll = readAll
}

// requiredGroups returns the services whose samplers this node needs: those to which requests
// of clients and reward calls may go. The executor needs all services.
func (r *readers) requiredGroups() fanout.Groups {
	r.mutex.Lock()
	readAll := r.readAll
	r.mutex.Unlock()
	current := r.node.Catalog()
	if readAll || current == nil {
		return fanout.All()
	}
	return fanout.Only(current.RequestServices()...)
}

// IsCandidate implements ownership.Preparation: if some nodes read for the others, these are
// the candidates for the jobs, as they already have the list of samplers.
func (r *readers) IsCandidate() (isCandidate bool, candidates int) {
	plan := r.Plan()
	return plan.ReadsLog, plan.Readers
}

// Ready implements ownership.Preparation: it returns false while this node has the entries of
// some services only.
func (r *readers) Ready() bool { return !r.node.samplerFeed.Partial() }

// Prepare and Release implement ownership.Preparation: the executor needs the entries of all
// services.
func (r *readers) Prepare() { r.SetReadAll(true) }
func (r *readers) Release() { r.SetReadAll(false) }

// Topics are the keyed topics that nodes read on behalf of each other.
type Topics struct {
	// Samplers is the topic of the samplers' entries. ServiceOf returns the service of an
	// entry, empty if the entry is not one of a sampler.
	Samplers  string
	ServiceOf func(sharedlog.KeyedRecord) string
	// Operator is the topic of the operator's documents.
	Operator string
}

// createFeeds creates the feeds through which this node reads the topics, and the server that
// passes their entries to other nodes.
func (n *Node) createFeeds(topics Topics) {
	shared := topicreader.Config{
		Log: n.log, Plan: n.readers.Plan, Caller: n.peers, Counter: n.metrics, Logger: n.logger,
		Limits: n.logLimits(), ExtraLatency: n.log.ExtraLatency,
	}
	samplers, operator := shared, shared
	samplers.Topic, samplers.GroupOf, samplers.RequiredGroups = topics.Samplers, topics.serviceOf, n.readers.requiredGroups
	operator.Topic, operator.GroupOf, operator.RequiredGroups = topics.Operator, ungrouped, fanout.All
	// Routes are small, and no request can be served without them.
	operator.SkipReaderWait = true
	n.samplerFeed, n.operatorFeed = topicreader.New(samplers), topicreader.New(operator)
	n.entryServer = topicreader.NewServer(n.samplerFeed, n.operatorFeed)
}

// logLimits returns what the log serves to all nodes together.
func (n *Node) logLimits() fanout.LogLimits {
	return fanout.LogLimits{BytesPerSecond: n.settings.ReadBytesPerSecond, ReadsPerSecond: n.settings.ReadsPerSecond}
}

// serviceOf calls ServiceOf if it is set; otherwise entries have no service.
func (t Topics) serviceOf(record sharedlog.KeyedRecord) string {
	if t.ServiceOf == nil {
		return ""
	}
	return t.ServiceOf(record)
}

// nodesPollInterval is the interval between checks whether all nodes are known. At 20 ms,
// 985 nodes would wake up 49,000 times a second.
const nodesPollInterval = 100 * time.Millisecond

// AwaitNodes waits until the directory has settled, if nodes accept calls of each other. If
// many nodes start at once, each would otherwise read all samplers itself before it knows of
// the others: 246 nodes that did so kept the log busy for 8 s.
func (n *Node) AwaitNodes(ctx context.Context) {
	for n.settings.acceptsPeerCalls() && !n.directory.LikelyComplete() && wait.For(ctx, nodesPollInterval) {
	}
}

// ungrouped puts all records of a topic into one group.
func ungrouped(sharedlog.KeyedRecord) string { return "" }

// SamplerFeed returns the feed of the samplers' entries.
func (n *Node) SamplerFeed() *topicreader.Feed { return n.samplerFeed }

// OperatorFeed returns the feed of the operator's documents.
func (n *Node) OperatorFeed() *topicreader.Feed { return n.operatorFeed }

// peerHandler dispatches calls of other nodes: reads of entries to the feeds' server, reads of
// the jobs' records to their feed, all others to the worker.
type peerHandler struct{ node *Node }

// HandlePeer implements peer.Handler.
func (h peerHandler) HandlePeer(ctx context.Context, call *pathbendv1.Envelope) (*pathbendv1.Envelope, error) {
	switch body := call.Body.(type) {
	case *pathbendv1.Envelope_ReadEntries:
		answer, err := h.node.entryServer.Serve(ctx, body.ReadEntries)
		if err != nil {
			return nil, err
		}
		return &pathbendv1.Envelope{Body: &pathbendv1.Envelope_EntryBatch{EntryBatch: answer}}, nil
	case *pathbendv1.Envelope_ReadLogRecords:
		answer, err := h.node.jobs.feed.Serve(ctx, body.ReadLogRecords)
		if err != nil {
			return nil, err
		}
		return &pathbendv1.Envelope{Body: &pathbendv1.Envelope_LogRecordBatch{LogRecordBatch: answer}}, nil
	}
	return h.node.worker.HandlePeer(ctx, call)
}
