package simnet

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pathbend/pathbend/internal/network"
)

// LatencyFunc returns the one-way latency between two zones, without jitter.
type LatencyFunc func(from, to string) time.Duration

// Network connects hosts. It implements lab.Networks and is safe for concurrent
// use.
type Network struct {
	seed    uint64
	latency LatencyFunc

	mutex sync.Mutex
	// zones holds the zone of each host by name, connCounts the number of
	// connections dialed in each direction.
	zones        map[string]string
	listeners    map[string]*listener
	links        map[direction]*linkState
	down         map[string]bool
	connCounts   map[direction]uint64
	openConns    map[*conn]struct{}
	connCount    uint64
	segmentCount uint64
}

// direction is an ordered pair of hosts.
type direction struct{ from, to string }

// linkState holds the faults of one direction.
type linkState struct {
	// blocks counts the calls of Block in force, pauses those of Pause for either
	// host. A paused host still acknowledges, so that no connection times out.
	blocks       int
	pauses       int
	extraLatency time.Duration
}

// New returns a network without hosts. The seed determines the jitter.
func New(seed uint64, latency LatencyFunc) *Network {
	return &Network{
		seed: seed, latency: latency, zones: make(map[string]string), listeners: make(map[string]*listener),
		links: make(map[direction]*linkState), down: make(map[string]bool), connCounts: make(map[direction]uint64),
		openConns: make(map[*conn]struct{}),
	}
}

// For implements lab.Networks. It adds the host to the network.
func (n *Network) For(host, zone string) network.Network {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.zones[host] = zone
	return &hostNetwork{network: n, host: host}
}

// Address implements lab.Networks. The host part of an address is its name.
func (*Network) Address(host string, port int) string { return fmt.Sprintf("%s:%d", host, port) }

// HostZones returns the zone of every host, by host name.
func (n *Network) HostZones() map[string]string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	hosts := make(map[string]string, len(n.zones))
	for host, zone := range n.zones {
		hosts[host] = zone
	}
	return hosts
}

// hostNetwork connects one host to the network.
type hostNetwork struct {
	network *Network
	host    string
}

// Listen implements network.Network.
func (h *hostNetwork) Listen(address string) (net.Listener, error) {
	n := h.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if _, taken := n.listeners[address]; taken {
		return nil, &net.OpError{Op: "listen", Net: "sim", Err: syscall.EADDRINUSE}
	}
	created := &listener{network: n, host: h.host, address: address, backlog: make(chan *conn, 1024), closed: make(chan struct{})}
	n.listeners[address] = created
	return created, nil
}

// Dial implements network.Network. It is refused if either host is down or nothing
// listens at the address, and waits while either direction is blocked.
func (h *hostNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	client, server, target, err := h.network.connect(h.host, address)
	if err != nil {
		return nil, err
	}
	// The handshake takes one segment in each direction.
	if err := server.receive.awaitHandshake(ctx, client); err != nil {
		client.reset()
		return nil, dialError(err)
	}
	if err := client.receive.awaitHandshake(ctx, client); err != nil {
		client.reset()
		return nil, dialError(err)
	}
	select {
	case target.backlog <- server:
		return client, nil
	case <-target.closed:
		client.reset()
		return nil, dialError(syscall.ECONNREFUSED)
	}
}

func dialError(err error) error { return &net.OpError{Op: "dial", Net: "sim", Err: err} }

// connect creates a connection to the listener at an address, before its handshake.
func (n *Network) connect(from, address string) (client, server *conn, target *listener, err error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	target, ok := n.listeners[address]
	if !ok || n.down[target.host] || n.down[from] {
		return nil, nil, nil, dialError(syscall.ECONNREFUSED)
	}
	pair := direction{from, target.host}
	n.connCounts[pair]++
	id := n.connCounts[pair]
	forward := newPipe(n, pair, id)
	backward := newPipe(n, direction{target.host, from}, id)
	n.connCount++
	client = &conn{network: n, local: from, remote: address, send: forward, receive: backward, number: n.connCount}
	server = &conn{network: n, local: address, remote: from, send: backward, receive: forward, number: n.connCount}
	client.peer, server.peer = server, client
	n.openConns[client] = struct{}{}
	return client, server, target, nil
}

// link returns the faults of a direction, which it creates if needed. The caller
// holds n.mutex.
func (n *Network) link(d direction) *linkState {
	state, ok := n.links[d]
	if !ok {
		state = &linkState{}
		n.links[d] = state
	}
	return state
}

// Block blocks delivery in one direction until Unblock has been called as often. A
// connection whose bytes stay undelivered for network.UnackedTimeout is reset.
func (n *Network) Block(from, to string) {
	d := direction{from, to}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.link(d).blocks++
	if n.link(d).blocks == 1 {
		time.AfterFunc(unackedCheckInterval, func() { n.resetUnacked(d) })
	}
}

// unackedCheckInterval is how often the connections of a blocked direction are
// checked for unacknowledged bytes.
const unackedCheckInterval = 250*time.Millisecond + 7

// resetUnacked resets connections whose bytes in a blocked direction have been
// unacknowledged for network.UnackedTimeout, and repeats until it is unblocked.
func (n *Network) resetUnacked(d direction) {
	n.mutex.Lock()
	blocked := n.link(d).blocks > 0
	n.mutex.Unlock()
	if !blocked {
		return
	}
	for _, open := range n.connections(d.from) {
		if open.send.unackedTimedOut(d) || open.receive.unackedTimedOut(d) {
			open.reset()
		}
	}
	time.AfterFunc(unackedCheckInterval, func() { n.resetUnacked(d) })
}

// Unblock reverts one call of Block.
func (n *Network) Unblock(from, to string) {
	n.mutex.Lock()
	n.link(direction{from, to}).blocks--
	n.mutex.Unlock()
	n.wakeAll()
}

// Pause blocks all delivery to and from a host, as if its process were stopped,
// until Resume has been called as often. Unlike those of a stopped process, its
// clock and timers keep running.
func (n *Network) Pause(host string) { n.adjustPauses(host, 1) }

// Resume reverts one call of Pause.
func (n *Network) Resume(host string) { n.adjustPauses(host, -1) }

func (n *Network) adjustPauses(host string, change int) {
	n.mutex.Lock()
	for other := range n.zones {
		n.link(direction{host, other}).pauses += change
		n.link(direction{other, host}).pauses += change
	}
	n.mutex.Unlock()
	n.wakeAll()
}

// Delay sets the latency that is added in one direction; 0 removes it.
func (n *Network) Delay(from, to string, extra time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.link(direction{from, to}).extraLatency = extra
}

// Crash resets every connection of a host and refuses new ones until Restore.
func (n *Network) Crash(host string) {
	n.mutex.Lock()
	n.down[host] = true
	n.mutex.Unlock()
	for _, open := range n.connections(host) {
		open.reset()
	}
}

// Restore allows connections to and from a crashed host again.
func (n *Network) Restore(host string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.down, host)
}

// ResetSome resets those open connections of a host whose number is a multiple of
// every, and returns how many. Bytes in flight are lost.
func (n *Network) ResetSome(host string, every uint64) int {
	count := 0
	for _, open := range n.connections(host) {
		if open.number%every == 0 {
			open.reset()
			count++
		}
	}
	return count
}

// connections returns the open connections of a host in the order of their
// creation.
func (n *Network) connections(host string) []*conn {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var found []*conn
	for open := range n.openConns {
		if open.send.direction.from == host || open.send.direction.to == host {
			found = append(found, open)
		}
	}
	sortConns(found)
	return found
}

// wakeAll makes all readers and writers check their connections again.
func (n *Network) wakeAll() {
	n.mutex.Lock()
	var all []*conn
	for open := range n.openConns {
		all = append(all, open)
	}
	n.mutex.Unlock()
	sortConns(all)
	for _, open := range all {
		open.send.wake()
		open.receive.wake()
	}
}

func (n *Network) removeConn(c *conn) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.openConns, c)
	delete(n.openConns, c.peer)
}

// blocked reports whether a direction currently delivers nothing.
func (n *Network) blocked(d direction) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	state, ok := n.links[d]
	return ok && state.blocks+state.pauses > 0
}

// segmentLatency returns how long a segment is in flight. The jitter is up to a
// quarter of the latency and is derived from the seed, the direction and the
// numbers of connection and segment.
func (n *Network) segmentLatency(d direction, connection, segment uint64) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.segmentCount++
	base := n.latency(n.zones[d.from], n.zones[d.to])
	if state, ok := n.links[d]; ok {
		base += state.extraLatency
	}
	var buffer []byte
	buffer = binary.BigEndian.AppendUint64(buffer, n.seed)
	buffer = append(append(append(buffer, d.from...), 0), d.to...)
	buffer = binary.BigEndian.AppendUint64(buffer, connection)
	buffer = binary.BigEndian.AppendUint64(buffer, segment)
	jitter := xxhash.Sum64(buffer) % uint64(base/4+1)
	return base + time.Duration(jitter)
}

// Segments returns the number of segments sent, over all connections.
func (n *Network) Segments() uint64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.segmentCount
}
