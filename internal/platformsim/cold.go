package platformsim

import (
	"time"

	"github.com/pathbend/pathbend/platform"
)

const (
	// coldTime is how long a sampler stays cold after a restart.
	coldTime = 3 * time.Second
	// coldRequestsPerSecond is the rate that a cold sampler supports. Times a factor and plus an
	// allowance it gives maxColdRequests, the limit of the rule on cold samplers: 12 requests in
	// any second.
	coldRequestsPerSecond = 6.0
	coldOver              = 1.5
	coldSlack             = 3.0
	maxColdRequests       = coldRequestsPerSecond*coldOver + coldSlack
	// A cold sampler that receives more than overloadThreshold requests in a second drops
	// all requests for overloadDuration.
	overloadThreshold = 2 * coldRequestsPerSecond
	overloadDuration  = 2 * time.Second
	// arrivalWindow is the interval over which the rule counts requests.
	arrivalWindow = time.Second
)

// coldState tracks the cold phase of a sampler and the requests that arrive during it.
type coldState struct {
	until    time.Time
	arrivals []time.Time
	// overloadedUntil is the end of the time in which all requests are dropped.
	overloadedUntil time.Time
}

// left returns the remaining duration of the cold phase, 0 if the sampler is warm.
func (c *coldState) left(now time.Time) time.Duration { return max(c.until.Sub(now), 0) }

// recordArrival counts a request and returns how many arrived in the last second and in the
// last window, both 0 if the sampler is warm.
func (c *coldState) recordArrival(now time.Time, window time.Duration) (second, within int) {
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
	if float64(len(c.arrivals)) > overloadThreshold {
		c.overloadedUntil = now.Add(overloadDuration)
	}
	for _, at := range c.arrivals {
		if now.Sub(at) <= window {
			within++
		}
	}
	return len(c.arrivals), within
}

// MakeCold starts a cold phase. The sampler's entry shows it from the next heartbeat on.
func (s *Sampler) MakeCold() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cold.until = time.Now().Add(coldTime)
}

// takeCold records a request that arrived from a node. It reports whether the sampler drops
// the request because it is overloaded.
func (s *Sampler) takeCold(node string) (overloaded bool) {
	window := s.truth.sendWindow()
	s.mutex.Lock()
	now := time.Now()
	second, count := s.cold.recordArrival(now, window)
	overloaded = now.Before(s.cold.overloadedUntil)
	s.mutex.Unlock()
	if second > 0 {
		s.truth.ColdRequestArrived(s.ID, node, count)
	}
	return overloaded
}

// sendWindow returns arrivalWindow less the recent wake-up delay: requests that arrive within
// it were sent within a second, even if they were delayed on this machine.
func (t *Truth) sendWindow() time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return arrivalWindow - t.lateness(time.Now())
}

// ColdRequestArrived checks the number of requests that a cold sampler received in a second,
// the last of them from node. It is not checked shortly after a link of the node held traffic,
// since requests that were sent at different times then arrive together.
func (t *Truth) ColdRequestArrived(sampler, node string, count int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.counts["requests to cold samplers"]++
	if float64(count) > maxColdRequests && time.Since(t.lastHeld(node)) > touchTime {
		t.broken("FAILBACK", "%d requests within a second reached cold sampler %s, the last from %s", count, sampler, node)
	}
}

// lastHeld returns when links last held traffic of a node. The caller holds t.mutex.
func (t *Truth) lastHeld(node string) time.Time {
	if t.nameless {
		return t.held[""]
	}
	return t.held[node]
}

// Held records that links held the traffic of a machine until now.
func (t *Truth) Held(machine string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.nameless {
		machine = ""
	}
	t.held[machine] = time.Now()
}

// returnCold stops all samplers of a zone and starts them again, cold, once the fault is over.
// Their entries expire in the meantime if the fault lasts long enough.
func (w *World) returnCold(fault Fault, zone string) {
	var stopped []*samplerMachine
	for _, machine := range w.samplers {
		if machine.spec.Zone == zone && w.claim(machine) {
			w.takeDown(machine)
			_ = machine.server.Close()
			w.network.Crash(machine.host)
			stopped = append(stopped, machine)
		}
	}
	entryLifetime := silentBeats * heartbeat
	time.Sleep(min(fault.For, entryLifetime))
	if fault.For > entryLifetime {
		for _, machine := range stopped {
			machine.sampler.Remove()
		}
		time.Sleep(fault.For - entryLifetime)
	}
	for _, machine := range stopped {
		previous := machine.sampler
		w.network.Restore(machine.host)
		w.startSampler(machine)
		previous.Remove()
		w.unclaim(machine)
	}
}

// makeSamplersCold starts a cold phase of every running model sampler.
func (w *World) makeSamplersCold() {
	for _, machine := range w.samplers {
		if machine.spec.Service == modelService && !w.isDown(machine) {
			machine.sampler.MakeCold()
		}
	}
}

// withColdStart adds the duration of the cold phase and the supported rate to a service.
func withColdStart(document platform.ServiceDocument) platform.ServiceDocument {
	document.ColdStartS, document.ColdPerS = coldTime.Seconds(), coldRequestsPerSecond
	return document
}
