package network

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against reusing an idle connection to an earlier incarnation for a newer one that
// listens on the same address.
func TestIdleConnectionsAreNotSharedBetweenIncarnations(t *testing.T) {
	listener, err := TCP{}.Listen("127.0.0.1:0")
	require.NoError(t, err)
	var remoteAddresses []string
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		remoteAddresses = append(remoteAddresses, request.RemoteAddr)
	})}
	done := make(chan struct{})
	go func() {
		defer close(done)
		// Serve always returns an error after Close.
		_ = server.Serve(listener)
	}()
	transport := NewTransport(TCP{}, 4)
	send := func(startedAtMs int64) {
		request, err := http.NewRequest(http.MethodGet, "http://"+IncarnationAddress(listener.Addr().String(), startedAtMs)+"/", nil)
		require.NoError(t, err)
		response, err := transport.RoundTrip(request)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	send(10)
	send(10)
	send(20)
	send(0)
	require.Equal(t, remoteAddresses[0], remoteAddresses[1], "the connection is reused within an incarnation")
	require.NotEqual(t, remoteAddresses[1], remoteAddresses[2])
	require.NotEqual(t, remoteAddresses[2], remoteAddresses[3])
	transport.CloseIdleConnections()
	require.NoError(t, server.Close())
	<-done
}

func TestIncarnationAddressRoundTrip(t *testing.T) {
	for _, address := range []string{"10.0.0.1:80", "s0:90", "[::1]:80"} {
		require.Equal(t, address, withoutIncarnation(IncarnationAddress(address, 1764700000123)))
		require.Equal(t, address, IncarnationAddress(address, 0))
	}
	require.Equal(t, "no address", IncarnationAddress("no address", 3))
	require.Equal(t, "no address", withoutIncarnation("no address"))
	_, _, err := net.SplitHostPort(IncarnationAddress("10.0.0.1:80", 3))
	require.NoError(t, err)
}
