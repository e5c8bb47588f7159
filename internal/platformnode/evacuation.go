package platformnode

import (
	"slices"
	"time"

	"github.com/pathbend/pathbend/internal/evacuation"
	"github.com/pathbend/pathbend/internal/event"
)

// ApplyEvacuations applies the complete list of zones that the operator wants evacuated. The
// caller applies it before the samplers of the same read, so that no request is sent to a
// sampler before its evacuation is known.
func (n *Node) ApplyEvacuations(names []string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := time.Now()
	next, changes := n.evacuated.Load().ReplaceSource(evacuation.SourceOperator, names, now)
	if len(changes.Evacuated)+len(changes.Restored) == 0 {
		return
	}
	n.evacuated.Store(&next)
	n.fleet.SetEvacuatedZones(next)
	for _, zone := range changes.Evacuated {
		n.logEvacuated(zone)
	}
	for _, zone := range changes.Restored {
		n.logger.Log(event.ZoneTakenBack, "zone", zone.Name, "source", string(zone.Source), "lasted_ms", now.Sub(zone.Since).Milliseconds())
	}
	n.executor.wake()
}

// logEvacuated logs the start of an evacuation, and also if the topology lacks the zone.
func (n *Node) logEvacuated(zone evacuation.Zone) {
	known := n.settings.Topology.Zones()
	if len(known) > 0 && !slices.Contains(known, zone.Name) {
		n.logger.Log(event.EvacuationUnknown, "zone", zone.Name, "source", string(zone.Source))
	}
	n.logger.Log(event.ZoneEvacuated, "zone", zone.Name, "source", string(zone.Source), "samplers", n.samplersIn(zone.Name))
}

// samplersIn counts the listed samplers of a zone.
func (n *Node) samplersIn(zone string) int {
	listed := n.samplers.Load()
	if listed == nil {
		return 0
	}
	count := 0
	for _, sampler := range *listed {
		if sampler.Zone == zone {
			count++
		}
	}
	return count
}

// applyEvacuations passes changed evacuations to the scheduler. It is called before anything
// is scheduled; the caller holds the lock.
func (e *executor) applyEvacuations() {
	if current := e.node.evacuated.Load(); current != e.appliedEvacuations {
		e.appliedEvacuations = current
		e.scheduler.SetEvacuatedZones(*current, time.Now())
	}
}
