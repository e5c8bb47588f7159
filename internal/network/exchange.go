package network

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/cockroachdb/errors"
)

// exchange is one request of a Transport and its response.
type exchange struct {
	// bodyLength is the length of the request's body in bytes, or unknownLength.
	bodyLength int64
	// connection is the connection in use; nil before there is one.
	connection *requestConn
	// interimBytes is the approximate size of the interim responses.
	interimBytes int
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
		Got1xxResponse: e.checkInterim,
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

// Sizes of an interim response without its fields, and of a field without its name and value.
const (
	interimLineBytes  = len("HTTP/1.1 103 \r\n\r\n")
	interimFieldBytes = len(": \r\n")
)

// checkInterim returns an error if HTTP does not allow an interim response, or if all of
// them together exceed maxResponseHeaderBytes. net/http imposes no limit if this hook is set.
func (e *exchange) checkInterim(_ int, header textproto.MIMEHeader) error {
	e.interimBytes += interimLineBytes
	for name, values := range header {
		for _, value := range values {
			e.interimBytes += interimFieldBytes + len(name) + len(value)
		}
	}
	if e.interimBytes > maxResponseHeaderBytes {
		return errors.Wrapf(ErrMalformedResponse, "interim responses of over %d bytes", maxResponseHeaderBytes)
	}
	return checkFieldNames(header)
}

// verifyBody makes the body of a response end with an error if it turns out to be incomplete
// or malformed.
func (e *exchange) verifyBody(response *http.Response) {
	switch {
	case response.Body == http.NoBody:
		// An answer to HEAD states the length of another body, or none, and its connection may
		// be in use again.
	case len(response.TransferEncoding) > 0:
		response.Body = &verifiedBody{ReadCloser: response.Body, verify: func() error {
			return checkFieldNames(textproto.MIMEHeader(response.Trailer))
		}}
	case response.ContentLength < 0 && e.connection != nil:
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
