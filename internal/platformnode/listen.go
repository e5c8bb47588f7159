package platformnode

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/peer"
	"github.com/pathbend/pathbend/internal/wait"
)

// listenRetryDelay is the delay before the ports for calls of other nodes are tried again: an
// earlier process of the machine may hold them for up to 2 s.
const listenRetryDelay = 500 * time.Millisecond

// acceptsPeerCalls reports whether other nodes can call this one, to have it execute work that
// is bound to a region or to read entries of samplers. The first port of the range is reserved
// for calls to the log (see PeerAddress), so it takes a range of at least two ports.
func (s *Settings) acceptsPeerCalls() bool { return s.PeerPorts[1] > s.PeerPorts[0] }

// listen accepts calls of other nodes until ctx ends, on the first free port of the range
// after the port for calls to the log.
func (n *Node) listen(ctx context.Context) {
	if !n.settings.acceptsPeerCalls() {
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

// listenInRange listens on the first free port of the range. It returns the error of the last
// port if none is free.
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
