package dispatch

import (
	"context"
	"time"

	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/routing"
)

// finishedAttempt is an attempt that has ended, with its outcome.
type finishedAttempt struct {
	endpoint *routing.Endpoint
	outcome  exchangeOutcome
	duration time.Duration
}

func (f finishedAttempt) answered() bool { return f.outcome.ending == Answered }

// canHedge reports whether the next attempt may be hedged with a second one: the request may
// run twice, its body is replayable, and its attempt limit allows two more back ends.
func (r *Request) canHedge(plan *RetryPlan) bool {
	return r.HedgeAfter > 0 && !r.AtMostOnce && plan.Replayable && plan.Attempts()+2 <= r.MaxAttempts
}

// attemptHedged makes an attempt, and a concurrent one at another back end if the first has no
// answer within HedgeAfter. It returns the attempt that was answered first, or all attempts
// if none was answered. The other attempt of an answered request runs to completion:
// cancelling it would waste the back end's work and lose its health signal.
func (d *Dispatcher) attemptHedged(ctx context.Context, request *Request, route *routing.Request, endpoint *routing.Endpoint, plan *RetryPlan) []finishedAttempt {
	last := plan.Attempts()+1 >= request.MaxAttempts
	if !request.canHedge(plan) || d.guard.Suspected(request.digest) {
		return []finishedAttempt{d.timedAttempt(ctx, request, endpoint, last)}
	}
	const maxConcurrent = 2
	finished := make(chan finishedAttempt, maxConcurrent)
	releaseFirst := d.startAttempt(ctx, request, endpoint, finished)
	timer := time.NewTimer(request.HedgeAfter)
	defer timer.Stop()
	select {
	case attempt := <-finished:
		return []finishedAttempt{attempt}
	case <-timer.C:
	}
	hedge := d.pickHedge(request, route, endpoint)
	if hedge == nil {
		return []finishedAttempt{<-finished}
	}
	d.logger.Log(event.AttemptHedged, "request_id", request.ID, "slow", endpoint.ID, "back_end", hedge.ID,
		"after_ms", request.HedgeAfter.Milliseconds())
	releaseSecond := d.startAttempt(ctx, request, hedge, finished)
	attempt := <-finished
	if !attempt.answered() {
		return []finishedAttempt{attempt, <-finished}
	}
	// The answered attempt stays bound to the caller: its answer may still be read.
	if attempt.endpoint == endpoint {
		releaseSecond()
	} else {
		releaseFirst()
	}
	go discard(finished)
	return []finishedAttempt{attempt}
}

// discard waits for the slower attempt and closes its answer.
func discard(finished <-chan finishedAttempt) {
	if late := <-finished; late.outcome.answer != nil {
		late.outcome.answer.Body.Close()
	}
}

// pickHedge returns a back end for a hedged attempt. It returns nil if there is none, the
// node's retry budget is exhausted, BeforeRetry returns an error, or the request is suspected
// of crashing a back end.
func (d *Dispatcher) pickHedge(request *Request, route *routing.Request, first *routing.Endpoint) *routing.Endpoint {
	hedgeRoute := *route
	hedgeRoute.Now = time.Now()
	hedgeRoute.Excluded = append(append([]string(nil), route.Excluded...), first.ID)
	endpoint := d.balancer.Pick(&hedgeRoute)
	if endpoint == nil {
		return nil
	}
	if request.checkRetry() != nil || d.guard.Suspected(request.digest) || !d.spendRetry() {
		d.balancer.Report(endpoint, Report{Ending: NotSent, HealthUnknown: true})
		return nil
	}
	return endpoint
}

// startAttempt runs an attempt in a goroutine and sends it to finished once it has ended. The
// attempt is cancelled with ctx unless release is called first, and at the request's deadline
// in any case.
func (d *Dispatcher) startAttempt(ctx context.Context, request *Request, endpoint *routing.Endpoint, finished chan<- finishedAttempt) (release func() bool) {
	cancellable, stop := context.WithCancelCause(context.WithoutCancel(ctx))
	attemptCtx, cancel := context.WithDeadline(cancellable, request.Deadline)
	// The cause distinguishes an expired deadline from a caller that disconnected.
	release = context.AfterFunc(ctx, func() { stop(ctx.Err()) })
	go func() {
		attempt := d.timedAttempt(attemptCtx, request, endpoint, false)
		if answer := attempt.outcome.answer; answer != nil && answer.Buffered == nil {
			answer.Body = OnClose(answer.Body, cancel)
		} else {
			cancel()
		}
		finished <- attempt
	}()
	return release
}

// timedAttempt makes one attempt and records its duration. last is set if no attempt may follow.
func (d *Dispatcher) timedAttempt(ctx context.Context, request *Request, endpoint *routing.Endpoint, last bool) finishedAttempt {
	started := time.Now()
	outcome := d.attempt(ctx, request, endpoint, last)
	request.notifyMayHaveRun(&outcome)
	return finishedAttempt{endpoint: endpoint, outcome: outcome, duration: time.Since(started)}
}
