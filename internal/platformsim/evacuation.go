package platformsim

import (
	"time"

	"github.com/pathbend/pathbend/platform"
)

// evacuateBound is the bound of the rule on evacuated zones. The users' sheets say 5 s;
// the shorter one also finds what would only just pass there.
const evacuateBound = 2 * time.Second

// evacuate evacuates a zone, or two of them, and takes them back.
func (w *World) evacuate(fault Fault) {
	first := int(fault.Target % uint64(len(zones)))
	count := 1
	if fault.Target/uint64(len(zones))%2 == 0 {
		count++
	}
	for i := range count {
		w.setEvacuated(zones[(first+i)%len(zones)], 1)
	}
	time.Sleep(fault.For)
	for i := range count {
		w.setEvacuated(zones[(first+i)%len(zones)], -1)
	}
}

// setEvacuated adds a reason to evacuate a zone, or takes one away: faults may overlap.
func (w *World) setEvacuated(zone string, change int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	before := w.evacuated[zone]
	w.evacuated[zone] = before + change
	switch {
	case before == 0:
		w.Store.Put(platform.TopicOperator, platform.KeyEvacuatePrefix+zone, []byte("{}"))
		w.Truth.Evacuated(zone, time.Now())
	case before+change == 0:
		w.Truth.Evacuated(zone, time.Time{})
		w.Store.Put(platform.TopicOperator, platform.KeyEvacuatePrefix+zone, nil)
	}
}

// Evacuated notes that a zone was acknowledged as evacuated at a time, or that it is
// about to be taken back if the time is zero.
func (t *Truth) Evacuated(zone string, at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.evacuatedAt[zone] = at
	if !at.IsZero() {
		t.counts["zones evacuated"]++
	}
}

// judgeEvacuation judges a request, or an order of weights, that reached a sampler of a
// zone. It is called under the lock.
func (t *Truth) judgeEvacuation(sampler, zone, node, what string, now time.Time) {
	at := t.evacuatedAt[zone]
	if !at.IsZero() && now.Sub(at) > evacuateBound+t.allowance(now) && t.inTouch(node, now) {
		t.broken("EVAC", "%s reached %s from %s %v after zone %s was evacuated", what, sampler, node, now.Sub(at), zone)
	}
}
