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

// environment consists of real node processes and loopback links. It implements
// platformsim.Environment.
type environment struct {
	// program is the path of the pathbend program.
	program string
	// directory holds the settings files of the nodes.
	directory string
	// regions maps each zone to its region. It is nil if there is only one region.
	regions map[string]string
	// storeZone is the zone of the store.
	storeZone string

	mutex sync.Mutex
	nodes map[string]*nodeMachine
	// backEnds holds the links to the store and the samplers, by machine.
	backEnds map[string]*proxy
	// processCount is the number of processes started so far.
	processCount int
	// refusingServer answers every call with 503, like a store that refuses its caller.
	refusingServer  *http.Server
	refusingAddress string
	// assigned holds the addresses that this run has assigned so far.
	assigned map[string]struct{}
	// nodesBySource maps the source IP address of a node's link to the store to the node.
	nodesBySource map[string]string
	// refused holds the addresses of callers whose connection reached no listener.
	refused map[string]struct{}
	// unexpectedExits describes processes that exited without being stopped by the run.
	unexpectedExits []string
}

// nodeMachine is the machine of a node: its addresses, its links and its current process.
type nodeMachine struct {
	// front and readiness are the addresses on which the process listens.
	front, readiness string
	// peerAddress has the first of the ports on which other nodes reach this one. There is no
	// proxy between nodes.
	peerAddress string
	// callersLink leads from callers to the node, storeLink from the node to the store.
	callersLink, storeLink *proxy
	// process is nil until the node is started.
	process *nodeProcess
}

// storeMachine is the name of the store's machine in platformsim.
const storeMachine = "store"

// newEnvironment returns an environment without any machine. Call close to release it.
func newEnvironment(program, directory string, regions map[string]string) (*environment, error) {
	listener, err := network.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for calls to refuse")
	}
	e := &environment{
		program: program, directory: directory, regions: regions, refusingAddress: listener.Addr().String(),
		nodes: make(map[string]*nodeMachine), backEnds: make(map[string]*proxy), refused: make(map[string]struct{}), nodesBySource: make(map[string]string),
		assigned:       make(map[string]struct{}),
		refusingServer: &http.Server{Handler: http.HandlerFunc(refuseCall), ReadHeaderTimeout: time.Second},
	}
	// Serve returns when close closes the server; its error has no use.
	go func() { _ = e.refusingServer.Serve(listener) }()
	return e, nil
}

// refuseCall answers 503.
func refuseCall(writer http.ResponseWriter, _ *http.Request) {
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// setStoreRefusal makes the store refuse the calls of a node, or serve them again. Open
// connections are reset so that the next call already uses the new target.
func (e *environment) setStoreRefusal(machine *nodeMachine, refuse bool) {
	target := e.refusingAddress
	if !refuse {
		target = e.links(storeMachine)[0].target
	}
	machine.storeLink.setTarget(target)
	machine.storeLink.update(func(state *linkState) { state.reset = true })
	machine.storeLink.update(func(state *linkState) { state.reset = false })
}

// Network implements platformsim.Environment.
func (e *environment) Network(string, string) network.Network { return network.TCP{} }

// Listen implements platformsim.Environment. Other machines connect through a proxy, whose
// address stays the same when the machine restarts.
func (e *environment) Listen(machine, zone, _ string) (net.Listener, string, error) {
	listener, err := network.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if machine == storeMachine {
		e.storeZone = zone
	}
	if link, known := e.backEnds[machine]; known {
		if err := link.resumeListening(listener.Addr().String()); err != nil {
			return nil, "", err
		}
		return refusingListener{listener, link}, link.address(), nil
	}
	// The port is outside the ephemeral port range, since it must still be free when the
	// machine's process restarts.
	link, err := newProxyAt(e.assignAddress(freeAddress), listener.Addr().String(), e.latencyTo(zone), nil)
	if err != nil {
		return nil, "", err
	}
	e.backEnds[machine] = link
	return refusingListener{listener, link}, link.address(), nil
}

// refusingListener is the listener behind a proxy. Once it is closed, the proxy refuses
// connections, like a machine whose process has ended.
type refusingListener struct {
	net.Listener
	link *proxy
}

// Close implements net.Listener.
func (l refusingListener) Close() error {
	l.link.stopListening()
	return l.Listener.Close()
}

// node returns the machine of a node, which is created on first use.
func (e *environment) node(name string) *nodeMachine {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if machine, known := e.nodes[name]; known {
		return machine
	}
	machine := &nodeMachine{front: e.assignAddress(freeAddress), readiness: e.assignAddress(freeAddress)}
	machine.peerAddress = e.assignAddress(freePeerAddress)
	latency := e.latencyTo(platformsim.ZoneOf(name))
	machine.callersLink = mustProxy(machine.front, latency, nil)
	machine.callersLink.onDial = e.recordDial
	source := &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(len(e.nodes)+1))}
	e.nodesBySource[source.IP.String()] = name
	machine.storeLink = mustProxy(e.backEnds[storeMachine].target, latency, source)
	e.nodes[name] = machine
	return machine
}

// recordDial records whether a caller's connection to a node reached a listener.
func (e *environment) recordDial(caller string, connected bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if connected {
		// An earlier connection may have had the same address.
		delete(e.refused, caller)
		return
	}
	e.refused[caller] = struct{}{}
}

// Refused reports whether the latest connection from a caller's address reached no listener.
// Package platformsim calls it through an optional interface.
func (e *environment) Refused(address string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	_, refused := e.refused[address]
	return refused
}

// interRegionLatency is the one-way latency between two regions, 8 ms as in the users'
// specification.
const interRegionLatency = 8 * time.Millisecond

// latencyTo returns the one-way latency between a zone and the store. All links of a zone in the
// other region have it, also those of callers and nodes within the zone.
func (e *environment) latencyTo(zone string) time.Duration {
	if e.regions[zone] == e.regions[e.storeZone] {
		return 0
	}
	return interRegionLatency
}

// MachineAt returns the node whose calls to the store come from an IP address. Package platformsim
// calls it through an optional interface.
func (e *environment) MachineAt(address string) string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.nodesBySource[address]
}

// mustProxy is newLatencyProxy, but panics on an error.
func mustProxy(target string, latency time.Duration, source *net.TCPAddr) *proxy {
	created, err := newLatencyProxy(target, latency, source)
	if err != nil {
		panic(errors.Wrap(err, "create proxy"))
	}
	return created
}

const (
	// firstPort and portCount are the port range in which nodes listen. It is below the
	// ephemeral ports (32768 and up on Linux, ip_local_port_range), one of which may be taken
	// by a connection between the check that it is free and the start of the node.
	firstPort = 20000
	portCount = 10000
	// loopback is the IP address of every machine.
	loopback = "127.0.0.1"
	// firstPeerPort and peerPortCount are the port range for connections between nodes, below
	// the range above. Each node has peerPortsPerNode of them.
	firstPeerPort    = 12000
	peerPortCount    = 8000
	peerPortsPerNode = 4
)

// assignAddress calls pick until it returns an address that this run has not assigned yet. The
// caller holds e.mutex.
func (e *environment) assignAddress(pick func() string) string {
	for {
		address := pick()
		if _, assigned := e.assigned[address]; !assigned {
			e.assigned[address] = struct{}{}
			return address
		}
	}
}

// maxConcurrentRuns is the number of concurrent runs that can have disjoint sets of ports.
const maxConcurrentRuns = 32

// randomSlot returns a random slot below slotCount. Runs with consecutive process ids, which were
// started together, use disjoint sets of slots: a port is checked to be free some time before the
// node listens on it. Without this, one of six concurrent runs (seed 3704) had a node that failed
// to start because its port had been taken.
func randomSlot(slotCount int) int {
	return rand.IntN(slotCount/maxConcurrentRuns)*maxConcurrentRuns + os.Getpid()%maxConcurrentRuns
}

// freePeerAddress returns an address with the first of peerPortsPerNode consecutive free ports.
func freePeerAddress() string {
	for {
		first := firstPeerPort + randomSlot(peerPortCount/peerPortsPerNode)*peerPortsPerNode
		free := true
		for port := first; port < first+peerPortsPerNode; port++ {
			free = free && isFree(fmt.Sprintf("%s:%d", loopback, port))
		}
		if free {
			return fmt.Sprintf("%s:%d", loopback, first)
		}
	}
}

// isFree reports whether a listener can be opened on an address.
func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	// No connection has been accepted, so an error on closing has no effect.
	_ = listener.Close()
	return true
}

// freeAddress returns an address on which no program listens. Another program may still take it
// before the node does; the node then fails to start, and the run reports that.
func freeAddress() string {
	for {
		address := fmt.Sprintf("%s:%d", loopback, firstPort+randomSlot(portCount))
		if isFree(address) {
			return address
		}
	}
}

// Front implements platformsim.Environment.
func (e *environment) Front(node string) string { return e.node(node).callersLink.address() }

// Readiness implements platformsim.Environment.
func (e *environment) Readiness(node string) string { return e.node(node).readiness }

// StartNode implements platformsim.Environment.
func (e *environment) StartNode(settings platform.Settings, logs io.Writer) (platformsim.NodeProcess, error) {
	machine := e.node(settings.NodeName)
	settings.Listen.Front, settings.Listen.Readiness = machine.front, machine.readiness
	settings.Store.Address = machine.storeLink.address()
	peerAddress, err := net.ResolveTCPAddr("tcp", machine.peerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "resolve peer address")
	}
	settings.IP, settings.PortRange = loopback, []int{peerAddress.Port, peerAddress.Port + peerPortsPerNode - 1}
	content, err := yaml.Marshal(settings)
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	settingsPath := filepath.Join(e.directory, settings.NodeName+".yaml")
	if err := os.WriteFile(settingsPath, content, 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	process, err := startProcess(e.program, settingsPath, logs)
	if err != nil {
		return nil, err
	}
	go e.recordExit(settings.NodeName, process)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	machine.process = process
	e.processCount++
	return process, nil
}

// recordExit waits for a process to exit and records it unless the run stopped it.
func (e *environment) recordExit(node string, process *nodeProcess) {
	<-process.done
	if process.stopRequested.Load() {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.unexpectedExits = append(e.unexpectedExits, fmt.Sprintf("%s exited unexpectedly (%v): %s", node, process.err, process.outputTail))
}

// listUnexpectedExits returns what recordExit recorded so far.
func (e *environment) listUnexpectedExits() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.unexpectedExits)
}

// signal sends a signal to the current process of a node, if there is one.
func (e *environment) signal(node string, signal syscall.Signal) {
	machine := e.node(node)
	e.mutex.Lock()
	process := machine.process
	e.mutex.Unlock()
	if process != nil {
		process.signal(signal)
	}
}

// Pause implements platformsim.Environment.
func (e *environment) Pause(node string) { e.signal(node, syscall.SIGSTOP) }

// Resume implements platformsim.Environment.
func (e *environment) Resume(node string) { e.signal(node, syscall.SIGCONT) }

// Crash implements platformsim.Environment.
func (e *environment) Crash(machine string) { e.setReset(machine, true) }

// Restore implements platformsim.Environment.
func (e *environment) Restore(machine string) { e.setReset(machine, false) }

// setReset resets all connections of a machine and refuses new ones, or accepts them again.
func (e *environment) setReset(machine string, reset bool) {
	for _, link := range e.links(machine) {
		link.update(func(state *linkState) { state.reset = reset })
	}
}

// links returns the proxied links of a machine, nil for an unknown one.
func (e *environment) links(machine string) []*proxy {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if node, known := e.nodes[machine]; known {
		return []*proxy{node.callersLink, node.storeLink}
	}
	if link, known := e.backEnds[machine]; known {
		return []*proxy{link}
	}
	return nil
}

// Isolate implements platformsim.Environment. It blocks links of the machines inside: only
// those to the store if nothing else is outside, otherwise all of them, including links among
// the machines inside. Links between nodes have no proxy and are not blocked.
func (e *environment) Isolate(inside, outside []string) { e.setIsolation(inside, outside, true) }

// Rejoin implements platformsim.Environment.
func (e *environment) Rejoin(inside, outside []string) { e.setIsolation(inside, outside, false) }

// setIsolation blocks or unblocks the links that Isolate describes.
func (e *environment) setIsolation(inside, outside []string, block bool) {
	storeOnly := slices.Equal(outside, []string{storeMachine})
	for _, machine := range inside {
		links := e.links(machine)
		if storeOnly {
			links = []*proxy{e.node(machine).storeLink}
		}
		for _, link := range links {
			link.update(func(state *linkState) { state.blockRequests, state.blockResponses = block, block })
		}
	}
}

// close kills every process and closes every link.
func (e *environment) close() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, machine := range e.nodes {
		if machine.process != nil {
			machine.process.Kill()
		}
		machine.callersLink.close()
		machine.storeLink.close()
	}
	for _, link := range e.backEnds {
		link.close()
	}
	// Calls in progress there are refused anyway.
	_ = e.refusingServer.Close()
}

// nodeProcess is a running process of the pathbend program.
type nodeProcess struct {
	command *exec.Cmd
	// done is closed when the process has exited.
	done chan struct{}
	// outputTail is the end of what the process wrote.
	outputTail *tailWriter
	// stopRequested is set before the run kills or terminates the process.
	stopRequested atomic.Bool
	// err is the error of the process's exit. It is set before done is closed.
	err error
}

// startProcess starts a node with a settings file. logs receives its output and may be nil.
func startProcess(program, settingsPath string, logs io.Writer) (*nodeProcess, error) {
	p := &nodeProcess{command: exec.Command(program, "platform", "--log-level", "INFO"), done: make(chan struct{}), outputTail: &tailWriter{}}
	p.command.Env = append(os.Environ(), platform.SettingsPathVariable+"="+settingsPath)
	p.command.Stdout = io.Writer(p.outputTail)
	if logs != nil {
		p.command.Stdout = io.MultiWriter(logs, p.outputTail)
	}
	p.command.Stderr = p.command.Stdout
	// A node that outlives this program would never exit. Pdeathsig makes the kernel kill it
	// when the thread that started it exits, so that thread is kept until the node has exited.
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

// signal sends a signal to the process unless it has exited, since its process id may have been
// reused by then.
func (p *nodeProcess) signal(signal syscall.Signal) {
	select {
	case <-p.done:
	default:
		// An error means that the process has just exited and needs no signal.
		_ = p.command.Process.Signal(signal)
	}
}

// Kill implements platformsim.NodeProcess.
func (p *nodeProcess) Kill() {
	p.stopRequested.Store(true)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Terminate implements platformsim.NodeProcess.
func (p *nodeProcess) Terminate() {
	p.stopRequested.Store(true)
	p.signal(syscall.SIGTERM)
}

// Done implements platformsim.NodeProcess.
func (p *nodeProcess) Done() <-chan struct{} { return p.done }

// maxTailBytes is the amount of a process's output that is kept to explain its exit.
const maxTailBytes = 4 << 10

// tailWriter keeps the last maxTailBytes that were written. It is safe for concurrent use.
type tailWriter struct {
	mutex sync.Mutex
	tail  []byte
}

// Write implements io.Writer.
func (w *tailWriter) Write(content []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.tail = append(w.tail, content...)
	if excess := len(w.tail) - maxTailBytes; excess > 0 {
		w.tail = bytes.Clone(w.tail[excess:])
	}
	return len(content), nil
}

// String returns the last bytes that were written.
func (w *tailWriter) String() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return string(w.tail)
}
