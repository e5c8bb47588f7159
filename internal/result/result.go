// Package result defines the numbered result codes of refused and failed requests,
// and the error type that carries them.
//
// Each code states whether the request was run, and callers decide by it whether to
// retry: after NotRun a retry is always safe, after Unknown only an idempotent request
// may be retried. A test compares the definitions with the table in
// docs/RESULT_CODES.md.
package result

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Execution states whether a back end executed a request.
type Execution string

// States of execution. NotRun is reported only if it is certain; in doubt the state is
// Unknown.
const (
	// Done means that the request was executed.
	Done Execution = "done"
	// NotRun means that no back end executed the request.
	NotRun Execution = "not_run"
	// Unknown means that a back end may have executed the request.
	Unknown Execution = "unknown"
)

// Code is the number of a result. The thousands digit groups codes by cause.
type Code int

// Result codes. Numbers are part of the public interface and never reused.
const (
	MalformedRequest Code = 1001
	UnknownTenant    Code = 1002
	UnknownRoute     Code = 1003
	UnknownModel     Code = 1004
	BodyTooLarge     Code = 1005
	UnknownPath      Code = 1006
	SlowBody         Code = 1007
	Unauthenticated  Code = 1008

	Draining         Code = 2001
	NotReady         Code = 2002
	RateLimited      Code = 2003
	QueueFull        Code = 2004
	DeadlineInQueue  Code = 2005
	NoBackEnd        Code = 2006
	BackEndRefused   Code = 2007
	BackEndUnreached Code = 2008
	KeyUnavailable   Code = 2009
	ZoneEvacuated    Code = 2010
	// RegionUnavailable differs from NoBackEnd in that back ends in other regions cannot
	// serve the request.
	RegionUnavailable Code = 2011
	SamplersCold      Code = 2012
	// RequestQuarantined is caused by the request itself; other requests are served.
	RequestQuarantined Code = 2013

	AnswerLost       Code = 3001
	AnswerMismatch   Code = 3002
	AnswerTruncated  Code = 3003
	DeadlineExceeded Code = 3004
	KeyOutcomeLost   Code = 3005
	CallerGone       Code = 3006
	AnswerTooLarge   Code = 3007
	NodeStopped      Code = 3008

	JobUnknown       Code = 4001
	JobConflict      Code = 4002
	JobOwnerLost     Code = 4003
	VersionWentBack  Code = 4004
	GenerationFailed Code = 4005
	ItemUnknown      Code = 4006

	ConfigInvalid   Code = 5001
	ConfigConflict  Code = 5002
	LogUnavailable  Code = 5003
	LogUnknown      Code = 5004
	RecordMalformed Code = 5005
	LeaseConflict   Code = 5006
	LogTruncated    Code = 5007
	// PlatformUnreached and PlatformRefused concern calls that a node makes to the
	// platform's API as one of its duties.
	PlatformUnreached Code = 5008
	PlatformRefused   Code = 5009

	FrameTooLarge       Code = 6001
	FrameMalformed      Code = 6002
	PeerUnreached       Code = 6003
	PeerLost            Code = 6004
	ProtocolUnsupported Code = 6005
	Internal            Code = 9001
)

// Definition describes a result code.
type Definition struct {
	Code Code
	// Name is the stable lower-case identifier of the code.
	Name string
	// HTTPStatus is the status of HTTP responses that carry the code.
	HTTPStatus int
	// Execution states what the code guarantees about execution.
	Execution Execution
	// Meaning states what happened; Fix states what the caller should do.
	Meaning string
	Fix     string
}

// Error is an error with a result code.
type Error struct {
	Code Code
	// Field is the path of the invalid input field, empty if none.
	Field string
	// Detail describes the specific failure.
	Detail string
	// RetryAfter is the retry delay. Zero means that a retry makes sense at once or
	// not at all, as the Fix of the code says.
	RetryAfter time.Duration
	cause      error
}

// New returns an Error with the code and a formatted detail.
func New(code Code, format string, arguments ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, arguments...)}
}

// Wrap returns an Error with the code that wraps cause. Its detail is the context
// followed by the message of the cause.
func Wrap(code Code, cause error, context string) *Error {
	return &Error{Code: code, Detail: context + ": " + cause.Error(), cause: cause}
}

// WithField sets the invalid input field and returns e.
func (e *Error) WithField(field string) *Error {
	e.Field = field
	return e
}

// WithRetryAfter sets the retry delay and returns e.
func (e *Error) WithRetryAfter(delay time.Duration) *Error {
	e.RetryAfter = delay
	return e
}

// Error implements error.
func (e *Error) Error() string {
	definition := Lookup(e.Code)
	text := fmt.Sprintf("%d %s: %s", e.Code, definition.Name, e.Detail)
	if e.Field != "" {
		text += " (field " + e.Field + ")"
	}
	return text
}

// Unwrap returns the wrapped error, nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// Execution states whether the request was executed, according to the code.
func (e *Error) Execution() Execution { return Lookup(e.Code).Execution }

// From returns the first Error in the chain of err, or wraps err as Internal if there
// is none.
func From(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return Wrap(Internal, err, "unexpected error")
}

// Is reports whether the first Error in the chain of err has the code.
func Is(err error, code Code) bool {
	var typed *Error
	return errors.As(err, &typed) && typed.Code == code
}

// Lookup returns the definition of a code. An undefined code gets the definition of
// Internal, which guarantees nothing about execution.
func Lookup(code Code) Definition {
	if definition, ok := byCode[code]; ok {
		return definition
	}
	return byCode[Internal]
}

// Definitions returns the definitions of all codes in ascending order.
func Definitions() []Definition { return definitions }

var byCode = indexByCode()

func indexByCode() map[Code]Definition {
	index := make(map[Code]Definition, len(definitions))
	for _, definition := range definitions {
		index[definition.Code] = definition
	}
	return index
}
