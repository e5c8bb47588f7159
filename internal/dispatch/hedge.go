package dispatch

import (
	"context"
	"time"

	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/routing"
)

// tried is an attempt that has ended.
type tried struct {
	endpoint *routing.Endpoint
	outcome  incoming
	took     time.Duration
}

func (t tried) answered() bool { return t.outcome.ending == Answered }

// hedges reports whether a second attempt may go out beside the next one: the request
// may run twice, and its route allows as many back ends.
func (r *Request) hedges(plan *Plan) bool {
	return r.HedgeAfter > 0 && !r.AtMostOnce && plan.Replayable && plan.Attempts()+2 <= r.MaxAttempts
}

// tryHedged makes an attempt, and a second one at another back end if the first has no answer
// in time. It returns the answer that came first, or all attempts if none was answered.
// The other attempt of an answered request runs to its end: cutting it would waste what
// its back end has done, and its end tells how the back end fares.
func (d *Dispatcher) tryHedged(ctx context.Context, request *Request, route *routing.Request, endpoint *routing.Endpoint, plan *Plan) []tried {
	last := plan.Attempts()+1 >= request.MaxAttempts
	if !request.hedges(plan) || d.guard.Suspected(request.digest) {
		return []tried{d.try(ctx, request, endpoint, last)}
	}
	const most = 2
	ends := make(chan tried, most)
	releaseFirst := d.begin(ctx, request, endpoint, ends)
	timer := time.NewTimer(request.HedgeAfter)
	defer timer.Stop()
	select {
	case end := <-ends:
		return []tried{end}
	case <-timer.C:
	}
	other := d.hedgeAt(request, route, endpoint)
	if other == nil {
		return []tried{<-ends}
	}
	d.logger.Log(event.AttemptHedged, "request_id", request.ID, "slow", endpoint.ID, "back_end", other.ID,
		"after_ms", request.HedgeAfter.Milliseconds())
	releaseSecond := d.begin(ctx, request, other, ends)
	end := <-ends
	if !end.answered() {
		return []tried{end, <-ends}
	}
	releaseFirst()
	releaseSecond()
	go discard(ends)
	return []tried{end}
}

// discard drops the answer of an attempt that came second.
func discard(ends <-chan tried) {
	if late := <-ends; late.outcome.answer != nil {
		late.outcome.answer.Body.Close()
	}
}

// hedgeAt returns a back end for a second attempt, nil if there is none, the retries of
// this node are spent, the caller's permission has ended, or a back end ended under the
// request.
func (d *Dispatcher) hedgeAt(request *Request, route *routing.Request, first *routing.Endpoint) *routing.Endpoint {
	beside := *route
	beside.Now = time.Now()
	beside.Excluded = append(append([]string(nil), route.Excluded...), first.ID)
	other := d.balancer.Pick(&beside)
	if other == nil {
		return nil
	}
	if request.permitted() != nil || d.guard.Suspected(request.digest) || !d.spend() {
		d.balancer.Report(other, Report{Ending: NotSent, Neutral: true})
		return nil
	}
	return other
}

// begin makes an attempt in a goroutine. It ends with the request unless it is released
// to run to its end, and at the request's deadline in any case.
func (d *Dispatcher) begin(ctx context.Context, request *Request, endpoint *routing.Endpoint, ends chan<- tried) (release func() bool) {
	bounded, stop := context.WithCancelCause(context.WithoutCancel(ctx))
	own, cancel := context.WithDeadline(bounded, request.Deadline)
	// The cause tells a request whose time is over from one whose caller left.
	release = context.AfterFunc(ctx, func() { stop(ctx.Err()) })
	go func() {
		end := d.try(own, request, endpoint, false)
		if answer := end.outcome.answer; answer != nil && answer.Buffered == nil {
			answer.Body = OnClose(answer.Body, cancel)
		} else {
			cancel()
		}
		ends <- end
	}()
	return release
}

// try makes one attempt.
func (d *Dispatcher) try(ctx context.Context, request *Request, endpoint *routing.Endpoint, last bool) tried {
	began := time.Now()
	outcome := d.attempt(ctx, request, endpoint, last)
	request.noteBegan(&outcome)
	return tried{endpoint: endpoint, outcome: outcome, took: time.Since(began)}
}
