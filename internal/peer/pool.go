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
	// dialTimeout limits one connection attempt to a peer.
	dialTimeout = 2 * time.Second
	// silenceTimeout is the time without a reply after which a call that times out
	// closes the connection as dead.
	silenceTimeout = 3 * time.Second
)

// Pool sends calls over at most one connection per peer address. It is safe for
// concurrent use.
type Pool struct {
	network network.Network
	nodeID  string

	mutex       sync.Mutex
	connections map[string]*connection
	closed      bool
	waitGroup   conc.WaitGroup

	bytesSent     atomic.Int64
	bytesReceived atomic.Int64
}

// NewPool returns a pool that sends nodeID in the Hello of its connections.
func NewPool(network network.Network, nodeID string) *Pool {
	return &Pool{network: network, nodeID: nodeID, connections: make(map[string]*connection)}
}

// Traffic returns the total bytes sent and received over the pool's connections.
func (p *Pool) Traffic() (sent, received int64) {
	return p.bytesSent.Load(), p.bytesReceived.Load()
}

// Call sends one call and waits for the reply or the end of ctx. A failure that the
// peer returns becomes the error.
func (p *Pool) Call(ctx context.Context, address string, call *pathbendv1.Envelope) (*pathbendv1.Envelope, error) {
	conn, err := p.connectionTo(ctx, address)
	if err != nil {
		return nil, result.Wrap(result.PeerUnreached, err, "dial "+address)
	}
	reply, err := conn.call(ctx, call)
	if err != nil {
		return nil, err
	}
	if failure := reply.Failure; failure != nil {
		return nil, ErrorFromFailure(failure)
	}
	return reply, nil
}

// Close closes every connection and waits until their goroutines have ended.
func (p *Pool) Close() {
	p.mutex.Lock()
	p.closed = true
	open := make([]*connection, 0, len(p.connections))
	for _, conn := range p.connections {
		open = append(open, conn)
	}
	p.mutex.Unlock()
	for _, conn := range open {
		conn.close()
	}
	p.waitGroup.Wait()
}

func (p *Pool) connectionTo(ctx context.Context, address string) (*connection, error) {
	p.mutex.Lock()
	conn, ok := p.connections[address]
	if !ok {
		if p.closed {
			p.mutex.Unlock()
			return nil, net.ErrClosed
		}
		conn = newConnection(p, address)
		p.connections[address] = conn
		p.waitGroup.Go(conn.run)
	}
	p.mutex.Unlock()
	return conn, conn.awaitReady(ctx)
}

func (p *Pool) remove(conn *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.connections[conn.address] == conn {
		delete(p.connections, conn.address)
	}
}

// connection multiplexes calls over one TCP connection. It is dialled once and
// discarded at the first error; the next call creates a new one.
type connection struct {
	pool    *Pool
	address string
	ready   chan struct{}
	dialErr error
	socket  net.Conn
	writer  *frameWriter

	// lastReplyAt is when the last reply arrived, in Unix nanoseconds; at first, when
	// the connection was established.
	lastReplyAt atomic.Int64

	mutex   sync.Mutex
	nextID  uint64
	pending map[uint64]chan *pathbendv1.Envelope
	closed  bool
}

func newConnection(pool *Pool, address string) *connection {
	return &connection{
		pool:    pool,
		address: address,
		ready:   make(chan struct{}),
		pending: make(map[uint64]chan *pathbendv1.Envelope),
	}
}

// run dials, sends the Hello and reads replies until the connection ends.
func (c *connection) run() {
	defer c.pool.remove(c)
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
	c.lastReplyAt.Store(time.Now().UnixNano())
	c.mutex.Lock()
	c.socket = counted
	c.writer = newFrameWriter(counted)
	closed := c.closed
	c.mutex.Unlock()
	if closed { // the pool was closed during the dial
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
		c.lastReplyAt.Store(time.Now().UnixNano())
		c.mutex.Lock()
		replies, ok := c.pending[reply.CallId]
		delete(c.pending, reply.CallId)
		c.mutex.Unlock()
		if ok {
			replies <- reply
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
	for id, replies := range c.pending {
		close(replies)
		delete(c.pending, id)
	}
}

// awaitReady waits until the dial has ended and returns its error.
func (c *connection) awaitReady(ctx context.Context) error {
	select {
	case <-c.ready:
		return c.dialErr
	case <-ctx.Done():
		return ctx.Err()
	}
}

// call sends the body of an envelope under a new call id and waits for the reply.
func (c *connection) call(ctx context.Context, call *pathbendv1.Envelope) (*pathbendv1.Envelope, error) {
	replies := make(chan *pathbendv1.Envelope, 1)
	c.mutex.Lock()
	if c.closed {
		c.mutex.Unlock()
		return nil, result.New(result.PeerUnreached, "connection to %s is closed", c.address)
	}
	c.nextID++
	id := c.nextID
	c.pending[id] = replies
	c.mutex.Unlock()

	if err := c.writer.write(&pathbendv1.Envelope{CallId: id, Body: call.Body}); err != nil {
		c.removePending(id)
		return nil, result.Wrap(result.PeerLost, err, "send to "+c.address)
	}
	select {
	case reply, ok := <-replies:
		if !ok {
			return nil, result.New(result.PeerLost, "connection to %s closed before the reply arrived", c.address)
		}
		return reply, nil
	case <-ctx.Done():
		c.removePending(id)
		c.closeIfSilent()
		return nil, result.Wrap(result.PeerLost, ctx.Err(), "wait for reply from "+c.address)
	}
}

// closeIfSilent closes a connection that has not received a reply for silenceTimeout, so
// that the next call dials again, for example after a partition has healed.
func (c *connection) closeIfSilent() {
	last := time.Unix(0, c.lastReplyAt.Load())
	if time.Since(last) > silenceTimeout {
		c.close()
	}
}

func (c *connection) removePending(id uint64) {
	c.mutex.Lock()
	delete(c.pending, id)
	c.mutex.Unlock()
}

// countingConn adds the bytes that it transfers to the pool's counters.
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
