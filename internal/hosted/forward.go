package hosted

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

// Inbound is a client's request.
type Inbound struct {
	ID     string
	Method string
	Host   string
	// Path is the path and query.
	Path   string
	Header http.Header
	Body   []byte
	// Key is what the client showed to prove its tenant.
	Key string
	// Wait is how long the client waits; 0 if it does not say.
	Wait time.Duration
}

const (
	// assumedWait bounds a request whose client and route name no bound.
	defaultWait = 30 * time.Second
	// attemptObjectives is how many objectives an attempt may take before
	// another sampler is tried.
	attemptTimeoutObjectives = 2
	// hedgePart is the part of the objective after which a request goes to a second back
	// end too: what is left of it is enough there (chosen; at half of 150 ms some 1 % of
	// requests of 25 ms have no answer).
	hedgeObjectiveDivisor = 2
	// minAttemptTimeout bounds that from below.
	minAttemptTimeout = 200 * time.Millisecond
)

// Forward sends a request to a sampler of its route's service and returns the
// answer, or a *result.Error that tells whether it ran.
func (n *Node) Forward(ctx context.Context, admitted Admitted, in *Inbound) (*dispatch.Answer, error) {
	route := admitted.Route
	n.active.Add(1)
	defer n.active.Add(-1)
	received := clock.Mark()
	began := received.Time()
	deadline := began.Add(requestTimeout(route, in))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	if err := n.servable(admitted.Regions); err != nil {
		cancel()
		n.metrics.recordRequest(route.Name, nil, err, time.Since(began))
		n.LogRefusal(in.ID, in.Host, in.Path, err)
		return nil, err
	}
	request := requestOf(route, in, deadline)
	request.Regions, request.Received = admitted.Regions, received
	if err := n.awaitSampler(ctx, request); err != nil {
		cancel()
		n.metrics.recordRequest(route.Name, nil, err, time.Since(began))
		n.LogRefusal(in.ID, in.Host, in.Path, err)
		return nil, spread(err)
	}
	request.Tenant = admitted.Tenant.Name
	request.Permitted = n.keyCheck(admitted, in.Key)
	meter := n.usage.meter(admitted)
	request.Began = meter.sent
	answer, err := n.dispatcher.Do(ctx, request)
	meter.watch(answer)
	if answer == nil || answer.Buffered != nil {
		cancel()
	} else {
		answer.Body = dispatch.OnClose(answer.Body, cancel)
	}
	n.metrics.recordRequest(route.Name, answer, err, time.Since(began))
	return answer, spread(err)
}

// spread draws the time after which a refused caller comes back around the one
// that was set, so that callers that were refused together do not come back
// together.
func spread(err error) error {
	if err == nil {
		return nil
	}
	typed := result.From(err)
	const minFactor, factorRange = 0.6, 0.8
	typed.RetryAfter = time.Duration(float64(typed.RetryAfter) * (minFactor + factorRange*rand.Float64()))
	return typed
}

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

func requestOf(route *catalog.Route, in *Inbound, deadline time.Time) *dispatch.Request {
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
		HedgeAfter:     route.Objective / hedgeObjectiveDivisor,
		AttemptTimeout: max(attemptTimeoutObjectives*route.Objective, minAttemptTimeout),
	}
}

// LogRefusal records a request that was refused before it was sent anywhere.
func (n *Node) LogRefusal(requestID, host, path string, err error) {
	typed := result.From(err)
	n.logger.Log(event.RequestRefused, "request_id", requestID, "host", host, "path", path,
		"code", int(typed.Code), "detail", typed.Detail, "retry_after_ms", typed.RetryAfter.Milliseconds())
}

// newID returns a random id of 16 hexadecimal digits.
func newID() string {
	var raw [8]byte
	value := rand.Uint64()
	for i := range raw {
		raw[i] = byte(value >> (8 * i))
	}
	return hex.EncodeToString(raw[:])
}
