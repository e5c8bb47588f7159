package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/platformsim"
	"github.com/pathbend/pathbend/platform"
)

// surroundings are real processes and loopback links. They implement
// platformsim.Surroundings.
type surroundings struct {
	program   string
	directory string
	// regions tells the region of each zone where there are two; the store is in nearZone.
	regions  map[string]string
	nearZone string

	mutex sync.Mutex
	nodes map[string]*nodeMachine
	// backEnds are the links to the store and the samplers, by machine.
	backEnds map[string]*proxy
	started  int
	// refuser answers every call at an address as a store that turns its caller away.
	refuser        *http.Server
	refuserAddress string
	// given are the addresses that this run gave to nodes.
	given map[string]struct{}
	// sources tell whose link to the store has an address.
	sources map[string]string
	// refused are the addresses of callers whose connection found no listener.
	refused map[string]struct{}
	// unasked tells of processes that ended by themselves.
	unasked []string
}

// nodeMachine is where a node's process runs, and the links to it and from it.
type nodeMachine struct {
	front, readiness string
	// peers is the address with the first of the ports at which other nodes reach this one,
	// directly.
	peers string
	// callers lead to the node, store leads from it to the store.
	callers, store *proxy
	process        *nodeProcess
}

// storeMachine is the name of the store's machine in a world.
const storeMachine = "store"

func newSurroundings(program, directory string, regions map[string]string) (*surroundings, error) {
	listener, err := network.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen as a store that refuses")
	}
	s := &surroundings{
		program: program, directory: directory, regions: regions, refuserAddress: listener.Addr().String(),
		nodes: make(map[string]*nodeMachine), backEnds: make(map[string]*proxy), refused: make(map[string]struct{}), sources: make(map[string]string),
		given:   make(map[string]struct{}),
		refuser: &http.Server{Handler: http.HandlerFunc(refuseCall), ReadHeaderTimeout: time.Second},
	}
	// It ends with the run, whatever its error.
	go func() { _ = s.refuser.Serve(listener) }()
	return s, nil
}

func refuseCall(writer http.ResponseWriter, _ *http.Request) {
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// refuse lets the store turn a node away, or serve it again. Connections that are
// open are reset, so that the next call finds it out.
func (s *surroundings) refuse(machine *nodeMachine, refuses bool) {
	target := s.refuserAddress
	if !refuses {
		target = s.links(storeMachine)[0].target
	}
	machine.store.retarget(target)
	machine.store.set(func(state *linkState) { state.reset = true })
	machine.store.set(func(state *linkState) { state.reset = false })
}

// Network implements platformsim.Surroundings.
func (s *surroundings) Network(string, string) network.Network { return network.TCP{} }

// Listen implements platformsim.Surroundings. Others reach the machine through a
// proxy, whose address stays.
func (s *surroundings) Listen(machine, zone, _ string) (net.Listener, string, error) {
	listener, err := network.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if machine == storeMachine {
		s.nearZone = zone
	}
	if link, known := s.backEnds[machine]; known {
		if err := link.reopen(listener.Addr().String()); err != nil {
			return nil, "", err
		}
		return endingListener{listener, link}, link.address(), nil
	}
	// Its port is none of those that the system gives to connections: it must be free when
	// the machine's process starts again.
	link, err := newProxyAt(s.give(freeAddress), listener.Addr().String(), s.distance(zone), nil)
	if err != nil {
		return nil, "", err
	}
	s.backEnds[machine] = link
	return endingListener{listener, link}, link.address(), nil
}

// endingListener is that of a process whose machine refuses connections once it has ended.
type endingListener struct {
	net.Listener
	link *proxy
}

// Close implements net.Listener.
func (l endingListener) Close() error {
	l.link.refuse()
	return l.Listener.Close()
}

// node returns a node's machine, which is made at its first use.
func (s *surroundings) node(name string) *nodeMachine {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if machine, known := s.nodes[name]; known {
		return machine
	}
	machine := &nodeMachine{front: s.give(freeAddress), readiness: s.give(freeAddress)}
	machine.peers = s.give(freePeerAddress)
	distance := s.distance(platformsim.ZoneOf(name))
	machine.callers = mustProxy(machine.front, distance, nil)
	machine.callers.heard = s.heard
	source := &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(len(s.nodes)+1))}
	s.sources[source.IP.String()] = name
	machine.store = mustProxy(s.backEnds[storeMachine].target, distance, source)
	s.nodes[name] = machine
	return machine
}

// heard notes whether a caller's connection to a node found a listener.
func (s *surroundings) heard(caller string, found bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if found {
		// The address may be that of an earlier connection.
		delete(s.refused, caller)
		return
	}
	s.refused[caller] = struct{}{}
}

// Refused reports whether the connection of a caller's address found no listener.
func (s *surroundings) Refused(address string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, refused := s.refused[address]
	return refused
}

// regionDistance is the time between two regions, one way (the users' sheet says 8 ms).
const regionDistance = 8 * time.Millisecond

// distance is that of a zone from the store. Links of a zone in the other region are that
// long also for callers and for nodes of the same zone.
func (s *surroundings) distance(zone string) time.Duration {
	if s.regions[zone] == s.regions[s.nearZone] {
		return 0
	}
	return regionDistance
}

// MachineAt returns the node whose call to the store comes from an address.
func (s *surroundings) MachineAt(address string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.sources[address]
}

func mustProxy(target string, distance time.Duration, from *net.TCPAddr) *proxy {
	made, err := newDistantProxy(target, distance, from)
	if err != nil {
		panic(errors.Wrap(err, "make a proxy"))
	}
	return made
}

const (
	// firstPort and ports are the range that nodes listen in: below the ports that
	// systems give to connections (32768 and up on Linux, ip_local_port_range), since
	// one of those may be taken between the look and the node's start.
	firstPort = 20000
	ports     = 10000
	// loopback is the address of every machine.
	loopback = "127.0.0.1"
	// firstPeerPort and peerPorts are the range of the ports between nodes, below the
	// other, of which each node has peerPortsEach.
	firstPeerPort = 12000
	peerPorts     = 8000
	peerPortsEach = 4
)

// give draws an address that the run has not given yet. It is called under the lock.
func (s *surroundings) give(draw func() string) string {
	for {
		address := draw()
		if _, given := s.given[address]; !given {
			s.given[address] = struct{}{}
			return address
		}
	}
}

// runsAtOnce is how many runs beside each other draw ports of their own.
const runsAtOnce = 32

// ownSlot draws one of so many slots that runs which began together do not draw: a port is free
// when it is looked at, and the node listens there later. Of six runs beside each other one had
// a node that found its port taken (seed 3704).
func ownSlot(slots int) int {
	return rand.IntN(slots/runsAtOnce)*runsAtOnce + os.Getpid()%runsAtOnce
}

// freePeerAddress returns an address with the first of peerPortsEach ports that nobody
// listens on.
func freePeerAddress() string {
	for {
		first := firstPeerPort + ownSlot(peerPorts/peerPortsEach)*peerPortsEach
		free := true
		for port := first; port < first+peerPortsEach; port++ {
			free = free && isFree(fmt.Sprintf("%s:%d", loopback, port))
		}
		if free {
			return fmt.Sprintf("%s:%d", loopback, first)
		}
	}
}

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	// Nothing was accepted that could be lost.
	_ = listener.Close()
	return true
}

// freeAddress returns an address that nobody listens on. Another program may still take
// it before the node does; the node then fails to start, which the run reports.
func freeAddress() string {
	for {
		address := fmt.Sprintf("%s:%d", loopback, firstPort+ownSlot(ports))
		if isFree(address) {
			return address
		}
	}
}

// Front implements platformsim.Surroundings.
func (s *surroundings) Front(node string) string { return s.node(node).callers.address() }

// Readiness implements platformsim.Surroundings.
func (s *surroundings) Readiness(node string) string { return s.node(node).readiness }

// StartNode implements platformsim.Surroundings.
func (s *surroundings) StartNode(settings platform.Settings, logs io.Writer) (platformsim.NodeProcess, error) {
	machine := s.node(settings.Node)
	settings.Listen.Front, settings.Listen.Readiness = machine.front, machine.readiness
	settings.Store.Address = machine.store.address()
	peers, err := net.ResolveTCPAddr("tcp", machine.peers)
	if err != nil {
		return nil, errors.Wrap(err, "read the address for peers")
	}
	settings.IP, settings.PortRange = loopback, []int{peers.Port, peers.Port + peerPortsEach - 1}
	content, err := yaml.Marshal(settings)
	if err != nil {
		return nil, errors.Wrap(err, "encode the settings")
	}
	file := filepath.Join(s.directory, settings.Node+".yaml")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		return nil, errors.Wrap(err, "write the settings")
	}
	process, err := startProcess(s.program, file, logs)
	if err != nil {
		return nil, err
	}
	go s.watch(settings.Node, process)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	machine.process = process
	s.started++
	return process, nil
}

// watch notes a process that ends by itself.
func (s *surroundings) watch(node string, process *nodeProcess) {
	<-process.done
	if process.asked.Load() {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unasked = append(s.unasked, fmt.Sprintf("%s ended by itself (%v): %s", node, process.err, process.tail))
}

// endedByThemselves returns what watch noted.
func (s *surroundings) endedByThemselves() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.unasked)
}

func (s *surroundings) signal(node string, signal syscall.Signal) {
	machine := s.node(node)
	s.mutex.Lock()
	process := machine.process
	s.mutex.Unlock()
	if process != nil {
		process.signal(signal)
	}
}

// Pause implements platformsim.Surroundings.
func (s *surroundings) Pause(node string) { s.signal(node, syscall.SIGSTOP) }

// Resume implements platformsim.Surroundings.
func (s *surroundings) Resume(node string) { s.signal(node, syscall.SIGCONT) }

// Crash implements platformsim.Surroundings.
func (s *surroundings) Crash(machine string) { s.cut(machine, true) }

// Restore implements platformsim.Surroundings.
func (s *surroundings) Restore(machine string) { s.cut(machine, false) }

func (s *surroundings) cut(machine string, reset bool) {
	for _, link := range s.links(machine) {
		link.set(func(state *linkState) { state.reset = reset })
	}
}

// links are those of a machine that proxies stand for.
func (s *surroundings) links(machine string) []*proxy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if node, known := s.nodes[machine]; known {
		return []*proxy{node.callers, node.store}
	}
	if link, known := s.backEnds[machine]; known {
		return []*proxy{link}
	}
	return nil
}

// Isolate implements platformsim.Surroundings. The links that are held are those of the
// machines inside: to and from the store alone if nothing else is outside, or all, those
// among the machines inside too, but not those between nodes.
func (s *surroundings) Isolate(inside, outside []string) { s.isolate(inside, outside, true) }

// Rejoin implements platformsim.Surroundings.
func (s *surroundings) Rejoin(inside, outside []string) { s.isolate(inside, outside, false) }

func (s *surroundings) isolate(inside, outside []string, holds bool) {
	storeOnly := slices.Equal(outside, []string{storeMachine})
	for _, machine := range inside {
		links := s.links(machine)
		if storeOnly {
			links = []*proxy{s.node(machine).store}
		}
		for _, link := range links {
			link.set(func(state *linkState) { state.holdOut, state.holdBack = holds, holds })
		}
	}
}

// close ends every process and link.
func (s *surroundings) close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, machine := range s.nodes {
		if machine.process != nil {
			machine.process.Kill()
		}
		machine.callers.close()
		machine.store.close()
	}
	for _, link := range s.backEnds {
		link.close()
	}
	// Nothing is under way there that matters.
	_ = s.refuser.Close()
}

// nodeProcess is a process of the product.
type nodeProcess struct {
	command *exec.Cmd
	done    chan struct{}
	tail    *tailWriter
	// asked is set once the process was told to end.
	asked atomic.Bool
	// err is how it ended, set before done is closed.
	err error
}

func startProcess(program, settings string, logs io.Writer) (*nodeProcess, error) {
	p := &nodeProcess{command: exec.Command(program, "platform", "--log-level", "INFO"), done: make(chan struct{}), tail: &tailWriter{}}
	p.command.Env = append(os.Environ(), platform.SettingsVariable+"="+settings)
	p.command.Stdout = io.Writer(p.tail)
	if logs != nil {
		p.command.Stdout = io.MultiWriter(logs, p.tail)
	}
	p.command.Stderr = p.command.Stdout
	// A node that outlived this program would go on for ever. The kernel ends it with
	// the thread that started it, which is therefore kept until then.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	go func() {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		defer close(p.done)
		err := p.command.Start()
		started <- err
		if err == nil {
			p.err = p.command.Wait()
		}
	}()
	if err := <-started; err != nil {
		return nil, errors.Wrapf(err, "start %s", program)
	}
	return p, nil
}

// signal signals the process unless it has ended, whose id may be another's by then.
func (p *nodeProcess) signal(signal syscall.Signal) {
	select {
	case <-p.done:
	default:
		// It may end this moment, and then needs no signal.
		_ = p.command.Process.Signal(signal)
	}
}

// Kill implements platformsim.NodeProcess.
func (p *nodeProcess) Kill() {
	p.asked.Store(true)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Terminate implements platformsim.NodeProcess.
func (p *nodeProcess) Terminate() {
	p.asked.Store(true)
	p.signal(syscall.SIGTERM)
}

// Done implements platformsim.NodeProcess.
func (p *nodeProcess) Done() <-chan struct{} { return p.done }

// tailBytes is how much of a process's output is kept to explain its end.
const tailBytes = 4 << 10

// tailWriter keeps the end of what is written.
type tailWriter struct {
	mutex sync.Mutex
	kept  []byte
}

// Write implements io.Writer.
func (w *tailWriter) Write(content []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.kept = append(w.kept, content...)
	if over := len(w.kept) - tailBytes; over > 0 {
		w.kept = bytes.Clone(w.kept[over:])
	}
	return len(content), nil
}

// String returns what was kept.
func (w *tailWriter) String() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return string(w.kept)
}
