// Package network is the seam between pathbend and the operating system's
// sockets. Production code uses TCP; the simulation supplies in-memory
// connections with latency and faults. Nothing else in the product opens a
// socket.
package network

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// KeepAlivePeriod is the interval of TCP keep-alive probes.
	KeepAlivePeriod = 15 * time.Second
	// UnackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection is given up. It keeps a request that is stuck behind a
	// partition from reaching a back end after that began to leave, and lets a
	// node notice a dead connection.
	UnackedTimeout = 2 * time.Second
)

// Network opens listeners and connections. Addresses are "host:port".
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// TCP is the Network of the operating system.
type TCP struct{}

// Listen announces on the local TCP address. Port 0 chooses a free port.
func (TCP) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// Dial connects to a TCP address.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAlive: KeepAlivePeriod,
		Control: func(_, _ string, connection syscall.RawConn) error {
			return limitUnacked(connection, UnackedTimeout)
		},
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// Abort closes a connection and drops what was not sent yet, where the
// connection can tell. A plain close would let the operating system go on
// sending a request that was given up.
func Abort(connection net.Conn) error {
	if lingerer, ok := connection.(interface{ SetLinger(seconds int) error }); ok {
		// The connection is closed next, whether or not the option took.
		_ = lingerer.SetLinger(0)
	}
	return connection.Close()
}
