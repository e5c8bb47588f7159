package platformsim

import (
	"time"

	"github.com/pathbend/pathbend/platform"
)

// evacuationDeadline is the time after which an evacuated zone must receive nothing. The rule
// allows 5 s; the shorter bound also finds violations that would only just pass it.
const evacuationDeadline = 2 * time.Second

// evacuateZones evacuates one or two zones, depending on the fault's target, for the duration of
// the fault.
func (w *World) evacuateZones(fault Fault) {
	first := int(fault.Target % uint64(len(zones)))
	count := 1
	if fault.Target/uint64(len(zones))%2 == 0 {
		count++
	}
	for i := range count {
		w.adjustEvacuations(zones[(first+i)%len(zones)], 1)
	}
	time.Sleep(fault.For)
	for i := range count {
		w.adjustEvacuations(zones[(first+i)%len(zones)], -1)
	}
}

// adjustEvacuations changes the number of faults that evacuate a zone, since faults may overlap.
// The zone is evacuated while the number is positive.
func (w *World) adjustEvacuations(zone string, change int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	previous := w.evacuationCounts[zone]
	w.evacuationCounts[zone] = previous + change
	switch {
	case previous == 0:
		w.Store.Put(platform.TopicOperator, platform.KeyEvacuatePrefix+zone, []byte("{}"))
		w.Checker.RecordEvacuation(zone, time.Now())
	case previous+change == 0:
		w.Checker.RecordEvacuation(zone, time.Time{})
		w.Store.Put(platform.TopicOperator, platform.KeyEvacuatePrefix+zone, nil)
	}
}

// RecordEvacuation records when the store acknowledged the evacuation of a zone. A zero time
// means that the evacuation is about to be reverted.
func (c *Checker) RecordEvacuation(zone string, at time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.evacuatedAt[zone] = at
	if !at.IsZero() {
		c.counts["zones evacuated"]++
	}
}

// checkEvacuation reports a violation if an undisturbed node sends a request or a weight order to
// a sampler of a zone that has been evacuated for too long. The caller holds c.mutex.
func (c *Checker) checkEvacuation(sampler, zone, node, what string, now time.Time) {
	at := c.evacuatedAt[zone]
	if !at.IsZero() && now.Sub(at) > evacuationDeadline+c.tolerance(now) && c.inTouch(node, now) {
		c.recordViolation("EVAC", "%s reached %s from %s %v after zone %s was evacuated", what, sampler, node, now.Sub(at), zone)
	}
}
