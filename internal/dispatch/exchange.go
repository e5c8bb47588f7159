package dispatch

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/result"
)

// Headers of pathbend's native protocol with back ends, see docs/BACKENDS.md.
const (
	HeaderRequestID      = "Pathbend-Request-Id"
	HeaderTenant         = "Pathbend-Tenant"
	HeaderDeadline       = "Pathbend-Deadline-Ms"
	HeaderRun            = "Pathbend-Run"
	HeaderLeaving        = "Pathbend-Leaving"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderPriority and HeaderAtMostOnce are set by callers and not forwarded.
	HeaderPriority   = "Pathbend-Priority"
	HeaderAtMostOnce = "Pathbend-At-Most-Once"
)

const (
	// maxBufferedAnswerBytes is the size up to which an answer is read completely before its
	// first byte is forwarded.
	maxBufferedAnswerBytes = 256 << 10
	maxIdleConnsPerBackEnd = 256
)

// Exchanger is an HTTP client for back ends that sends each request without retries. It is safe
// for concurrent use.
type Exchanger struct {
	transport *network.Transport
	dialer    network.Network
}

// NewExchanger returns an exchanger that connects through the given network.
func NewExchanger(dialer network.Network) *Exchanger {
	return &Exchanger{transport: network.NewTransport(countingNetwork{dialer}, maxIdleConnsPerBackEnd), dialer: dialer}
}

// Close closes idle connections.
func (e *Exchanger) Close() { e.transport.CloseIdleConnections() }

// crashProbeTimeout is the timeout of a probe that checks whether a back end still listens. It
// is longer than a TCP handshake between regions and short compared with the latency
// objective of a request.
const crashProbeTimeout = 250 * time.Millisecond

// ProbeStopped reports whether a back end has stopped listening at its address, so that its
// machine refuses a connection. A back end that only dropped an answer accepts it. False is
// also returned for a back end that restarted within a round-trip time and for a machine that
// does not respond.
func (e *Exchanger) ProbeStopped(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashProbeTimeout)
	defer cancel()
	connection, err := e.dialer.Dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// Nothing was written, so an error on close does not matter.
	_ = connection.Close()
	return false
}

// countingNetwork is a network whose connections count the bytes written.
type countingNetwork struct{ network.Network }

// Dial implements network.Network.
func (n countingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	connection, err := n.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: connection}, nil
}

// countingConn counts the bytes written, to determine whether any part of a request was sent.
type countingConn struct {
	net.Conn
	bytesWritten atomic.Int64
}

// Close implements net.Conn. The transport closes a connection that was idle for long or whose
// exchange was abandoned. Close aborts it, since in neither case may anything more be sent.
func (c *countingConn) Close() error { return network.Abort(c.Conn) }

func (c *countingConn) Write(buffer []byte) (int, error) {
	// The bytes are counted before the write, because a failed write may have sent some.
	c.bytesWritten.Add(int64(len(buffer)))
	return c.Conn.Write(buffer)
}

// nonRewindableBody wraps a streamed or empty body so that the transport cannot rewind it and
// hence never retries the request on its own.
type nonRewindableBody struct {
	reader io.Reader
	// read is set once any byte was read.
	read atomic.Bool
}

func (b *nonRewindableBody) Read(buffer []byte) (int, error) {
	n, err := b.reader.Read(buffer)
	if n > 0 {
		b.read.Store(true)
	}
	return n, err
}

func (b *nonRewindableBody) Close() error { return nil }

// exchangeRequest is the request of one attempt.
type exchangeRequest struct {
	method string
	url    string
	// host is the value of the Host header; the address in the URL if empty.
	host   string
	header http.Header
	body   exchangeBody
	// readVerdict interprets the status and headers of the response.
	readVerdict func(*http.Response) Verdict
}

// exchangeBody is a request body in a form that the transport cannot rewind.
type exchangeBody struct {
	// reader is the body that is handed to the transport.
	reader io.ReadCloser
	// streamed is set if the body is streamed or empty; it records whether the body was read.
	streamed *nonRewindableBody
	// length is the body's length in bytes, -1 if unknown.
	length int64
}

// newExchangeBody returns a request's body in a form that the transport cannot rewind. The
// transport retries a request on its own if it has no body or if GetBody returns a new one. A
// buffered body is passed as a plain reader without GetBody, which the transport sends together
// with the headers. That holds for repeatable requests too: a retry by the transport would run
// a request that crashed its back end again at the replacement back end, without being counted.
func newExchangeBody(request *Request) exchangeBody {
	switch {
	case len(request.Buffered) > 0:
		return exchangeBody{reader: io.NopCloser(bytes.NewReader(request.Buffered)), length: int64(len(request.Buffered))}
	case request.Body == nil:
		streamed := &nonRewindableBody{reader: http.NoBody}
		return exchangeBody{reader: streamed, streamed: streamed}
	default:
		streamed := &nonRewindableBody{reader: request.Body}
		return exchangeBody{reader: streamed, streamed: streamed, length: request.Length}
	}
}

// wasRead reports whether part of a streamed body was read.
func (b *exchangeBody) wasRead() bool { return b.streamed != nil && b.streamed.read.Load() }

// exchangeOutcome is the outcome of one exchange.
type exchangeOutcome struct {
	ending Ending
	// err is the caller's error; it is nil if answer is set.
	err error
	// bodyRead is set if part of a streamed request body was read.
	bodyRead bool
	// leaving is set if the back end announced that it accepts no new work.
	leaving bool
	// crashed is set if the back end was found to have crashed during the request.
	crashed bool
	// answer is set if ending is Answered or FailedByBackEnd.
	answer *Answer
	// sentAt is when the request was completely written, or when the exchange started if that
	// is unknown.
	sentAt time.Time
}

// Answer is a back end's answer. The caller must close Body; a read error other than io.EOF
// means that the answer is truncated.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, -1 if it is not known in advance.
	Length int64
	Body   io.ReadCloser
	// Buffered holds the whole body if it was read in advance, otherwise nil.
	Buffered []byte
	// Attempts is the number of attempts, including the answered one.
	Attempts int
	// BackEnd is the id of the back end that answered.
	BackEnd string
	// Replayed is set if the answer is the stored one of an earlier execution.
	Replayed bool
}

// exchange sends the request once and classifies how it ended.
func (e *Exchanger) exchange(ctx context.Context, outgoing exchangeRequest) exchangeOutcome {
	var connection *countingConn
	var bytesWrittenBefore int64
	var sentAt atomic.Pointer[time.Time]
	started := time.Now()
	sentAt.Store(&started)
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if wrapper, ok := info.Conn.(interface{ NetConn() net.Conn }); ok {
				connection, _ = wrapper.NetConn().(*countingConn)
			}
			if connection != nil {
				bytesWrittenBefore = connection.bytesWritten.Load()
			}
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			now := time.Now()
			sentAt.Store(&now)
		},
	}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), outgoing.method, outgoing.url, nil)
	if err != nil {
		return exchangeOutcome{ending: NotSent, err: result.Wrap(result.MalformedRequest, err, "build request")}
	}
	request.Host = outgoing.host
	request.Header = outgoing.header
	request.Body = outgoing.body.reader
	request.ContentLength = outgoing.body.length
	// Unlike http.Client the transport follows no redirects; they are answers for the caller.
	response, err := e.transport.RoundTrip(request)
	if err != nil {
		sent := connection != nil && connection.bytesWritten.Load() > bytesWrittenBefore
		failed := classifyFailure(ctx, err, sent, outgoing.body.wasRead())
		failed.sentAt = *sentAt.Load()
		return failed
	}
	outcome := classifyResponse(ctx, response, outgoing.readVerdict(response), outgoing.body.wasRead())
	outcome.sentAt = *sentAt.Load()
	return outcome
}

// answerInterrupted reports whether the connection ended before the answer was complete.
func (o *exchangeOutcome) answerInterrupted() bool {
	return o.ending == Lost && (result.Is(o.err, result.AnswerLost) || result.Is(o.err, result.AnswerTruncated))
}

// streamed reports whether the body of the answer is still to be read from the back end.
func (o *exchangeOutcome) streamed() bool { return o.answer != nil && o.answer.Buffered == nil }

// abandonAnswer closes the answer of an exchange whose context ended before the answer was used.
func (o *exchangeOutcome) abandonAnswer(ctx context.Context) {
	o.answer.Body.Close()
	failed := classifyFailure(ctx, context.Cause(ctx), true, o.bodyRead)
	o.ending, o.err, o.answer = failed.ending, failed.err, nil
}

// classifyFailure returns the outcome of an exchange without a complete answer. sent is set if
// any byte of the request was written.
func classifyFailure(ctx context.Context, err error, sent, bodyRead bool) exchangeOutcome {
	failed := exchangeOutcome{ending: Lost, bodyRead: bodyRead}
	switch {
	case !sent:
		failed.ending = NotSent
		failed.err = result.Wrap(result.BackEndUnreached, err, "send request")
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		failed.err = result.New(result.DeadlineExceeded, "no answer before the deadline")
	case ctx.Err() != nil:
		failed.err = result.Interrupted(ctx)
	default:
		failed.err = result.Wrap(result.AnswerLost, err, "await answer")
	}
	return failed
}

// classifyResponse returns the outcome of an exchange whose response head arrived, and reads
// the body of a small answer.
func classifyResponse(ctx context.Context, response *http.Response, verdict Verdict, bodyRead bool) exchangeOutcome {
	outcome := exchangeOutcome{bodyRead: bodyRead, leaving: verdict.Leaving, ending: verdict.Ending, err: verdict.Err}
	if verdict.Ending != Answered && verdict.Ending != FailedByBackEnd {
		// Closing an unread body closes the connection, so that a late or mismatched answer
		// cannot reach another request.
		response.Body.Close()
		return outcome
	}
	answer, err := readAnswer(response)
	if err != nil {
		response.Body.Close()
		failed := classifyFailure(ctx, err, true, bodyRead)
		if result.Is(failed.err, result.AnswerLost) {
			failed.err = result.Wrap(result.AnswerTruncated, err, "read answer")
		}
		failed.leaving = outcome.leaving
		return failed
	}
	outcome.answer = answer
	return outcome
}

// parseRetryAfter returns the delay of a Retry-After header in seconds, 0 if there is none or it
// is invalid.
func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// readAnswer reads the body completely if it is small. Larger bodies and event streams are left
// to be streamed.
func readAnswer(response *http.Response) (*Answer, error) {
	answer := &Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength}
	streamed := response.ContentLength < 0 && isEventStream(response.Header)
	if streamed || response.ContentLength > maxBufferedAnswerBytes {
		answer.Body = response.Body
		return answer, nil
	}
	var buffer bytes.Buffer
	if response.ContentLength > 0 {
		buffer.Grow(int(response.ContentLength) + bytes.MinRead)
	}
	read, err := io.Copy(&buffer, io.LimitReader(response.Body, maxBufferedAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if read > maxBufferedAnswerBytes {
		answer.Body = &partiallyReadBody{Reader: io.MultiReader(&buffer, response.Body), closer: response.Body}
		return answer, nil
	}
	response.Body.Close()
	answer.Buffered = buffer.Bytes()
	answer.Length = read
	answer.Body = io.NopCloser(bytes.NewReader(answer.Buffered))
	return answer, nil
}

func isEventStream(header http.Header) bool {
	return header.Get("Content-Type") == "text/event-stream"
}

// partiallyReadBody is a body of which the beginning was read in advance.
type partiallyReadBody struct {
	io.Reader
	closer io.Closer
}

func (b *partiallyReadBody) Close() error { return b.closer.Close() }
