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

// Headers of the public interface in addition to those of package dispatch.
const (
	HeaderResultCode = "Pathbend-Result-Code"
	HeaderNode       = "Pathbend-Node"
	HeaderAttempts   = "Pathbend-Attempts"
	HeaderReplayed   = "Pathbend-Replayed"
	HeaderPriority   = dispatch.HeaderPriority
	HeaderAtMostOnce = dispatch.HeaderAtMostOnce
)

// ErrorBody is the JSON body of an error.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes why a request was rejected or failed.
type ErrorDetail struct {
	Code   int              `json:"code"`
	Name   string           `json:"name"`
	Run    result.Execution `json:"run"`
	Detail string           `json:"detail"`
	Field  string           `json:"field,omitempty"`
	Fix    string           `json:"fix"`
	// RetryAfterMS is the time to wait before a retry, in milliseconds; 0 if none is
	// given.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// discardTimeout limits the time spent reading the rest of a rejected request's body.
const discardTimeout = 200 * time.Millisecond

// writeError answers with an error. It waits for the rest of the request body for at most
// discardTimeout.
func (g *Gateway) writeError(writer http.ResponseWriter, err error) {
	typed := result.From(err)
	definition := result.Lookup(typed.Code)
	// net/http reads the rest of the body before it sends the answer; a caller that
	// stops sending must not delay it.
	_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(discardTimeout))
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderResultCode, strconv.Itoa(int(typed.Code)))
	header.Set(HeaderNode, g.services.NodeID)
	header.Set(dispatch.HeaderRun, string(definition.Execution))
	if typed.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(typed.RetryAfter.Seconds()))))
	}
	writer.WriteHeader(definition.HTTPStatus)
	// A write error means that the caller closed the connection.
	_ = json.NewEncoder(writer).Encode(ErrorBody{Error: ErrorDetail{
		Code: int(typed.Code), Name: definition.Name, Run: definition.Execution, Detail: typed.Detail,
		Field: typed.Field, Fix: definition.Fix, RetryAfterMS: typed.RetryAfter.Milliseconds(),
	}})
}

// writeJSON writes the JSON answer of a request that the node itself executed.
func (g *Gateway) writeJSON(writer http.ResponseWriter, value any) {
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderNode, g.services.NodeID)
	header.Set(dispatch.HeaderRun, string(result.Done))
	_ = json.NewEncoder(writer).Encode(value)
}

// decodeJSON decodes a JSON body of at most limit bytes that arrives within
// jsonBodyTimeout. It rejects unknown fields and more than one value.
func decodeJSON(writer http.ResponseWriter, request *http.Request, limit int64, target any) error {
	controller := http.NewResponseController(writer)
	// An error means that the connection does not support deadlines, as in tests.
	_ = controller.SetReadDeadline(time.Now().Add(jsonBodyTimeout))
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return bodyError(err, limit)
	}
	if decoder.More() {
		return result.New(result.MalformedRequest, "body contains more than one JSON value").WithField("body")
	}
	_ = controller.SetReadDeadline(time.Time{})
	return nil
}
