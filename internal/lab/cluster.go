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

// Networks gives each host of the cluster its connection to the network.
type Networks interface {
	// For returns the network as a host in a zone sees it.
	For(host, zone string) network.Network
	// Address returns an address on which a host can listen.
	Address(host string, port int) string
}

// Options describe a cluster.
type Options struct {
	Networks Networks
	Seed     uint64
	Zones    []string
	// NodesPerZone is the number of pathbend nodes in each zone.
	NodesPerZone int
	Pools        []Pool
	Document     *config.Document
	ListLag      time.Duration
	LoadTime     time.Duration
	LoadSlots    int
	DrainTimeout time.Duration
	// Logs receives the nodes' logs; nil discards them.
	Logs  io.Writer
	Level slog.Level
}

// Pool is a pool of emulated machines, spread over the zones.
type Pool struct {
	Name string
	Role fleet.Role
	Size int
	// Model is the engines' performance, ServiceTime the back ends'.
	Model       emulator.EngineModel
	ServiceTime time.Duration
}

// Cluster is a running system.
type Cluster struct {
	Options  Options
	Platform *emulator.Platform
	Truth    *emulator.Truth
	Engines  []*Machine
	BackEnds []*Machine
	Nodes    []*NodeSlot

	platformAddress string
	// mutex keeps replacements of machines apart.
	mutex    sync.Mutex
	random   *rand.Rand
	replaced int
	servers  []*http.Server
	group    conc.WaitGroup
	// life ends with the cluster.
	life context.Context
	end  context.CancelFunc
}

// Machine is an emulated engine or back end with its server.
type Machine struct {
	fleet.Machine
	Engine  *emulator.Engine
	BackEnd *emulator.BackEnd

	server *http.Server
	cancel context.CancelFunc
	group  sync.WaitGroup
	// crashed is set once a request crashed the machine.
	crashed atomic.Bool
}

// NodeSlot is a place for a pathbend node, which may be restarted.
type NodeSlot struct {
	Name        string
	Zone        string
	HTTPAddress string
	AdminAddr   string
	PeerAddress string

	cluster *Cluster
	starts  uint64
	mutex   sync.Mutex
	node    *node.Node
}

const (
	platformPort  = 7000
	machinePort   = 7001
	nodeHTTPPort  = 8080
	nodePeerPort  = 8081
	nodeAdminPort = 8082
)

// Start builds and starts a cluster and publishes its configuration.
func Start(options Options) (*Cluster, error) {
	c := &Cluster{
		Options:  options,
		Platform: emulator.NewPlatform(options.ListLag, options.LoadTime, options.LoadSlots),
		Truth:    emulator.NewTruth(),
		random:   rand.New(rand.NewPCG(options.Seed, 7)),
	}
	c.life, c.end = context.WithCancel(context.Background())
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
	transport := c.Options.Networks.For("platform", c.Options.Zones[0])
	listener, err := transport.Listen(c.Options.Networks.Address("platform", platformPort))
	if err != nil {
		return err
	}
	c.platformAddress = listener.Addr().String()
	server := &http.Server{Handler: c.Platform.Handler()}
	c.servers = append(c.servers, server)
	c.group.Go(func() { _ = server.Serve(listener) })
	return nil
}

// Publish appends a configuration made from a base revision.
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

func (c *Cluster) recordID() string {
	var bytes [16]byte
	for i := range bytes {
		bytes[i] = byte(c.random.Uint32())
	}
	return uuid.UUID(bytes).String()
}

func (c *Cluster) startMachine(pool Pool, index int) error {
	zone := c.Options.Zones[index%len(c.Options.Zones)]
	started, err := c.launch(pool, fmt.Sprintf("%s-%d", pool.Name, index), zone)
	if err != nil {
		return err
	}
	if pool.Role == fleet.RoleEngine {
		c.Engines = append(c.Engines, started)
	} else {
		c.BackEnds = append(c.BackEnds, started)
	}
	return nil
}

// Replace ends a machine for good and puts a new one, with a new id, into its
// place in the list of machines.
func (c *Cluster) Replace(gone *Machine) error {
	c.Platform.RemoveMachine(gone.ID)
	gone.Crash()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.replaced++
	pool := c.poolOf(gone.Pool)
	started, err := c.launch(pool, fmt.Sprintf("%s-r%d", gone.Pool, c.replaced), gone.Zone)
	if err != nil {
		return err
	}
	for _, machines := range [][]*Machine{c.Engines, c.BackEnds} {
		for i := range machines {
			if machines[i] == gone {
				machines[i] = started
			}
		}
	}
	return nil
}

func (c *Cluster) poolOf(name string) Pool {
	for _, pool := range c.Options.Pools {
		if pool.Name == name {
			return pool
		}
	}
	return Pool{}
}

func (c *Cluster) launch(pool Pool, id, zone string) (*Machine, error) {
	transport := c.Options.Networks.For(id, zone)
	listener, err := transport.Listen(c.Options.Networks.Address(id, machinePort))
	if err != nil {
		return nil, err
	}
	machine := &Machine{Machine: fleet.Machine{
		ID: id, Role: pool.Role, Pool: pool.Name, Address: listener.Addr().String(), Zone: zone,
	}}
	ctx, cancel := context.WithCancel(context.Background())
	machine.cancel = cancel
	random := rand.New(rand.NewPCG(c.Options.Seed, c.random.Uint64()))
	crasher := emulator.NewCrasher(c.Truth, func() bool { return c.crash(machine) })
	if pool.Role == fleet.RoleEngine {
		machine.Engine = emulator.NewEngine(id, pool.Model, transport, c.platformAddress, random)
		machine.Engine.Crasher = crasher
		machine.server = &http.Server{Handler: machine.Engine.Handler()}
		machine.group.Go(func() { machine.Engine.Run(ctx) })
	} else {
		machine.BackEnd = emulator.NewBackEnd(id, pool.ServiceTime, c.Truth, random)
		machine.BackEnd.Crasher = crasher
		machine.server = &http.Server{Handler: machine.BackEnd}
	}
	machine.group.Go(func() { _ = machine.server.Serve(listener) })
	c.Platform.SetMachine(machine.Machine)
	return machine, nil
}

// Crash ends a machine at once and cuts its connections.
func (m *Machine) Crash() {
	m.cancel()
	m.server.Close()
	m.group.Wait()
}

// crashReturn is how long a machine is away that a request crashed.
const crashReturn = 4 * time.Second

// crash ends a machine under a request, which is still in progress there. Another one comes
// in its place some seconds later. It reports false if the machine had ended before.
func (c *Cluster) crash(machine *Machine) bool {
	if machine.crashed.Swap(true) {
		return false
	}
	machine.cancel()
	machine.server.Close()
	c.group.Go(func() {
		if !wait.For(c.life, crashReturn) {
			return
		}
		if err := c.Replace(machine); err != nil {
			c.Truth.Violate("machine %s cannot be replaced: %v", machine.ID, err)
		}
	})
	return true
}

// BeginLeave makes a machine say that it leaves and the platform list it so.
func (c *Cluster) BeginLeave(machine *Machine) {
	if machine.BackEnd != nil {
		machine.BackEnd.Leave()
	} else {
		machine.Engine.Leave()
	}
	machine.Leaving = true
	c.Truth.Leaving(machine.ID, time.Now())
	c.Platform.SetMachine(machine.Machine)
}

func (c *Cluster) addNode(zone string, index int) error {
	name := fmt.Sprintf("node-%s-%d", zone, index)
	slot := &NodeSlot{Name: name, Zone: zone, cluster: c}
	for port, target := range map[int]*string{
		nodeHTTPPort: &slot.HTTPAddress, nodePeerPort: &slot.PeerAddress, nodeAdminPort: &slot.AdminAddr,
	} {
		*target = c.Options.Networks.Address(name, port)
	}
	c.Nodes = append(c.Nodes, slot)
	c.Platform.SetMachine(fleet.Machine{ID: name, Role: fleet.RoleNode, Address: slot.PeerAddress, Zone: zone})
	return slot.Start()
}

// Start starts the slot's node, empty.
func (s *NodeSlot) Start() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.node != nil {
		return errors.New("the node runs already")
	}
	s.starts++
	options := s.cluster.Options
	settings := node.DefaultSettings()
	settings.Name, settings.Zone = s.Name, s.Zone
	settings.HTTPAddress, settings.PeerAddress, settings.AdminAddress = s.HTTPAddress, s.PeerAddress, s.AdminAddr
	settings.LogAddress, settings.MachinesAddress = s.cluster.platformAddress, s.cluster.platformAddress
	settings.DrainTimeout = options.DrainTimeout
	settings.Seed = options.Seed*1_000_003 + s.starts*101 + hashName(s.Name)
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

func hashName(name string) uint64 {
	hash := uint64(14695981039346656037)
	for _, character := range []byte(name) {
		hash = (hash ^ uint64(character)) * 1099511628211
	}
	return hash
}

// Node returns the running node, nil if there is none.
func (s *NodeSlot) Node() *node.Node {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.node
}

// Stop ends the node, after a drain if it is a planned stop.
func (s *NodeSlot) Stop(drain bool) {
	s.mutex.Lock()
	stopped := s.node
	s.node = nil
	s.mutex.Unlock()
	if stopped == nil {
		return
	}
	if drain {
		stopped.Drain()
	}
	stopped.Stop()
}

// WaitReady waits until every running node takes work and sees all others.
func (c *Cluster) WaitReady(ctx context.Context) error {
	const pollInterval = 50 * time.Millisecond
	for {
		if c.ready() {
			return nil
		}
		if !wait.For(ctx, pollInterval) {
			return errors.Wrap(ctx.Err(), "wait for the cluster to be ready")
		}
	}
}

func (c *Cluster) ready() bool {
	running := 0
	for _, slot := range c.Nodes {
		if slot.Node() != nil {
			running++
		}
	}
	for _, slot := range c.Nodes {
		if started := slot.Node(); started != nil && !started.Settled(running) {
			return false
		}
	}
	return true
}

// NewClient returns a client of a tenant that begins at a zone's nodes.
func (c *Cluster) NewClient(tenant, host, zone string, seed uint64) *client.Client {
	var near, far []string
	for _, slot := range c.Nodes {
		if slot.Zone == zone {
			near = append(near, slot.HTTPAddress)
		} else {
			far = append(far, slot.HTTPAddress)
		}
	}
	return client.New(client.Options{
		Addresses: append(near, far...), Tenant: tenant, Network: c.Options.Networks.For(host, zone),
		Random: rand.New(&lockedSource{source: rand.NewPCG(c.Options.Seed, seed)}),
	})
}

// lockedSource makes a random source safe for concurrent use.
type lockedSource struct {
	mutex  sync.Mutex
	source rand.Source
}

func (s *lockedSource) Uint64() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.source.Uint64()
}

// Close stops everything at once.
func (c *Cluster) Close() {
	c.end()
	var stops conc.WaitGroup
	for _, slot := range c.Nodes {
		stops.Go(func() { slot.Stop(false) })
	}
	stops.Wait()
	for _, machine := range append(append([]*Machine(nil), c.Engines...), c.BackEnds...) {
		machine.Crash()
	}
	for _, server := range c.servers {
		server.Close()
	}
	c.group.Wait()
}
