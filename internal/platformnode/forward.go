package platformnode

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pathbend/pathbend/internal/catalog"
	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/dispatch"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/result"
)

// Inbound is a request of a client.
type Inbound struct {
	ID     string
	Method string
	Host   string
	// Path holds the path and query.
	Path   string
	Header http.Header
	Body   []byte
	// Key is the client's API key, which identifies its tenant.
	Key string
	// Wait is how long the client waits; 0 if unknown.
	Wait time.Duration
}

const (
	// defaultWait bounds a request for which neither client nor route set a time limit.
	defaultWait = 30 * time.Second
	// attemptTimeoutObjectives is the timeout of an attempt as a multiple of the route's
	// latency objective; after it another sampler is tried.
	attemptTimeoutObjectives = 2
	// hedgeObjectiveDivisor divides the objective to get the delay after which a request is
	// hedged: the remaining time suffices for a second back end. At half of 150 ms about 1 %
	// of requests that take 25 ms have no answer yet.
	hedgeObjectiveDivisor = 2
	// minAttemptTimeout is the lower bound of the timeout of an attempt.
	minAttemptTimeout = 200 * time.Millisecond
)

// Forward sends a request to a sampler of its route's service and returns the answer, or a
// *result.Error that states whether the request ran.
func (n *Node) Forward(ctx context.Context, admitted Admitted, in *Inbound) (*dispatch.Answer, error) {
	route := admitted.Route
	n.active.Add(1)
	defer n.active.Add(-1)
	received := clock.CurrentMoment()
	began := received.Time()
	deadline := began.Add(requestTimeout(route, in))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	if err := n.checkAcceptable(admitted, deadline); err != nil {
		cancel()
		n.metrics.recordRequest(route.Name, nil, err, time.Since(began))
		n.LogRefusal(in.ID, in.Host, in.Path, err)
		return nil, err
	}
	request := newDispatchRequest(route, in, deadline)
	request.Regions, request.Received = admitted.Regions, received
	if err := n.awaitSampler(ctx, request); err != nil {
		cancel()
		n.metrics.recordRequest(route.Name, nil, err, time.Since(began))
		n.LogRefusal(in.ID, in.Host, in.Path, err)
		return nil, jitterRetryAfter(err)
	}
	request.Tenant = admitted.Tenant.Name
	request.BeforeRetry = n.keyCheck(admitted, in.Key)
	meter := n.usage.meter(admitted)
	request.OnMayHaveRun = meter.sent
	answer, err := n.dispatcher.Do(ctx, request)
	meter.watch(answer)
	if answer == nil || answer.Buffered != nil {
		cancel()
	} else {
		answer.Body = dispatch.OnClose(answer.Body, cancel)
	}
	n.metrics.recordRequest(route.Name, answer, err, time.Since(began))
	return answer, jitterRetryAfter(err)
}

// checkAcceptable returns an error if a request must be refused before any attempt.
func (n *Node) checkAcceptable(admitted Admitted, deadline time.Time) error {
	if err := n.checkDrain(deadline); err != nil {
		return err
	}
	return n.checkServable(admitted.Regions)
}

// jitterRetryAfter multiplies the retry delay of an error by a random factor from 0.6 to 1.4,
// so that callers that were refused at the same time do not all retry at the same time. It
// returns nil for nil.
func jitterRetryAfter(err error) error {
	if err == nil {
		return nil
	}
	typed := result.From(err)
	const minFactor, factorRange = 0.6, 0.8
	typed.RetryAfter = time.Duration(float64(typed.RetryAfter) * (minFactor + factorRange*rand.Float64()))
	return typed
}

// requestTimeout returns the time limit of a request: the client's, defaultWait if it set
// none, and no more than the route's.
func requestTimeout(route *catalog.Route, in *Inbound) time.Duration {
	timeout := in.Wait
	if timeout <= 0 {
		timeout = defaultWait
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	return timeout
}

func newDispatchRequest(route *catalog.Route, in *Inbound, deadline time.Time) *dispatch.Request {
	body := in.Body
	if body == nil {
		body = []byte{}
	}
	return &dispatch.Request{
		Pool: route.ServiceFor(in.ID), Method: in.Method, Path: in.Path, Host: in.Host, Header: in.Header,
		Buffered: body, Length: int64(len(body)),
		AtMostOnce:     route.Kind != catalog.Repeatable && !route.Resumable,
		MaxAttempts:    route.MaxAttempts,
		Deadline:       deadline,
		ID:             in.ID,
		HedgeAfter:     route.LatencyObjective / hedgeObjectiveDivisor,
		AttemptTimeout: max(attemptTimeoutObjectives*route.LatencyObjective, minAttemptTimeout),
	}
}

// LogRefusal logs a request that was refused before any attempt.
func (n *Node) LogRefusal(requestID, host, path string, err error) {
	typed := result.From(err)
	n.logger.Log(event.RequestRefused, "request_id", requestID, "host", host, "path", path,
		"code", int(typed.Code), "detail", typed.Detail, "retry_after_ms", typed.RetryAfter.Milliseconds())
}

// newID returns a random 64-bit id in hexadecimal.
func newID() string {
	var raw [8]byte
	value := rand.Uint64()
	for i := range raw {
		raw[i] = byte(value >> (8 * i))
	}
	return hex.EncodeToString(raw[:])
}
