package lab

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/client"
	"github.com/pathbend/pathbend/internal/config"
	"github.com/pathbend/pathbend/internal/emulator"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/fleet"
	"github.com/pathbend/pathbend/internal/logstore"
	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/node"
	"github.com/pathbend/pathbend/internal/wait"
)

// Networks provides each host of a cluster with its network and addresses.
type Networks interface {
	// For returns the network that a host in a zone uses.
	For(host, zone string) network.Network
	// Address returns an address on which a host can listen. Port is a number that tells the
	// listeners of a host apart; the address may have another one.
	Address(host string, port int) string
}

// Options configure a cluster.
type Options struct {
	Networks Networks
	// Seed is the seed of the nodes and of all emulated parts.
	Seed  uint64
	Zones []string
	// NodesPerZone is the number of pathbend nodes in each zone.
	NodesPerZone int
	Pools        []Pool
	// Document is the configuration that is published at the start.
	Document *config.Document
	// ListLag is the delay after which a change shows in the machine list.
	ListLag time.Duration
	// LoadTime is the duration of a weight load, LoadSlots the number of concurrent loads.
	LoadTime     time.Duration
	LoadSlots    int
	DrainTimeout time.Duration
	// Logs receives the nodes' logs; nil discards them.
	Logs io.Writer
	// Level is the minimum level that is logged.
	Level slog.Level
}

// Pool is a pool of emulated machines, distributed round-robin over the zones.
type Pool struct {
	Name string
	Role fleet.Role
	Size int
	// Model is the performance model of engines.
	Model emulator.EngineModel
	// ServiceTime is the mean time that a back end takes for a request.
	ServiceTime time.Duration
}

// Cluster is a running cluster of nodes and emulated machines.
type Cluster struct {
	Options  Options
	Platform *emulator.Platform
	Checker  *emulator.Checker
	Engines  []*Machine
	BackEnds []*Machine
	Nodes    []*NodeSlot

	platformAddress string
	// mutex serializes replacements of machines.
	mutex            sync.Mutex
	random           *rand.Rand
	replacementCount int
	servers          []*http.Server
	// group holds the goroutines that Close waits for.
	group conc.WaitGroup
	// ctx is cancelled by Close.
	ctx    context.Context
	cancel context.CancelFunc
}

// Machine is an emulated engine or back end with its HTTP server.
type Machine struct {
	fleet.Machine
	// One of Engine and BackEnd is set, according to the role.
	Engine  *emulator.Engine
	BackEnd *emulator.BackEnd

	server *http.Server
	cancel context.CancelFunc
	group  sync.WaitGroup
	// crashed is set when a request crashes the machine.
	crashed atomic.Bool
}

// NodeSlot has the name, zone and addresses of a pathbend node, which stay the same when the
// node is restarted.
type NodeSlot struct {
	Name         string
	Zone         string
	HTTPAddress  string
	AdminAddress string
	PeerAddress  string

	cluster *Cluster
	// startCount gives each start a seed of its own.
	startCount uint64
	mutex      sync.Mutex
	// node is nil while the node is stopped.
	node *node.Node
}

// Port numbers by which Networks.Address tells the listeners of a host apart.
const (
	platformPort  = 7000
	machinePort   = 7001
	nodeHTTPPort  = 8080
	nodePeerPort  = 8081
	nodeAdminPort = 8082
)

// Start starts a cluster and publishes its configuration. Nodes may not be ready yet when it
// returns: see WaitReady.
func Start(options Options) (*Cluster, error) {
	c := &Cluster{
		Options:  options,
		Platform: emulator.NewPlatform(options.ListLag, options.LoadTime, options.LoadSlots),
		Checker:  emulator.NewChecker(),
		random:   rand.New(rand.NewPCG(options.Seed, 7)),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if err := c.startPlatform(); err != nil {
		return nil, err
	}
	if err := c.Publish(context.Background(), options.Document, 0, "lab"); err != nil {
		return nil, err
	}
	for _, pool := range options.Pools {
		for i := range pool.Size {
			if err := c.startMachine(pool, i); err != nil {
				return nil, err
			}
		}
	}
	for _, zone := range options.Zones {
		for i := range options.NodesPerZone {
			if err := c.addNode(zone, i); err != nil {
				return nil, err
			}
		}
	}
	return c, nil
}

func (c *Cluster) startPlatform() error {
	platformNetwork := c.Options.Networks.For("platform", c.Options.Zones[0])
	listener, err := platformNetwork.Listen(c.Options.Networks.Address("platform", platformPort))
	if err != nil {
		return err
	}
	c.platformAddress = listener.Addr().String()
	server := &http.Server{Handler: c.Platform.Handler()}
	c.servers = append(c.servers, server)
	c.group.Go(func() { _ = server.Serve(listener) })
	return nil
}

// Publish appends a configuration to the log. base is the revision on which it is based, 0 for
// the first one.
func (c *Cluster) Publish(ctx context.Context, document *config.Document, base uint64, author string) error {
	content, err := config.Encode(document)
	if err != nil {
		return err
	}
	log := logstore.NewClient(c.Options.Networks.For("operator", c.Options.Zones[0]), c.platformAddress)
	defer log.Close()
	_, err = logstore.AppendRecord(ctx, log, &pathbendv1.Record{
		Id: c.recordID(),
		Body: &pathbendv1.Record_ConfigPublish{ConfigPublish: &pathbendv1.ConfigPublish{
			BaseRevision: base, Document: content, Author: author, PublishedUnixMs: time.Now().UnixMilli(),
		}},
	})
	return err
}

// recordID returns a random UUID from the cluster's seeded source.
func (c *Cluster) recordID() string {
	var bytes [16]byte
	for i := range bytes {
		bytes[i] = byte(c.random.Uint32())
	}
	return uuid.UUID(bytes).String()
}

func (c *Cluster) startMachine(pool Pool, index int) error {
	zone := c.Options.Zones[index%len(c.Options.Zones)]
	machine, err := c.launchMachine(pool, fmt.Sprintf("%s-%d", pool.Name, index), zone)
	if err != nil {
		return err
	}
	if pool.Role == fleet.RoleEngine {
		c.Engines = append(c.Engines, machine)
	} else {
		c.BackEnds = append(c.BackEnds, machine)
	}
	return nil
}

// Replace crashes a machine, removes it from the machine list, and starts a machine of the
// same pool and zone with a new id in its place.
func (c *Cluster) Replace(old *Machine) error {
	c.Platform.RemoveMachine(old.ID)
	old.Crash()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.replacementCount++
	pool := c.findPool(old.Pool)
	replacement, err := c.launchMachine(pool, fmt.Sprintf("%s-r%d", old.Pool, c.replacementCount), old.Zone)
	if err != nil {
		return err
	}
	for _, machines := range [][]*Machine{c.Engines, c.BackEnds} {
		for i := range machines {
			if machines[i] == old {
				machines[i] = replacement
			}
		}
	}
	return nil
}

// findPool returns the pool with a name, or the zero value.
func (c *Cluster) findPool(name string) Pool {
	for _, pool := range c.Options.Pools {
		if pool.Name == name {
			return pool
		}
	}
	return Pool{}
}

// launchMachine starts a machine and adds it to the machine list.
func (c *Cluster) launchMachine(pool Pool, id, zone string) (*Machine, error) {
	machineNetwork := c.Options.Networks.For(id, zone)
	listener, err := machineNetwork.Listen(c.Options.Networks.Address(id, machinePort))
	if err != nil {
		return nil, err
	}
	machine := &Machine{Machine: fleet.Machine{
		ID: id, Role: pool.Role, Pool: pool.Name, Address: listener.Addr().String(), Zone: zone,
	}}
	ctx, cancel := context.WithCancel(context.Background())
	machine.cancel = cancel
	random := rand.New(rand.NewPCG(c.Options.Seed, c.random.Uint64()))
	crasher := emulator.NewCrasher(c.Checker, func() bool { return c.crashDuringRequest(machine) })
	if pool.Role == fleet.RoleEngine {
		machine.Engine = emulator.NewEngine(id, pool.Model, machineNetwork, c.platformAddress, random)
		machine.Engine.Crasher = crasher
		machine.server = &http.Server{Handler: machine.Engine.Handler()}
		machine.group.Go(func() { machine.Engine.Run(ctx) })
	} else {
		machine.BackEnd = emulator.NewBackEnd(id, pool.ServiceTime, c.Checker, random)
		machine.BackEnd.Crasher = crasher
		machine.server = &http.Server{Handler: machine.BackEnd}
	}
	machine.group.Go(func() { _ = machine.server.Serve(listener) })
	c.Platform.SetMachine(machine.Machine)
	return machine, nil
}

// Crash terminates a machine, closes its connections and waits for its goroutines.
func (m *Machine) Crash() {
	m.cancel()
	m.server.Close()
	m.group.Wait()
}

// crashReplacementDelay is the time until a machine that a request crashed is replaced.
const crashReplacementDelay = 4 * time.Second

// crashDuringRequest crashes a machine on behalf of a request that is still in progress there,
// and therefore does not wait for the machine's goroutines. The machine is replaced after
// crashReplacementDelay. It returns false if a request had already crashed the machine.
func (c *Cluster) crashDuringRequest(machine *Machine) bool {
	if machine.crashed.Swap(true) {
		return false
	}
	machine.cancel()
	machine.server.Close()
	c.group.Go(func() {
		if !wait.For(c.ctx, crashReplacementDelay) {
			return
		}
		if err := c.Replace(machine); err != nil {
			c.Checker.ReportViolation("replace machine %s: %v", machine.ID, err)
		}
	})
	return true
}

// BeginLeave makes a machine announce that it is leaving, also in the machine list.
func (c *Cluster) BeginLeave(machine *Machine) {
	if machine.BackEnd != nil {
		machine.BackEnd.Leave()
	} else {
		machine.Engine.Leave()
	}
	machine.Leaving = true
	c.Checker.RecordLeaving(machine.ID, time.Now())
	c.Platform.SetMachine(machine.Machine)
}

func (c *Cluster) addNode(zone string, index int) error {
	name := fmt.Sprintf("node-%s-%d", zone, index)
	slot := &NodeSlot{Name: name, Zone: zone, cluster: c}
	for port, target := range map[int]*string{
		nodeHTTPPort: &slot.HTTPAddress, nodePeerPort: &slot.PeerAddress, nodeAdminPort: &slot.AdminAddress,
	} {
		*target = c.Options.Networks.Address(name, port)
	}
	c.Nodes = append(c.Nodes, slot)
	c.Platform.SetMachine(fleet.Machine{ID: name, Role: fleet.RoleNode, Address: slot.PeerAddress, Zone: zone})
	return slot.Start()
}

// Start starts the node, without any state of an earlier run.
func (s *NodeSlot) Start() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.node != nil {
		return errors.New("node is already running")
	}
	s.startCount++
	options := s.cluster.Options
	settings := node.DefaultSettings()
	settings.Name, settings.Zone = s.Name, s.Zone
	settings.HTTPAddress, settings.PeerAddress, settings.AdminAddress = s.HTTPAddress, s.PeerAddress, s.AdminAddress
	settings.LogAddress, settings.MachinesAddress = s.cluster.platformAddress, s.cluster.platformAddress
	settings.DrainTimeout = options.DrainTimeout
	settings.Seed = options.Seed*1_000_003 + s.startCount*101 + hashName(s.Name)
	logger := event.Discard()
	if options.Logs != nil {
		logger = event.NewLogger(options.Logs, options.Level, "node", s.Name)
	}
	started, err := node.New(settings, options.Networks.For(s.Name, s.Zone), logger)
	if err != nil {
		return err
	}
	if err := started.Start(); err != nil {
		return err
	}
	s.node = started
	return nil
}

// hashName returns the 64-bit FNV-1a hash of a name.
func hashName(name string) uint64 {
	hash := uint64(14695981039346656037)
	for _, character := range []byte(name) {
		hash = (hash ^ uint64(character)) * 1099511628211
	}
	return hash
}

// Node returns the running node, or nil if it is stopped.
func (s *NodeSlot) Node() *node.Node {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.node
}

// Stop stops the node, after draining it if drain is set. It does nothing if the node is not
// running.
func (s *NodeSlot) Stop(drain bool) {
	s.mutex.Lock()
	running := s.node
	s.node = nil
	s.mutex.Unlock()
	if running == nil {
		return
	}
	if drain {
		running.Drain()
	}
	running.Stop()
}

// WaitReady waits until every running node is settled: it accepts work and knows all other
// running nodes. It returns an error if ctx ends first.
func (c *Cluster) WaitReady(ctx context.Context) error {
	const pollInterval = 50 * time.Millisecond
	for {
		if c.allSettled() {
			return nil
		}
		if !wait.For(ctx, pollInterval) {
			return errors.Wrap(ctx.Err(), "wait for the cluster to be ready")
		}
	}
}

func (c *Cluster) allSettled() bool {
	running := 0
	for _, slot := range c.Nodes {
		if slot.Node() != nil {
			running++
		}
	}
	for _, slot := range c.Nodes {
		if started := slot.Node(); started != nil && !started.Converged(running) {
			return false
		}
	}
	return true
}

// NewClient returns a client of a tenant that runs on host in a zone and tries the nodes of
// this zone first.
func (c *Cluster) NewClient(tenant, host, zone string, seed uint64) *client.Client {
	var sameZone, otherZones []string
	for _, slot := range c.Nodes {
		if slot.Zone == zone {
			sameZone = append(sameZone, slot.HTTPAddress)
		} else {
			otherZones = append(otherZones, slot.HTTPAddress)
		}
	}
	return client.New(client.Options{
		Addresses: append(sameZone, otherZones...), Tenant: tenant, Network: c.Options.Networks.For(host, zone),
		Random: rand.New(&lockedSource{source: rand.NewPCG(c.Options.Seed, seed)}),
	})
}

// lockedSource is a random source that is safe for concurrent use.
type lockedSource struct {
	mutex  sync.Mutex
	source rand.Source
}

// Uint64 implements rand.Source.
func (s *lockedSource) Uint64() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.source.Uint64()
}

// Close stops all nodes without draining them, crashes all machines, and waits for them.
func (c *Cluster) Close() {
	c.cancel()
	var stopping conc.WaitGroup
	for _, slot := range c.Nodes {
		stopping.Go(func() { slot.Stop(false) })
	}
	stopping.Wait()
	for _, machine := range append(append([]*Machine(nil), c.Engines...), c.BackEnds...) {
		machine.Crash()
	}
	for _, server := range c.servers {
		server.Close()
	}
	c.group.Wait()
}
