package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pathbend/pathbend/internal/dispatch"
	"github.com/pathbend/pathbend/internal/result"
)

// Headers of the public interface beside those of package dispatch.
const (
	HeaderResultCode = "Pathbend-Result-Code"
	HeaderNode       = "Pathbend-Node"
	HeaderAttempts   = "Pathbend-Attempts"
	HeaderReplayed   = "Pathbend-Replayed"
	HeaderPriority   = dispatch.HeaderPriority
	HeaderAtMostOnce = dispatch.HeaderAtMostOnce
)

// ErrorBody is the JSON body of a refusal or failure.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes a refusal or failure.
type ErrorDetail struct {
	Code   int        `json:"code"`
	Name   string     `json:"name"`
	Run    result.Run `json:"run"`
	Detail string     `json:"detail"`
	Field  string     `json:"field,omitempty"`
	Fix    string     `json:"fix"`
	// RetryAfterMS is the retry hint in milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// discardTimeout bounds the reading of a refused request's body.
const discardTimeout = 200 * time.Millisecond

// refuse answers with a numbered error at once.
func (g *Gateway) refuse(writer http.ResponseWriter, err error) {
	typed := result.From(err)
	definition := result.Lookup(typed.Code)
	// The server reads what is left of the body before it answers; a sender
	// that stopped half-way must not hold the answer back.
	_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(discardTimeout))
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderResultCode, strconv.Itoa(int(typed.Code)))
	header.Set(HeaderNode, g.services.NodeID)
	header.Set(dispatch.HeaderRun, string(definition.Run))
	if typed.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(typed.RetryAfter.Seconds()))))
	}
	writer.WriteHeader(definition.HTTPStatus)
	// A write error means that the caller is gone.
	_ = json.NewEncoder(writer).Encode(ErrorBody{Error: ErrorDetail{
		Code: int(typed.Code), Name: definition.Name, Run: definition.Run, Detail: typed.Detail,
		Field: typed.Field, Fix: definition.Fix, RetryAfterMS: typed.RetryAfter.Milliseconds(),
	}})
}

// answerJSON answers a request of the interface itself.
func (g *Gateway) answerJSON(writer http.ResponseWriter, value any) {
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderNode, g.services.NodeID)
	header.Set(dispatch.HeaderRun, string(result.Done))
	_ = json.NewEncoder(writer).Encode(value)
}

// decodeJSON reads a JSON body strictly and within limits.
func decodeJSON(writer http.ResponseWriter, request *http.Request, limit int64, target any) error {
	controller := http.NewResponseController(writer)
	// An error means that the connection has no deadlines, as in tests.
	_ = controller.SetReadDeadline(time.Now().Add(jsonBodyTimeout))
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return bodyError(err, limit)
	}
	if decoder.More() {
		return result.New(result.MalformedRequest, "more than one JSON value in the body").WithField("body")
	}
	_ = controller.SetReadDeadline(time.Time{})
	return nil
}
