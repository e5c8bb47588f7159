package node

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/pathbend/pathbend/internal/admission"
	"github.com/pathbend/pathbend/internal/config"
	"github.com/pathbend/pathbend/internal/controlstate"
	"github.com/pathbend/pathbend/internal/controlstream"
	"github.com/pathbend/pathbend/internal/dispatch"
	"github.com/pathbend/pathbend/internal/engine"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/fleet"
	"github.com/pathbend/pathbend/internal/gateway"
	"github.com/pathbend/pathbend/internal/keyed"
	"github.com/pathbend/pathbend/internal/logstore"
	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/peer"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/rollout"
)

// Node is one pathbend process. Its methods are safe for concurrent use, except that Start
// must be called once and before Drain and Stop.
type Node struct {
	id        string
	settings  Settings
	network   network.Network
	logger    *event.Logger
	startedAt time.Time

	log           *logstore.Client
	machineClient *fleet.ListClient
	machines      machineCache
	follower      *controlstream.Follower
	members       *members
	fleet         *fleet.Fleet
	engines       *engine.Client
	replicas      *replicas
	gate          *admission.Gate
	quotas        *quotas
	exchanger     *dispatch.Exchanger
	keyed         *keyed.Executor
	jobs          *jobs
	manager       *rollout.Manager
	weights       *weightUpdater
	suspects      *suspects
	gateway       *gateway.Gateway
	metrics       *metrics

	peers      *peer.Pool
	peerServer *peer.Server

	// current is the configuration revision in effect. It is replaced as a whole.
	current atomic.Pointer[controlstate.Revision]

	idMutex  sync.Mutex
	idRandom *rand.Rand

	ctx         context.Context
	cancel      context.CancelFunc
	loops       conc.WaitGroup
	listeners   []net.Listener
	httpServer  *http.Server
	adminServer *http.Server

	readyOnce sync.Once
	drainOnce sync.Once
	drained   chan struct{}
	draining  atomic.Bool
}

// randomIDBytes is the length in bytes of the random part of ids.
const randomIDBytes = 8

// New returns a node that is not started. It fails if the settings are invalid.
func New(settings Settings, transport network.Network, logger *event.Logger) (*Node, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	seed := settings.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	n := &Node{
		settings: settings, network: transport, logger: logger, startedAt: time.Now(),
		idRandom: rand.New(rand.NewPCG(seed, 1)),
		drained:  make(chan struct{}),
	}
	n.id = settings.Name + "-" + n.randomHex()
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.log = logstore.NewClient(transport, settings.LogAddress)
	n.machineClient = fleet.NewListClient(transport, settings.MachinesAddress)
	n.peers = peer.NewPool(transport, n.id)
	n.peerServer = peer.NewServer(n, logger)
	n.metrics = newMetrics(n)
	n.fleet = fleet.New(rand.New(rand.NewPCG(seed, 2)), logger)
	n.engines = engine.NewClient(transport)
	n.members = newMembers(n, rand.New(rand.NewPCG(seed, 3)))
	n.replicas = newReplicas(n)
	n.gate = admission.NewGate()
	n.quotas = newQuotas(n)
	n.weights = newWeightUpdater(n)
	n.follower = controlstream.NewFollower(n, n.onStateChange, logger)
	n.exchanger = dispatch.NewExchanger(transport)
	n.suspects = newSuspects(n)
	dispatcher := dispatch.NewDispatcher(n.exchanger, dispatch.NativeProtocol{}, n.fleet, n.suspects.guard, settings.Zone, n.NewID, logger)
	n.keyed = keyed.NewExecutor(n.id, n.replicas, dispatcher, n.NewID)
	generator := &generator{node: n}
	n.manager = rollout.NewManager(generator, logger)
	n.jobs = &jobs{node: n}
	n.gateway = gateway.New(gateway.Services{
		Configuration: n, Admission: n.gate, Dispatcher: dispatcher, IdempotentDispatcher: n.keyed,
		Completer: generator, Jobs: n.jobs, Recorder: n.metrics, Logger: logger, NewID: n.NewID, NodeID: n.id,
	})
	return n, nil
}

// ID returns the id of the process. Every process has a new one.
func (n *Node) ID() string { return n.id }

// NewID returns a unique id that begins with the id of this process.
func (n *Node) NewID() string { return n.id + "." + n.randomHex() }

// randomHex returns randomIDBytes random bytes in hexadecimal.
func (n *Node) randomHex() string {
	n.idMutex.Lock()
	defer n.idMutex.Unlock()
	var buffer [randomIDBytes]byte
	binary.BigEndian.PutUint64(buffer[:], n.idRandom.Uint64())
	return hex.EncodeToString(buffer[:])
}

// Current implements gateway.Configuration. It returns nil and 0 if there is no
// configuration or this node has not read the log to its end.
func (n *Node) Current() (*config.Document, uint64) {
	revision := n.current.Load()
	if revision == nil || !n.follower.CaughtUp() {
		return nil, 0
	}
	return revision.Document, revision.Number
}

// Start opens the listeners and starts the servers and background loops.
func (n *Node) Start() error {
	n.logger.Log(event.NodeStarting, "node", n.id, "zone", n.settings.Zone, "http", n.settings.HTTPAddress, "peer", n.settings.PeerAddress)
	peerListener, err := n.listen(n.settings.PeerAddress)
	if err != nil {
		return err
	}
	httpListener, err := n.listen(n.settings.HTTPAddress)
	if err != nil {
		return err
	}
	adminListener, err := n.listen(n.settings.AdminAddress)
	if err != nil {
		return err
	}
	n.httpServer = n.gateway.Server()
	n.adminServer = &http.Server{Handler: n.adminHandler(), ReadHeaderTimeout: adminHeaderTimeout}
	// Each Serve returns an error when its listener or server is closed.
	n.loops.Go(func() { _ = n.peerServer.Serve(peerListener) })
	n.loops.Go(func() { _ = n.httpServer.Serve(httpListener) })
	n.loops.Go(func() { _ = n.adminServer.Serve(adminListener) })
	for _, loop := range []func(context.Context){
		n.machinesLoop, n.follower.Run, n.members.loop, n.pollEnginesLoop, n.replicas.loop, n.weights.loop, n.rosterLoop, n.quotas.loop,
	} {
		n.loops.Go(func() { loop(n.ctx) })
	}
	return nil
}

// listen opens a listener. If it fails, it closes those that are open already.
func (n *Node) listen(address string) (net.Listener, error) {
	listener, err := n.network.Listen(address)
	if err != nil {
		n.closeListeners()
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	n.listeners = append(n.listeners, listener)
	return listener, nil
}

func (n *Node) closeListeners() {
	for _, listener := range n.listeners {
		listener.Close()
	}
}

// Ready reports whether the node takes new work.
func (n *Node) Ready() bool {
	document, _ := n.Current()
	return document != nil && !n.draining.Load()
}

// logReadyOnce logs when the node is ready for the first time.
func (n *Node) logReadyOnce() {
	if !n.Ready() {
		return
	}
	n.readyOnce.Do(func() {
		_, revision := n.Current()
		n.logger.Log(event.NodeReady, "revision", revision, "after_ms", time.Since(n.startedAt).Milliseconds())
	})
}

// Drain announces that the node is leaving, refuses new work as not run, completes the
// requests in progress and hands over its jobs. Requests that are still in progress after the
// drain timeout are answered that their outcome is unknown. A second call waits for the first.
func (n *Node) Drain() {
	n.drainOnce.Do(func() {
		defer close(n.drained)
		n.drain()
	})
	<-n.drained
}

func (n *Node) drain() {
	n.logger.Log(event.NodeDraining, "active", n.gateway.ActiveRequests())
	n.draining.Store(true)
	n.members.leave()
	n.gate.Close(result.New(result.Draining, "this node is leaving"))
	idle := n.gateway.Drain()
	n.jobs.handOver()
	if !closedWithin(idle, n.settings.DrainTimeout) {
		n.logger.Log(event.DrainTimedOut, "active", n.gateway.ActiveRequests())
		n.gateway.Interrupt()
		if !closedWithin(idle, finalAnswerTimeout) {
			n.logger.Log(event.DrainTimedOut, "active", n.gateway.ActiveRequests(), "detail", "requests are cut off")
		}
	}
	n.leaveRoster()
}

// finalAnswerTimeout limits the time for answering the requests that are still in progress
// after the drain timeout.
const finalAnswerTimeout = 300 * time.Millisecond

// closedWithin waits for a channel to be closed, and returns false if that takes longer than
// timeout.
func closedWithin(channel <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-channel:
		return true
	case <-timer.C:
		return false
	}
}

// Stop stops the node immediately and aborts requests in progress. For a graceful shutdown
// call Drain first.
func (n *Node) Stop() {
	n.members.depart()
	n.cancel()
	n.httpServer.Close()
	n.adminServer.Close()
	n.closeListeners()
	n.manager.Close()
	n.peerServer.Close()
	n.peers.Close()
	n.loops.Wait()
	n.keyed.Wait()
	n.exchanger.Close()
	n.engines.Close()
	n.log.Close()
	n.machineClient.Close()
	n.logger.Log(event.NodeStopped, "node", n.id)
}
