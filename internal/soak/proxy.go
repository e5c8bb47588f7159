package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/pathbend/pathbend/internal/network"
)

// linkState is how a proxy treats what passes. The zero value passes all.
type linkState struct {
	// holdOut keeps back what callers send, holdBack what the target answers.
	holdOut, holdBack bool
	// reset closes every connection at once, also new ones.
	reset bool
	// delay is added to what passes, in both directions.
	delay time.Duration
}

// proxy passes the connections of one listener on to a target.
type proxy struct {
	listener net.Listener
	// listens is the address at which the proxy listens, also after it refused connections.
	listens string
	work    conc.WaitGroup
	// distance is added to each piece that passes, in both directions, for good.
	distance time.Duration
	// from is the address that the target sees; one of the system's choice if it is nil.
	from *net.TCPAddr

	mutex   sync.Mutex
	target  string
	state   linkState
	changed chan struct{}
	open    map[net.Conn]struct{}
	// silent are connections that pass nothing any more, not even their end.
	silent map[net.Conn]struct{}
	closed bool
	// heard is told whether a caller's connection found a listener; it may be nil.
	heard func(caller string, found bool)
}

// newProxy listens on a free port of the loopback interface.
func newProxy(target string) (*proxy, error) { return newDistantProxy(target, 0, nil) }

// newDistantProxy returns a proxy whose target is at a distance, and sees an address.
func newDistantProxy(target string, distance time.Duration, from *net.TCPAddr) (*proxy, error) {
	return newProxyAt(loopback+":0", target, distance, from)
}

// newProxyAt returns a proxy that listens at an address.
func newProxyAt(address, target string, distance time.Duration, from *net.TCPAddr) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, listens: listener.Addr().String(), target: target, distance: distance, from: from, changed: make(chan struct{}), open: make(map[net.Conn]struct{}), silent: make(map[net.Conn]struct{})}
	p.work.Go(func() { p.accept(listener) })
	return p, nil
}

func (p *proxy) address() string { return p.listens }

// refuse refuses connections, as a machine does on which the target's process has ended.
func (p *proxy) refuse() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	// The listener ends the accept loop, whatever its error.
	_ = p.listener.Close()
	p.abortAll()
}

const (
	// reopenTries and reopenPause bound the wait for the proxy's own port.
	reopenTries = 50
	reopenPause = 20 * time.Millisecond
)

// reopen takes connections again, at the same address, for another target.
func (p *proxy) reopen(target string) error {
	p.retarget(target)
	var last error
	for range reopenTries {
		listener, err := net.Listen("tcp", p.listens)
		if err == nil {
			return p.resume(listener)
		}
		last = err
		time.Sleep(reopenPause)
	}
	return last
}

func (p *proxy) resume(listener net.Listener) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return listener.Close()
	}
	p.listener = listener
	p.work.Go(func() { p.accept(listener) })
	return nil
}

// retarget passes later connections on to another address.
func (p *proxy) retarget(target string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.target = target
}

// set changes the state of the link.
func (p *proxy) set(change func(*linkState)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	change(&p.state)
	if p.state.reset {
		p.abortAll()
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// silence lets nothing pass on the connections that are open, for good, and tells nobody:
// the ends learn of it by their own limits of time only. Later connections pass.
func (p *proxy) silence() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for connection := range p.open {
		p.silent[connection] = struct{}{}
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// abortAll is called under the lock.
func (p *proxy) abortAll() {
	for connection := range p.open {
		if _, silent := p.silent[connection]; silent && !p.closed {
			continue
		}
		// A connection that is gone already needs no reset.
		_ = network.Abort(connection)
	}
}

func (p *proxy) close() {
	p.mutex.Lock()
	p.closed = true
	p.abortAll()
	close(p.changed)
	p.changed = make(chan struct{})
	listener := p.listener
	p.mutex.Unlock()
	// The listener ends the accept loop, whatever its error.
	_ = listener.Close()
	p.work.Wait()
}

func (p *proxy) accept(listener net.Listener) {
	for {
		caller, err := listener.Accept()
		if err != nil {
			return
		}
		p.work.Go(func() { p.pass(caller) })
	}
}

// track adds a connection. It reports false if the link takes none.
func (p *proxy) track(connection net.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || p.state.reset {
		return false
	}
	p.open[connection] = struct{}{}
	return true
}

func (p *proxy) forget(connection net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.open, connection)
}

func (p *proxy) pass(caller net.Conn) {
	if !p.track(caller) {
		p.tell(caller, false)
		_ = network.Abort(caller)
		return
	}
	defer p.forget(caller)
	p.mutex.Lock()
	address := p.target
	p.mutex.Unlock()
	dialer := net.Dialer{Timeout: time.Second}
	if p.from != nil {
		dialer.LocalAddr = p.from
	}
	target, err := dialer.Dial("tcp", address)
	p.tell(caller, err == nil)
	if err != nil {
		_ = network.Abort(caller)
		return
	}
	if !p.track(target) {
		_ = network.Abort(caller)
		return
	}
	defer p.forget(target)
	var directions conc.WaitGroup
	directions.Go(func() { p.copy(target, caller, func(state linkState) bool { return state.holdOut }) })
	directions.Go(func() { p.copy(caller, target, func(state linkState) bool { return state.holdBack }) })
	directions.Wait()
}

// tell says whether a caller's connection found a listener.
func (p *proxy) tell(caller net.Conn, found bool) {
	if p.heard != nil {
		p.heard(caller.RemoteAddr().String(), found)
	}
}

const copyBytes = 32 << 10

// copy passes one direction on until its end, which it passes on too.
func (p *proxy) copy(to, from net.Conn, holds func(linkState) bool) {
	buffer := make([]byte, copyBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.await(from, holds) {
				break
			}
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err == nil {
			continue
		}
		if err == io.EOF && p.await(from, holds) {
			if half, ok := to.(*net.TCPConn); ok {
				// The other direction may go on.
				_ = half.CloseWrite()
			}
			return
		}
		break
	}
	_ = network.Abort(to)
	_ = network.Abort(from)
}

// await waits until the direction is not held back. It reports false once the proxy
// is closed.
func (p *proxy) await(from net.Conn, holds func(linkState) bool) bool {
	for {
		p.mutex.Lock()
		state, changed, closed := p.state, p.changed, p.closed
		_, silent := p.silent[from]
		p.mutex.Unlock()
		if closed {
			return false
		}
		if !silent && !holds(state) {
			time.Sleep(p.distance + state.delay)
			return true
		}
		<-changed
	}
}
