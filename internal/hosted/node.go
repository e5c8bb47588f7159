package hosted

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/pathbend/pathbend/internal/catalog"
	"github.com/pathbend/pathbend/internal/directory"
	"github.com/pathbend/pathbend/internal/dispatch"
	"github.com/pathbend/pathbend/internal/election"
	"github.com/pathbend/pathbend/internal/evacuation"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/feed"
	"github.com/pathbend/pathbend/internal/fleet"
	"github.com/pathbend/pathbend/internal/metering"
	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/ownership"
	"github.com/pathbend/pathbend/internal/peer"
	"github.com/pathbend/pathbend/internal/schedule"
	"github.com/pathbend/pathbend/internal/sharedlog"
	"github.com/pathbend/pathbend/internal/wait"
)

// Ports are the node's doors to its surroundings.
type Ports struct {
	Network   network.Network
	Log       sharedlog.Log
	Group     sharedlog.Group
	Protocol  dispatch.Protocol
	Generator Generator
	Control   Control
	// Topics are the keyed topics that nodes read for each other.
	Topics Topics
	// Usage takes reports of usage; it may be nil where there are none.
	Usage metering.Sender
	// Scaler takes orders of samplers; it may be nil where there are none.
	Scaler Scaler
	// Score reads the proof of a reward call from its answer.
	Score func(*dispatch.Answer) (Scored, error)
}

// Node is a hosted node. It is safe for concurrent use.
type Node struct {
	settings   Settings
	ports      Ports
	log        *sharedlog.Measured
	logger     *event.Logger
	metrics    *Metrics
	fleet      *fleet.Fleet
	exchanger  *dispatch.Exchanger
	dispatcher *dispatch.Dispatcher
	directory  *directory.Directory
	jobs       *jobBook
	ownership  *ownership.Holder
	executor   *executor
	worker     *worker
	peers      *peer.Pool
	claims     *claims
	usage      *usage
	scaler     *scaler
	suspects   *suspects
	// readers tells who reads keyed topics for others, the feeds bring them to this node, and
	// entries brings them to others.
	readers      *readers
	samplerFeed  *feed.Feed
	operatorFeed *feed.Feed
	entries      *feed.Server

	// rejections bounds the lines about records that cannot be read.
	rejectionLimiter event.Limiter

	// fleetMutex keeps an older list of samplers from following a newer one.
	fleetMutex sync.Mutex

	catalog  atomic.Pointer[catalog.Catalog]
	samplers atomic.Pointer[[]schedule.Sampler]
	// peerAddress is where other nodes ask this one to carry runs, nil while they cannot.
	peerAddress atomic.Pointer[string]
	// evacuated holds the zones whose samplers get nothing new.
	evacuated atomic.Pointer[evacuation.Zones]

	mutex    sync.Mutex
	versions map[string]uint64
	// configured is closed once the node knows routes.
	configured     chan struct{}
	configuredOnce sync.Once
	// early is the part of the first list of samplers that was read so far.
	early earlyList
	// informed is closed once the node knows routes and samplers.
	informed     chan struct{}
	informedOnce sync.Once

	// configuredFor tells how long ago the configuration surely was the newest.
	configurationAgeFunc func() time.Duration

	draining atomic.Bool
	active   atomic.Int64
	stop     context.CancelFunc
	loops    conc.WaitGroup
	// lifetime ends with the node; what tells other nodes ends then.
	lifetime context.Context
}

// New returns a node that does nothing until Start.
func New(settings Settings, ports Ports, logger *event.Logger) *Node {
	n := &Node{
		settings: settings, ports: ports, logger: logger, log: sharedlog.Measure(ports.Log, ports.Group),
		fleet:     fleet.NewHosted(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), settings.place(), logger),
		exchanger: dispatch.NewExchanger(ports.Network),
		versions:  make(map[string]uint64),
		informed:  make(chan struct{}),

		configured: make(chan struct{}), lifetime: context.Background(),
	}
	n.evacuated.Store(&evacuation.Zones{})
	n.suspects = newSuspects(n)
	n.metrics = newMetrics(n)
	n.dispatcher = dispatch.NewDispatcher(n.exchanger, ports.Protocol, n.fleet, n.suspects.requests, settings.Zone, newID, logger)
	n.directory = directory.New(n.log, settings.NodesTopic, settings.Name, n, logger)
	n.jobs = newJobBook(n)
	n.executor = newExecutor(n)
	n.worker = newWorker(n)
	n.peers = peer.NewPool(ports.Network, settings.Name)
	n.claims = &claims{node: n}
	n.usage = newUsage(n)
	n.scaler = &scaler{node: n}
	n.readers = &readers{node: n}
	n.ownership = ownership.New(settings.member(), n.log, n.directory, n.readers,
		ownership.Callbacks{HandOver: n.executor.flush, Changed: n.executor.wake}, logger)
	n.createFeeds(ports.Topics)
	return n
}

// Start begins to follow the log and to take part in the group.
func (n *Node) Start(ctx context.Context) {
	ctx, n.stop = context.WithCancel(ctx)
	n.lifetime = ctx
	n.loops.Go(func() { n.directory.Run(ctx) })
	n.loops.Go(func() { n.followJobs(ctx) })
	n.loops.Go(func() { n.jobs.expire(ctx) })
	n.loops.Go(func() { n.logRoundTripChanges(ctx) })
	n.loops.Go(func() { n.joinGroup(ctx) })
	n.loops.Go(func() { n.announce(ctx) })
	n.loops.Go(func() { n.executor.run(ctx) })
	n.loops.Go(func() { n.worker.run(ctx) })
	n.loops.Go(func() { n.listen(ctx) })
	n.usage.start(ctx)
	n.loops.Go(func() { n.scaler.run(ctx) })
}

// joinGroup takes part in the group once the node knows routes and samplers: a
// share of the jobs is of no use to a node that cannot run them.
func (n *Node) joinGroup(ctx context.Context) {
	select {
	case <-n.informed:
		n.awaitAnnouncements(ctx)
		n.ownership.Run(ctx)
	case <-ctx.Done():
	}
}

const (
	// ledgerShare is how far apart nodes begin to read the ledger that need not read
	// it at once: about as long as the store takes to hand one of them the ledger of
	// a busy minute (some 500 KB at 80 MB a second, with as much left for others).
	ledgerShare = 10 * time.Millisecond
	// longestLedgerDelay bounds that however many nodes there are: a node without the
	// ledger reads it when it is first asked of a job.
	longestLedgerDelay = 5 * time.Second
)

// followJobs follows the ledger. A node that starts reads routes and samplers first,
// which are small and which every request needs. Then those read the ledger that may
// execute; the others take their time, or read it when they are asked of a job. When
// 295 nodes began with all of it at once, none had its configuration for 1.2 s and
// the executor had the ledger after 3.3 s.
func (n *Node) followJobs(ctx context.Context) {
	select {
	case <-n.informed:
	case <-ctx.Done():
		return
	}
	wait.For(ctx, n.ledgerDelay())
	n.jobs.followed.Store(true)
	n.jobs.follower.Run(ctx)
}

// ledgerDelay is how long this node leaves the ledger to others.
func (n *Node) ledgerDelay() time.Duration {
	announced, ok := n.directory.Announced()
	view := election.View{Largest: announced.Largest}
	if !ok || announced.Nodes == 0 || view.Regular(n.settings.Millicores) {
		return 0
	}
	return rand.N(min(time.Duration(announced.Nodes)*ledgerShare, longestLedgerDelay))
}

// Drain makes the node unready and hands its share over. Requests go on.
func (n *Node) Drain(ctx context.Context) {
	if n.draining.Swap(true) {
		return
	}
	n.logger.Log(event.NodeDraining, "active", n.active.Load())
	n.worker.drain(ctx)
	n.ownership.Leave(ctx)
}

// Stop ends the node's loops.
func (n *Node) Stop() {
	n.stop()
	n.loops.Wait()
	n.peers.Close()
	n.exchanger.Close()
	n.logger.Log(event.NodeStopped)
}

// Draining reports whether the node is about to stop.
func (n *Node) Draining() bool { return n.draining.Load() }

// Log returns the node's log service, whose answers are timed.
func (n *Node) Log() *sharedlog.Measured { return n.log }

// Metrics returns the node's metrics.
func (n *Node) Metrics() *Metrics { return n.metrics }

// Catalog returns the configuration in force, nil before the first.
func (n *Node) Catalog() *catalog.Catalog { return n.catalog.Load() }

// TakeCatalog puts a configuration in force unless a newer one is.
func (n *Node) TakeCatalog(taken *catalog.Catalog) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	current := n.catalog.Load()
	if current != nil && current.Version >= taken.Version {
		return
	}
	n.catalog.Store(taken)
	n.logger.Log(event.CatalogApplied, "version", taken.Version, "routes", taken.Routes(), "services", len(taken.Services))
	if current == nil {
		n.logger.Log(event.NodeReady, "version", taken.Version)
	}
	n.updateFleet()
	n.configuredOnce.Do(func() { close(n.configured) })
	n.noteInformed()
	n.executor.wake()
}

// Configured is closed once the node knows routes, which it needs before anything
// else: what is larger is better read after them.
func (n *Node) Configured() <-chan struct{} { return n.configured }

func (n *Node) noteInformed() {
	if n.catalog.Load() != nil && n.samplers.Load() != nil {
		n.informedOnce.Do(func() { close(n.informed) })
	}
}

// RejectCatalog logs a configuration that could not be read.
func (n *Node) RejectCatalog(err error) {
	n.logger.Log(event.CatalogRejected, "detail", err.Error())
}

// RejectSampler counts an entry of the samplers' list that names no sampler, and logs it
// if it is the first of its id in a row, and so many a second at most.
func (n *Node) RejectSampler(id string, err error, first bool) {
	n.metrics.rejectedSamplerEntries.Inc()
	if first && n.rejectionLimiter.Allow(time.Now()) {
		n.logger.Log(event.RecordSkipped, "sampler", id, "detail", err.Error())
	}
}

// PassOverSampler counts an entry of a former incarnation, which came late.
func (n *Node) PassOverSampler(sampler schedule.Sampler) {
	n.metrics.staleSamplerEntries.Inc()
}

// SkipRecord logs a record of a keyed topic that cannot be read.
func (n *Node) SkipRecord(topic string, record sharedlog.KeyedRecord) {
	if n.rejectionLimiter.Allow(time.Now()) {
		n.logger.Log(event.RecordSkipped, "topic", topic, "key", record.Key, "offset", record.Offset, "detail", record.Malformed)
	}
}

// TakeVersion records a weight version that a trainer named. Every node learns of
// it; the executor logs it.
func (n *Node) TakeVersion(model string, version uint64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.versions[model] >= version {
		return
	}
	n.versions[model] = version
	n.executor.wake()
}

func (n *Node) targets() map[string]uint64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	targets := make(map[string]uint64, len(n.versions))
	for model, version := range n.versions {
		targets[model] = version
	}
	return targets
}

// TakeSamplers applies the entire list of samplers.
func (n *Node) TakeSamplers(listed []schedule.Sampler) {
	n.samplers.Store(&listed)
	n.updateFleet()
	n.noteInformed()
	n.executor.wake()
}

// updateFleet tells the fleet of the newest list of samplers, and what this node may send
// to those that are cold.
func (n *Node) updateFleet() {
	n.fleetMutex.Lock()
	defer n.fleetMutex.Unlock()
	listed := n.samplers.Load()
	if listed == nil {
		listed = n.early.list()
	}
	if listed == nil {
		return
	}
	current := n.Catalog()
	nodes, evacuated := n.directory.Names(), n.evacuated.Load()
	machines := make([]fleet.Machine, 0, len(*listed))
	for _, sampler := range *listed {
		machine := fleet.Machine{
			ID: sampler.ID, Role: fleet.RoleBackEnd, Pool: sampler.Service,
			Address: sampler.Address, Zone: sampler.Zone, Leaving: sampler.Leaving, Capacity: sampler.Slots,
			ColdFor: sampler.ColdFor, Born: sampler.Born,
		}
		if current != nil && (sampler.ColdFor > 0 || evacuated.Has(sampler.Zone)) {
			machine.Limits = n.requestLimits(current, sampler, nodes)
		}
		machines = append(machines, machine)
	}
	n.fleet.Update(machines)
}
