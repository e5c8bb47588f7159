package platformsim

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pathbend/pathbend/platform"
)

// FaultKind is a kind of injected fault.
type FaultKind int

// Kinds of faults that are chosen at random.
const (
	NodeKill FaultKind = iota
	NodePause
	NodeCutFromStore
	NodeCutFromAll
	NodeTerminate
	KillMostNodes
	KillAllNodes
	StoreDown
	StoreUnresponsive
	StoreSlow
	StoreLosesWrites
	StoreDelaysWrites
	StoreRebalance
	SamplerCrash
	SamplerSlow
	SamplerCutsStreams
	SamplerFail
	SamplerMisroutesAnswers
	SamplerReplaced
	SamplerDelaysOrders
	ConfigChange
	StoreDropsHistory
	NodeReplaced
	KeysRevoked
	CloudDown
	CloudSlow
	CloudLosesAnswers
	ZoneRestartsCold
	SamplersTurnCold
	Evacuate
	ZoneCut
	ZoneLost
	randomKindCount
	// RegionCut needs two regions and is not chosen at random.
	RegionCut = randomKindCount
)

// Kinds that RandomFaults does not choose. CrashingRequest sends a request that crashes every back
// end running it. ItemDuringCrashes and RewardDuringCrashes crash the first samplers that run an
// item or a reward call.
const (
	CrashingRequest = RegionCut + 1 + iota
	ItemDuringCrashes
	RewardDuringCrashes
	// SamplerRestarted restarts a sampler under its id. ForeignEntries writes invalid entries to
	// the samplers' topic.
	SamplerRestarted
	ForeignEntries
	// Suspension makes all nodes observe that their machines were suspended for the fault's
	// duration.
	Suspension
	// NodesCutFromStore is NodeCutFromStore for cutNodeShare of the nodes, chosen by the target.
	NodesCutFromStore
	// StoreStalls makes the store answer after stalledLatency.
	StoreStalls
	// SamplerMalformsAnswers makes a sampler send answers that HTTP does not allow.
	SamplerMalformsAnswers
)

// cutNodeShare is the share of the nodes that NodesCutFromStore affects.
const cutNodeShare = 0.35

// stalledLatency is longer than nodes wait for the answer to a read of a log that they follow.
const stalledLatency = 1500 * time.Millisecond

// faultNames holds the name of each kind, as logs and reports show it.
var faultNames = [...]string{
	"node_kill", "node_freeze", "node_cut_from_store", "node_cut_from_all", "node_term", "herd_kill", "kill_all",
	"store_down", "store_silent", "store_slow", "store_lost", "store_late", "store_rebalance",
	"sampler_crash", "sampler_slow", "sampler_cut", "sampler_fail", "sampler_surplus", "sampler_replaced", "sampler_late_orders",
	"config_change", "store_forgets", "node_replaced", "keys_taken",
	"cloud_down", "cloud_slow", "cloud_lost",
	"cold_return", "samplers_turn_cold", "evacuate", "zone_cut", "zone_lost",
	"region_cut",
	"crashing_request", "item_during_crashes", "reward_during_crashes", "sampler_reborn", "foreign_entries", "suspension",
	"nodes_cut_from_store", "store_stalls", "sampler_malformed",
}

// String implements fmt.Stringer.
func (k FaultKind) String() string { return faultNames[k] }

// Fault is one fault of a schedule: it starts at At and lasts for For.
type Fault struct {
	Kind FaultKind
	At   time.Duration
	For  time.Duration
	// Target selects the machine, zone or other object of the fault.
	Target uint64
}

// String implements fmt.Stringer.
func (f Fault) String() string { return fmt.Sprintf("%v at %v for %v", f.Kind, f.At, f.For) }

// RandomFaults returns count random faults that start within a time, ordered by their start.
func RandomFaults(seed uint64, within time.Duration, count int) []Fault {
	random := rand.New(rand.NewPCG(seed, 3))
	faults := make([]Fault, 0, count)
	for range count {
		faults = append(faults, Fault{
			Kind: FaultKind(random.IntN(int(randomKindCount))), At: time.Duration(random.Int64N(int64(within))),
			For: time.Second + time.Duration(random.Int64N(int64(7*time.Second))), Target: random.Uint64(),
		})
	}
	slices.SortFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// Inject applies a fault, and reverts it after its duration.
func (w *World) Inject(fault Fault) {
	nodes := w.presentNodes()
	node := nodes[fault.Target%uint64(len(nodes))]
	machine := w.samplers[fault.Target%uint64(len(w.samplers))]
	defer w.recordFault(fault, node)()
	switch fault.Kind {
	case NodeKill:
		w.killFor(fault, node)
	case KillMostNodes:
		w.killFor(fault, nodes[:len(nodes)*2/3]...)
	case KillAllNodes:
		w.killFor(fault, nodes...)
	case NodeTerminate:
		w.terminateNode(node)
	case NodePause:
		w.disturb(fault, node.name)
		w.environment.Pause(node.name)
		time.Sleep(fault.For)
		w.recordRecovery(node.name)
		w.environment.Resume(node.name)
		w.Checker.RecordHeldTraffic(node.name)
	case NodeCutFromStore:
		w.isolateNodes(fault, []string{node.name}, []string{storeMachine})
	case NodesCutFromStore:
		w.isolateNodes(fault, chooseNodes(w.Nodes(), fault.Target), []string{storeMachine})
	case NodeCutFromAll:
		w.isolateNodes(fault, []string{node.name}, w.otherMachines(node.name))
	case ConfigChange:
		w.PutConfig(int(fault.Target % 50))
	case KeysRevoked:
		w.tenants.rotateKeys(fault.Target)
		w.PutConfig(int(fault.Target % 50))
	case StoreRebalance:
		w.Store.Rebalance()
	case RegionCut:
		w.isolateRegion(fault)
	case NodeReplaced:
		w.replaceNode(fault, w.lastOrderSender(node))
	case Evacuate:
		w.evacuateZones(fault)
	case ZoneCut:
		w.isolateZone(fault, zones[fault.Target%uint64(len(zones))])
	case ZoneLost:
		w.failZone(fault, zones[fault.Target%uint64(len(zones))])
	case CrashingRequest:
		ctx, cancel := context.WithTimeout(context.Background(), fault.For)
		defer cancel()
		client := w.newCaller("client-crashing", zones[0], host, w.options.Seed+fault.Target)
		client.tenant = w.tenants.names[0]
		client.runCrashingClient(ctx, fault.Target)
	case ItemDuringCrashes, RewardDuringCrashes:
		w.runStepDuringCrashes(fault)
	case Suspension:
		w.simulateSuspension(fault)
	case StoreDropsHistory:
		w.Store.DropHistory(platform.TopicOperator)
		w.Store.DropHistory(platform.TopicSamplers)
	default:
		w.injectDependencyFault(fault, machine)
	}
}

// injectDependencyFault applies a fault of the store, the platform's API or a sampler.
func (w *World) injectDependencyFault(fault Fault, machine *samplerMachine) {
	switch fault.Kind {
	case StoreDown:
		w.applyStoreFaults(fault, StoreFaults{Down: true})
	case StoreUnresponsive:
		w.applyStoreFaults(fault, StoreFaults{Unresponsive: true})
	case StoreSlow:
		w.applyStoreFaults(fault, StoreFaults{SlowdownFactor: 60})
	case StoreStalls:
		w.applyStoreFaults(fault, StoreFaults{SlowdownFactor: float64(stalledLatency) / float64(storeLatency)})
	case StoreLosesWrites:
		w.applyStoreFaults(fault, StoreFaults{LostWriteRate: 0.35})
	case StoreDelaysWrites:
		w.applyStoreFaults(fault, StoreFaults{LostWriteRate: 0.35, DelayWrites: true})
	case CloudDown:
		w.applyCloudFaults(fault, CloudFaults{Down: true})
	case CloudSlow:
		w.applyCloudFaults(fault, CloudFaults{SlowdownFactor: 60})
	case CloudLosesAnswers:
		w.applyCloudFaults(fault, CloudFaults{LostAnswerRate: 0.5})
	case ZoneRestartsCold:
		w.restartZoneCold(fault, machine.spec.Zone)
	case SamplersTurnCold:
		w.makeSamplersCold()
	case SamplerCrash:
		w.crashSampler(fault, machine)
	case SamplerReplaced:
		w.replaceSampler(fault, machine)
	case SamplerRestarted:
		w.restartWithSameID(fault, machine)
	case ForeignEntries:
		w.writeForeignEntries(fault, machine)
	case SamplerSlow:
		w.applySamplerFaults(fault, machine, SamplerFaults{SlowdownFactor: 4})
	case SamplerCutsStreams:
		w.applySamplerFaults(fault, machine, SamplerFaults{TruncationRate: 0.3})
	case SamplerFail:
		w.applySamplerFaults(fault, machine, SamplerFaults{ErrorRate: 0.3})
	case SamplerMisroutesAnswers:
		w.applySamplerFaults(fault, machine, SamplerFaults{MisroutedAnswerRate: 0.3})
	case SamplerMalformsAnswers:
		w.applySamplerFaults(fault, machine, SamplerFaults{MalformedAnswerRate: 0.3})
	case SamplerDelaysOrders:
		w.applySamplerFaults(fault, machine, SamplerFaults{DelayOrders: true})
	}
}

// disturb records that a machine is disturbed for the duration of a fault.
func (w *World) disturb(fault Fault, machine string) {
	w.disturbUntil(machine, time.Now().Add(fault.For))
}

// disturbUntil records that a machine is disturbed until a time. Where requests cannot be
// attributed to nodes, the disturbance counts for all machines.
func (w *World) disturbUntil(machine string, until time.Time) {
	w.Checker.RecordDisturbance(machine, until)
	if w.options.NodesUnidentified {
		w.Checker.RecordDisturbance("", until)
	}
}

// recordRecovery records that a machine or its links work again.
func (w *World) recordRecovery(machine string) {
	w.disturbUntil(machine, time.Now())
	if w.options.NodesUnidentified {
		w.Checker.IgnoreOrdersUntil(time.Now().Add(resumedOrderGracePeriod))
	}
}

// killFor kills the nodes that are running and restarts them after the fault's duration.
func (w *World) killFor(fault Fault, machines ...*nodeMachine) {
	var killed []*nodeMachine
	for _, machine := range machines {
		w.disturb(fault, machine.name)
		w.mutex.Lock()
		down := machine.down
		w.mutex.Unlock()
		if !down {
			w.kill(machine)
			killed = append(killed, machine)
		}
	}
	time.Sleep(fault.For)
	for _, machine := range killed {
		w.restart(machine)
		w.recordRecovery(machine.name)
	}
}

// simulateSuspension makes all nodes observe a suspension. All parts of the simulation share one
// clock, so the store and the samplers do not advance in the meantime: leases and entries are
// younger than the nodes assume.
func (w *World) simulateSuspension(fault Fault) {
	for _, machine := range w.presentNodes() {
		w.disturbUntil(machine.name, time.Now())
	}
	w.suspendedNS.Add(int64(fault.For))
}

// lastOrderSender returns the node that sent the last weight order, or other if none did or that
// node was removed.
func (w *World) lastOrderSender(other *nodeMachine) *nodeMachine {
	holder := w.Checker.lastOrderSender()
	for _, machine := range w.presentNodes() {
		if machine.name == holder {
			return machine
		}
	}
	return other
}

// replaceNode removes a node's machine permanently and starts another one in its place, without
// data and with another name and address.
func (w *World) replaceNode(fault Fault, machine *nodeMachine) {
	w.mutex.Lock()
	unavailable := machine.down || machine.removed
	if !unavailable {
		machine.removed = true
	}
	w.mutex.Unlock()
	if unavailable {
		return
	}
	w.disturb(fault, machine.name)
	w.kill(machine)
	time.Sleep(fault.For)
	replacement := &nodeMachine{name: machine.name + "-next", zone: machine.zone}
	w.mutex.Lock()
	w.nodes = append(w.nodes, replacement)
	w.mutex.Unlock()
	w.startNode(replacement)
	w.recordRecovery(replacement.name)
}

// terminateNode stops a node gracefully, as in planned maintenance, and restarts it.
func (w *World) terminateNode(machine *nodeMachine) {
	w.mutex.Lock()
	down := machine.down
	if !down {
		machine.down = true
	}
	w.mutex.Unlock()
	if down {
		return
	}
	w.disturbUntil(machine.name, time.Now().Add(gracePeriodS*time.Second))
	machine.process.Terminate()
	<-machine.process.Done()
	w.startNode(machine)
}

// otherMachines lists all machines but the named node.
func (w *World) otherMachines(name string) []string {
	others := []string{storeMachine, cloudMachine}
	for _, machine := range w.presentNodes() {
		if machine.name != name {
			others = append(others, machine.name)
		}
	}
	for _, machine := range w.samplers {
		others = append(others, machine.host)
	}
	return others
}

// chooseNodes returns cutNodeShare of the nodes, rounded up. Another target chooses other nodes.
func chooseNodes(nodes []string, target uint64) []string {
	random := rand.New(rand.NewPCG(target, 5))
	random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return nodes[:int(math.Ceil(cutNodeShare*float64(len(nodes))))]
}

// isolateNodes holds back all traffic between nodes and other machines for the fault's duration.
func (w *World) isolateNodes(fault Fault, names, others []string) {
	for _, name := range names {
		w.disturb(fault, name)
	}
	w.environment.Isolate(names, others)
	time.Sleep(fault.For)
	w.environment.Rejoin(names, others)
	for _, name := range names {
		w.Checker.RecordHeldTraffic(name)
		w.recordRecovery(name)
	}
}

// applyStoreFaults applies faults of the store for the fault's duration.
func (w *World) applyStoreFaults(fault Fault, faults StoreFaults) {
	w.disturb(fault, "")
	w.Store.SetFaults(faults)
	time.Sleep(fault.For)
	w.Store.SetFaults(StoreFaults{})
	w.Checker.RecordDisturbance("", time.Now())
}

// applyCloudFaults applies faults of the platform's API for the fault's duration.
func (w *World) applyCloudFaults(fault Fault, faults CloudFaults) {
	w.cloudFaults.Store(&faults)
	time.Sleep(fault.For)
	w.cloudFaults.Store(&CloudFaults{})
}

// applySamplerFaults applies faults of a sampler for the fault's duration.
func (w *World) applySamplerFaults(fault Fault, machine *samplerMachine, faults SamplerFaults) {
	machine.sampler.SetFaults(faults)
	time.Sleep(fault.For)
	machine.sampler.SetFaults(SamplerFaults{})
}

// entryExpiryHeartbeats is the number of heartbeat intervals for which the entry of a crashed
// sampler remains.
const entryExpiryHeartbeats = 3

// crashSampler crashes a sampler, removes its entry once that has expired, and restarts the sampler
// after the fault's duration.
func (w *World) crashSampler(fault Fault, machine *samplerMachine) {
	if !w.reserve(machine) {
		return
	}
	defer w.release(machine)
	w.markDown(machine)
	_ = machine.server.Close()
	w.environment.Crash(machine.host)
	time.Sleep(entryExpiryHeartbeats * heartbeatInterval)
	machine.sampler.Deregister()
	time.Sleep(fault.For)
	w.environment.Restore(machine.host)
	w.startSampler(machine)
}

// replaceSampler drains a sampler, stops it and starts another one at its address.
func (w *World) replaceSampler(_ Fault, machine *samplerMachine) {
	if !w.reserve(machine) {
		return
	}
	defer w.release(machine)
	machine.sampler.Drain()
	time.Sleep(drainDeadline + linkTolerance + time.Second)
	w.markDown(machine)
	_ = machine.server.Close()
	machine.sampler.Deregister()
	time.Sleep(drainDeadline)
	w.startSampler(machine)
}

// RandomKind returns a random kind of fault.
func RandomKind(random *rand.Rand) FaultKind { return FaultKind(random.IntN(int(randomKindCount))) }
