package dispatch

import (
	"net/http"
	"strconv"

	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/routing"
)

// Protocol is the application protocol between pathbend and back ends. It writes the headers
// of an attempt and interprets the status and headers of its answer. It does not decide about
// further attempts.
type Protocol interface {
	// Header returns the headers of one attempt.
	Header(request *Request, endpoint *routing.Endpoint, requestID string) http.Header
	// Verdict interprets the status and headers of the answer to an attempt.
	Verdict(request *Request, endpoint *routing.Endpoint, requestID string, response *http.Response) Verdict
}

// Verdict is the interpretation of an answer's status and headers.
type Verdict struct {
	// Ending is Answered, FailedByBackEnd, RefusedByBackEnd or Lost.
	Ending Ending
	// Leaving is set if the back end announced that it accepts no new work.
	Leaving bool
	// Err is the caller's error. It is nil if Ending is Answered or FailedByBackEnd.
	Err error
}

// NativeProtocol is pathbend's native protocol, see docs/BACKENDS.md.
type NativeProtocol struct{}

// Header implements Protocol.
func (NativeProtocol) Header(request *Request, _ *routing.Endpoint, requestID string) http.Header {
	const addedHeaders = 4
	header := make(http.Header, len(request.Header)+addedHeaders)
	for name, values := range request.Header {
		if !isHopByHopHeader(name) && !isPathbendHeader(name) {
			header[name] = values
		}
	}
	remaining := request.Remaining().Milliseconds()
	header[HeaderRequestID] = []string{requestID}
	header[HeaderTenant] = []string{request.Tenant}
	header[HeaderDeadline] = []string{strconv.FormatInt(remaining, 10)}
	if request.IdempotencyKey != "" {
		header[HeaderIdempotencyKey] = []string{request.IdempotencyKey}
	}
	return header
}

// Verdict implements Protocol.
func (NativeProtocol) Verdict(_ *Request, _ *routing.Endpoint, requestID string, response *http.Response) Verdict {
	verdict := Verdict{Ending: Answered, Leaving: response.Header.Get(HeaderLeaving) == "true"}
	echoed := response.Header.Get(HeaderRequestID)
	switch {
	case echoed != requestID:
		verdict.Ending = Lost
		verdict.Err = result.New(result.AnswerMismatch, "answer echoes request id %q, not %q", echoed, requestID)
	case response.Header.Get(HeaderRun) == string(result.NotRun):
		verdict.Ending = RefusedByBackEnd
		verdict.Err = result.New(result.BackEndRefused, "back end answered %d and did not run the request", response.StatusCode).
			WithRetryAfter(parseRetryAfter(response.Header))
	}
	return verdict
}
