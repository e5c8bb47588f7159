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

// Latency returns the one-way latency between two zones.
type Latency func(from, to string) time.Duration

// Network connects hosts. It implements lab.Networks and is safe for concurrent
// use.
type Network struct {
	seed    uint64
	latency Latency

	mutex     sync.Mutex
	zones     map[string]string
	listeners map[string]*listener
	links     map[direction]*linkState
	down      map[string]bool
	pairs     map[direction]uint64
	open      map[*conn]struct{}
	order     uint64
	segments  uint64
}

// direction is an ordered pair of hosts.
type direction struct{ from, to string }

// linkState holds the faults of one direction.
type linkState struct {
	// held counts the cuts, paused the pauses of either end: a paused host
	// still acknowledges, so nothing times out.
	held   int
	paused int
	delay  time.Duration
}

// New returns a network without hosts.
func New(seed uint64, latency Latency) *Network {
	return &Network{
		seed: seed, latency: latency, zones: make(map[string]string), listeners: make(map[string]*listener),
		links: make(map[direction]*linkState), down: make(map[string]bool), pairs: make(map[direction]uint64),
		open: make(map[*conn]struct{}),
	}
}

// For implements lab.Networks.
func (n *Network) For(host, zone string) network.Network {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.zones[host] = zone
	return &hostNetwork{network: n, host: host}
}

// Address implements lab.Networks. The host part of an address is its name.
func (*Network) Address(host string, port int) string { return fmt.Sprintf("%s:%d", host, port) }

// Hosts returns the zone of every host.
func (n *Network) Hosts() map[string]string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	hosts := make(map[string]string, len(n.zones))
	for host, zone := range n.zones {
		hosts[host] = zone
	}
	return hosts
}

// hostNetwork is the network as one host sees it.
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

// Dial implements network.Network. A host that is down or has no listener
// refuses; a held direction lets the dial wait.
func (h *hostNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	client, server, target, err := h.network.connect(h.host, address)
	if err != nil {
		return nil, err
	}
	// The handshake is one segment in each direction.
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

func (n *Network) connect(from, address string) (client, server *conn, target *listener, err error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	target, ok := n.listeners[address]
	if !ok || n.down[target.host] || n.down[from] {
		return nil, nil, nil, dialError(syscall.ECONNREFUSED)
	}
	pair := direction{from, target.host}
	n.pairs[pair]++
	id := n.pairs[pair]
	forward := newPipe(n, pair, id)
	backward := newPipe(n, direction{target.host, from}, id)
	n.order++
	client = &conn{network: n, local: from, remote: address, send: forward, receive: backward, order: n.order}
	server = &conn{network: n, local: address, remote: from, send: backward, receive: forward, order: n.order}
	client.other, server.other = server, client
	n.open[client] = struct{}{}
	return client, server, target, nil
}

func (n *Network) link(d direction) *linkState {
	state, ok := n.links[d]
	if !ok {
		state = &linkState{}
		n.links[d] = state
	}
	return state
}

// Hold cuts one direction until as many Releases. Bytes that stay undelivered
// for network.UnackedTimeout break their connection.
func (n *Network) Hold(from, to string) {
	d := direction{from, to}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.link(d).held++
	if n.link(d).held == 1 {
		time.AfterFunc(unackedCheck, func() { n.breakUnacked(d) })
	}
}

// unackedCheck is how often the connections of a cut direction are checked.
const unackedCheck = 250*time.Millisecond + 7

// breakUnacked breaks connections with bytes undelivered for too long.
func (n *Network) breakUnacked(d direction) {
	n.mutex.Lock()
	held := n.link(d).held > 0
	n.mutex.Unlock()
	if !held {
		return
	}
	for _, open := range n.connections(d.from) {
		if open.send.stuck(d) || open.receive.stuck(d) {
			open.reset()
		}
	}
	time.AfterFunc(unackedCheck, func() { n.breakUnacked(d) })
}

// Release undoes one Hold.
func (n *Network) Release(from, to string) {
	n.mutex.Lock()
	n.link(direction{from, to}).held--
	n.mutex.Unlock()
	n.wakeAll()
}

// Pause holds everything to and from a host, as when its process is stopped,
// until as many Resumes. Its clock and timers go on.
func (n *Network) Pause(host string) { n.addPause(host, 1) }

// Resume undoes one Pause.
func (n *Network) Resume(host string) { n.addPause(host, -1) }

func (n *Network) addPause(host string, change int) {
	n.mutex.Lock()
	for other := range n.zones {
		n.link(direction{host, other}).paused += change
		n.link(direction{other, host}).paused += change
	}
	n.mutex.Unlock()
	n.wakeAll()
}

// Delay adds to the latency of a direction; 0 restores it.
func (n *Network) Delay(from, to string, extra time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.link(direction{from, to}).delay = extra
}

// Crash cuts every connection of a host and refuses new ones until Restore.
func (n *Network) Crash(host string) {
	n.mutex.Lock()
	n.down[host] = true
	n.mutex.Unlock()
	for _, open := range n.connections(host) {
		open.reset()
	}
}

// Restore lets a crashed host connect again.
func (n *Network) Restore(host string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.down, host)
}

// ResetSome resets every connection of a host whose number is a multiple of
// every, in the middle of what is under way.
func (n *Network) ResetSome(host string, every uint64) int {
	count := 0
	for _, open := range n.connections(host) {
		if open.order%every == 0 {
			open.reset()
			count++
		}
	}
	return count
}

// connections returns the open connections of a host in the order in which
// they were made.
func (n *Network) connections(host string) []*conn {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var found []*conn
	for open := range n.open {
		if open.send.direction.from == host || open.send.direction.to == host {
			found = append(found, open)
		}
	}
	sortConns(found)
	return found
}

func (n *Network) wakeAll() {
	n.mutex.Lock()
	var all []*conn
	for open := range n.open {
		all = append(all, open)
	}
	n.mutex.Unlock()
	sortConns(all)
	for _, open := range all {
		open.send.wake()
		open.receive.wake()
	}
}

func (n *Network) forget(c *conn) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.open, c)
	delete(n.open, c.other)
}

// held reports whether a direction delivers nothing now.
func (n *Network) held(d direction) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	state, ok := n.links[d]
	return ok && state.held+state.paused > 0
}

// travelTime is the time that a segment takes. The jitter is up to a quarter of
// the latency and differs for every segment.
func (n *Network) travelTime(d direction, connection, segment uint64) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.segments++
	base := n.latency(n.zones[d.from], n.zones[d.to])
	if state, ok := n.links[d]; ok {
		base += state.delay
	}
	var buffer []byte
	buffer = binary.BigEndian.AppendUint64(buffer, n.seed)
	buffer = append(append(append(buffer, d.from...), 0), d.to...)
	buffer = binary.BigEndian.AppendUint64(buffer, connection)
	buffer = binary.BigEndian.AppendUint64(buffer, segment)
	jitter := xxhash.Sum64(buffer) % uint64(base/4+1)
	return base + time.Duration(jitter)
}

// Segments counts the segments sent.
func (n *Network) Segments() uint64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.segments
}
