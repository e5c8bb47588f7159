package network

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

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

// Guards against writes that fail on a kept connection: an answer to HEAD has neither a body nor,
// often, a length, and does not end with its connection.
func TestConnectionIsKeptAfterAnAnswerToHEAD(t *testing.T) {
	listener, err := TCP{}.Listen("127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	const requests = 3
	served := make(chan int, 1)
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer connection.Close()
		reader, count := bufio.NewReader(connection), 0
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				break
			}
			count++
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\n")
		}
		served <- count
	}()
	transport := NewTransport(TCP{}, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for range requests {
		request, err := http.NewRequestWithContext(ctx, http.MethodHead, "http://"+listener.Addr().String()+"/", nil)
		require.NoError(t, err)
		response, err := transport.RoundTrip(request)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	transport.CloseIdleConnections()
	require.Equal(t, requests, <-served)
}
