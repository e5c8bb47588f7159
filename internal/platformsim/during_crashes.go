package platformsim

import (
	"bytes"
	"context"
	"encoding/base64"
	"time"
)

const (
	// duringCrashesMarker is contained in the body of an item or a reward call whose first runs
	// end with a crash of their sampler, for which it is not responsible.
	duringCrashesMarker = "runs while samplers crash"
	// crashesDuringWork is the number of these crashes: twice as many as quarantine a request.
	crashesDuringWork = 2 * crashThreshold
)

// countCompletedDuringCrashes counts the steps that were completed although samplers crashed while
// they ran an item or a reward call of the step.
const countCompletedDuringCrashes = "steps completed during crashes"

func isBodyDuringCrashes(body []byte) bool { return bytes.Contains(body, []byte(duringCrashesMarker)) }

// nextRunCrashes reports whether the sampler of a run that begins now is to crash, and records how
// long the item or reward call was at no sampler.
func (c *Checker) nextRunCrashes(key string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	history := c.historyOf(key)
	if !history.lastCrashAt.IsZero() {
		c.longestPauseAfterCrash = max(c.longestPauseAfterCrash, time.Since(history.lastCrashAt))
	}
	return history.count < crashesDuringWork
}

// runStepDuringCrashes submits a job whose samplers crash while they run its first item, or the
// reward call of that item, and ends the job when it is complete or the fault is over.
func (w *World) runStepDuringCrashes(fault Fault) {
	model := w.options.Models[fault.Target%uint64(len(w.options.Models))]
	w.mutex.Lock()
	step := w.versions[model]
	w.mutex.Unlock()
	// The seed depends on the fault's kind and target: trainers with the same seed would draw the
	// same job ids.
	trainer := w.newCaller("trainer-during-crashes", zones[0], host, w.options.Seed+fault.Target+uint64(fault.Kind)*1000)
	trainer.tenant = w.tenants.names[0]
	trainer.crashKind = fault.Kind
	ctx, cancel := context.WithTimeout(context.Background(), fault.For)
	defer cancel()
	job, document := trainer.newStep(model, step, 1, 2, nil)
	if trainer.submit(ctx, job, document) && trainer.awaitGroups(ctx, job, document, 1, time.Now().Add(fault.For)) == 1 {
		w.Checker.Count(countCompletedDuringCrashes)
	}
	endCtx, stop := context.WithTimeout(context.Background(), stepTimeout)
	defer stop()
	trainer.endJob(endCtx, job)
}

// bodyDuringCrashes returns a body with duringCrashesMarker for the first item or reward call of
// the caller's crashKind, and the given body for all others.
func (c *caller) bodyDuringCrashes(kind FaultKind, body string) string {
	if c.crashKind != kind || c.crashSent {
		return body
	}
	c.crashSent = true
	return base64.StdEncoding.EncodeToString([]byte(duringCrashesMarker))
}
