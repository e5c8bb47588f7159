package network

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// idleTimeout is how long an unused HTTP connection is kept.
	idleTimeout = 60 * time.Second
	// connectTimeout bounds one attempt to connect.
	connectTimeout = time.Second
)

// NewTransport returns an HTTP transport over a network that keeps up to
// idlePerHost unused connections to each host and leaves bodies as they are.
func NewTransport(over Network, idlePerHost int) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, connectTimeout)
			defer cancel()
			return over.Dial(ctx, address)
		},
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}
