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

// Surroundings are what the machines of a world stand on: links and processes,
// simulated ones or real ones.
type Surroundings interface {
	// Network is the network as a machine in a zone sees it.
	Network(machine, zone string) network.Network
	// Listen opens a port of a machine and returns the address at which others reach
	// it, the same each time.
	Listen(machine, zone, port string) (net.Listener, string, error)
	// Front and Readiness are the addresses of a node as its callers know them.
	Front(node string) string
	Readiness(node string) string
	// StartNode starts the process of a node.
	StartNode(settings platform.Settings, logs io.Writer) (NodeProcess, error)
	// Pause holds a node's process until Resume; its clock goes on.
	Pause(node string)
	Resume(node string)
	// Crash cuts all links of a machine until Restore.
	Crash(machine string)
	Restore(machine string)
	// Isolate keeps back all that machines inside send to those outside, and the other way
	// round, until Rejoin.
	Isolate(inside, outside []string)
	Rejoin(inside, outside []string)
}

// NodeProcess is a running process of a node.
type NodeProcess interface {
	// Kill ends it at once, Terminate asks it to stop in order.
	Kill()
	Terminate()
	// Done is closed once it has ended.
	Done() <-chan struct{}
}

// simulated is a world of in-memory links, with its nodes as goroutines.
type simulated struct{ links }

// links gives the embedded network a name that does not hide the method Network.
type links = *simnet.Network

// latency returns the time between zones, one way, of which farZone lies at a distance from
// the others, none if that is 0.
func latency(distance time.Duration) simnet.Latency {
	return func(from, to string) time.Duration {
		switch {
		case from == to:
			return 100 * time.Microsecond
		case distance > 0 && (from == farZone || to == farZone):
			return distance
		default:
			return 700 * time.Microsecond
		}
	}
}

func newSimulated(seed uint64, distance time.Duration) simulated {
	return simulated{simnet.New(seed, latency(distance))}
}

func (s simulated) Network(machine, zone string) network.Network { return s.For(machine, zone) }

func (s simulated) Listen(machine, zone, port string) (net.Listener, string, error) {
	listener, err := s.For(machine, zone).Listen(machine + port)
	return listener, machine + port, err
}

func (simulated) Front(node string) string     { return node + frontPort }
func (simulated) Readiness(node string) string { return node + readinessPort }

// peerPort is the first port at which nodes may listen to each other, lastPeerPort the last.
const (
	peerPort     = 7000
	lastPeerPort = 7003
)

func (s simulated) StartNode(settings platform.Settings, logs io.Writer) (NodeProcess, error) {
	settings.PortRange = []int{peerPort, lastPeerPort}
	logger := event.Discard()
	if logs != nil {
		logger = event.NewLogger(logs, slog.LevelDebug, "node", settings.Node)
	}
	started := &simulatedNode{process: platform.NewProcess(settings, s.For(settings.Node, settings.Zone), logger), done: make(chan struct{})}
	var ctx context.Context
	ctx, started.stop = context.WithCancel(context.Background())
	go func() {
		defer close(started.done)
		// The process ends because it is killed or told to: either is no error.
		_ = started.process.Run(ctx, "")
	}()
	return started, nil
}

func (s simulated) Isolate(inside, outside []string) { eachLink(inside, outside, s.Hold) }
func (s simulated) Rejoin(inside, outside []string)  { eachLink(inside, outside, s.Release) }

func eachLink(inside, outside []string, act func(from, to string)) {
	for _, one := range inside {
		for _, other := range outside {
			act(one, other)
			act(other, one)
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
