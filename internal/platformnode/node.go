package platformnode

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/pathbend/pathbend/internal/catalog"
	"github.com/pathbend/pathbend/internal/dispatch"
	"github.com/pathbend/pathbend/internal/election"
	"github.com/pathbend/pathbend/internal/evacuation"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/fleet"
	"github.com/pathbend/pathbend/internal/metering"
	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/nodedirectory"
	"github.com/pathbend/pathbend/internal/ownership"
	"github.com/pathbend/pathbend/internal/peer"
	"github.com/pathbend/pathbend/internal/schedule"
	"github.com/pathbend/pathbend/internal/sharedlog"
	"github.com/pathbend/pathbend/internal/topicreader"
	"github.com/pathbend/pathbend/internal/wait"
)

// Ports are the node's interfaces to its environment.
type Ports struct {
	Network   network.Network
	Log       sharedlog.Log
	Group     sharedlog.Group
	Protocol  dispatch.Protocol
	Generator Generator
	Control   Control
	// Topics are the keyed topics that nodes read on behalf of each other.
	Topics Topics
	// Usage sends usage reports; nil if the platform wants none.
	Usage metering.Sender
	// Scaler orders samplers; nil if the platform does not let the node order any.
	Scaler Scaler
	// Score extracts the score from the answer to a reward call.
	Score func(*dispatch.Answer) (Scored, error)
}

// Node is a node that keeps its shared state in the platform's log service. It is safe for
// concurrent use.
type Node struct {
	settings   Settings
	ports      Ports
	log        *sharedlog.MeteredLog
	logger     *event.Logger
	metrics    *Metrics
	fleet      *fleet.Fleet
	exchanger  *dispatch.Exchanger
	dispatcher *dispatch.Dispatcher
	directory  *nodedirectory.Directory
	jobs       *jobStore
	ownership  *ownership.Holder
	executor   *executor
	worker     *worker
	peers      *peer.Pool
	claims     *claims
	usage      *usage
	scaler     *scaler
	suspects   *suspects
	// readers determines which nodes read the keyed topics on behalf of others. The feeds
	// deliver the topics to this node, entryServer serves them to other nodes.
	readers      *readers
	samplerFeed  *topicreader.Feed
	operatorFeed *topicreader.Feed
	entryServer  *topicreader.Server

	// rejectionLimiter limits the rate of log lines about malformed records.
	rejectionLimiter event.Limiter

	// fleetMutex serializes updates of the fleet, so that an older list of samplers does not
	// replace a newer one.
	fleetMutex sync.Mutex

	catalog  atomic.Pointer[catalog.Catalog]
	samplers atomic.Pointer[[]schedule.Sampler]
	// peerAddress is the address at which this node accepts calls of other nodes, nil while it
	// does not listen.
	peerAddress atomic.Pointer[string]
	// evacuated holds the zones whose samplers get no new work.
	evacuated atomic.Pointer[evacuation.Zones]

	mutex    sync.Mutex
	versions map[string]uint64
	// configured is closed once the node has a configuration.
	configured     chan struct{}
	configuredOnce sync.Once
	// partialSamplers is the part of the first list of samplers that has been read so far.
	partialSamplers partialSamplerList
	// initialized is closed once the node has a configuration and a complete list of samplers.
	initialized     chan struct{}
	initializedOnce sync.Once

	// configurationAgeFunc returns the time since the configuration was last known to be the
	// newest. It is nil if the configuration always counts as the newest.
	configurationAgeFunc func() time.Duration

	draining atomic.Bool
	// drainEnd is when the node stops waiting for requests in progress; nil before Drain.
	drainEnd atomic.Pointer[time.Time]
	active   atomic.Int64
	stop     context.CancelFunc
	loops    conc.WaitGroup
	// lifetime is canceled when the node stops; work that outlives a request, such as notices
	// to other nodes, ends with it.
	lifetime context.Context
}

// New returns a node that is idle until Start.
func New(settings Settings, ports Ports, logger *event.Logger) *Node {
	n := &Node{
		settings: settings, ports: ports, logger: logger, log: sharedlog.NewMeteredLog(ports.Log, ports.Group),
		fleet:       fleet.NewForPlatform(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), settings.location(), logger),
		exchanger:   dispatch.NewExchanger(ports.Network),
		versions:    make(map[string]uint64),
		initialized: make(chan struct{}),

		configured: make(chan struct{}), lifetime: context.Background(),
	}
	n.evacuated.Store(&evacuation.Zones{})
	n.suspects = newSuspects(n)
	n.metrics = newMetrics(n)
	n.dispatcher = dispatch.NewDispatcher(n.exchanger, ports.Protocol, n.fleet, n.suspects.requests, settings.Zone, newID, logger)
	n.directory = nodedirectory.New(n.log, settings.NodesTopic, settings.Name, n, n.RetryPauseLimit, logger)
	n.readers = &readers{node: n}
	n.peers = peer.NewPool(ports.Network, settings.Name)
	n.jobs = newJobStore(n)
	n.executor = newExecutor(n)
	n.worker = newWorker(n)
	n.claims = newClaims(n)
	n.usage = newUsage(n)
	n.scaler = &scaler{node: n}
	n.ownership = ownership.New(settings.member(), n.log, n.directory, n.readers,
		ownership.Callbacks{BeforeRelease: n.executor.flush, OnChange: n.executor.wake}, logger)
	n.createFeeds(ports.Topics)
	return n
}

// Start starts the node's loops, which follow the log and take part in the group.
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

// joinGroup takes part in the group once the node has routes and samplers; without them it
// could not execute the jobs of its share.
func (n *Node) joinGroup(ctx context.Context) {
	select {
	case <-n.initialized:
		n.awaitAnnouncements(ctx)
		n.ownership.Run(ctx)
	case <-ctx.Done():
	}
}

const (
	// ledgerReadInterval is the average interval between the ledger reads of starting nodes
	// that do not need the ledger at once. The log service takes about as long to send one node
	// the ledger of a busy minute: some 500 KB at 80 MB/s, with as much bandwidth left for
	// others.
	ledgerReadInterval = 10 * time.Millisecond
	// maxLedgerDelay bounds the delay of such a read, however many nodes there are. A node
	// without the ledger reads it at the first request about a job.
	maxLedgerDelay = 5 * time.Second
)

// followJobs follows the ledger. A starting node first reads routes and samplers, which are
// small and needed by every request. Nodes that may become the executor then read the ledger
// at once; the others delay the read, or do it at the first request about a job. When 295
// nodes read everything at once, none had its configuration for 1.2 s and the executor had
// the ledger after 3.3 s.
func (n *Node) followJobs(ctx context.Context) {
	select {
	case <-n.initialized:
	case <-ctx.Done():
		return
	}
	wait.For(ctx, n.ledgerDelay())
	n.jobs.following.Store(true)
	n.jobs.follower.Run(ctx)
}

// ledgerDelay returns the delay before this node reads the ledger. It is 0 for a node that
// may become the executor, and random for the others.
func (n *Node) ledgerDelay() time.Duration {
	announced, ok := n.directory.Announced()
	view := election.View{Largest: announced.Largest}
	if !ok || announced.NodeCount == 0 || view.IsLarge(n.settings.Millicores) {
		return 0
	}
	return rand.N(min(time.Duration(announced.NodeCount)*ledgerReadInterval, maxLedgerDelay))
}

// Stop ends the node's loops, waits for them and closes the node's connections.
func (n *Node) Stop() {
	n.stop()
	n.loops.Wait()
	n.peers.Close()
	n.exchanger.Close()
	n.logger.Log(event.NodeStopped)
}

// Log returns the node's client of the log service, which measures round trips.
func (n *Node) Log() *sharedlog.MeteredLog { return n.log }

// Metrics returns the node's Prometheus metrics.
func (n *Node) Metrics() *Metrics { return n.metrics }

// Catalog returns the configuration in force, nil before the first one was applied.
func (n *Node) Catalog() *catalog.Catalog { return n.catalog.Load() }

// ApplyCatalog applies a configuration unless the one in force is as new or newer.
func (n *Node) ApplyCatalog(update *catalog.Catalog) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	current := n.catalog.Load()
	if current != nil && current.Version >= update.Version {
		return
	}
	n.catalog.Store(update)
	n.logger.Log(event.CatalogApplied, "version", update.Version, "routes", update.RouteCount(), "services", len(update.Services))
	if current == nil {
		n.logger.Log(event.NodeReady, "version", update.Version)
	}
	n.updateFleet()
	n.configuredOnce.Do(func() { close(n.configured) })
	n.checkInitialized()
	n.executor.wake()
}

// Configured returns a channel that is closed once the node has a configuration. Every
// request needs it, so larger data is better read afterwards.
func (n *Node) Configured() <-chan struct{} { return n.configured }

func (n *Node) checkInitialized() {
	if n.catalog.Load() != nil && n.samplers.Load() != nil {
		n.initializedOnce.Do(func() { close(n.initialized) })
	}
}

// RejectCatalog logs a configuration that is malformed.
func (n *Node) RejectCatalog(err error) {
	n.logger.Log(event.CatalogRejected, "detail", err.Error())
}

// RejectSampler counts a malformed entry of the list of samplers. It logs the first such
// entry of an id in a row, at a limited rate.
func (n *Node) RejectSampler(id string, err error, first bool) {
	n.metrics.rejectedSamplerEntries.Inc()
	if first && n.rejectionLimiter.Allow(time.Now()) {
		n.logger.Log(event.RecordSkipped, "sampler", id, "detail", err.Error())
	}
}

// IgnoreStaleSampler counts a late entry of an earlier incarnation of a sampler, which is
// ignored.
func (n *Node) IgnoreStaleSampler(sampler schedule.Sampler) {
	n.metrics.staleSamplerEntries.Inc()
}

// SkipRecord logs a malformed record of a keyed topic, at a limited rate.
func (n *Node) SkipRecord(topic string, record sharedlog.KeyedRecord) {
	if n.rejectionLimiter.Allow(time.Now()) {
		n.logger.Log(event.RecordSkipped, "topic", topic, "key", record.Key, "offset", record.Offset, "detail", record.Malformed)
	}
}

// ApplyVersion records a weight version that a trainer announced, unless a newer one is known.
// Every node receives the announcements; only the executor logs them.
func (n *Node) ApplyVersion(model string, version uint64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.versions[model] >= version {
		return
	}
	n.versions[model] = version
	n.executor.wake()
}

// targets returns the newest announced version of each model.
func (n *Node) targets() map[string]uint64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	targets := make(map[string]uint64, len(n.versions))
	for model, version := range n.versions {
		targets[model] = version
	}
	return targets
}

// ApplySamplers applies a complete list of samplers.
func (n *Node) ApplySamplers(samplers []schedule.Sampler) {
	n.samplers.Store(&samplers)
	n.updateFleet()
	n.checkInitialized()
	n.executor.wake()
}

// updateFleet passes the newest list of samplers to the fleet, with limits of what this node
// may send to cold samplers and samplers in evacuated zones.
func (n *Node) updateFleet() {
	n.fleetMutex.Lock()
	defer n.fleetMutex.Unlock()
	listed := n.samplers.Load()
	if listed == nil {
		listed = n.partialSamplers.list()
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
			ColdRemaining: sampler.ColdRemaining, StartedAtMs: sampler.StartedAtMs,
		}
		if current != nil && (sampler.ColdRemaining > 0 || evacuated.Contains(sampler.Zone)) {
			machine.Limits = n.requestLimits(current, sampler, nodes)
		}
		machines = append(machines, machine)
	}
	n.fleet.Update(machines)
}
