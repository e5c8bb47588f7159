package platformsim

import (
	"slices"
	"time"

	"github.com/sourcegraph/conc"
)

// isolateZone isolates the nodes and samplers of a zone from all other machines.
func (w *World) isolateZone(fault Fault, zone string) {
	w.isolateZones(fault, func(candidate string) bool { return candidate == zone }, w.nodesIn(zone))
}

// nodesIn returns the nodes of a zone that have not been removed.
func (w *World) nodesIn(zone string) []*nodeMachine {
	return slices.DeleteFunc(w.presentNodes(), func(machine *nodeMachine) bool { return machine.zone != zone })
}

// isolateRegion isolates the machines of the region that does not contain the store.
func (w *World) isolateRegion(fault Fault) {
	storeRegion := w.options.Regions[zones[0]]
	w.isolateZones(fault, func(zone string) bool { return w.options.Regions[zone] != storeRegion }, w.presentNodes())
}

// isolateZones isolates the machines of the zones that belongs selects from all others, and
// records the given nodes as disturbed. The store and the platform's API belong to no zone and
// stay outside.
func (w *World) isolateZones(fault Fault, belongs func(zone string) bool, disturbed []*nodeMachine) {
	var inside []string
	outside := []string{storeMachine, cloudMachine}
	assign := func(name, zone string) {
		if belongs(zone) {
			inside = append(inside, name)
			return
		}
		outside = append(outside, name)
	}
	for _, machine := range w.presentNodes() {
		assign(machine.name, machine.zone)
	}
	for _, machine := range w.samplers {
		assign(machine.host, machine.spec.Zone)
	}
	for _, machine := range disturbed {
		w.disturb(fault, machine.name)
	}
	w.environment.Isolate(inside, outside)
	time.Sleep(fault.For)
	w.environment.Rejoin(inside, outside)
	for _, machine := range w.presentNodes() {
		// The isolated links held back requests from any node to their samplers.
		w.Checker.RecordHeldTraffic(machine.name)
	}
	for _, machine := range disturbed {
		w.recordRecovery(machine.name)
	}
}

// failZone kills the nodes of a zone and stops its samplers, which restart cold.
func (w *World) failZone(fault Fault, zone string) {
	var stopping conc.WaitGroup
	stopping.Go(func() { w.killFor(fault, w.nodesIn(zone)...) })
	stopping.Go(func() { w.restartZoneCold(fault, zone) })
	stopping.Wait()
}

// recordFault records which machines a fault affects, so that lost requests can be attributed
// to it. The returned function records that the fault is over.
func (w *World) recordFault(fault Fault, node *nodeMachine) (end func()) {
	name, until := fault.Kind.String(), time.Now().Add(fault.For)
	var endings []func()
	record := func(place string, until time.Time) {
		endings = append(endings, w.Checker.RecordDisruption(place, name, until, false))
	}
	switch fault.Kind {
	case NodeKill, NodePause, NodeCutFromStore, NodeCutFromAll:
		record(node.name, until)
	case NodesCutFromStore:
		for _, name := range chooseNodes(w.Nodes(), fault.Target) {
			record(name, until)
		}
	case NodeTerminate:
		endings = append(endings, w.Checker.RecordDisruption(node.name, name, time.Now().Add((gracePeriodS+1)*time.Second), true))
	case KillMostNodes, KillAllNodes, RegionCut:
		for _, machine := range w.presentNodes() {
			record(machine.name, until)
		}
	case NodeReplaced:
		record(w.lastOrderSender(node).name, until)
	case ZoneCut, ZoneLost:
		for _, machine := range w.nodesIn(zones[fault.Target%uint64(len(zones))]) {
			record(machine.name, until)
		}
		record(PlaceSamplers, until)
	case StoreDown, StoreUnresponsive, StoreSlow, StoreStalls, StoreLosesWrites, StoreDelaysWrites, StoreRebalance, StoreDropsHistory:
		record(placeStore, until)
	case ConfigChange, KeysRevoked, Evacuate:
		record(placeOperator, until)
	case SamplerCrash, SamplerReplaced, ZoneRestartsCold, SamplersTurnCold:
		// The samplers stay cold, or out of the registry, for some more seconds.
		record(PlaceSamplers, until.Add(drainDeadline+coldDuration+entryExpiryHeartbeats*heartbeatInterval))
	default:
		record(PlaceSamplers, until)
	}
	return func() {
		for _, end := range endings {
			end()
		}
	}
}
