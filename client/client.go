package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/wait"
)

// Options holds the settings of a client.
type Options struct {
	// Addresses are the HTTP addresses of nodes, host:port, nearest first.
	Addresses []string
	// Tenant is the name of the tenant for which all requests are sent.
	Tenant string
	// Spread starts each request at the next address in rotation instead of the one that
	// responded last, so that one client loads the nodes as many callers would.
	Spread bool
	// MaxAttempts is the maximum number of attempts per request; 0 means DefaultMaxAttempts.
	MaxAttempts int
	// Network opens the connections, for example those of a simulation; nil uses the network of
	// the operating system.
	Network Dialer
	// Random is the source of jitter; nil uses the global source of math/rand/v2.
	Random *rand.Rand
}

// Dialer opens connections. A nil Dialer in Options uses TCP.
type Dialer = network.Network

// DefaultMaxAttempts is the maximum number of attempts per request if Options sets none.
const DefaultMaxAttempts = 6

const (
	maxResponseBytes          = 256 << 20
	minRetryDelay             = 20 * time.Millisecond
	maxRetryDelay             = 2 * time.Second
	maxIdleConnectionsPerNode = 256
	// maxResponseHeaderBytes leaves room for the headers that a node adds to those of the largest
	// answer that it accepts.
	maxResponseHeaderBytes = 128 << 10
)

// Client sends requests of one tenant to the nodes of a cluster. It is safe for concurrent
// use.
type Client struct {
	options Options
	http    *http.Client
	nodes   *nodes
}

// New returns a client with the given options. It opens no connection.
func New(options Options) *Client {
	if options.MaxAttempts == 0 {
		options.MaxAttempts = DefaultMaxAttempts
	}
	if options.Network == nil {
		options.Network = network.TCP{}
	}
	transport := network.NewTransport(options.Network, maxIdleConnectionsPerNode)
	transport.MaxResponseHeaderBytes = maxResponseHeaderBytes
	return &Client{
		options: options, http: &http.Client{Transport: transport},
		nodes: newNodes(options.Addresses, options.Spread),
	}
}

// Close releases idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Request is an application request.
type Request struct {
	// Route is the name of the tenant's route that serves the request.
	Route string
	// Method defaults to POST.
	Method string
	// Path is appended to the URL of the route, with its leading slash and its query.
	Path string
	// Header holds further headers of the request; Call does not change it.
	Header http.Header
	Body   []byte
	// Timeout is sent to the service as the deadline of the request; 0 means the deadline of
	// the route.
	Timeout time.Duration
	// Priority is critical, high, normal or low; empty means the priority of the route.
	Priority string
	// IdempotencyKey makes an at-most-once request safe to retry.
	IdempotencyKey string
	// AtMostOnce asks the service to run the request at most once, which the route may demand
	// already.
	AtMostOnce bool
	// Repeatable allows retries after which the request may have run more than once.
	Repeatable bool
}

// Response is a complete response to an application request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Attempts is the number of times that the client sent the request.
	Attempts int
}

// Run states whether a failed request was executed.
type Run string

const (
	// NotRun means that the request was certainly not executed.
	NotRun Run = "not_run"
	// Unknown means that the request may have been executed.
	Unknown Run = "unknown"
)

// Error is a failed request with the result code of the service (docs/RESULT_CODES.md).
type Error struct {
	// Code is the number of the result code; 0 means that the client received no valid
	// response, and Name then says why.
	Code int `json:"code"`
	// Name is the name of the result code.
	Name string `json:"name"`
	// Run states whether the request was executed.
	Run Run `json:"run"`
	// Detail describes this failure.
	Detail string `json:"detail"`
	// Field is the path of the request field at fault, if there is one.
	Field string `json:"field"`
	// Fix says how the caller may correct the request, if the service knows.
	Fix string `json:"fix"`
	// RetryAfter is the delay before the next attempt that the service asks for; 0 if none.
	RetryAfter time.Duration `json:"-"`
}

// Error implements error as "code name (run): detail".
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", e.Code, e.Name, e.Run, e.Detail)
}

// Call sends an application request and retries it until it receives a response, another
// attempt is not safe or cannot succeed, the attempts are used up or ctx ends. The error is an
// *Error whose Run states whether the request was executed.
func (c *Client) Call(ctx context.Context, request Request) (*Response, error) {
	if request.Method == "" {
		request.Method = http.MethodPost
	}
	path := "/v1/tenants/" + c.options.Tenant + "/routes/" + request.Route + request.Path
	mayRepeat := request.Repeatable || request.IdempotencyKey != ""
	if request.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, request.Timeout+responseMargin)
		defer cancel()
	}
	// An attempt with an idempotency key is not cancelled to try another node: cancelling it
	// ends the execution that the key belongs to, and the outcome is lost with it.
	mayCancel := request.Repeatable && request.IdempotencyKey == ""
	return c.send(ctx, request.Method, path, request.header(), request.Body, retryPolicy{repeatable: mayRepeat, mayCancel: mayCancel})
}

// responseMargin is added to the client's own timeout, so that the service's response at the
// deadline sent to it still arrives: some round trips between regions.
const responseMargin = 250 * time.Millisecond

// header returns the headers of the request, with those of its options.
func (r *Request) header() http.Header {
	header := r.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	if r.Timeout > 0 {
		header.Set("Pathbend-Deadline-Ms", strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	}
	if r.Priority != "" {
		header.Set("Pathbend-Priority", r.Priority)
	}
	if r.IdempotencyKey != "" {
		header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	if r.AtMostOnce {
		header.Set("Pathbend-At-Most-Once", "true")
	}
	return header
}

// retryPolicy states which retries of a request are safe.
type retryPolicy struct {
	// repeatable allows a retry after an attempt that may have run.
	repeatable bool
	// mayCancel allows cancelling an attempt without response to try another node.
	mayCancel bool
}

// send tries the nodes in turn, recently unresponsive ones last. If any attempt may have
// run, the last such failure is returned, so that a later rejection does not report the
// request as not run.
func (c *Client) send(ctx context.Context, method, path string, header http.Header, body []byte, policy retryPolicy) (*Response, error) {
	var unknownOutcome *Error
	var latest *Error
	order := c.nodes.order(time.Now())
	for attempt := 1; attempt <= c.options.MaxAttempts; attempt++ {
		node := order[(attempt-1)%len(order)]
		attemptCtx, cancel := c.attemptContext(ctx, policy.mayCancel && attempt < c.options.MaxAttempts)
		response, failure := c.exchange(attemptCtx, c.options.Addresses[node], method, path, header, body)
		cancel()
		if failure == nil {
			c.nodes.markResponsive(node)
			response.Attempts = attempt
			return response, nil
		}
		if failure.Code == 0 {
			c.nodes.markUnresponsive(node, time.Now())
		}
		latest = failure
		if failure.Run == Unknown {
			unknownOutcome = failure
		}
		// The last failure is returned at once, without waiting for its retry delay.
		last := attempt == c.options.MaxAttempts
		if last || !retryable(failure, policy.repeatable) || !c.backOff(ctx, attempt, failure.RetryAfter) {
			break
		}
	}
	if unknownOutcome != nil {
		return nil, unknownOutcome
	}
	return nil, latest
}

// attemptTimeoutDivisor divides the remaining time into the timeout of an attempt that may be
// cancelled to try another node: a frozen node accepts requests but does not respond.
const attemptTimeoutDivisor = 3

// attemptContext returns the context of one attempt, with a shorter timeout if the attempt
// may be cancelled to try another node.
func (c *Client) attemptContext(ctx context.Context, mayCancel bool) (context.Context, context.CancelFunc) {
	deadline, bounded := ctx.Deadline()
	if !mayCancel || !bounded || len(c.options.Addresses) == 1 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(deadline)/attemptTimeoutDivisor)
}

// retryable reports whether another attempt is safe and may succeed. mayRepeat allows one
// after an attempt that may have run.
func retryable(failure *Error, mayRepeat bool) bool {
	// An invalid request (1xxx), an unknown or conflicting job (4001, 4002) and the lost outcome
	// of a key get the same response from every node.
	permanent := failure.Code >= 1000 && failure.Code < 2000 || failure.Code >= 4000 && failure.Code < 4003 || failure.Name == "key_outcome_lost"
	if permanent {
		return false
	}
	return failure.Run == NotRun || mayRepeat
}

// backOff waits for the retry delay that the service asked for, or else for an exponential
// one, plus up to half of it as jitter so that callers do not retry at the same time. It
// returns false if ctx ends first.
func (c *Client) backOff(ctx context.Context, attempt int, retryAfter time.Duration) bool {
	delay := retryAfter
	if delay == 0 {
		delay = min(minRetryDelay<<(attempt-1), maxRetryDelay)
	}
	delay += time.Duration(c.randomInt64N(int64(delay)/2 + 1))
	return wait.For(ctx, delay)
}

// randomInt64N returns a random number in [0, n).
func (c *Client) randomInt64N(n int64) int64 {
	if c.options.Random != nil {
		return c.options.Random.Int64N(n)
	}
	return rand.Int64N(n)
}

// opaqueReader hides the type of a body, so that net/http cannot rewind the body and resend
// a request by itself.
type opaqueReader struct{ reader io.Reader }

func (r *opaqueReader) Read(buffer []byte) (int, error) { return r.reader.Read(buffer) }

// exchange makes one attempt at a node.
func (c *Client) exchange(ctx context.Context, address, method, path string, header http.Header, body []byte) (*Response, *Error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, &opaqueReader{bytes.NewReader(body)})
	if err != nil {
		return nil, &Error{Name: "invalid_request", Run: NotRun, Detail: err.Error()}
	}
	request.ContentLength = int64(len(body))
	request.Header = header.Clone()
	response, err := c.http.Do(request)
	if err != nil {
		return nil, connectionError(err)
	}
	defer response.Body.Close()
	content, err := network.ReadBody(response.Body, maxResponseBytes)
	if err != nil {
		return nil, &Error{Name: "answer_cut_off", Run: Unknown, Detail: err.Error()}
	}
	if response.Header.Get("Pathbend-Result-Code") != "" {
		return nil, decodeError(response, content)
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Body: content}, nil
}

// connectionError distinguishes a failed dial, after which the request was not run, from a
// connection that failed later.
func connectionError(err error) *Error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return &Error{Name: "unreachable", Run: NotRun, Detail: err.Error()}
	}
	return &Error{Name: "connection_lost", Run: Unknown, Detail: err.Error()}
}

// decodeError decodes the error response of a node.
func decodeError(response *http.Response, content []byte) *Error {
	var body struct {
		Error struct {
			Error
			RetryAfterMS int64 `json:"retry_after_ms"`
		} `json:"error"`
	}
	if err := json.Unmarshal(content, &body); err != nil {
		return &Error{Name: "malformed_error", Run: Unknown, Detail: fmt.Sprintf("status %d: %v", response.StatusCode, err)}
	}
	failure := body.Error.Error
	failure.RetryAfter = time.Duration(body.Error.RetryAfterMS) * time.Millisecond
	return &failure
}

// callJSON sends an idempotent operation with a JSON body and decodes the response into
// target unless that is nil.
func (c *Client) callJSON(ctx context.Context, method, path string, body, target any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return err
	}
	header := http.Header{"Content-Type": []string{"application/json"}}
	response, err := c.send(ctx, method, "/v1/tenants/"+c.options.Tenant+path, header, content, retryPolicy{repeatable: true})
	if err != nil {
		return err
	}
	if target == nil {
		return nil
	}
	return json.Unmarshal(response.Body, target)
}
