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

// Headers of the protocol between pathbend and back ends (docs/BACKENDS.md).
const (
	HeaderRequestID      = "Pathbend-Request-Id"
	HeaderTenant         = "Pathbend-Tenant"
	HeaderDeadline       = "Pathbend-Deadline-Ms"
	HeaderRun            = "Pathbend-Run"
	HeaderLeaving        = "Pathbend-Leaving"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderPriority and HeaderAtMostOnce are the caller's and not passed on.
	HeaderPriority   = "Pathbend-Priority"
	HeaderAtMostOnce = "Pathbend-At-Most-Once"
)

const (
	// bufferedAnswerBytes is the largest answer that is checked whole before
	// its first byte is passed on.
	bufferedAnswerBytes = 256 << 10
	maxIdlePerBackEnd   = 256
	maxHeaderBytes      = 64 << 10
)

// Exchanger performs single HTTP exchanges with back ends.
type Exchanger struct {
	transport *http.Transport
	over      network.Network
}

// NewExchanger returns an exchanger over a network.
func NewExchanger(over network.Network) *Exchanger {
	transport := network.NewTransport(meteredNetwork{over}, maxIdlePerBackEnd)
	transport.MaxResponseHeaderBytes = maxHeaderBytes
	return &Exchanger{transport: transport, over: over}
}

// Close releases idle connections.
func (e *Exchanger) Close() { e.transport.CloseIdleConnections() }

// endedPatience bounds the question whether a back end has ended: longer than a handshake
// between regions takes, and short beside the objective of a request.
const endedPatience = 250 * time.Millisecond

// BackEndEnded reports whether nothing listens at a back end's address any more: the machine
// is there and refuses the connection. A back end that only dropped an answer accepts it. One
// that started again within the time of a round trip is not told from that, nor is a machine
// that says nothing.
func (e *Exchanger) BackEndEnded(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endedPatience)
	defer cancel()
	connection, err := e.over.Dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// Nothing was sent on it.
	_ = connection.Close()
	return false
}

// meteredNetwork makes connections that count what is written.
type meteredNetwork struct{ network.Network }

// Dial implements network.Network.
func (m meteredNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	connection, err := m.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: connection}, nil
}

// meteredConn counts the bytes written, to tell whether any were sent.
type meteredConn struct {
	net.Conn
	written atomic.Int64
}

// Close implements net.Conn. The transport closes a connection of this kind
// when it is idle for long or its exchange was given up; in either case
// nothing may be sent on it any more.
func (c *meteredConn) Close() error { return network.Abort(c.Conn) }

func (c *meteredConn) Write(buffer []byte) (int, error) {
	// Counted before the write: a failed write may have sent some of it.
	c.written.Add(int64(len(buffer)))
	return c.Conn.Write(buffer)
}

// opaqueBody hides a streamed or empty body from the transport, which therefore
// cannot rewind it and never sends the request a second time by itself.
type opaqueBody struct {
	reader io.Reader
	read   atomic.Bool
}

func (b *opaqueBody) Read(buffer []byte) (int, error) {
	n, err := b.reader.Read(buffer)
	if n > 0 {
		b.read.Store(true)
	}
	return n, err
}

func (b *opaqueBody) Close() error { return nil }

// outgoing is one attempt's request.
type outgoing struct {
	method string
	url    string
	// host is the Host header; the address of the URL if empty.
	host   string
	header http.Header
	body   outgoingBody
	judge  func(*http.Response) Verdict
}

// outgoingBody is a body in one of the forms that the transport never rewinds.
type outgoingBody struct {
	// reader is what the transport reads.
	reader io.ReadCloser
	// opaque is set if the body is a stream, to tell whether it was read.
	opaque *opaqueBody
	length int64 // -1 if unknown
}

// bodyOf chooses the form of a request's body. The transport replays a request
// by itself if it has no body or one that it can get anew. A buffered body is
// handed over as a plain reader without a way to get it anew, which the
// transport sends together with the header. A repeatable request is no exception:
// one that crashes its back end would run once more at the back end that comes in
// its place, which nobody would count.
func bodyOf(request *Request) outgoingBody {
	switch {
	case len(request.Buffered) > 0:
		return outgoingBody{reader: io.NopCloser(bytes.NewReader(request.Buffered)), length: int64(len(request.Buffered))}
	case request.Body == nil:
		opaque := &opaqueBody{reader: http.NoBody}
		return outgoingBody{reader: opaque, opaque: opaque}
	default:
		opaque := &opaqueBody{reader: request.Body}
		return outgoingBody{reader: opaque, opaque: opaque, length: request.Length}
	}
}

func (b *outgoingBody) wasRead() bool { return b.opaque != nil && b.opaque.read.Load() }

// incoming is the outcome of one exchange.
type incoming struct {
	ending   Ending
	err      error
	bodyRead bool
	leaving  bool
	// ended is set if the back end was found to have ended under the request.
	ended  bool
	answer *Answer
	// sentAt is when the request had been handed to the connection, or when the
	// exchange began if that is not known.
	sentAt time.Time
}

// Answer is a back end's answer. Body must be closed; a read error other than
// io.EOF means that the answer is truncated.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, -1 if it is not known in advance.
	Length int64
	Body   io.ReadCloser
	// Buffered holds the whole body if it is small, else nil.
	Buffered []byte
	// Attempts counts the back ends tried, BackEnd names the one that answered.
	Attempts int
	BackEnd  string
	// Replayed is set if the answer is that of an earlier execution.
	Replayed bool
}

// exchange sends the request once and classifies how it ended.
func (e *Exchanger) exchange(ctx context.Context, out outgoing) incoming {
	var connection *meteredConn
	var writtenBefore int64
	var sentAt atomic.Pointer[time.Time]
	began := time.Now()
	sentAt.Store(&began)
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connection, _ = info.Conn.(*meteredConn)
			if connection != nil {
				writtenBefore = connection.written.Load()
			}
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			now := time.Now()
			sentAt.Store(&now)
		},
	}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), out.method, out.url, nil)
	if err != nil {
		return incoming{ending: NotSent, err: result.Wrap(result.MalformedRequest, err, "build request")}
	}
	request.Host = out.host
	request.Header = out.header
	request.Body = out.body.reader
	request.ContentLength = out.body.length
	// The transport follows no redirects: the answer goes to the caller as it is.
	response, err := e.transport.RoundTrip(request)
	if err != nil {
		sent := connection != nil && connection.written.Load() > writtenBefore
		failed := classifyFailure(ctx, err, sent, out.body.wasRead())
		failed.sentAt = *sentAt.Load()
		return failed
	}
	outcome := classifyResponse(ctx, response, out.judge(response), out.body.wasRead())
	outcome.sentAt = *sentAt.Load()
	return outcome
}

// wasCut reports whether the connection ended before a whole answer had come.
func (i *incoming) wasCut() bool {
	return i.ending == Lost && (result.Is(i.err, result.AnswerLost) || result.Is(i.err, result.AnswerTruncated))
}

func classifyFailure(ctx context.Context, err error, sent, bodyRead bool) incoming {
	failed := incoming{ending: Lost, bodyRead: bodyRead}
	switch {
	case !sent:
		failed.ending = NotSent
		failed.err = result.Wrap(result.BackEndUnreached, err, "send request")
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		failed.err = result.New(result.DeadlineExceeded, "no answer before the deadline")
	case ctx.Err() != nil:
		failed.err = result.New(result.CallerGone, "the caller went away after the request was sent")
	default:
		failed.err = result.Wrap(result.AnswerLost, err, "await answer")
	}
	return failed
}

func classifyResponse(ctx context.Context, response *http.Response, verdict Verdict, bodyRead bool) incoming {
	outcome := incoming{bodyRead: bodyRead, leaving: verdict.Leaving, ending: verdict.Ending, err: verdict.Err}
	if verdict.Ending != Answered && verdict.Ending != FailedByBackEnd {
		// Closing an unread body closes the connection, which then cannot
		// deliver a crossed answer to another request.
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

// retryAfterOf parses a Retry-After header in seconds.
func retryAfterOf(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// readAnswer reads a small body whole. A larger one is left to be streamed.
func readAnswer(response *http.Response) (*Answer, error) {
	answer := &Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength}
	streams := response.ContentLength < 0 && isEventStream(response.Header)
	if streams || response.ContentLength > bufferedAnswerBytes {
		answer.Body = response.Body
		return answer, nil
	}
	var buffer bytes.Buffer
	if response.ContentLength > 0 {
		buffer.Grow(int(response.ContentLength) + bytes.MinRead)
	}
	read, err := io.Copy(&buffer, io.LimitReader(response.Body, bufferedAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if read > bufferedAnswerBytes {
		answer.Body = &prefixedBody{Reader: io.MultiReader(&buffer, response.Body), closer: response.Body}
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

type prefixedBody struct {
	io.Reader
	closer io.Closer
}

func (b *prefixedBody) Close() error { return b.closer.Close() }
