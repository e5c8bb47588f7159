package network

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// A connection that is kept to a former incarnation is not used for the newer, which listens
// at the same address.
func TestKeptConnectionsAreOfOneIncarnation(t *testing.T) {
	listener, err := TCP{}.Listen("127.0.0.1:0")
	require.NoError(t, err)
	var seen []string
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		seen = append(seen, request.RemoteAddr)
	})}
	done := make(chan struct{})
	go func() {
		defer close(done)
		// Serve ends with Close.
		_ = server.Serve(listener)
	}()
	transport := NewTransport(TCP{}, 4)
	ask := func(born int64) {
		request, err := http.NewRequest(http.MethodGet, "http://"+OfStart(listener.Addr().String(), born)+"/", nil)
		require.NoError(t, err)
		response, err := transport.RoundTrip(request)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	ask(10)
	ask(10)
	ask(20)
	ask(0)
	require.Equal(t, seen[0], seen[1], "kept within an incarnation")
	require.NotEqual(t, seen[1], seen[2])
	require.NotEqual(t, seen[2], seen[3])
	transport.CloseIdleConnections()
	require.NoError(t, server.Close())
	<-done
}

func TestAddressOfAStartIsReadBack(t *testing.T) {
	for _, address := range []string{"10.0.0.1:80", "s0:90", "[::1]:80"} {
		require.Equal(t, address, withoutStart(OfStart(address, 1764700000123)))
		require.Equal(t, address, OfStart(address, 0))
	}
	require.Equal(t, "no address", OfStart("no address", 3))
	require.Equal(t, "no address", withoutStart("no address"))
	_, _, err := net.SplitHostPort(OfStart("10.0.0.1:80", 3))
	require.NoError(t, err)
}
