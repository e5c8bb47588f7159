// Package result defines the numbered result codes that every refusal and
// failure of pathbend carries, and the typed error that transports them.
//
// Each code states whether the request was run. Callers rely on that: NotRun
// means that repeating the request is always safe, Unknown means that only a
// repeatable request may be sent again. docs/RESULT_CODES.md lists the codes;
// a test holds that table and this package together.
package result

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Run tells whether a request was executed by a back end.
type Run string

// The three outcomes of a request. They are never blurred.
const (
	Done    Run = "done"
	NotRun  Run = "not_run"
	Unknown Run = "unknown"
)

// Code is a numbered result. The thousands digit groups codes by cause.
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
	// RegionUnavailable is told apart from NoBackEnd, which other regions could mend.
	RegionUnavailable Code = 2011
	SamplersCold      Code = 2012
	// RequestQuarantined is the request's own fault, other requests are served.
	RequestQuarantined Code = 2013

	AnswerLost       Code = 3001
	AnswerMismatch   Code = 3002
	AnswerTruncated  Code = 3003
	DeadlineExceeded Code = 3004
	KeyOutcomeLost   Code = 3005
	CallerGone       Code = 3006
	AnswerTooLarge   Code = 3007

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
	// PlatformUnreached and PlatformRefused are of calls that are a duty.
	PlatformUnreached Code = 5008
	PlatformRefused   Code = 5009

	FrameTooLarge       Code = 6001
	FrameMalformed      Code = 6002
	PeerUnreached       Code = 6003
	PeerLost            Code = 6004
	ProtocolUnsupported Code = 6005
	Internal            Code = 9001
)

// Definition describes one code.
type Definition struct {
	Code Code
	// Name is the stable lower-case identifier of the code.
	Name string
	// HTTPStatus is the status of an HTTP answer that carries the code.
	HTTPStatus int
	// Run tells what the code promises about execution.
	Run Run
	// Meaning says what happened, Fix what the caller should do.
	Meaning string
	Fix     string
}

// Error is a result code with its circumstances.
type Error struct {
	Code Code
	// Field names the offending input field, empty if none.
	Field string
	// Detail adds specifics to the meaning of the code.
	Detail string
	// RetryAfter is when a repeat is worth trying; 0 means at once or never,
	// as the code's Fix says.
	RetryAfter time.Duration
	cause      error
}

// New returns an error with the code and a formatted detail.
func New(code Code, format string, arguments ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, arguments...)}
}

// Wrap returns an error with the code whose detail is the cause.
func Wrap(code Code, cause error, context string) *Error {
	return &Error{Code: code, Detail: context + ": " + cause.Error(), cause: cause}
}

// WithField names the offending field.
func (e *Error) WithField(field string) *Error {
	e.Field = field
	return e
}

// WithRetryAfter sets the retry hint.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Run tells whether the request was executed.
func (e *Error) Run() Run { return Lookup(e.Code).Run }

// From finds the result error in a chain, or wraps err as Internal.
func From(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return Wrap(Internal, err, "unexpected error")
}

// Is reports whether err carries the code.
func Is(err error, code Code) bool {
	var typed *Error
	return errors.As(err, &typed) && typed.Code == code
}

// Lookup returns the definition of a code. An unlisted code is defined as
// Internal, which promises nothing about execution.
func Lookup(code Code) Definition {
	if definition, ok := byCode[code]; ok {
		return definition
	}
	return byCode[Internal]
}

// Definitions lists every code in ascending order.
func Definitions() []Definition { return definitions }

var byCode = indexByCode()

func indexByCode() map[Code]Definition {
	index := make(map[Code]Definition, len(definitions))
	for _, definition := range definitions {
		index[definition.Code] = definition
	}
	return index
}
