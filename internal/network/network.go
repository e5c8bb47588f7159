// Package network is the seam between pathbend and the operating system's
// sockets. Production code uses TCP; the simulation supplies in-memory
// connections with latency and faults. Nothing else in the product opens a
// socket.
package network

import (
	"context"
	"net"
	"time"
)

// KeepAlivePeriod is the interval of TCP keep-alive probes.
const KeepAlivePeriod = 15 * time.Second

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
	dialer := net.Dialer{KeepAlive: KeepAlivePeriod}
	return dialer.DialContext(ctx, "tcp", address)
}
