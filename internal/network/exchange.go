package network

import (
	"net/http"
	"net/http/httptrace"

	"github.com/cockroachdb/errors"
)

// exchange is one request of a Transport and its response.
type exchange struct {
	// bodyLength is the length of the request's body in bytes, or unknownLength.
	bodyLength int64
	// connection is the connection in use; nil before there is one.
	connection *requestConn
}

// trace returns the hooks through which the exchange follows its request.
func (e *exchange) trace() *httptrace.ClientTrace {
	hooks := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			e.connection, _ = info.Conn.(*requestConn)
			if e.connection != nil {
				e.connection.begin(e.bodyLength)
			}
		},
	}
	if e.bodyLength == unknownLength {
		hooks.WroteRequest = func(info httptrace.WroteRequestInfo) {
			if info.Err == nil && e.connection != nil {
				e.connection.bodyBuffered()
			}
		}
	}
	return hooks
}

// verifyBody makes the body of a response end with an error if it turns out to be incomplete.
func (e *exchange) verifyBody(response *http.Response) {
	endsWithConnection := response.ContentLength < 0 && len(response.TransferEncoding) == 0
	if endsWithConnection && e.connection != nil {
		response.Body = &verifiedBody{ReadCloser: response.Body, verify: e.verifyEnd}
	}
}

// verifyEnd returns an error unless the connection accepted the whole request before it ended
// the response. The system reports a reset to one call only: if that was a write of the
// request, the read of the response returned io.EOF as if the peer had closed the connection
// in order.
func (e *exchange) verifyEnd() error {
	if e.connection.endRequest() {
		return nil
	}
	return errors.Wrap(ErrIncompleteResponse, "the connection ended before the request was sent")
}
