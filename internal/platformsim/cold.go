package platformsim

import (
	"time"

	"github.com/pathbend/pathbend/platform"
)

const (
	// coldDuration is how long a sampler stays cold after a restart.
	coldDuration = 3 * time.Second
	// coldRequestsPerSecond is the rate that a cold sampler supports. Times a factor and plus an
	// allowance it gives maxColdRequests, the limit of the rule on cold samplers: 12 requests in
	// any second.
	coldRequestsPerSecond = 6.0
	coldFactor            = 1.5
	coldAllowance         = 3.0
	maxColdRequests       = coldRequestsPerSecond*coldFactor + coldAllowance
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

// remaining returns the remaining duration of the cold phase, 0 if the sampler is warm.
func (c *coldState) remaining(now time.Time) time.Duration { return max(c.until.Sub(now), 0) }

// recordArrival counts a request and returns how many arrived in the last second and in the
// last window, both 0 if the sampler is warm.
func (c *coldState) recordArrival(now time.Time, window time.Duration) (second, within int) {
	if c.remaining(now) == 0 {
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
	s.cold.until = time.Now().Add(coldDuration)
}

// recordColdRequest records a request that arrived from a node. It reports whether the sampler
// drops the request because it is overloaded.
func (s *Sampler) recordColdRequest(node string) (overloaded bool) {
	window := s.checker.sendWindow()
	s.mutex.Lock()
	now := time.Now()
	second, count := s.cold.recordArrival(now, window)
	overloaded = now.Before(s.cold.overloadedUntil)
	s.mutex.Unlock()
	if second > 0 {
		s.checker.ColdRequestArrived(s.ID, node, count)
	}
	return overloaded
}

// sendWindow returns arrivalWindow less the recent wake-up delay: requests that arrive within
// it were sent within a second, even if they were delayed on this machine.
func (c *Checker) sendWindow() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return arrivalWindow - c.recentWakeDelay(time.Now())
}

// ColdRequestArrived checks the number of requests that a cold sampler received in a second,
// the last of them from node. It is not checked shortly after a link of the node held back traffic,
// since requests that were sent at different times then arrive together.
func (c *Checker) ColdRequestArrived(sampler, node string, count int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts["requests to cold samplers"]++
	if float64(count) > maxColdRequests && time.Since(c.lastHeldTraffic(node)) > minUndisturbedTime {
		c.recordViolation("FAILBACK", "%d requests within a second reached cold sampler %s, the last from %s", count, sampler, node)
	}
}

// lastHeldTraffic returns when links last held back traffic of a node. The caller holds c.mutex.
func (c *Checker) lastHeldTraffic(node string) time.Time {
	if c.nodesUnidentified {
		return c.heldTrafficAt[""]
	}
	return c.heldTrafficAt[node]
}

// RecordHeldTraffic records that links held back the traffic of a machine until now.
func (c *Checker) RecordHeldTraffic(machine string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.nodesUnidentified {
		machine = ""
	}
	c.heldTrafficAt[machine] = time.Now()
}

// restartZoneCold stops all samplers of a zone and starts them again, cold, once the fault is
// over. Their entries expire in the meantime if the fault lasts long enough.
func (w *World) restartZoneCold(fault Fault, zone string) {
	var stopped []*samplerMachine
	for _, machine := range w.samplers {
		if machine.spec.Zone == zone && w.reserve(machine) {
			w.markDown(machine)
			_ = machine.server.Close()
			w.environment.Crash(machine.host)
			stopped = append(stopped, machine)
		}
	}
	entryLifetime := entryExpiryHeartbeats * heartbeatInterval
	time.Sleep(min(fault.For, entryLifetime))
	if fault.For > entryLifetime {
		for _, machine := range stopped {
			machine.sampler.Deregister()
		}
		time.Sleep(fault.For - entryLifetime)
	}
	for _, machine := range stopped {
		previous := machine.sampler
		w.environment.Restore(machine.host)
		w.startSampler(machine)
		previous.Deregister()
		w.release(machine)
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
	document.ColdDurationS, document.ColdRequestsPerS = coldDuration.Seconds(), coldRequestsPerSecond
	return document
}
