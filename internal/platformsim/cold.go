package platformsim

import (
	"time"

	"github.com/pathbend/pathbend/platform"
)

const (
	// coldTime is how long a sampler is cold after a start during traffic.
	coldTime = 3 * time.Second
	// coldPerSecond is what a cold sampler bears; coldOver and coldSlack make the bound of
	// the users' rule of it, 12 requests in any second.
	coldPerSecond = 6.0
	coldOver      = 1.5
	coldSlack     = 3.0
	coldBound     = coldPerSecond*coldOver + coldSlack
	// fallsAt is how many requests in a second make a cold sampler fall over, downTime
	// for how long it then drops everything.
	fallsAt  = 2 * coldPerSecond
	downTime = 2 * time.Second
	// arrivalWindow is the second of the rule.
	arrivalWindow = time.Second
)

// coldState is what a sampler knows of its cold time.
type coldState struct {
	until    time.Time
	arrivals []time.Time
	// fallenUntil is until when it drops everything.
	fallenUntil time.Time
}

// left is how much longer the sampler is cold.
func (c *coldState) left(now time.Time) time.Duration { return max(c.until.Sub(now), 0) }

// arrived counts a request and returns how many came in the last second, and within a
// window of it, 0 while the sampler is warm.
func (c *coldState) arrived(now time.Time, window time.Duration) (second, within int) {
	if c.left(now) == 0 {
		c.arrivals = nil
		return 0, 0
	}
	kept := c.arrivals[:0]
	for _, at := range c.arrivals {
		if now.Sub(at) <= arrivalWindow {
			kept = append(kept, at)
		}
	}
	c.arrivals = append(kept, now)
	if float64(len(c.arrivals)) > fallsAt {
		c.fallenUntil = now.Add(downTime)
	}
	for _, at := range c.arrivals {
		if now.Sub(at) <= window {
			within++
		}
	}
	return len(c.arrivals), within
}

// TurnCold makes a sampler cold from now on, as its entry says from the next heartbeat on.
func (s *Sampler) TurnCold() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cold.until = time.Now().Add(coldTime)
}

// takeCold counts a request that reached a sampler from a node. It reports whether the
// sampler has fallen over and drops it.
func (s *Sampler) takeCold(node string) (fallen bool) {
	window := s.truth.sentWindow()
	s.mutex.Lock()
	now := time.Now()
	second, count := s.cold.arrived(now, window)
	fallen = now.Before(s.cold.fallenUntil)
	s.mutex.Unlock()
	if second > 0 {
		s.truth.ArrivedCold(s.ID, node, count)
	}
	return fallen
}

// sentWindow is a window whose arrivals were sent within a second, late as they may be.
func (t *Truth) sentWindow() time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return arrivalWindow - t.lateness(time.Now())
}

// ArrivedCold judges the requests that a cold sampler got in a second, the last of them
// from a node. What a link held was sent before.
func (t *Truth) ArrivedCold(sampler, node string, count int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.counts["requests to cold samplers"]++
	if float64(count) > coldBound && time.Since(t.heldUntil(node)) > touchTime {
		t.broken("FAILBACK", "%d requests in a second reached cold %s, the last from %s", count, sampler, node)
	}
}

// heldUntil is when links last held what a node sent. It is called under the lock.
func (t *Truth) heldUntil(node string) time.Time {
	if t.nameless {
		return t.held[""]
	}
	return t.held[node]
}

// Held notes that the links of a machine held what it sent until now.
func (t *Truth) Held(machine string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.nameless {
		machine = ""
	}
	t.held[machine] = time.Now()
}

// returnCold takes the samplers of a zone down together and brings them back cold.
func (w *World) returnCold(fault Fault, zone string) {
	var lost []*samplerMachine
	for _, machine := range w.samplers {
		if machine.spec.Zone == zone && w.claim(machine) {
			w.takeDown(machine)
			_ = machine.server.Close()
			w.network.Crash(machine.host)
			lost = append(lost, machine)
		}
	}
	entriesLast := silentBeats * heartbeat
	time.Sleep(min(fault.For, entriesLast))
	if fault.For > entriesLast {
		for _, machine := range lost {
			machine.sampler.Remove()
		}
		time.Sleep(fault.For - entriesLast)
	}
	for _, machine := range lost {
		before := machine.sampler
		w.network.Restore(machine.host)
		w.startSampler(machine)
		before.Remove()
		w.unclaim(machine)
	}
}

// turnCold makes every model sampler cold while it goes on.
func (w *World) turnCold() {
	for _, machine := range w.samplers {
		if machine.spec.Service == modelService && !w.isDown(machine) {
			machine.sampler.TurnCold()
		}
	}
}

func withColdStart(document platform.ServiceDocument) platform.ServiceDocument {
	document.ColdStartS, document.ColdPerS = coldTime.Seconds(), coldPerSecond
	return document
}
