package platformsim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pathbend/pathbend/platform"
)

// FaultKind is a kind of trouble.
type FaultKind int

// Kinds of faults.
const (
	NodeKill FaultKind = iota
	NodeFreeze
	NodeCutFromStore
	NodeCutFromAll
	NodeTerm
	HerdKill
	KillAll
	StoreDown
	StoreSilent
	StoreSlow
	StoreLost
	StoreLate
	StoreRebalance
	SamplerCrash
	SamplerSlow
	SamplerCut
	SamplerFail
	SamplerSurplus
	SamplerReplaced
	SamplerLateOrders
	ConfigChange
	StoreForgets
	NodeReplaced
	KeysTaken
	CloudDown
	CloudSlow
	CloudLost
	ColdReturn
	SamplersTurnCold
	Evacuate
	ZoneCut
	ZoneLost
	faultKinds
	// RegionCut needs two regions and is not drawn.
	RegionCut = faultKinds
)

// Kinds that are not drawn, so that the seeds of the others keep their faults: requests that
// crash the samplers that run them, and suspended machines.
const (
	CrashingRequest = RegionCut + 1 + iota
	CrashingItem
	CrashingReward
	// SamplerReborn starts a sampler again under its id, ForeignEntries lets another writer
	// put entries into the samplers' topic.
	SamplerReborn
	ForeignEntries
	// Suspension makes all machines find that they were suspended for the fault's time.
	Suspension
)

var faultNames = [...]string{
	"node_kill", "node_freeze", "node_cut_from_store", "node_cut_from_all", "node_term", "herd_kill", "kill_all",
	"store_down", "store_silent", "store_slow", "store_lost", "store_late", "store_rebalance",
	"sampler_crash", "sampler_slow", "sampler_cut", "sampler_fail", "sampler_surplus", "sampler_replaced", "sampler_late_orders",
	"config_change", "store_forgets", "node_replaced", "keys_taken",
	"cloud_down", "cloud_slow", "cloud_lost",
	"cold_return", "samplers_turn_cold", "evacuate", "zone_cut", "zone_lost",
	"region_cut",
	"crashing_request", "crashing_item", "crashing_reward", "sampler_reborn", "foreign_entries", "suspension",
}

// String implements fmt.Stringer.
func (k FaultKind) String() string { return faultNames[k] }

// Fault is one trouble of a schedule.
type Fault struct {
	Kind FaultKind
	At   time.Duration
	For  time.Duration
	// Target draws the machine.
	Target uint64
}

// String implements fmt.Stringer.
func (f Fault) String() string { return fmt.Sprintf("%v at %v for %v", f.Kind, f.At, f.For) }

// Draw draws count faults within a time.
func Draw(seed uint64, within time.Duration, count int) []Fault {
	random := rand.New(rand.NewPCG(seed, 3))
	faults := make([]Fault, 0, count)
	for range count {
		faults = append(faults, Fault{
			Kind: FaultKind(random.IntN(int(faultKinds))), At: time.Duration(random.Int64N(int64(within))),
			For: time.Second + time.Duration(random.Int64N(int64(7*time.Second))), Target: random.Uint64(),
		})
	}
	slices.SortFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// Inject carries a fault out and heals it.
func (w *World) Inject(fault Fault) {
	nodes := w.present()
	node := nodes[fault.Target%uint64(len(nodes))]
	machine := w.samplers[fault.Target%uint64(len(w.samplers))]
	defer w.noteTrouble(fault, node)()
	switch fault.Kind {
	case NodeKill:
		w.killFor(fault, node)
	case HerdKill:
		w.killFor(fault, nodes[:len(nodes)*2/3]...)
	case KillAll:
		w.killFor(fault, nodes...)
	case NodeTerm:
		w.term(node)
	case NodeFreeze:
		w.disturb(fault, node.name)
		w.network.Pause(node.name)
		time.Sleep(fault.For)
		w.healed(node.name)
		w.network.Resume(node.name)
		w.Truth.Held(node.name)
	case NodeCutFromStore:
		w.cut(fault, node.name, []string{storeMachine})
	case NodeCutFromAll:
		w.cut(fault, node.name, w.others(node.name))
	case ConfigChange:
		w.PutConfig(int(fault.Target % 50))
	case KeysTaken:
		w.tenants.rotate(fault.Target)
		w.PutConfig(int(fault.Target % 50))
	case StoreRebalance:
		w.Store.Rebalance()
	case RegionCut:
		w.cutRegion(fault)
	case NodeReplaced:
		w.replaceNode(fault, w.lastToOrder(node))
	case Evacuate:
		w.evacuate(fault)
	case ZoneCut:
		w.cutZone(fault, zones[fault.Target%uint64(len(zones))])
	case ZoneLost:
		w.loseZone(fault, zones[fault.Target%uint64(len(zones))])
	case CrashingRequest:
		ctx, cancel := context.WithTimeout(context.Background(), fault.For)
		defer cancel()
		client := w.newCaller("client-crashing", zones[0], host, w.options.Seed+fault.Target)
		client.tenant = w.tenants.names[0]
		client.runCrashing(ctx, fault.Target)
	case CrashingItem, CrashingReward:
		w.crashingStep(fault)
	case Suspension:
		w.suspend(fault)
	case StoreForgets:
		w.Store.Forget(platform.TopicOperator)
		w.Store.Forget(platform.TopicSamplers)
	default:
		w.injectSurroundings(fault, machine)
	}
}

func (w *World) injectSurroundings(fault Fault, machine *samplerMachine) {
	switch fault.Kind {
	case StoreDown:
		w.troubleStore(fault, StoreFaults{Down: true})
	case StoreSilent:
		w.troubleStore(fault, StoreFaults{Silent: true})
	case StoreSlow:
		w.troubleStore(fault, StoreFaults{Slow: 60})
	case StoreLost:
		w.troubleStore(fault, StoreFaults{Lose: 0.35})
	case StoreLate:
		w.troubleStore(fault, StoreFaults{Lose: 0.35, Late: true})
	case CloudDown:
		w.troubleCloud(fault, CloudFaults{Down: true})
	case CloudSlow:
		w.troubleCloud(fault, CloudFaults{Slow: 60})
	case CloudLost:
		w.troubleCloud(fault, CloudFaults{Lose: 0.5})
	case ColdReturn:
		w.returnCold(fault, machine.spec.Zone)
	case SamplersTurnCold:
		w.turnCold()
	case SamplerCrash:
		w.crashSampler(fault, machine)
	case SamplerReplaced:
		w.replaceSampler(fault, machine)
	case SamplerReborn:
		w.rebirth(fault, machine)
	case ForeignEntries:
		w.writeForeign(fault, machine)
	case SamplerSlow:
		w.troubleSampler(fault, machine, SamplerFaults{Slow: 4})
	case SamplerCut:
		w.troubleSampler(fault, machine, SamplerFaults{Cut: 0.3})
	case SamplerFail:
		w.troubleSampler(fault, machine, SamplerFaults{Fail: 0.3})
	case SamplerSurplus:
		w.troubleSampler(fault, machine, SamplerFaults{Surplus: 0.3})
	case SamplerLateOrders:
		w.troubleSampler(fault, machine, SamplerFaults{LateOrders: true})
	}
}

func (w *World) disturb(fault Fault, machine string) {
	w.disturbUntil(machine, time.Now().Add(fault.For))
}

func (w *World) disturbUntil(machine string, until time.Time) {
	w.Truth.Disturb(machine, until)
	if w.options.Nameless {
		w.Truth.Disturb("", until)
	}
}

// healed notes that a machine or its links work again.
func (w *World) healed(machine string) {
	w.disturbUntil(machine, time.Now())
	if w.options.Nameless {
		w.Truth.ExcuseOrders(time.Now().Add(thawBound))
	}
}

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
		w.healed(machine.name)
	}
}

// suspend lets all nodes find that they were suspended. The clock of the simulation is one for
// all, so the surroundings did not go on meanwhile: what nodes hold is younger than they take
// it for.
func (w *World) suspend(fault Fault) {
	for _, machine := range w.present() {
		w.disturbUntil(machine.name, time.Now())
	}
	w.slept.Add(int64(fault.For))
}

// lastToOrder returns the node that gave the last order, or another if none did.
func (w *World) lastToOrder(other *nodeMachine) *nodeMachine {
	holder := w.Truth.lastHolder()
	for _, machine := range w.present() {
		if machine.name == holder {
			return machine
		}
	}
	return other
}

// replaceNode removes a node's machine for good. Another one, empty and with another
// name and address, comes in its place.
func (w *World) replaceNode(fault Fault, machine *nodeMachine) {
	w.mutex.Lock()
	gone := machine.down || machine.removed
	if !gone {
		machine.removed = true
	}
	w.mutex.Unlock()
	if gone {
		return
	}
	w.disturb(fault, machine.name)
	w.kill(machine)
	time.Sleep(fault.For)
	next := &nodeMachine{name: machine.name + "-next", zone: machine.zone}
	w.mutex.Lock()
	w.nodes = append(w.nodes, next)
	w.mutex.Unlock()
	w.startNode(next)
	w.healed(next.name)
}

// term stops a node as planned work does and starts it again.
func (w *World) term(machine *nodeMachine) {
	w.mutex.Lock()
	down := machine.down
	if !down {
		machine.down = true
	}
	w.mutex.Unlock()
	if down {
		return
	}
	w.disturbUntil(machine.name, time.Now().Add(graceS*time.Second))
	machine.process.Terminate()
	<-machine.process.Done()
	w.startNode(machine)
}

func (w *World) others(name string) []string {
	others := []string{storeMachine, cloudMachine}
	for _, machine := range w.present() {
		if machine.name != name {
			others = append(others, machine.name)
		}
	}
	for _, machine := range w.samplers {
		others = append(others, machine.host)
	}
	return others
}

func (w *World) cut(fault Fault, name string, others []string) {
	w.disturb(fault, name)
	w.network.Isolate([]string{name}, others)
	time.Sleep(fault.For)
	w.network.Rejoin([]string{name}, others)
	w.Truth.Held(name)
	w.healed(name)
}

func (w *World) troubleStore(fault Fault, faults StoreFaults) {
	w.disturb(fault, "")
	w.Store.SetFaults(faults)
	time.Sleep(fault.For)
	w.Store.SetFaults(StoreFaults{})
	w.Truth.Disturb("", time.Now())
}

func (w *World) troubleCloud(fault Fault, faults CloudFaults) {
	w.cloudFaults.Store(&faults)
	time.Sleep(fault.For)
	w.cloudFaults.Store(&CloudFaults{})
}

func (w *World) troubleSampler(fault Fault, machine *samplerMachine, faults SamplerFaults) {
	machine.sampler.SetFaults(faults)
	time.Sleep(fault.For)
	machine.sampler.SetFaults(SamplerFaults{})
}

// silentBeats is how long the entry of a sampler outlasts its end.
const silentBeats = 3

func (w *World) crashSampler(fault Fault, machine *samplerMachine) {
	if !w.claim(machine) {
		return
	}
	defer w.unclaim(machine)
	w.takeDown(machine)
	_ = machine.server.Close()
	w.network.Crash(machine.host)
	time.Sleep(silentBeats * heartbeat)
	machine.sampler.Remove()
	time.Sleep(fault.For)
	w.network.Restore(machine.host)
	w.startSampler(machine)
}

// replaceSampler drains a sampler and starts another at its address.
func (w *World) replaceSampler(_ Fault, machine *samplerMachine) {
	if !w.claim(machine) {
		return
	}
	defer w.unclaim(machine)
	machine.sampler.Leave()
	time.Sleep(drainBound + slack + time.Second)
	w.takeDown(machine)
	_ = machine.server.Close()
	machine.sampler.Remove()
	time.Sleep(drainBound)
	w.startSampler(machine)
}

// AnyKind draws a kind of fault.
func AnyKind(random *rand.Rand) FaultKind { return FaultKind(random.IntN(int(faultKinds))) }
