package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/pathbend/pathbend/internal/network"
)

// linkState controls how a proxy forwards traffic. The zero value forwards everything.
type linkState struct {
	// blockRequests holds back the bytes that callers send, blockResponses those that the
	// target sends. They are forwarded once the direction is unblocked.
	blockRequests, blockResponses bool
	// reset resets all open connections and each new one.
	reset bool
	// delay is added to each chunk that is forwarded, in both directions.
	delay time.Duration
}

// proxy forwards TCP connections from a listener to a target.
type proxy struct {
	listener net.Listener
	// listenAddress stays the same when the proxy stops listening and resumes.
	listenAddress string
	// group holds the goroutines that close waits for.
	group conc.WaitGroup
	// latency is always added to each chunk that is forwarded, in both directions.
	latency time.Duration
	// source is the source address of connections to the target; nil lets the system choose it.
	source *net.TCPAddr

	mutex  sync.Mutex
	target string
	state  linkState
	// stateChanged is closed and replaced on each change of state, silent or closed.
	stateChanged chan struct{}
	open         map[net.Conn]struct{}
	// silent holds the connections that no longer forward anything, not even their end.
	silent map[net.Conn]struct{}
	closed bool
	// onDial is called with a caller's address and whether its connection reached a listener at
	// the target. It may be nil.
	onDial func(caller string, connected bool)
}

// newProxy returns a proxy without latency that listens on a free loopback port.
func newProxy(target string) (*proxy, error) { return newLatencyProxy(target, 0, nil) }

// newLatencyProxy returns a proxy with a one-way latency that listens on a free loopback port. Its
// connections to the target come from source, if it is not nil.
func newLatencyProxy(target string, latency time.Duration, source *net.TCPAddr) (*proxy, error) {
	return newProxyAt(loopback+":0", target, latency, source)
}

// newProxyAt is newLatencyProxy for a given listen address.
func newProxyAt(address, target string, latency time.Duration, source *net.TCPAddr) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, listenAddress: listener.Addr().String(), target: target, latency: latency, source: source, stateChanged: make(chan struct{}), open: make(map[net.Conn]struct{}), silent: make(map[net.Conn]struct{})}
	p.group.Go(func() { p.accept(listener) })
	return p, nil
}

func (p *proxy) address() string { return p.listenAddress }

// stopListening closes the listener and resets all connections except silent ones, like a machine
// whose process has ended.
func (p *proxy) stopListening() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	// The accept loop ends even if Close returns an error.
	_ = p.listener.Close()
	p.abortAll()
}

const (
	// maxListenAttempts and listenRetryInterval limit the wait for the proxy's port to become
	// free again.
	maxListenAttempts   = 50
	listenRetryInterval = 20 * time.Millisecond
)

// resumeListening accepts connections again, at the same address, and forwards them to a new
// target.
func (p *proxy) resumeListening(target string) error {
	p.setTarget(target)
	var lastErr error
	for range maxListenAttempts {
		listener, err := net.Listen("tcp", p.listenAddress)
		if err == nil {
			return p.useListener(listener)
		}
		lastErr = err
		time.Sleep(listenRetryInterval)
	}
	return lastErr
}

// useListener accepts connections from a listener, or closes it if the proxy is closed.
func (p *proxy) useListener(listener net.Listener) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return listener.Close()
	}
	p.listener = listener
	p.group.Go(func() { p.accept(listener) })
	return nil
}

// setTarget changes the target of later connections.
func (p *proxy) setTarget(target string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.target = target
}

// update changes the state of the link. Open connections are reset if the new state has reset set.
func (p *proxy) update(change func(*linkState)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	change(&p.state)
	if p.state.reset {
		p.abortAll()
	}
	close(p.stateChanged)
	p.stateChanged = make(chan struct{})
}

// silence permanently stops forwarding on the connections that are open, without closing them:
// both ends can detect it only by a timeout of their own. Later connections are not affected.
func (p *proxy) silence() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for connection := range p.open {
		p.silent[connection] = struct{}{}
	}
	close(p.stateChanged)
	p.stateChanged = make(chan struct{})
}

// abortAll resets all open connections. Silent ones are reset only once the proxy is closed. The
// caller holds p.mutex.
func (p *proxy) abortAll() {
	for connection := range p.open {
		if _, silent := p.silent[connection]; silent && !p.closed {
			continue
		}
		// An error means that the connection is closed already.
		_ = network.Abort(connection)
	}
}

// close stops listening, resets all connections and waits for the proxy's goroutines.
func (p *proxy) close() {
	p.mutex.Lock()
	p.closed = true
	p.abortAll()
	close(p.stateChanged)
	p.stateChanged = make(chan struct{})
	listener := p.listener
	p.mutex.Unlock()
	// The accept loop ends even if Close returns an error.
	_ = listener.Close()
	p.group.Wait()
}

func (p *proxy) accept(listener net.Listener) {
	for {
		caller, err := listener.Accept()
		if err != nil {
			return
		}
		p.group.Go(func() { p.forward(caller) })
	}
}

// track adds an open connection. It returns false if the proxy is closed or the link is in reset.
func (p *proxy) track(connection net.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || p.state.reset {
		return false
	}
	p.open[connection] = struct{}{}
	return true
}

func (p *proxy) untrack(connection net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.open, connection)
}

// forward connects a caller to the target and forwards both directions until they end.
func (p *proxy) forward(caller net.Conn) {
	if !p.track(caller) {
		p.reportDial(caller, false)
		_ = network.Abort(caller)
		return
	}
	defer p.untrack(caller)
	p.mutex.Lock()
	address := p.target
	p.mutex.Unlock()
	dialer := net.Dialer{Timeout: time.Second}
	if p.source != nil {
		dialer.LocalAddr = p.source
	}
	target, err := dialer.Dial("tcp", address)
	p.reportDial(caller, err == nil)
	if err != nil {
		_ = network.Abort(caller)
		return
	}
	if !p.track(target) {
		_ = network.Abort(caller)
		return
	}
	defer p.untrack(target)
	var directions conc.WaitGroup
	directions.Go(func() { p.copy(target, caller, func(state linkState) bool { return state.blockRequests }) })
	directions.Go(func() { p.copy(caller, target, func(state linkState) bool { return state.blockResponses }) })
	directions.Wait()
}

// reportDial calls onDial, if it is set.
func (p *proxy) reportDial(caller net.Conn, connected bool) {
	if p.onDial != nil {
		p.onDial(caller.RemoteAddr().String(), connected)
	}
}

// copyBufferBytes is the maximum size of a chunk that is forwarded.
const copyBufferBytes = 32 << 10

// copy forwards one direction until its end, and then closes that direction of the destination.
// Any other error resets both connections.
func (p *proxy) copy(to, from net.Conn, isBlocked func(linkState) bool) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.awaitUnblocked(from, isBlocked) {
				break
			}
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err == nil {
			continue
		}
		if err == io.EOF && p.awaitUnblocked(from, isBlocked) {
			if connection, ok := to.(*net.TCPConn); ok {
				// Half-close, since the other direction may still be in use.
				_ = connection.CloseWrite()
			}
			return
		}
		break
	}
	_ = network.Abort(to)
	_ = network.Abort(from)
}

// awaitUnblocked waits until the direction is not blocked, and then for the latency and delay of
// the link. It returns false if the proxy is closed.
func (p *proxy) awaitUnblocked(from net.Conn, isBlocked func(linkState) bool) bool {
	for {
		p.mutex.Lock()
		state, stateChanged, closed := p.state, p.stateChanged, p.closed
		_, silent := p.silent[from]
		p.mutex.Unlock()
		if closed {
			return false
		}
		if !silent && !isBlocked(state) {
			time.Sleep(p.latency + state.delay)
			return true
		}
		<-stateChanged
	}
}
