package dispatch

import (
	"net/http"
	"strconv"

	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/routing"
)

// Protocol is what is spoken with back ends: it writes an attempt's headers and
// reads from an answer's head what the back end says of the request. It decides
// nothing about further attempts.
type Protocol interface {
	// Header returns the headers of one attempt.
	Header(request *Request, endpoint *routing.Endpoint, requestID string) http.Header
	// Verdict reads the head of an answer to the attempt.
	Verdict(request *Request, endpoint *routing.Endpoint, requestID string, response *http.Response) Verdict
}

// Verdict is what the head of an answer says.
type Verdict struct {
	// Ending is Answered, FailedByBackEnd, RefusedByBackEnd or Lost.
	Ending Ending
	// Leaving is set if the back end takes no new work.
	Leaving bool
	// Err is the caller's error unless Ending is Answered or FailedByBackEnd.
	Err error
}

// OwnProtocol is the product's own protocol, docs/BACKENDS.md.
type OwnProtocol struct{}

// Header implements Protocol.
func (OwnProtocol) Header(request *Request, _ *routing.Endpoint, requestID string) http.Header {
	const added = 4
	header := make(http.Header, len(request.Header)+added)
	for name, values := range request.Header {
		if !isHopHeader(name) && !isOwnHeader(name) {
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
func (OwnProtocol) Verdict(_ *Request, _ *routing.Endpoint, requestID string, response *http.Response) Verdict {
	verdict := Verdict{Ending: Answered, Leaving: response.Header.Get(HeaderLeaving) == "true"}
	echoed := response.Header.Get(HeaderRequestID)
	switch {
	case echoed != requestID:
		verdict.Ending = Lost
		verdict.Err = result.New(result.AnswerMismatch, "answer echoes request id %q, not %q", echoed, requestID)
	case response.Header.Get(HeaderRun) == string(result.NotRun):
		verdict.Ending = RefusedByBackEnd
		verdict.Err = result.New(result.BackEndRefused, "back end answered %d and did not run the request", response.StatusCode).
			WithRetryAfter(retryAfterOf(response.Header))
	}
	return verdict
}
