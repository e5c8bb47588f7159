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
	// replayableBodyBytes is the largest body that is buffered for further
	// attempts. A larger one is streamed and sent once.
	replayableBodyBytes = 1 << 20
	// copyBufferBytes is the size of the buffer through which streamed answers are
	// forwarded.
	copyBufferBytes = 32 << 10
	// maxIdempotencyKeyBytes limits the length of an idempotency key.
	maxIdempotencyKeyBytes = 200
)

// handleApplication forwards an application request to a back end.
func (g *Gateway) handleApplication(writer http.ResponseWriter, request *http.Request, parameters httprouter.Params) {
	startedAt := time.Now()
	tenantName, routeName := parameters.ByName("tenant"), parameters.ByName("route")
	code, routeKnown, err := g.serveApplication(writer, request, parameters)
	if err != nil {
		code = result.From(err).Code
		g.writeError(writer, err)
	}
	if !routeKnown {
		tenantName, routeName = "", "" // unknown names would make the set of label values unbounded
	}
	g.services.Recorder.Record(tenantName, routeName, code, time.Since(startedAt))
}

// serveApplication returns the result code of an answer that it has written, or an
// error that the caller must write. routeKnown reports whether the route exists.
func (g *Gateway) serveApplication(writer http.ResponseWriter, request *http.Request, parameters httprouter.Params) (code result.Code, routeKnown bool, err error) {
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
	release, err := g.services.Admission.Acquire(ctx, tenant.Name, priority, parsed.Deadline)
	if err != nil {
		return 0, true, err
	}
	defer release()
	answer, err := g.dispatcherFor(parsed).Do(ctx, parsed)
	if err != nil {
		return 0, true, err
	}
	return g.writeAnswer(writer, answer), true, nil
}

func (g *Gateway) dispatcherFor(request *dispatch.Request) Dispatcher {
	if request.AtMostOnce && request.IdempotencyKey != "" {
		return g.services.IdempotentDispatcher
	}
	return g.services.Dispatcher
}

func parseApplication(writer http.ResponseWriter, request *http.Request, tenant *config.Tenant, route *config.Route, rest string) (*dispatch.Request, admission.Priority, error) {
	received := clock.CurrentMoment()
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
	if len(key) > maxIdempotencyKeyBytes || strings.ContainsAny(key, "\r\n") {
		return nil, 0, result.New(result.MalformedRequest, "must have at most %d bytes", maxIdempotencyKeyBytes).WithField(dispatch.HeaderIdempotencyKey)
	}
	parsed := &dispatch.Request{
		Tenant: tenant.Name, Pool: route.Pool, Method: request.Method, Path: backEndPath(request, route, rest),
		Header: request.Header, Length: request.ContentLength, IdempotencyKey: key,
		AtMostOnce: atMostOnce, MaxAttempts: route.MaxAttempts, Deadline: deadline, Received: received,
	}
	return parsed, priority, attachBody(writer, request, route, parsed)
}

// backEndPath returns "/<route><rest>?<query>" with the rest escaped as the caller sent it.
func backEndPath(request *http.Request, route *config.Route, rest string) string {
	path := "/" + route.Name
	if rest != "" {
		// The escaped path preserves encoded slashes.
		escaped := request.URL.EscapedPath()
		parts := strings.SplitN(escaped, "/", 7)
		path += "/" + parts[len(parts)-1]
	}
	if request.URL.RawQuery != "" {
		path += "?" + request.URL.RawQuery
	}
	return path
}

// parseDeadline returns the deadline of a request. The caller may state a shorter one than
// the route's in milliseconds from now.
func parseDeadline(header http.Header, routeDeadline time.Duration) (time.Time, error) {
	text := header.Get(dispatch.HeaderDeadline)
	if text == "" {
		return time.Now().Add(routeDeadline), nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds <= 0 {
		return time.Time{}, result.New(result.MalformedRequest, "%q is not a positive number of milliseconds", text).
			WithField(dispatch.HeaderDeadline)
	}
	if milliseconds > routeDeadline.Milliseconds() {
		return time.Now().Add(routeDeadline), nil
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
		return 0, result.New(result.MalformedRequest, "%q is not one of critical, high, normal, low", text).WithField(HeaderPriority)
	}
	return priority, nil
}

// parseAtMostOnce returns whether a request runs at most once. A caller can request
// this but cannot revoke it for a route that is configured so.
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

// attachBody buffers a small body for further attempts and streams a large one or one
// of unknown length.
func attachBody(writer http.ResponseWriter, request *http.Request, route *config.Route, parsed *dispatch.Request) error {
	if request.ContentLength > route.MaxBodyBytes {
		return result.New(result.BodyTooLarge, "body has %d bytes, the route allows %d", request.ContentLength, route.MaxBodyBytes).WithField("body")
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

// bodyError returns the result for a failure to read or decode a request's body.
func bodyError(err error, limit int64) *result.Error {
	var tooLarge *http.MaxBytesError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &tooLarge):
		return result.New(result.BodyTooLarge, "body exceeds %d bytes", limit).WithField("body")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return result.New(result.SlowBody, "body was not received within the time limit").WithField("body")
	case errors.As(err, &wrongType):
		return result.New(result.MalformedRequest, "expected %s, found %s", wrongType.Type, wrongType.Value).WithField(wrongType.Field)
	case strings.HasPrefix(err.Error(), "json: unknown field "):
		name := strings.Trim(strings.TrimPrefix(err.Error(), "json: unknown field "), `"`)
		return result.New(result.MalformedRequest, "unknown field").WithField(name)
	default:
		return result.Wrap(result.MalformedRequest, err, "read body").WithField("body")
	}
}

// writeAnswer forwards a back end's answer to the caller. If the answer turns out to be
// truncated after its first byte was forwarded, the connection is aborted, so that the
// caller cannot mistake it for a complete answer.
func (g *Gateway) writeAnswer(writer http.ResponseWriter, answer *dispatch.Answer) result.Code {
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
		// Sends the answer before metrics and records are updated.
		_ = http.NewResponseController(writer).Flush()
		return 0
	}
	if err := copyFlushing(writer, answer.Body, answer.Length < 0); err != nil {
		g.services.Recorder.Record("", "", result.AnswerTruncated, 0)
		panic(http.ErrAbortHandler)
	}
	return 0
}

// copyFlushing copies a body. With flush set, as for a stream of unknown length, it
// flushes after each read so that data reaches the caller as it is produced.
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
