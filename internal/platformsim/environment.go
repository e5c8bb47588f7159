package platformsim

import (
	"context"
	"io"
	"log/slog"
	"net"
	"time"

	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/simnet"
	"github.com/pathbend/pathbend/platform"
)

// Environment is the environment in which the machines of a world run: network links and
// processes, either simulated or real.
type Environment interface {
	// Network returns the network as seen by a machine in a zone.
	Network(machine, zone string) network.Network
	// Listen opens a port of a machine and returns the address at which others reach it. The
	// address stays the same over restarts of the machine.
	Listen(machine, zone, port string) (net.Listener, string, error)
	// Front and Readiness return the addresses at which callers reach a node.
	Front(node string) string
	Readiness(node string) string
	// StartNode starts the process of a node.
	StartNode(settings platform.Settings, logs io.Writer) (NodeProcess, error)
	// Pause stops a node's process until Resume; its clock keeps running.
	Pause(node string)
	Resume(node string)
	// Crash disconnects all links of a machine until Restore.
	Crash(machine string)
	Restore(machine string)
	// Isolate holds back all traffic between the machines inside and those outside, in both
	// directions, until Rejoin.
	Isolate(inside, outside []string)
	Rejoin(inside, outside []string)
}

// NodeProcess is a running process of a node.
type NodeProcess interface {
	// Kill ends the process immediately; Terminate requests an orderly shutdown.
	Kill()
	Terminate()
	// Done is closed once the process has ended.
	Done() <-chan struct{}
}

// simulatedEnvironment implements Environment with in-memory links and a goroutine per node.
type simulatedEnvironment struct{ links }

// links is an alias, so that the name of the embedded field does not hide the method Network.
type links = *simnet.Network

// zoneLatency returns the one-way latency between zones. If remoteLatency is not 0, it is the
// latency between remoteZone and every other zone.
func zoneLatency(remoteLatency time.Duration) simnet.LatencyFunc {
	return func(from, to string) time.Duration {
		switch {
		case from == to:
			return 100 * time.Microsecond
		case remoteLatency > 0 && (from == remoteZone || to == remoteZone):
			return remoteLatency
		default:
			return 700 * time.Microsecond
		}
	}
}

func newSimulatedEnvironment(seed uint64, remoteLatency time.Duration) simulatedEnvironment {
	return simulatedEnvironment{simnet.New(seed, zoneLatency(remoteLatency))}
}

func (s simulatedEnvironment) Network(machine, zone string) network.Network {
	return s.For(machine, zone)
}

func (s simulatedEnvironment) Listen(machine, zone, port string) (net.Listener, string, error) {
	listener, err := s.For(machine, zone).Listen(machine + port)
	return listener, machine + port, err
}

func (simulatedEnvironment) Front(node string) string     { return node + frontPort }
func (simulatedEnvironment) Readiness(node string) string { return node + readinessPort }

// minPeerPort and maxPeerPort bound the ports at which nodes listen for other nodes.
const (
	minPeerPort = 7000
	maxPeerPort = 7003
)

func (s simulatedEnvironment) StartNode(settings platform.Settings, logs io.Writer) (NodeProcess, error) {
	settings.PortRange = []int{minPeerPort, maxPeerPort}
	logger := event.Discard()
	if logs != nil {
		logger = event.NewLogger(logs, slog.LevelDebug, "node", settings.NodeName)
	}
	node := &simulatedNode{process: platform.NewProcess(settings, s.For(settings.NodeName, settings.Zone), logger), done: make(chan struct{})}
	var ctx context.Context
	ctx, node.stop = context.WithCancel(context.Background())
	go func() {
		defer close(node.done)
		// The process only ends when it is killed or asked to stop; neither is an error.
		_ = node.process.Run(ctx, "")
	}()
	return node, nil
}

func (s simulatedEnvironment) Isolate(inside, outside []string) {
	forEachLink(inside, outside, s.Block)
}
func (s simulatedEnvironment) Rejoin(inside, outside []string) {
	forEachLink(inside, outside, s.Unblock)
}

func forEachLink(inside, outside []string, apply func(from, to string)) {
	for _, one := range inside {
		for _, other := range outside {
			apply(one, other)
			apply(other, one)
		}
	}
}

type simulatedNode struct {
	process *platform.Process
	stop    context.CancelFunc
	done    chan struct{}
}

func (n *simulatedNode) Kill() {
	n.process.Abort()
	<-n.done
	n.stop()
}

func (n *simulatedNode) Terminate()            { n.stop() }
func (n *simulatedNode) Done() <-chan struct{} { return n.done }
