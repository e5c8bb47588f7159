package hosted

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/peer"
	"github.com/pathbend/pathbend/internal/wait"
)

// listenRetryDelay is the pause before the ports for calls of other nodes are tried again: a
// former process of the machine may have held them for up to two seconds.
const listenRetryDelay = 500 * time.Millisecond

// takesCalls reports whether other nodes can call this one: to carry work that is bound to a
// region, or to hear of samplers. The first port of the range is that for calls to the log
// (PeerAddress).
func (s *Settings) takesCalls() bool { return s.PeerPorts[1] > s.PeerPorts[0] }

// listen takes calls of other nodes on the first free port of the range but its first,
// until ctx ends.
func (n *Node) listen(ctx context.Context) {
	if !n.settings.takesCalls() {
		return
	}
	server := peer.NewServer(peerHandler{n}, n.logger)
	for ctx.Err() == nil {
		listener, err := n.listenInRange()
		if err != nil {
			n.logger.Log(event.PeerPortsTaken, "first", n.settings.PeerPorts[0], "last", n.settings.PeerPorts[1], "detail", err.Error())
			wait.For(ctx, listenRetryDelay)
			continue
		}
		address := listener.Addr().String()
		n.peerAddress.Store(&address)
		n.logger.Log(event.PeerListening, "address", address)
		stop := context.AfterFunc(ctx, func() {
			listener.Close()
			server.Close()
		})
		// Serve ends with its listener, which ends with ctx.
		_ = server.Serve(listener)
		stop()
		break
	}
	server.Close()
}

func (n *Node) listenInRange() (net.Listener, error) {
	var lastErr error
	for port := n.settings.PeerPorts[0] + 1; port <= n.settings.PeerPorts[1]; port++ {
		listener, err := n.ports.Network.Listen(net.JoinHostPort(n.settings.IP, strconv.Itoa(port)))
		if err == nil {
			return listener, nil
		}
		lastErr = err
	}
	return nil, lastErr
}
