package dispatch

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pathbend/pathbend/internal/event"
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
	Path   string
	Header http.Header
	// Body is read once unless Buffered holds it whole.
	Body     io.Reader
	Buffered []byte
	// Length is the body's length in bytes, -1 if unknown.
	Length         int64
	IdempotencyKey string
	AtMostOnce     bool
	MaxAttempts    int
	Deadline       time.Time
}

// Balancer picks back ends and learns how attempts end.
type Balancer interface {
	// Pick returns nil if no back end may serve the request.
	Pick(request *routing.Request) *routing.Endpoint
	Report(endpoint *routing.Endpoint, report Report)
	MarkLeaving(endpointID string)
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
	balancer  Balancer
	zone      string
	newID     func() string
	logger    *event.Logger

	mutex  sync.Mutex
	budget *Budget
}

// NewDispatcher returns a dispatcher for a node in a zone. newID returns unique
// request ids.
func NewDispatcher(exchanger *Exchanger, balancer Balancer, zone string, newID func() string, logger *event.Logger) *Dispatcher {
	return &Dispatcher{
		exchanger: exchanger, balancer: balancer, zone: zone, newID: newID, logger: logger, budget: NewBudget(),
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
	route := &routing.Request{Pool: request.Pool, Zone: d.zone}
	// maybeRun is set once an attempt was lost: from then on no later refusal
	// may claim that the request was not run.
	var maybeRun error
	for {
		route.Now = time.Now()
		endpoint := d.balancer.Pick(route)
		if endpoint == nil {
			return nil, noBackEnd(request.Pool, maybeRun)
		}
		outcome := d.attempt(ctx, request, endpoint)
		if outcome.ending == Answered {
			outcome.answer.Attempts = plan.Attempts() + 1
			outcome.answer.BackEnd = endpoint.ID
			return outcome.answer, nil
		}
		if outcome.ending == Lost {
			maybeRun = outcome.err
		}
		step, pause := plan.Next(time.Now(), outcome.ending, outcome.bodyRead)
		if step == Stop || !d.spend() || !wait.For(ctx, pause) {
			if maybeRun != nil {
				return nil, finalError(Lost, maybeRun)
			}
			return nil, finalError(outcome.ending, outcome.err)
		}
		route.Excluded = append(route.Excluded, endpoint.ID)
	}
}

func noBackEnd(pool string, maybeRun error) error {
	if maybeRun != nil {
		return result.From(maybeRun)
	}
	return result.New(result.NoBackEnd, "no live back end in pool %q", pool).WithRetryAfter(retryHint)
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

func (d *Dispatcher) attempt(ctx context.Context, request *Request, endpoint *routing.Endpoint) incoming {
	requestID := d.newID()
	began := time.Now()
	attemptCtx, cancel := context.WithCancel(ctx)
	outcome := d.exchanger.exchange(attemptCtx, outgoing{
		method:    request.Method,
		url:       "http://" + endpoint.Address + request.Path,
		header:    d.headerFor(request, requestID),
		body:      bodyOf(request),
		requestID: requestID,
	})
	if outcome.leaving {
		d.balancer.MarkLeaving(endpoint.ID)
	}
	if outcome.err != nil && result.Is(outcome.err, result.AnswerMismatch) {
		d.logger.Log(event.AnswerMismatched, "back_end", endpoint.ID, "request_id", requestID)
	}
	report := Report{Ending: outcome.ending, Latency: time.Since(began), Neutral: ctx.Err() != nil || outcome.leaving}
	if outcome.answer == nil || outcome.answer.Buffered != nil {
		cancel()
		d.balancer.Report(endpoint, report)
		return outcome
	}
	// A streamed answer occupies the back end until its body is closed.
	outcome.answer.Body = &trackedBody{ReadCloser: outcome.answer.Body, done: func() {
		cancel()
		d.balancer.Report(endpoint, report)
	}}
	return outcome
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

func (d *Dispatcher) headerFor(request *Request, requestID string) http.Header {
	const added = 4
	header := make(http.Header, len(request.Header)+added)
	for name, values := range request.Header {
		if !isHopHeader(name) && !isOwnHeader(name) {
			header[name] = values
		}
	}
	remaining := max(time.Until(request.Deadline).Milliseconds(), 0)
	header[HeaderRequestID] = []string{requestID}
	header[HeaderTenant] = []string{request.Tenant}
	header[HeaderDeadline] = []string{strconv.FormatInt(remaining, 10)}
	if request.IdempotencyKey != "" {
		header[HeaderIdempotencyKey] = []string{request.IdempotencyKey}
	}
	return header
}

// trackedBody runs done once when the body is closed.
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
