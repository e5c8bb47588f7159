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

// Request is an application request to be sent to a back end.
type Request struct {
	Tenant string
	// Pool is the name of the back-end pool that serves the request.
	Pool   string
	Method string
	// Path is the path and query at the back end, starting with a slash.
	Path string
	// Host is the value of the Host header; the back end's address if empty.
	Host   string
	Header http.Header
	// Body is the body as a stream, which can be read once. It is ignored if Buffered is set.
	Body io.Reader
	// Buffered holds the whole body if it is in memory, so that it can be sent again.
	Buffered []byte
	// Length is the body's length in bytes, -1 if unknown.
	Length int64
	// IdempotencyKey is passed on to the back end unless it is empty.
	IdempotencyKey string
	// AtMostOnce forbids sending the request again unless it provably was not run.
	AtMostOnce bool
	// MaxAttempts limits the attempts, including the first and hedged ones.
	MaxAttempts int
	// Deadline is when the caller stops waiting. If the machine is suspended meanwhile, that
	// is earlier, see Remaining.
	Deadline time.Time
	// Received is when the request arrived. If it is zero, suspensions are not accounted for.
	Received clock.Moment
	// ID is the caller's request id. If it is empty, the node generates one per attempt.
	ID string
	// AttemptTimeout limits the time until the answer of every attempt but the last of a request
	// that may run more than once; 0 for no limit. It does not limit an answer that is passed on
	// while it is read, since no attempt can follow it.
	AttemptTimeout time.Duration
	// NeverSuspect excludes the request from quarantine: it is known not to crash back ends, so
	// that their crashes are not attributed to it.
	NeverSuspect bool
	// HedgeAfter is how long an attempt may go without an answer before a concurrent one is
	// sent to another back end; 0 for never.
	HedgeAfter time.Duration
	// IgnoreZone disables the preference for back ends in the node's zone.
	IgnoreZone bool
	// Regions are the regions in which the request may be served.
	Regions locality.Regions
	// Excluded are the ids of back ends that must not receive the request.
	Excluded []string
	// BeforeRetry is called before every attempt but the first. If it returns an error, no
	// further attempt is made. It may be nil.
	BeforeRetry func() error
	// OnMayHaveRun is called after each attempt whose back end ran the request or may have,
	// with the time at which the request was sent. It may be nil.
	OnMayHaveRun func(sentAt time.Time)

	// digestOnce guards the cached digest, whose computation hashes the whole body.
	digestOnce   sync.Once
	cachedDigest quarantine.Digest
}

// Remaining returns for how long the caller still waits, at least 0. Time during which the
// machine was suspended is subtracted, because the caller went on waiting.
func (r *Request) Remaining() time.Duration {
	remaining := time.Until(r.Deadline)
	if !r.Received.IsZero() {
		remaining -= r.Received.SuspendedTime()
	}
	return max(remaining, 0)
}

// checkRetry calls BeforeRetry, if it is set, and returns its error.
func (r *Request) checkRetry() error {
	if r.BeforeRetry == nil {
		return nil
	}
	return r.BeforeRetry()
}

// notifyMayHaveRun calls OnMayHaveRun if the back end ran the request or may have.
func (r *Request) notifyMayHaveRun(outcome *exchangeOutcome) {
	mayHaveRun := outcome.ending == Answered || outcome.ending == FailedByBackEnd || outcome.ending == Lost
	if mayHaveRun && r.OnMayHaveRun != nil {
		r.OnMayHaveRun(outcome.sentAt)
	}
}

// Balancer picks back ends and is informed how attempts end.
type Balancer interface {
	// Pick returns a back end and counts the attempt as in progress there until Report. It
	// returns nil if no back end may serve the request.
	Pick(request *routing.Request) *routing.Endpoint
	// NextColdBudget returns the earliest time at which a cold back end has budget for the
	// request again. cold is false if no back end is unavailable for lack of budget.
	NextColdBudget(request *routing.Request) (at time.Time, cold bool)
	// Report records how an attempt at a back end ended.
	Report(endpoint *routing.Endpoint, report Report)
	// MarkLeaving records that a back end announced that it accepts no new work.
	MarkLeaving(endpoint *routing.Endpoint)
	// PoolEvacuated reports whether a pool has no back ends for new work only because zones are
	// evacuated.
	PoolEvacuated(pool string) bool
}

// Report describes to the balancer how an attempt ended.
type Report struct {
	Ending Ending
	// Latency is the time until the answer or the failure of the attempt.
	Latency time.Duration
	// HealthUnknown is set if the ending carries no information about the back end's health.
	HealthUnknown bool
}

// Dispatcher sends requests to back ends and retries them where that is allowed. It is safe
// for concurrent use.
type Dispatcher struct {
	exchanger *Exchanger
	protocol  Protocol
	balancer  Balancer
	// zone is the zone of this node.
	zone   string
	newID  func() string
	logger *event.Logger
	// guard quarantines requests during which back ends crashed.
	guard *quarantine.Guard
	// abandoned holds recent attempts that may still turn out to have crashed a back end.
	abandoned *abandonedAttempts

	// mutex guards budget.
	mutex  sync.Mutex
	budget *RetryBudget
}

// NewDispatcher returns a dispatcher for a node in a zone. newID must return unique request
// ids.
func NewDispatcher(exchanger *Exchanger, protocol Protocol, balancer Balancer, guard *quarantine.Guard, zone string, newID func() string, logger *event.Logger) *Dispatcher {
	return &Dispatcher{
		exchanger: exchanger, protocol: protocol, balancer: balancer, guard: guard, zone: zone, newID: newID, logger: logger, budget: NewRetryBudget(),
		abandoned: newAbandonedAttempts(),
	}
}

// Do sends the request until it is answered or must not be sent again. The error is a
// *result.Error whose code tells whether the request was run. ctx must end no later than the
// request's deadline. The caller must close the answer's body.
func (d *Dispatcher) Do(ctx context.Context, request *Request) (*Answer, error) {
	d.earnRetry()
	plan := &RetryPlan{
		AtMostOnce:  request.AtMostOnce,
		Replayable:  request.Buffered != nil || request.Length == 0,
		MaxAttempts: request.MaxAttempts,
		Deadline:    request.Deadline,
	}
	received := time.Now()
	route := &routing.Request{Pool: request.Pool, Zone: d.zone, Regions: request.Regions, Excluded: request.Excluded}
	if request.IgnoreZone {
		route.Zone = ""
	}
	// lastRun is the outcome of the last attempt that ran or may have run. Once it is set, a
	// later refusal must not claim that the request was not run.
	var lastRun exchangeOutcome
	var refusal error
	for {
		release, err := d.admit(ctx, request)
		if err != nil {
			return d.giveUp(request, lastRun, err, plan.Attempts())
		}
		route.Now = time.Now()
		endpoint := d.balancer.Pick(route)
		if endpoint == nil {
			release()
			return d.giveUp(request, lastRun, d.noBackEndError(route), plan.Attempts())
		}
		finished := d.attemptHedged(ctx, request, route, endpoint, plan)
		release()
		if i := slices.IndexFunc(finished, finishedAttempt.answered); i >= 0 {
			return d.finishAnswered(request, plan, finished[i], received), nil
		}
		decision, pause := RetryElsewhere, time.Duration(0)
		for _, failed := range finished {
			d.logAttempt(request, failed, plan.Attempts()+1)
			if outcome := failed.outcome; outcome.ending == Lost || outcome.ending == FailedByBackEnd {
				lastRun = failed.annotated(plan.Attempts() + 1)
			}
			refusal = failed.outcome.err
			decision, pause = plan.Next(time.Now(), failed.outcome.ending, failed.outcome.bodyRead)
			route.Excluded = append(route.Excluded, failed.endpoint.ID)
		}
		if decision == Stop || !d.spendRetry() || !wait.For(ctx, pause) {
			return d.giveUp(request, lastRun, refusal, plan.Attempts())
		}
		if err := request.checkRetry(); err != nil {
			return d.giveUp(request, lastRun, err, plan.Attempts())
		}
	}
}

// annotated returns the attempt's outcome after setting the number of attempts and the back end
// in its answer, if there is one.
func (f finishedAttempt) annotated(attempts int) exchangeOutcome {
	if f.outcome.answer != nil {
		f.outcome.answer.Attempts, f.outcome.answer.BackEnd = attempts, f.endpoint.ID
	}
	return f.outcome
}

// finishAnswered returns the answer of an answered attempt and logs it.
func (d *Dispatcher) finishAnswered(request *Request, plan *RetryPlan, answered finishedAttempt, received time.Time) *Answer {
	answer := answered.annotated(plan.Attempts() + 1).answer
	d.logger.Log(event.RequestServed, "request_id", request.ID, "pool", request.Pool, "back_end", answer.BackEnd,
		"status", answer.Status, "attempts", answer.Attempts, "took_ms", time.Since(received).Milliseconds())
	return answer
}

// giveUp returns the caller's result after the last attempt: the failure answered by a back
// end, the error of an attempt that may have run, or the refusal.
func (d *Dispatcher) giveUp(request *Request, lastRun exchangeOutcome, refusal error, attempts int) (*Answer, error) {
	if lastRun.answer != nil {
		return lastRun.answer, nil
	}
	err := lastRun.err
	if err == nil {
		err = notRunError(refusal)
	}
	typed := result.From(err)
	d.logger.Log(event.RequestGivenUp, "request_id", request.ID, "pool", request.Pool, "attempts", attempts,
		"code", int(typed.Code), "detail", typed.Detail, "retry_after_ms", typed.RetryAfter.Milliseconds())
	return nil, err
}

func (d *Dispatcher) logAttempt(request *Request, failed finishedAttempt, attempt int) {
	outcome, detail := failed.outcome, ""
	if outcome.err != nil {
		detail = outcome.err.Error()
	}
	if outcome.answer != nil {
		detail = "status " + strconv.Itoa(outcome.answer.Status)
	}
	d.logger.Log(event.AttemptFailed, "request_id", request.ID, "digest", request.digest().String(),
		"back_end", failed.endpoint.ID, "attempt", attempt, "ending", outcome.ending.String(), "ended", outcome.crashed, "took_ms", failed.duration.Milliseconds(), "deadline_ms", request.Remaining().Milliseconds(), "detail", detail)
}

// evacuationRetryAfter is the retry-after hint for a pool whose zones are all evacuated.
// Evacuations last from seconds to hours, and more frequent retries cost more than they gain.
const evacuationRetryAfter = 5 * time.Second

// noBackEndError returns an error that says why no back end may serve a request and when to
// retry.
func (d *Dispatcher) noBackEndError(route *routing.Request) error {
	if d.balancer.PoolEvacuated(route.Pool) {
		return result.New(result.ZoneEvacuated, "the zones of all back ends in pool %q are evacuated", route.Pool).WithRetryAfter(evacuationRetryAfter)
	}
	if at, cold := d.balancer.NextColdBudget(route); cold {
		return result.New(result.SamplersCold, "all live back ends in pool %q are cold and have no request budget left", route.Pool).
			WithRetryAfter(max(at.Sub(route.Now), minRetryAfter))
	}
	if route.Regions.Restricted() {
		return result.New(result.RegionUnavailable, "no live back end in pool %q in %v", route.Pool, route.Regions).WithRetryAfter(minRetryAfter)
	}
	return result.New(result.NoBackEnd, "no live back end in pool %q", route.Pool).WithRetryAfter(minRetryAfter)
}

func (d *Dispatcher) earnRetry() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.budget.Earn()
}

func (d *Dispatcher) spendRetry() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.budget.Spend()
}

// attempt sends the request to a back end once and reports how that ended to the balancer and
// the guard. For a streamed answer it does so when the body is closed.
func (d *Dispatcher) attempt(ctx context.Context, request *Request, endpoint *routing.Endpoint, last bool) exchangeOutcome {
	requestID := request.ID
	if requestID == "" {
		requestID = d.newID()
	}
	started := time.Now()
	// An attempt of a suspected request has no timeout, so that a crash of its back end is seen.
	attemptCtx, timeout := startAttemptTimeout(ctx, request, last || !request.NeverSuspect && d.guard.Suspected(request.digest))
	outcome := d.exchanger.exchange(attemptCtx, exchangeRequest{
		method: request.Method,
		url:    "http://" + network.IncarnationAddress(endpoint.Address, endpoint.StartedAtMs) + request.Path,
		host:   request.Host,
		header: d.protocol.Header(request, endpoint, requestID),
		body:   newExchangeBody(request),
		readVerdict: func(response *http.Response) Verdict {
			return d.protocol.Verdict(request, endpoint, requestID, response)
		},
	})
	if outcome.streamed() && !timeout.lift() {
		outcome.abandonAnswer(attemptCtx)
	}
	d.observeBackEnd(ctx, request, endpoint, &outcome)
	if outcome.leaving {
		d.balancer.MarkLeaving(endpoint)
	}
	if outcome.err != nil && result.Is(outcome.err, result.AnswerMismatch) {
		d.logger.Log(event.AnswerMismatched, "back_end", endpoint.ID, "request_id", requestID)
	}
	report := Report{Ending: outcome.ending, Latency: time.Since(started), HealthUnknown: ctx.Err() != nil || outcome.leaving}
	if !outcome.streamed() {
		if outcome.answer != nil {
			d.reportSuccess(ctx, request)
		}
		timeout.cancel()
		d.balancer.Report(endpoint, report)
		return outcome
	}
	// A streamed answer counts as in progress at the back end until its body is closed.
	body := &errorRecordingBody{ReadCloser: outcome.answer.Body}
	outcome.answer.Body = OnClose(body, func() {
		d.observeStreamEnd(ctx, request, endpoint, body)
		timeout.cancel()
		d.balancer.Report(endpoint, report)
	})
	return outcome
}

// isHopByHopHeader reports whether a header, in canonical form, applies to a single connection
// and must not be forwarded.
func isHopByHopHeader(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect":
		return true
	}
	return false
}

// isPathbendHeader reports whether a caller's header is addressed to pathbend and must not be
// forwarded.
func isPathbendHeader(name string) bool {
	switch name {
	case HeaderPriority, HeaderAtMostOnce, HeaderRequestID, HeaderTenant, HeaderDeadline:
		return true
	}
	return false
}

// CopyHeader copies all headers except hop-by-hop headers. The values are shared.
func CopyHeader(destination, source http.Header) {
	for name, values := range source {
		if !isHopByHopHeader(name) {
			destination[name] = values
		}
	}
}

// OnClose returns a body that calls callback once, after the first Close.
func OnClose(body io.ReadCloser, callback func()) io.ReadCloser {
	return &closeNotifyingBody{ReadCloser: body, callback: callback}
}

// closeNotifyingBody is a body with a callback for its first Close.
type closeNotifyingBody struct {
	io.ReadCloser
	once     sync.Once
	callback func()
}

func (b *closeNotifyingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.callback)
	return err
}
