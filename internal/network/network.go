// Package network abstracts the operating system's sockets. Production code uses
// TCP; the simulation provides in-memory connections with latency and faults. All
// production code opens its sockets through this package.
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
	// connection is closed. It prevents a request that is delayed by a partition
	// from reaching a back end that has begun to shut down, and lets a node detect
	// a dead connection.
	UnackedTimeout = 2 * time.Second
)

// Network opens listeners and connections. Addresses are "host:port".
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// TCP is the Network of the operating system.
type TCP struct{}

// Listen listens on a local TCP address. Port 0 selects a free port.
func (TCP) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// Dial connects to a TCP address with keep-alive probes and UnackedTimeout.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAlive: KeepAlivePeriod,
		Control: func(_, _ string, connection syscall.RawConn) error {
			return limitUnacked(connection, UnackedTimeout)
		},
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// Abort closes a connection and, if the connection supports SetLinger, discards unsent
// data. A plain close would let the operating system continue to send a request that
// was abandoned.
func Abort(connection net.Conn) error {
	if lingerer, ok := connection.(interface{ SetLinger(seconds int) error }); ok {
		// The connection is closed in any case, also if the option cannot be set.
		_ = lingerer.SetLinger(0)
	}
	return connection.Close()
}
