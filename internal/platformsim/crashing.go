package platformsim

import (
	"bytes"
	"context"
	"encoding/base64"
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

// crashHistory records the crashes that one request caused.
type crashHistory struct {
	count int
	// thresholdReachedAt is when the number of crashes reached crashThreshold.
	thresholdReachedAt time.Time
	// sendsAfterThreshold counts how often undisturbed nodes sent it to samplers after that.
	sendsAfterThreshold int
}

// isCrashingBody reports whether a request body crashes every back end that runs it.
func isCrashingBody(body []byte) bool { return bytes.Contains(body, []byte(crashMarker)) }

// crashUnderRequest checks the arrival of a crashing request at a sampler, and crashes the sampler
// after its service time.
func (w *World) crashUnderRequest(sampler *Sampler, key, node string) {
	w.Checker.checkCrashingRequest(key, node)
	time.Sleep(sampler.ServiceTime)
	w.crashProcess(sampler, key)
}

// checkCrashingRequest reports a violation if undisturbed nodes send a request that reached
// crashThreshold to samplers more than maxSendsAfterThreshold times.
func (c *Checker) checkCrashingRequest(key, node string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	history := c.crashing[key]
	if history == nil {
		history = &crashHistory{}
		c.crashing[key] = history
	}
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

// Names of the counters of crashing requests.
const (
	countCrashingRequests = "crashing requests run"
	countCrashes          = "samplers crashed"
)

// recordCrash counts a crash that a request caused.
func (c *Checker) recordCrash(key string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	history := c.crashing[key]
	history.count++
	if history.count == crashThreshold {
		history.thresholdReachedAt = time.Now()
	}
	c.counts[countCrashes]++
}

// crashProcess crashes a sampler under a request. Its address refuses connections until the
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
	endDisruption := w.Checker.RecordDisruption(PlaceSamplers, "crashing request", time.Now().Add(crashRestartDelay), false)
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
			id := fmt.Sprintf("k%x", c.random.Uint64())
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

// runCrashingStep submits a job in which one item, or the reward call of one, crashes every back
// end running it, and ends the job when it is complete or the fault is over.
func (w *World) runCrashingStep(fault Fault) {
	model := w.options.Models[fault.Target%uint64(len(w.options.Models))]
	w.mutex.Lock()
	step := w.versions[model]
	w.mutex.Unlock()
	// The seed depends on the fault's kind and target: trainers with the same seed would draw the
	// same job ids.
	trainer := w.newCaller("trainer-crashing", zones[0], host, w.options.Seed+fault.Target+uint64(fault.Kind)*1000)
	trainer.tenant = w.tenants.names[0]
	trainer.crashKind = fault.Kind
	ctx, cancel := context.WithTimeout(context.Background(), fault.For)
	defer cancel()
	job, document := trainer.newStep(model, step, 1, 2, nil)
	if trainer.submit(ctx, job, document) {
		trainer.awaitGroups(ctx, job, document, 1, time.Now().Add(fault.For))
	}
	endCtx, stop := context.WithTimeout(context.Background(), stepTimeout)
	defer stop()
	trainer.endJob(endCtx, job)
}

// crashingBody returns a crashing body for the first item or reward call of the caller's
// crashKind, and the given body for all others.
func (c *caller) crashingBody(kind FaultKind, body string) string {
	if c.crashKind != kind || c.crashSent {
		return body
	}
	c.crashSent = true
	return base64.StdEncoding.EncodeToString([]byte(crashMarker))
}
