package simnet

import (
	"cmp"
	"context"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pathbend/pathbend/internal/network"
)

// windowBytes is the number of bytes in flight in one direction of a connection
// at which a writer blocks.
const windowBytes = 1 << 20

// segment is the data of one Write, in flight.
type segment struct {
	data      []byte
	sentAt    time.Time
	arrivesAt time.Time
}

// pipe is one direction of a connection.
type pipe struct {
	network   *Network
	direction direction
	id        uint64

	mutex         sync.Mutex
	segments      []segment
	inFlightBytes int
	segmentCount  uint64
	lastArrival   time.Time
	// closedAt is when the end of the stream arrives; zero while the pipe is open.
	closedAt time.Time
	broken   bool
	// changed is closed and replaced whenever waiters have to check the state
	// again.
	changed chan struct{}
}

func newPipe(n *Network, d direction, id uint64) *pipe {
	return &pipe{network: n, direction: d, id: id, changed: make(chan struct{})}
}

// wake makes readers and writers that wait on the pipe check its state again.
func (p *pipe) wake() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.wakeLocked()
}

// wakeLocked is wake for a caller that holds p.mutex.
func (p *pipe) wakeLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// scheduleArrival assigns the next segment an arrival time, which is after that
// of every earlier segment. The caller holds p.mutex.
func (p *pipe) scheduleArrival() time.Time {
	p.segmentCount++
	at := time.Now().Add(p.network.segmentLatency(p.direction, p.id, p.segmentCount))
	if !at.After(p.lastArrival) {
		at = p.lastArrival.Add(1)
	}
	p.lastArrival = at
	return at
}

// unackedTimedOut reports whether the pipe has direction d and its oldest bytes
// in flight have been unacknowledged for network.UnackedTimeout.
func (p *pipe) unackedTimedOut(d direction) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.direction == d && len(p.segments) > 0 && time.Since(p.segments[0].sentAt) >= network.UnackedTimeout
}

// awaitHandshake sends one empty segment over the pipe and waits until it arrives.
func (p *pipe) awaitHandshake(ctx context.Context, c *conn) error {
	p.mutex.Lock()
	at := p.scheduleArrival()
	p.mutex.Unlock()
	for {
		p.mutex.Lock()
		changed, broken := p.changed, p.broken
		p.mutex.Unlock()
		if broken {
			return syscall.ECONNRESET
		}
		wait := time.Until(at)
		if wait <= 0 && !p.network.blocked(p.direction) {
			return nil
		}
		if err := waitFor(ctx.Done(), changed, wait); err != nil {
			return ctx.Err()
		}
	}
}

// waitFor waits until changed is closed or the time has passed, unless it is 0 or
// less, and returns an error if done is closed first.
func waitFor(done <-chan struct{}, changed <-chan struct{}, wait time.Duration) error {
	var due <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-changed:
		return nil
	case <-due:
		return nil
	case <-done:
		return context.Canceled
	}
}

// conn is one end of a connection.
type conn struct {
	network       *Network
	local, remote string
	send, receive *pipe
	peer          *conn
	number        uint64

	mutex         sync.Mutex
	readDeadline  time.Time
	writeDeadline time.Time
	closed        bool
	resetOnClose  bool
}

// sortConns sorts connections by the order of their creation.
func sortConns(conns []*conn) {
	slices.SortFunc(conns, func(a, b *conn) int { return cmp.Compare(a.number, b.number) })
}

// state returns the deadlines, zero for none, and whether this end is closed.
func (c *conn) state() (readBy, writeBy time.Time, closed bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.readDeadline, c.writeDeadline, c.closed
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (int, error) {
	p := c.receive
	for {
		deadline, _, closed := c.state()
		now := time.Now()
		p.mutex.Lock()
		n, wait, err := p.receive(buffer, now)
		changed := p.changed
		p.mutex.Unlock()
		switch {
		case closed:
			return 0, net.ErrClosed
		case n > 0 || err != nil:
			return n, err
		case !deadline.IsZero() && !now.Before(deadline):
			return 0, os.ErrDeadlineExceeded
		}
		if !deadline.IsZero() && (wait <= 0 || deadline.Sub(now) < wait) {
			wait = deadline.Sub(now)
		}
		_ = waitFor(nil, changed, wait)
	}
}

// receive moves bytes that have arrived into buffer. Without any it returns how
// long to wait for the next; 0 means until the pipe changes. The caller holds
// p.mutex.
func (p *pipe) receive(buffer []byte, now time.Time) (int, time.Duration, error) {
	if p.broken {
		return 0, 0, &net.OpError{Op: "read", Net: "sim", Err: syscall.ECONNRESET}
	}
	if p.network.blocked(p.direction) {
		return 0, 0, nil
	}
	if len(p.segments) == 0 {
		return p.receiveEOF(now)
	}
	first := &p.segments[0]
	if now.Before(first.arrivesAt) {
		return 0, first.arrivesAt.Sub(now), nil
	}
	n := copy(buffer, first.data)
	first.data = first.data[n:]
	p.inFlightBytes -= n
	if len(first.data) == 0 {
		p.segments = p.segments[1:]
	}
	p.wakeLocked()
	return n, 0, nil
}

// receiveEOF returns io.EOF if the end of the stream has arrived, or how long to
// wait for it. The caller holds p.mutex.
func (p *pipe) receiveEOF(now time.Time) (int, time.Duration, error) {
	switch {
	case p.closedAt.IsZero():
		return 0, 0, nil
	case now.Before(p.closedAt):
		return 0, p.closedAt.Sub(now), nil
	default:
		return 0, 0, io.EOF
	}
}

// Write implements net.Conn.
func (c *conn) Write(buffer []byte) (int, error) {
	p := c.send
	for {
		_, deadline, closed := c.state()
		now := time.Now()
		p.mutex.Lock()
		broken, full, changed := p.broken, p.inFlightBytes >= windowBytes, p.changed
		switch {
		case closed:
			p.mutex.Unlock()
			return 0, net.ErrClosed
		case broken || !p.closedAt.IsZero():
			p.mutex.Unlock()
			return 0, &net.OpError{Op: "write", Net: "sim", Err: syscall.EPIPE}
		case !deadline.IsZero() && !now.Before(deadline):
			p.mutex.Unlock()
			return 0, os.ErrDeadlineExceeded
		case !full:
			p.segments = append(p.segments, segment{data: slices.Clone(buffer), sentAt: now, arrivesAt: p.scheduleArrival()})
			p.inFlightBytes += len(buffer)
			p.wakeLocked()
			p.mutex.Unlock()
			return len(buffer), nil
		}
		p.mutex.Unlock()
		var wait time.Duration
		if !deadline.IsZero() {
			wait = deadline.Sub(now)
		}
		_ = waitFor(nil, changed, wait)
	}
}

// SetLinger with 0 seconds makes Close reset the connection, which discards the
// data in flight. Other values restore the graceful close.
func (c *conn) SetLinger(seconds int) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.resetOnClose = seconds == 0
	return nil
}

// Close implements net.Conn. The peer reads what was sent and then EOF, and its
// further writes fail.
func (c *conn) Close() error {
	c.mutex.Lock()
	if c.closed {
		c.mutex.Unlock()
		return net.ErrClosed
	}
	c.closed = true
	resetOnClose := c.resetOnClose
	c.mutex.Unlock()
	if resetOnClose {
		c.reset()
		return nil
	}
	for _, p := range []*pipe{c.send, c.receive} {
		p.mutex.Lock()
		if p.closedAt.IsZero() {
			p.closedAt = p.scheduleArrival()
		}
		p.wakeLocked()
		p.mutex.Unlock()
	}
	c.network.removeConn(c)
	return nil
}

// reset breaks both directions at once. Bytes in flight are lost.
func (c *conn) reset() {
	for _, p := range []*pipe{c.send, c.receive} {
		p.mutex.Lock()
		p.broken = true
		p.wakeLocked()
		p.mutex.Unlock()
	}
	c.network.removeConn(c)
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return address(c.local) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return address(c.remote) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(at time.Time) error {
	_ = c.SetReadDeadline(at)
	return c.SetWriteDeadline(at)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.mutex.Lock()
	c.readDeadline = at
	c.mutex.Unlock()
	c.receive.wake()
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(at time.Time) error {
	c.mutex.Lock()
	c.writeDeadline = at
	c.mutex.Unlock()
	c.send.wake()
	return nil
}

// address is the address of a simulated host.
type address string

// Network implements net.Addr.
func (address) Network() string { return "sim" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// listener accepts the connections to one address of a host.
type listener struct {
	network *Network
	host    string
	address string
	backlog chan *conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case accepted := <-l.backlog:
		return accepted, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mutex.Lock()
		defer l.network.mutex.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }
