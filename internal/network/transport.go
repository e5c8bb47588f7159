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
	// connectTimeout bounds one attempt to connect.
	connectTimeout = time.Second
)

// startMark sets the start of an incarnation apart from the host that it runs on. No name
// or number of a host holds it.
const startMark = "--"

// OfStart returns an address for a transport's URLs that stands for one incarnation of
// whoever listens there: transports keep connections by address, and one to a former
// incarnation, which may have ended behind a partition, is then never used for the newer.
// An incarnation that tells no start, 0, has the plain address.
func OfStart(address string, born int64) string {
	host, port, err := net.SplitHostPort(address)
	if born == 0 || err != nil {
		return address
	}
	return net.JoinHostPort(host+startMark+strconv.FormatInt(born, 10), port)
}

// withoutStart returns the plain address.
func withoutStart(address string) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	host, _, _ = strings.Cut(host, startMark)
	return net.JoinHostPort(host, port)
}

// NewTransport returns an HTTP transport over a network that keeps up to
// idlePerHost unused connections to each host and leaves bodies as they are.
func NewTransport(over Network, idlePerHost int) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, connectTimeout)
			defer cancel()
			return over.Dial(ctx, withoutStart(address))
		},
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}
