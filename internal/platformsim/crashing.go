package platformsim

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/pathbend/pathbend/internal/wait"
	"github.com/pathbend/pathbend/platform"
)

const (
	// crashMarker is contained in the body of a request that crashes every back end running it.
	crashMarker = "crashes its sampler"
	// crashingIDPrefix begins the ids of such requests, and of no others.
	crashingIDPrefix = "k"
	// crashRestartDelay is the time between such a crash and the restart of the sampler.
	crashRestartDelay = 3 * time.Second
	// After crashThreshold crashes a request must be quarantined. maxSendsAfterThreshold is how
	// often it may still reach samplers once undisturbed nodes have had time to learn of the
	// crashes.
	crashThreshold         = 3
	maxSendsAfterThreshold = 3
	// crashInterval is the pause between rounds in which a client repeats such a request, and
	// crashAttempts the number of attempts per round.
	crashInterval = 1500 * time.Millisecond
	crashAttempts = 2
)

// crashHistory records the crashes of samplers that ran one request.
type crashHistory struct {
	count       int
	lastCrashAt time.Time
	// thresholdReachedAt is when the number of crashes reached crashThreshold.
	thresholdReachedAt time.Time
	// sendsAfterThreshold counts how often undisturbed nodes sent it to samplers after that.
	sendsAfterThreshold int
}

// isCrashingBody reports whether a request body crashes every back end that runs it.
func isCrashingBody(body []byte) bool { return bytes.Contains(body, []byte(crashMarker)) }

// crashUnderRequest crashes a sampler, after its service time, if the request crashes every back
// end running it, or is to be run while its first samplers crash. It reports whether it did.
func (w *World) crashUnderRequest(sampler *Sampler, key, node string, body []byte) bool {
	switch {
	case isCrashingBody(body):
		w.Checker.checkCrashingRequest(key, node)
	case !isBodyDuringCrashes(body) || !w.Checker.nextRunCrashes(key):
		return false
	}
	time.Sleep(sampler.ServiceTime)
	w.crashProcess(sampler, key)
	return true
}

// checkCrashingRequest reports a violation if undisturbed nodes send a request that reached
// crashThreshold to samplers more than maxSendsAfterThreshold times.
func (c *Checker) checkCrashingRequest(key, node string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	history := c.historyOf(key)
	now := time.Now()
	c.counts[countCrashingRequests]++
	if history.count < crashThreshold || now.Sub(history.thresholdReachedAt) <= minUndisturbedTime+c.tolerance(now) || !c.inTouch(node, now) {
		return
	}
	history.sendsAfterThreshold++
	if history.sendsAfterThreshold == maxSendsAfterThreshold+1 {
		c.recordViolation("BUDGET", "%s reached samplers %d times, sent by undisturbed nodes, %v after it had crashed %d samplers",
			key, history.sendsAfterThreshold, now.Sub(history.thresholdReachedAt), crashThreshold)
	}
}

// historyOf returns the crash history of a request; the caller holds the mutex.
func (c *Checker) historyOf(key string) *crashHistory {
	if c.crashing[key] == nil {
		c.crashing[key] = &crashHistory{}
	}
	return c.crashing[key]
}

// Names of the counters of crashing requests.
const (
	countCrashingRequests = "crashing requests run"
	countCrashes          = "samplers crashed"
)

// recordCrash counts a crash of a sampler that ran a request.
func (c *Checker) recordCrash(key string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	history := c.crashing[key]
	history.count++
	history.lastCrashAt = time.Now()
	if history.count == crashThreshold {
		history.thresholdReachedAt = history.lastCrashAt
	}
	c.counts[countCrashes]++
}

// crashProcess crashes a sampler that runs a request. Its address refuses connections until the
// restart after crashRestartDelay; its registry entry expires instead of being deleted at once.
func (w *World) crashProcess(sampler *Sampler, key string) {
	w.mutex.Lock()
	var machine *samplerMachine
	for _, candidate := range w.samplers {
		if candidate.sampler == sampler && !candidate.down && !candidate.reserved {
			machine = candidate
			machine.reserved, machine.down = true, true
		}
	}
	w.mutex.Unlock()
	if machine == nil {
		return
	}
	w.Checker.recordCrash(key)
	endDisruption := w.Checker.RecordDisruption(PlaceSamplers, "crash", time.Now().Add(crashRestartDelay), false)
	// Close also cuts the open connections.
	_ = machine.server.Close()
	w.background.Go(func() {
		defer endDisruption()
		time.Sleep(crashRestartDelay)
		w.release(machine)
		w.startSampler(machine)
		time.Sleep(entryExpiryHeartbeats*heartbeatInterval - crashRestartDelay)
		sampler.Deregister()
	})
}

// runCrashingClient repeats a request that crashes every back end running it, with a new request id
// each time and at random nodes, until ctx ends.
func (c *caller) runCrashingClient(ctx context.Context, number uint64) {
	path := fmt.Sprintf("%scrash/%d", applicationPrefix, number)
	body := []byte(crashMarker)
	for ctx.Err() == nil {
		for range crashAttempts {
			id := fmt.Sprintf(crashingIDPrefix+"%x", c.random.Uint64())
			c.world.Checker.RecordTenant(id, c.tenant)
			c.world.Checker.BindRegion(id, c.boundRegion(""))
			header := http.Header{
				platform.HeaderRequestID:  {id},
				platform.HeaderDeadlineMs: {strconv.FormatInt(requestDeadline.Milliseconds(), 10)},
			}
			result, err := c.call(ctx, http.MethodPost, path, header, body)
			if err == nil && guaranteesNotRun(result.status) {
				c.world.Checker.Count("crashing requests refused")
			}
		}
		wait.For(ctx, crashInterval)
	}
}
