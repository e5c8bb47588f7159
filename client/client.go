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

// Options configure a client.
type Options struct {
	// Addresses are the HTTP addresses of nodes, host:port, nearest first.
	Addresses []string
	Tenant    string
	// Spread begins each request at the next address instead of the one that
	// answered last, as many callers together would.
	Spread bool
	// MaxAttempts bounds the sends of one request; 0 means DefaultMaxAttempts.
	MaxAttempts int
	// Network replaces the operating system's, as in simulations.
	Network Dialer
	// Random draws jitter; nil uses a source of its own.
	Random *rand.Rand
}

// Dialer opens connections; network.TCP of this module is one.
type Dialer = network.Network

// DefaultMaxAttempts is the number of sends of one request.
const DefaultMaxAttempts = 6

const (
	maxAnswerBytes = 256 << 20
	retryBase      = 20 * time.Millisecond
	retryMax       = 2 * time.Second
	maxIdlePerNode = 256
)

// Client talks to the nodes of a cluster for one tenant. It is safe for
// concurrent use.
type Client struct {
	options Options
	http    *http.Client
	nodes   *nodes
}

// New returns a client.
func New(options Options) *Client {
	if options.MaxAttempts == 0 {
		options.MaxAttempts = DefaultMaxAttempts
	}
	if options.Network == nil {
		options.Network = network.TCP{}
	}
	transport := network.NewTransport(options.Network, maxIdlePerNode)
	return &Client{
		options: options, http: &http.Client{Transport: transport},
		nodes: newNodes(options.Addresses, options.Spread),
	}
}

// Close releases idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Request is an application request.
type Request struct {
	Route string
	// Method defaults to POST.
	Method string
	// Path is appended to the route, with its leading slash and query.
	Path   string
	Header http.Header
	Body   []byte
	// Timeout is the deadline stated to the service; 0 takes the route's.
	Timeout  time.Duration
	Priority string
	// IdempotencyKey makes an at-most-once request safe to repeat.
	IdempotencyKey string
	// AtMostOnce marks the request; the route may be marked already.
	AtMostOnce bool
	// Repeatable says that the request may run twice.
	Repeatable bool
}

// Response is a complete answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Attempts counts how often the client sent the request.
	Attempts int
}

// Run tells whether a failed request was executed.
type Run string

// Outcomes of a failed request.
const (
	NotRun  Run = "not_run"
	Unknown Run = "unknown"
)

// Error is a failure with its numbered result code (docs/RESULT_CODES.md).
// Code 0 means that the service could not be asked.
type Error struct {
	Code       int           `json:"code"`
	Name       string        `json:"name"`
	Run        Run           `json:"run"`
	Detail     string        `json:"detail"`
	Field      string        `json:"field"`
	Fix        string        `json:"fix"`
	RetryAfter time.Duration `json:"-"`
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", e.Code, e.Name, e.Run, e.Detail)
}

// Call sends an application request until it has an answer or may not be sent
// again. The error is an *Error whose Run tells whether the request was run.
func (c *Client) Call(ctx context.Context, request Request) (*Response, error) {
	if request.Method == "" {
		request.Method = http.MethodPost
	}
	path := "/v1/tenants/" + c.options.Tenant + "/routes/" + request.Route + request.Path
	mayRepeat := request.Repeatable || request.IdempotencyKey != ""
	if request.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, request.Timeout+answerMargin)
		defer cancel()
	}
	// A request under a key is not cut to be sent elsewhere: its outcome would be lost
	// with the execution that the cut ends.
	mayCut := request.Repeatable && request.IdempotencyKey == ""
	return c.send(ctx, request.Method, path, request.header(), request.Body, repetition{allowed: mayRepeat, mayCut: mayCut})
}

// answerMargin is left for the service's own answer at the deadline that was stated to
// it (chosen: some round trips between regions).
const answerMargin = 250 * time.Millisecond

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

// repetition is what a request allows.
type repetition struct {
	// allowed is set if it may be sent again after an attempt that may have run.
	allowed bool
	// mayCut is set if an attempt may be given up for another one.
	mayCut bool
}

// send tries nodes in turn, those last that lately did not answer. maybeRun remembers
// that an attempt may have run, so that a later refusal is not reported as not run.
func (c *Client) send(ctx context.Context, method, path string, header http.Header, body []byte, repeats repetition) (*Response, error) {
	var maybeRun *Error
	var latest *Error
	order := c.nodes.order(time.Now())
	for attempt := 1; attempt <= c.options.MaxAttempts; attempt++ {
		node := order[(attempt-1)%len(order)]
		attemptCtx, cancel := c.attemptContext(ctx, repeats.mayCut && attempt < c.options.MaxAttempts)
		response, failure := c.exchange(attemptCtx, c.options.Addresses[node], method, path, header, body)
		cancel()
		if failure == nil {
			c.nodes.answered(node)
			response.Attempts = attempt
			return response, nil
		}
		if failure.Code == 0 {
			c.nodes.silent(node, time.Now())
		}
		latest = failure
		if failure.Run == Unknown {
			maybeRun = failure
		}
		// The last failure is reported at once, not after its hint.
		last := attempt == c.options.MaxAttempts
		if last || !retryable(failure, repeats.allowed) || !c.pause(ctx, attempt, failure.RetryAfter) {
			break
		}
	}
	if maybeRun != nil {
		return nil, maybeRun
	}
	return nil, latest
}

// attemptParts is the part of the time left that an attempt may take after which
// another node may be asked: a node may be frozen, and takes requests all the same.
const attemptParts = 3

// attemptContext bounds an attempt that may be repeated elsewhere.
func (c *Client) attemptContext(ctx context.Context, mayCut bool) (context.Context, context.CancelFunc) {
	deadline, bounded := ctx.Deadline()
	if !mayCut || !bounded || len(c.options.Addresses) == 1 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(deadline)/attemptParts)
}

// retryable reports whether another attempt is safe and may help.
func retryable(failure *Error, mayRepeat bool) bool {
	permanent := failure.Code >= 1000 && failure.Code < 2000 || failure.Code >= 4000 && failure.Code < 4003 || failure.Name == "key_outcome_lost"
	if permanent {
		return false
	}
	return failure.Run == NotRun || mayRepeat
}

// pause waits for the service's hint, or backs off, with jitter so that callers
// do not come back together.
func (c *Client) pause(ctx context.Context, attempt int, hint time.Duration) bool {
	delay := hint
	if delay == 0 {
		delay = min(retryBase<<(attempt-1), retryMax)
	}
	delay += time.Duration(c.int64N(int64(delay)/2 + 1))
	return wait.For(ctx, delay)
}

func (c *Client) int64N(n int64) int64 {
	if c.options.Random != nil {
		return c.options.Random.Int64N(n)
	}
	return rand.Int64N(n)
}

// opaqueReader keeps net/http from sending a request again by itself.
type opaqueReader struct{ reader io.Reader }

func (r *opaqueReader) Read(buffer []byte) (int, error) { return r.reader.Read(buffer) }

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
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, &Error{Name: "answer_cut_off", Run: Unknown, Detail: err.Error()}
	}
	if response.Header.Get("Pathbend-Result-Code") != "" {
		return nil, decodeError(response, content)
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Body: content}, nil
}

// connectionError tells a connection that was never made from one that broke.
func connectionError(err error) *Error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return &Error{Name: "unreachable", Run: NotRun, Detail: err.Error()}
	}
	return &Error{Name: "connection_lost", Run: Unknown, Detail: err.Error()}
}

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

// callJSON sends an operation that is safe to repeat.
func (c *Client) callJSON(ctx context.Context, method, path string, body, target any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return err
	}
	header := http.Header{"Content-Type": []string{"application/json"}}
	response, err := c.send(ctx, method, "/v1/tenants/"+c.options.Tenant+path, header, content, repetition{allowed: true})
	if err != nil {
		return err
	}
	if target == nil {
		return nil
	}
	return json.Unmarshal(response.Body, target)
}
