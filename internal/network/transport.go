package network

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"
)

const (
	// idleTimeout is how long an unused HTTP connection is kept.
	idleTimeout = 60 * time.Second
	// connectTimeout limits one attempt to connect.
	connectTimeout = time.Second
)

// incarnationSeparator separates the host from the start time of an incarnation. Host
// names are assumed not to contain it; IP addresses never do.
const incarnationSeparator = "--"

// IncarnationAddress returns an address, for use in URLs of a transport, that identifies one
// incarnation of the process that listens there. Transports keep connections by address;
// the start time in the address prevents a connection to an earlier incarnation, which
// may have ended behind a partition, from being used for a newer one. startedAtMs is the
// start time in Unix milliseconds; if it is 0 (unknown), the address is returned
// unchanged.
func IncarnationAddress(address string, startedAtMs int64) string {
	host, port, err := net.SplitHostPort(address)
	if startedAtMs == 0 || err != nil {
		return address
	}
	return net.JoinHostPort(host+incarnationSeparator+strconv.FormatInt(startedAtMs, 10), port)
}

// withoutIncarnation returns the address without the start time.
func withoutIncarnation(address string) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	host, _, _ = strings.Cut(host, incarnationSeparator)
	return net.JoinHostPort(host, port)
}

// maxResponseHeaderBytes limits the heads of a response, including those of interim responses.
const maxResponseHeaderBytes = 64 << 10

// Transport is an HTTP transport that returns a response only if HTTP allows it, and whose
// bodies end without an error only if they are complete. It is safe for concurrent use.
type Transport struct {
	*http.Transport
}

// NewTransport returns an HTTP transport that connects through dialer, keeps up to
// maxIdlePerHost idle connections per host and does not decompress bodies.
func NewTransport(dialer Network, maxIdlePerHost int) *Transport {
	return &Transport{&http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, connectTimeout)
			defer cancel()
			connection, err := dialer.Dial(ctx, withoutIncarnation(address))
			if err != nil {
				return nil, err
			}
			return &requestConn{Conn: connection}, nil
		},
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}

// RoundTrip implements http.RoundTripper. An error of the response is marked with
// ErrMalformedResponse or ErrIncompleteResponse.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	current := &exchange{bodyLength: outgoingLength(request)}
	ctx := httptrace.WithClientTrace(request.Context(), current.trace())
	response, err := t.Transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		// The close of an unread body closes the connection. Without a body it may be in use again.
		_ = response.Body.Close()
		return nil, err
	}
	current.verifyBody(response)
	return response, nil
}

// outgoingLength returns the length of a request's body in bytes, or unknownLength.
func outgoingLength(request *http.Request) int64 {
	switch {
	case request.Body == nil || request.Body == http.NoBody:
		return 0
	case request.ContentLength > 0:
		return request.ContentLength
	default:
		return unknownLength
	}
}
