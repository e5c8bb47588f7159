package network

import (
	"context"
	"net"
	"net/http"
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

// NewTransport returns an HTTP transport that connects through dialer, keeps up to
// maxIdlePerHost idle connections per host and does not decompress bodies.
func NewTransport(dialer Network, maxIdlePerHost int) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, connectTimeout)
			defer cancel()
			return dialer.Dial(ctx, withoutIncarnation(address))
		},
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}
