package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	"github.com/pathbend/pathbend/internal/admission"
	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/config"
	"github.com/pathbend/pathbend/internal/dispatch"
	"github.com/pathbend/pathbend/internal/result"
)

const (
	// replayableBodyBytes is the largest body that is kept for a second
	// attempt. A larger one is streamed and sent once.
	replayableBodyBytes = 1 << 20
	// copyBufferBytes is the chunk in which streamed answers are passed on.
	copyBufferBytes = 32 << 10
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 200
)

// handleApplication passes an application request to a back end.
func (g *Gateway) handleApplication(writer http.ResponseWriter, request *http.Request, parameters httprouter.Params) {
	began := time.Now()
	tenantName, routeName := parameters.ByName("tenant"), parameters.ByName("route")
	code, known, err := g.serveApplication(writer, request, parameters)
	if err != nil {
		code = result.From(err).Code
		g.refuse(writer, err)
	}
	if !known {
		tenantName, routeName = "", "" // keeps label values bounded
	}
	g.services.Recorder.Record(tenantName, routeName, code, time.Since(began))
}

// serveApplication reports the result code of an answer that is written
// already, or an error that is still to be written. known tells whether the
// route exists.
func (g *Gateway) serveApplication(writer http.ResponseWriter, request *http.Request, parameters httprouter.Params) (code result.Code, known bool, err error) {
	tenant, err := g.tenant(parameters)
	if err != nil {
		return 0, false, err
	}
	route := tenant.FindRoute(parameters.ByName("route"))
	if route == nil {
		return 0, false, result.New(result.UnknownRoute, "tenant %q has no route %q", tenant.Name, parameters.ByName("route"))
	}
	parsed, priority, err := parseApplication(writer, request, tenant, route, parameters.ByName("rest"))
	if err != nil {
		return 0, true, err
	}
	ctx, cancel := context.WithDeadline(request.Context(), parsed.Deadline)
	defer cancel()
	leave, err := g.services.Admission.Enter(ctx, tenant.Name, priority, parsed.Deadline)
	if err != nil {
		return 0, true, err
	}
	defer leave()
	answer, err := g.dispatcherFor(parsed).Do(ctx, parsed)
	if err != nil {
		return 0, true, err
	}
	return g.passOn(writer, answer), true, nil
}

func (g *Gateway) dispatcherFor(request *dispatch.Request) Dispatcher {
	if request.AtMostOnce && request.IdempotencyKey != "" {
		return g.services.Keyed
	}
	return g.services.Dispatcher
}

func parseApplication(writer http.ResponseWriter, request *http.Request, tenant *config.Tenant, route *config.Route, rest string) (*dispatch.Request, admission.Priority, error) {
	received := clock.Mark()
	deadline, err := parseDeadline(request.Header, route.Deadline)
	if err != nil {
		return nil, 0, err
	}
	priority, err := parsePriority(request.Header, route.Priority)
	if err != nil {
		return nil, 0, err
	}
	atMostOnce, err := parseAtMostOnce(request.Header, route.AtMostOnce)
	if err != nil {
		return nil, 0, err
	}
	key := request.Header.Get(dispatch.HeaderIdempotencyKey)
	if len(key) > maxKeyBytes || strings.ContainsAny(key, "\r\n") {
		return nil, 0, result.New(result.MalformedRequest, "must have at most %d bytes", maxKeyBytes).WithField(dispatch.HeaderIdempotencyKey)
	}
	parsed := &dispatch.Request{
		Tenant: tenant.Name, Pool: route.Pool, Method: request.Method, Path: pathAtBackEnd(request, route, rest),
		Header: request.Header, Length: request.ContentLength, IdempotencyKey: key,
		AtMostOnce: atMostOnce, MaxAttempts: route.MaxAttempts, Deadline: deadline, Received: received,
	}
	return parsed, priority, attachBody(writer, request, route, parsed)
}

// pathAtBackEnd is "/<route><rest>?<query>", the rest as the caller wrote it.
func pathAtBackEnd(request *http.Request, route *config.Route, rest string) string {
	path := "/" + route.Name
	if rest != "" {
		// The escaped form keeps encoded slashes as they are.
		escaped := request.URL.EscapedPath()
		parts := strings.SplitN(escaped, "/", 7)
		path += "/" + parts[len(parts)-1]
	}
	if request.URL.RawQuery != "" {
		path += "?" + request.URL.RawQuery
	}
	return path
}

func parseDeadline(header http.Header, longest time.Duration) (time.Time, error) {
	text := header.Get(dispatch.HeaderDeadline)
	if text == "" {
		return time.Now().Add(longest), nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds <= 0 {
		return time.Time{}, result.New(result.MalformedRequest, "%q is no positive number of milliseconds", text).
			WithField(dispatch.HeaderDeadline)
	}
	if milliseconds > longest.Milliseconds() {
		return time.Now().Add(longest), nil
	}
	return time.Now().Add(time.Duration(milliseconds) * time.Millisecond), nil
}

func parsePriority(header http.Header, configured string) (admission.Priority, error) {
	text := header.Get(HeaderPriority)
	if text == "" {
		text = configured
	}
	priority, ok := admission.ParsePriority(text)
	if !ok {
		return 0, result.New(result.MalformedRequest, "%q is none of critical, high, normal, low", text).WithField(HeaderPriority)
	}
	return priority, nil
}

// parseAtMostOnce lets a caller mark a request; it cannot unmark a route.
func parseAtMostOnce(header http.Header, configured bool) (bool, error) {
	text := header.Get(HeaderAtMostOnce)
	if text == "" {
		return configured, nil
	}
	marked, err := strconv.ParseBool(text)
	if err != nil {
		return false, result.New(result.MalformedRequest, "%q is neither true nor false", text).WithField(HeaderAtMostOnce)
	}
	return marked || configured, nil
}

// attachBody keeps a small body for further attempts and streams a large one.
func attachBody(writer http.ResponseWriter, request *http.Request, route *config.Route, parsed *dispatch.Request) error {
	if request.ContentLength > route.MaxBodyBytes {
		return result.New(result.BodyTooLarge, "%d bytes, the route allows %d", request.ContentLength, route.MaxBodyBytes).WithField("body")
	}
	if request.ContentLength == 0 {
		return nil
	}
	controller := http.NewResponseController(writer)
	_ = controller.SetReadDeadline(parsed.Deadline)
	body := http.MaxBytesReader(writer, request.Body, route.MaxBodyBytes)
	if request.ContentLength < 0 || request.ContentLength > replayableBodyBytes {
		parsed.Body = body
		return nil
	}
	buffered := make([]byte, request.ContentLength)
	if _, err := io.ReadFull(body, buffered); err != nil {
		return bodyError(err, route.MaxBodyBytes)
	}
	_ = controller.SetReadDeadline(time.Time{})
	parsed.Buffered = buffered
	return nil
}

// bodyError classifies a failure to read or decode a request's body.
func bodyError(err error, limit int64) *result.Error {
	var tooLarge *http.MaxBytesError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &tooLarge):
		return result.New(result.BodyTooLarge, "more than %d bytes", limit).WithField("body")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return result.New(result.SlowBody, "the body did not arrive in time").WithField("body")
	case errors.As(err, &wrongType):
		return result.New(result.MalformedRequest, "expected %s, found %s", wrongType.Type, wrongType.Value).WithField(wrongType.Field)
	case strings.HasPrefix(err.Error(), "json: unknown field "):
		name := strings.Trim(strings.TrimPrefix(err.Error(), "json: unknown field "), `"`)
		return result.New(result.MalformedRequest, "unknown field").WithField(name)
	default:
		return result.Wrap(result.MalformedRequest, err, "read body").WithField("body")
	}
}

// passOn writes a back end's answer to the caller. If the answer turns out to
// be truncated after its first byte was passed on, the connection is cut, so
// that the caller cannot take it for whole.
func (g *Gateway) passOn(writer http.ResponseWriter, answer *dispatch.Answer) result.Code {
	defer answer.Body.Close()
	header := writer.Header()
	dispatch.CopyHeader(header, answer.Header)
	header.Del(dispatch.HeaderRequestID)
	header.Del(dispatch.HeaderLeaving)
	header.Set(dispatch.HeaderRun, string(result.Done))
	header.Set(HeaderNode, g.services.NodeID)
	header.Set(HeaderAttempts, strconv.Itoa(answer.Attempts))
	if answer.Replayed {
		header.Set(HeaderReplayed, "true")
	}
	if answer.Length >= 0 && answer.Header.Get("Content-Length") == "" && answer.Buffered != nil {
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	writer.WriteHeader(answer.Status)
	if answer.Buffered != nil {
		_, _ = writer.Write(answer.Buffered)
		// The answer goes out before the books are kept.
		_ = http.NewResponseController(writer).Flush()
		return 0
	}
	if err := copyFlushing(writer, answer.Body, answer.Length < 0); err != nil {
		g.services.Recorder.Record("", "", result.AnswerTruncated, 0)
		panic(http.ErrAbortHandler)
	}
	return 0
}

// copyFlushing copies a body; a stream of unknown length is flushed after each
// read so that it reaches the caller as it is produced.
func copyFlushing(writer http.ResponseWriter, body io.Reader, flush bool) error {
	controller := http.NewResponseController(writer)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, readErr := body.Read(buffer)
		if n > 0 {
			if _, err := writer.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if flush && n > 0 {
			if err := controller.Flush(); err != nil {
				return err
			}
		}
		if readErr == io.EOF {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}
