package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/result"
)

const (
	// dialTimeout bounds one connection attempt to a peer.
	dialTimeout = 2 * time.Second
	// silenceLimit is how long a connection may deliver nothing while a call
	// times out before it is taken for dead.
	silenceLimit = 3 * time.Second
)

// Pool holds at most one connection per peer address.
type Pool struct {
	network network.Network
	nodeID  string

	mutex       sync.Mutex
	connections map[string]*connection
	closed      bool
	group       conc.WaitGroup

	bytesSent     atomic.Int64
	bytesReceived atomic.Int64
}

// NewPool returns a pool that introduces itself as nodeID.
func NewPool(network network.Network, nodeID string) *Pool {
	return &Pool{network: network, nodeID: nodeID, connections: make(map[string]*connection)}
}

// Traffic returns the bytes sent and received over the pool's connections.
func (p *Pool) Traffic() (sent, received int64) {
	return p.bytesSent.Load(), p.bytesReceived.Load()
}

// Call sends one call and waits for its reply or the end of ctx.
func (p *Pool) Call(ctx context.Context, address string, call *pathbendv1.Envelope) (*pathbendv1.Envelope, error) {
	target, err := p.connectionTo(ctx, address)
	if err != nil {
		return nil, result.Wrap(result.PeerUnreached, err, "dial "+address)
	}
	reply, err := target.call(ctx, call)
	if err != nil {
		return nil, err
	}
	if failure := reply.Failure; failure != nil {
		return nil, ErrorOf(failure)
	}
	return reply, nil
}

// Close ends every connection and waits for their readers.
func (p *Pool) Close() {
	p.mutex.Lock()
	p.closed = true
	open := make([]*connection, 0, len(p.connections))
	for _, target := range p.connections {
		open = append(open, target)
	}
	p.mutex.Unlock()
	for _, target := range open {
		target.close()
	}
	p.group.Wait()
}

func (p *Pool) connectionTo(ctx context.Context, address string) (*connection, error) {
	p.mutex.Lock()
	target, ok := p.connections[address]
	if !ok {
		if p.closed {
			p.mutex.Unlock()
			return nil, net.ErrClosed
		}
		target = newConnection(p, address)
		p.connections[address] = target
		p.group.Go(target.run)
	}
	p.mutex.Unlock()
	return target, target.awaitReady(ctx)
}

func (p *Pool) forget(target *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.connections[target.address] == target {
		delete(p.connections, target.address)
	}
}

// connection multiplexes calls over one TCP connection. It is dialled once and
// discarded at the first error; the pool then makes a new one.
type connection struct {
	pool    *Pool
	address string
	ready   chan struct{}
	dialErr error
	socket  net.Conn
	writer  *frameWriter

	// lastRead is when the last reply arrived, in Unix nanoseconds.
	lastRead atomic.Int64

	mutex   sync.Mutex
	nextID  uint64
	waiting map[uint64]chan *pathbendv1.Envelope
	closed  bool
}

func newConnection(pool *Pool, address string) *connection {
	return &connection{
		pool:    pool,
		address: address,
		ready:   make(chan struct{}),
		waiting: make(map[uint64]chan *pathbendv1.Envelope),
	}
}

// run dials, introduces the node and then reads replies until the end.
func (c *connection) run() {
	defer c.pool.forget(c)
	err := c.dial()
	c.dialErr = err
	close(c.ready)
	if err != nil {
		return
	}
	c.readReplies()
	c.close()
}

func (c *connection) dial() error {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	socket, err := c.pool.network.Dial(ctx, c.address)
	if err != nil {
		return err
	}
	counted := &countingConn{Conn: socket, pool: c.pool}
	c.lastRead.Store(time.Now().UnixNano())
	c.mutex.Lock()
	c.socket = counted
	c.writer = newFrameWriter(counted)
	closed := c.closed
	c.mutex.Unlock()
	if closed { // the pool was closed while the dial was under way
		counted.Close()
		return net.ErrClosed
	}
	hello := &pathbendv1.Hello{ProtocolVersion: ProtocolVersion, NodeId: c.pool.nodeID}
	return c.writer.write(&pathbendv1.Envelope{Body: &pathbendv1.Envelope_Hello{Hello: hello}})
}

func (c *connection) readReplies() {
	reader := bufio.NewReader(c.socket)
	for {
		reply, err := ReadEnvelope(reader)
		if err != nil {
			return
		}
		c.lastRead.Store(time.Now().UnixNano())
		c.mutex.Lock()
		waiter, ok := c.waiting[reply.CallId]
		delete(c.waiting, reply.CallId)
		c.mutex.Unlock()
		if ok {
			waiter <- reply
		}
	}
}

func (c *connection) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.socket != nil {
		c.socket.Close()
	}
	if c.closed {
		return
	}
	c.closed = true
	for id, waiter := range c.waiting {
		close(waiter)
		delete(c.waiting, id)
	}
}

func (c *connection) awaitReady(ctx context.Context) error {
	select {
	case <-c.ready:
		return c.dialErr
	case <-ctx.Done():
		return ctx.Err()
	}
}

// call sends a copy of the envelope's body under a fresh id.
func (c *connection) call(ctx context.Context, call *pathbendv1.Envelope) (*pathbendv1.Envelope, error) {
	waiter := make(chan *pathbendv1.Envelope, 1)
	c.mutex.Lock()
	if c.closed {
		c.mutex.Unlock()
		return nil, result.New(result.PeerUnreached, "connection to %s is closed", c.address)
	}
	c.nextID++
	id := c.nextID
	c.waiting[id] = waiter
	c.mutex.Unlock()

	if err := c.writer.write(&pathbendv1.Envelope{CallId: id, Body: call.Body}); err != nil {
		c.abandon(id)
		return nil, result.Wrap(result.PeerLost, err, "send to "+c.address)
	}
	select {
	case reply, ok := <-waiter:
		if !ok {
			return nil, result.New(result.PeerLost, "connection to %s ended", c.address)
		}
		return reply, nil
	case <-ctx.Done():
		c.abandon(id)
		c.closeIfSilent()
		return nil, result.Wrap(result.PeerLost, ctx.Err(), "await reply of "+c.address)
	}
}

// closeIfSilent gives up a connection on which nothing arrives any more, so
// that the next call dials afresh, as after a healed partition.
func (c *connection) closeIfSilent() {
	last := time.Unix(0, c.lastRead.Load())
	if time.Since(last) > silenceLimit {
		c.close()
	}
}

func (c *connection) abandon(id uint64) {
	c.mutex.Lock()
	delete(c.waiting, id)
	c.mutex.Unlock()
}

// countingConn counts the bytes of control traffic.
type countingConn struct {
	net.Conn
	pool *Pool
}

func (c *countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.pool.bytesReceived.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.pool.bytesSent.Add(int64(n))
	return n, err
}
