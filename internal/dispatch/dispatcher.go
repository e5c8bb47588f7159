package dispatch

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/locality"
	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/quarantine"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/routing"
	"github.com/pathbend/pathbend/internal/wait"
)

// Request is an application request on its way to a back end.
type Request struct {
	Tenant string
	Pool   string
	Method string
	// Path is the path and query at the back end, starting with a slash.
	Path string
	// Host is the Host header; the back end's address if empty.
	Host   string
	Header http.Header
	// Body is read once unless Buffered holds it whole.
	Body     io.Reader
	Buffered []byte
	// Length is the body's length in bytes, -1 if unknown.
	Length         int64
	IdempotencyKey string
	AtMostOnce     bool
	MaxAttempts    int
	// Deadline is when the caller no longer waits, unless the machine is suspended before.
	Deadline time.Time
	// Received is when the request came; the zero moment if that does not matter.
	Received clock.Moment
	// ID is the caller's id of the request; a node draws one per attempt if it
	// is empty.
	ID string
	// AttemptTimeout bounds every attempt but the last of a request that may
	// run again; 0 for no bound.
	AttemptTimeout time.Duration
	// HedgeAfter is when a second attempt goes to another back end beside the first, if
	// that has no answer yet; 0 for never.
	HedgeAfter time.Duration
	// AnyZone leaves the zones of the back ends out of the choice.
	AnyZone bool
	// Regions are those in which the request may be served.
	Regions locality.Regions
	// Excluded are back ends that must not get the request.
	Excluded []string
	// Permitted is asked before every attempt but the first; an error ends the
	// request. It may be nil.
	Permitted func() error
	// Began is told when an attempt was sent whose back end ran the request or may
	// have. It may be nil.
	Began func(sentAt time.Time)

	// digestOnce keeps the digest, which costs as much as a hash of the body.
	digestOnce sync.Once
	digested   quarantine.Digest
}

// Remaining is for how long the caller still waits. A machine that was suspended meanwhile has
// that much less: the caller went on waiting.
func (r *Request) Remaining() time.Duration {
	left := time.Until(r.Deadline)
	if !r.Received.IsZero() {
		left -= r.Received.Slept()
	}
	return max(left, 0)
}

// permitted reports why no further attempt may be made, nil if one may.
func (r *Request) permitted() error {
	if r.Permitted == nil {
		return nil
	}
	return r.Permitted()
}

// noteBegan tells of an attempt whose back end ran the request or may have.
func (r *Request) noteBegan(outcome *incoming) {
	mayHaveRun := outcome.ending == Answered || outcome.ending == FailedByBackEnd || outcome.ending == Lost
	if mayHaveRun && r.Began != nil {
		r.Began(outcome.sentAt)
	}
}

// Balancer picks back ends and learns how attempts end.
type Balancer interface {
	// Pick returns nil if no back end may serve the request.
	Pick(request *routing.Request) *routing.Endpoint
	// RoomAgain returns when a back end that is kept from a request because it is cold
	// has room for one; false if none is kept for that.
	RoomAgain(request *routing.Request) (at time.Time, cold bool)
	Report(endpoint *routing.Endpoint, report Report)
	// MarkLeaving records that a back end said that it leaves.
	MarkLeaving(endpoint *routing.Endpoint)
	// Evacuated reports whether a pool has no back end for new work only because the
	// zones of all of them are evacuated.
	Evacuated(pool string) bool
}

// Report tells the balancer how an attempt ended.
type Report struct {
	Ending  Ending
	Latency time.Duration
	// Neutral is set if the ending says nothing about the back end's health.
	Neutral bool
}

// Dispatcher carries requests to back ends. It is safe for concurrent use.
type Dispatcher struct {
	exchanger *Exchanger
	protocol  Protocol
	balancer  Balancer
	zone      string
	newID     func() string
	logger    *event.Logger
	// guard keeps requests from back ends that ended under them.
	guard      *quarantine.Guard
	departures *departures

	mutex  sync.Mutex
	budget *Budget
}

// NewDispatcher returns a dispatcher for a node in a zone. newID returns unique
// request ids.
func NewDispatcher(exchanger *Exchanger, protocol Protocol, balancer Balancer, guard *quarantine.Guard, zone string, newID func() string, logger *event.Logger) *Dispatcher {
	return &Dispatcher{
		exchanger: exchanger, protocol: protocol, balancer: balancer, guard: guard, zone: zone, newID: newID, logger: logger, budget: NewBudget(),
		departures: newDepartures(),
	}
}

// Do sends the request until it is answered or may not be sent again. The error
// is a *result.Error whose code tells whether the request was run. ctx must end
// at the request's deadline at the latest.
func (d *Dispatcher) Do(ctx context.Context, request *Request) (*Answer, error) {
	d.earn()
	plan := &Plan{
		AtMostOnce:  request.AtMostOnce,
		Replayable:  request.Buffered != nil || request.Length == 0,
		MaxAttempts: request.MaxAttempts,
		Deadline:    request.Deadline,
	}
	received := time.Now()
	route := &routing.Request{Pool: request.Pool, Zone: d.zone, Regions: request.Regions, Excluded: request.Excluded}
	if request.AnyZone {
		route.Zone = ""
	}
	// ran is the outcome of an attempt that ran or may have: from then on no
	// later refusal may claim that the request was not run.
	var ran incoming
	var refusal error
	for {
		leave, err := d.enter(ctx, request)
		if err != nil {
			return d.giveUp(request, ran, err, plan.Attempts())
		}
		route.Now = time.Now()
		endpoint := d.balancer.Pick(route)
		if endpoint == nil {
			leave()
			return d.giveUp(request, ran, d.noBackEnd(route), plan.Attempts())
		}
		ended := d.tryHedged(ctx, request, route, endpoint, plan)
		leave()
		if i := slices.IndexFunc(ended, tried.answered); i >= 0 {
			return d.served(request, plan, ended[i], received), nil
		}
		step, pause := TryAnother, time.Duration(0)
		for _, failed := range ended {
			d.logAttempt(request, failed, plan.Attempts()+1)
			if outcome := failed.outcome; outcome.ending == Lost || outcome.ending == FailedByBackEnd {
				ran = failed.named(plan.Attempts() + 1)
			}
			refusal = failed.outcome.err
			step, pause = plan.Next(time.Now(), failed.outcome.ending, failed.outcome.bodyRead)
			route.Excluded = append(route.Excluded, failed.endpoint.ID)
		}
		if step == Stop || !d.spend() || !wait.For(ctx, pause) {
			return d.giveUp(request, ran, refusal, plan.Attempts())
		}
		if err := request.permitted(); err != nil {
			return d.giveUp(request, ran, err, plan.Attempts())
		}
	}
}

// named returns an attempt's outcome whose answer, if there is one, tells the number of
// attempts and the back end.
func (t tried) named(attempts int) incoming {
	if t.outcome.answer != nil {
		t.outcome.answer.Attempts, t.outcome.answer.BackEnd = attempts, t.endpoint.ID
	}
	return t.outcome
}

func (d *Dispatcher) served(request *Request, plan *Plan, answered tried, received time.Time) *Answer {
	answer := answered.named(plan.Attempts() + 1).answer
	d.logger.Log(event.RequestServed, "request_id", request.ID, "pool", request.Pool, "back_end", answer.BackEnd,
		"status", answer.Status, "attempts", answer.Attempts, "took_ms", time.Since(received).Milliseconds())
	return answer
}

// giveUp returns what the caller gets after the last attempt: the failure that a
// back end answered, the error of an attempt that may have run, or the refusal.
func (d *Dispatcher) giveUp(request *Request, ran incoming, refusal error, attempts int) (*Answer, error) {
	if ran.answer != nil {
		return ran.answer, nil
	}
	err := ran.err
	if err == nil {
		err = notRunError(refusal)
	}
	typed := result.From(err)
	d.logger.Log(event.RequestGivenUp, "request_id", request.ID, "pool", request.Pool, "attempts", attempts,
		"code", int(typed.Code), "detail", typed.Detail, "retry_after_ms", typed.RetryAfter.Milliseconds())
	return nil, err
}

func (d *Dispatcher) logAttempt(request *Request, failed tried, attempt int) {
	outcome, detail := failed.outcome, ""
	if outcome.err != nil {
		detail = outcome.err.Error()
	}
	if outcome.answer != nil {
		detail = "status " + strconv.Itoa(outcome.answer.Status)
	}
	d.logger.Log(event.AttemptFailed, "request_id", request.ID, "digest", request.digest().String(),
		"back_end", failed.endpoint.ID, "attempt", attempt, "ending", outcome.ending.String(), "ended", outcome.ended, "took_ms", failed.took.Milliseconds(), "deadline_ms", request.Remaining().Milliseconds(), "detail", detail)
}

// evacuationHint is when to come back to a pool whose zones are all evacuated: an
// evacuation lasts from seconds to hours, and a caller that comes back sooner costs more
// than it gains (chosen).
const evacuationHint = 5 * time.Second

// noBackEnd says why no back end may serve a request, and when it is worth coming back.
func (d *Dispatcher) noBackEnd(route *routing.Request) error {
	if d.balancer.Evacuated(route.Pool) {
		return result.New(result.ZoneEvacuated, "the zones of all back ends in pool %q are evacuated", route.Pool).WithRetryAfter(evacuationHint)
	}
	if at, cold := d.balancer.RoomAgain(route); cold {
		return result.New(result.SamplersCold, "the back ends of pool %q that live are cold and have their share", route.Pool).
			WithRetryAfter(max(at.Sub(route.Now), retryHint))
	}
	if route.Regions.Bound() {
		return result.New(result.RegionUnavailable, "no live back end in pool %q in %v", route.Pool, route.Regions).WithRetryAfter(retryHint)
	}
	return result.New(result.NoBackEnd, "no live back end in pool %q", route.Pool).WithRetryAfter(retryHint)
}

func (d *Dispatcher) earn() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.budget.Earn()
}

func (d *Dispatcher) spend() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.budget.Spend()
}

func (d *Dispatcher) attempt(ctx context.Context, request *Request, endpoint *routing.Endpoint, last bool) incoming {
	requestID := request.ID
	if requestID == "" {
		requestID = d.newID()
	}
	began := time.Now()
	// Whether a back end ends under a suspect is waited for.
	attemptCtx, cancel := attemptContext(ctx, request, last || d.guard.Suspected(request.digest))
	outcome := d.exchanger.exchange(attemptCtx, outgoing{
		method: request.Method,
		url:    "http://" + network.OfStart(endpoint.Address, endpoint.Born) + request.Path,
		host:   request.Host,
		header: d.protocol.Header(request, endpoint, requestID),
		body:   bodyOf(request),
		judge: func(response *http.Response) Verdict {
			return d.protocol.Verdict(request, endpoint, requestID, response)
		},
	})
	d.watch(ctx, request, endpoint, &outcome)
	if outcome.leaving {
		d.balancer.MarkLeaving(endpoint)
	}
	if outcome.err != nil && result.Is(outcome.err, result.AnswerMismatch) {
		d.logger.Log(event.AnswerMismatched, "back_end", endpoint.ID, "request_id", requestID)
	}
	report := Report{Ending: outcome.ending, Latency: time.Since(began), Neutral: ctx.Err() != nil || outcome.leaving}
	if outcome.answer == nil || outcome.answer.Buffered != nil {
		if outcome.answer != nil {
			d.guard.Served(ctx, request.digest)
		}
		cancel()
		d.balancer.Report(endpoint, report)
		return outcome
	}
	// A streamed answer occupies the back end until its body is closed.
	body := &watchedBody{ReadCloser: outcome.answer.Body}
	outcome.answer.Body = OnClose(body, func() {
		d.streamEnded(ctx, request, endpoint, body)
		cancel()
		d.balancer.Report(endpoint, report)
	})
	return outcome
}

// attemptContext bounds an attempt after which another one may follow.
func attemptContext(ctx context.Context, request *Request, last bool) (context.Context, context.CancelFunc) {
	if last || request.AttemptTimeout <= 0 || request.AtMostOnce {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, request.AttemptTimeout)
}

// isHopHeader reports whether a header, in canonical form, belongs to one
// connection and is not passed on.
func isHopHeader(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect":
		return true
	}
	return false
}

// isOwnHeader reports whether a caller's header speaks to pathbend alone.
func isOwnHeader(name string) bool {
	switch name {
	case HeaderPriority, HeaderAtMostOnce, HeaderRequestID, HeaderTenant, HeaderDeadline:
		return true
	}
	return false
}

// CopyHeader copies the headers that are passed on from one side to the other.
func CopyHeader(to, from http.Header) {
	for name, values := range from {
		if !isHopHeader(name) {
			to[name] = values
		}
	}
}

// OnClose returns a body that runs done once, after it was closed.
func OnClose(body io.ReadCloser, done func()) io.ReadCloser {
	return &trackedBody{ReadCloser: body, done: done}
}

type trackedBody struct {
	io.ReadCloser
	once sync.Once
	done func()
}

func (b *trackedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.done)
	return err
}
