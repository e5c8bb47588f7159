package soak

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// startEchoServer starts a TCP server that sends back what it receives, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				_, _ = io.Copy(connection, connection)
			}()
		}
	}()
	return listener.Addr().String()
}

func dialThrough(t *testing.T, p *proxy) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", p.address())
	require.NoError(t, err)
	t.Cleanup(func() { connection.Close() })
	return connection
}

// requireUnreachable asserts that connections through the proxy fail. The reset may arrive during
// the dial or only at the first read.
func requireUnreachable(t *testing.T, p *proxy) {
	t.Helper()
	connection, err := net.Dial("tcp", p.address())
	if err == nil {
		defer connection.Close()
		_, err = connection.Read(make([]byte, 1))
	}
	require.Error(t, err)
}

func newTestProxy(t *testing.T, target string) *proxy {
	t.Helper()
	created, err := newProxy(target)
	require.NoError(t, err)
	t.Cleanup(created.close)
	return created
}

// requireEcho asserts that the connection returns what is sent.
func requireEcho(t *testing.T, connection net.Conn) {
	t.Helper()
	_, err := connection.Write([]byte("ping"))
	require.NoError(t, err)
	got := make([]byte, 4)
	_, err = io.ReadFull(connection, got)
	require.NoError(t, err)
	require.Equal(t, "ping", string(got))
}

func TestProxyForwardsBothDirectionsAndEOF(t *testing.T) {
	connection := dialThrough(t, newTestProxy(t, startEchoServer(t)))
	requireEcho(t, connection)
	require.NoError(t, connection.(*net.TCPConn).CloseWrite())
	rest, err := io.ReadAll(connection)
	require.NoError(t, err)
	require.Empty(t, rest)
}

func TestBlockedDirectionResumesWhenUnblocked(t *testing.T) {
	for _, block := range []func(*linkState, bool){
		func(state *linkState, on bool) { state.blockRequests = on },
		func(state *linkState, on bool) { state.blockResponses = on },
	} {
		p := newTestProxy(t, startEchoServer(t))
		connection := dialThrough(t, p)
		requireEcho(t, connection)
		p.update(func(state *linkState) { block(state, true) })
		_, err := connection.Write([]byte("ping"))
		require.NoError(t, err)
		answered := make(chan string)
		go func() {
			got := make([]byte, 4)
			_, _ = io.ReadFull(connection, got)
			answered <- string(got)
		}()
		select {
		case <-answered:
			t.Fatal("a blocked direction forwarded data")
		default:
		}
		p.update(func(state *linkState) { block(state, false) })
		require.Equal(t, "ping", <-answered)
	}
}

func TestResetLinkClosesConnectionsAndRefusesNewOnes(t *testing.T) {
	p := newTestProxy(t, startEchoServer(t))
	connection := dialThrough(t, p)
	requireEcho(t, connection)
	p.update(func(state *linkState) { state.reset = true })
	_, err := connection.Read(make([]byte, 1))
	require.Error(t, err)
	requireUnreachable(t, p)
	p.update(func(state *linkState) { state.reset = false })
	requireEcho(t, dialThrough(t, p))
}

func TestNewTargetAppliesToLaterConnections(t *testing.T) {
	p := newTestProxy(t, "127.0.0.1:1")
	requireUnreachable(t, p) // no server listens there
	p.setTarget(startEchoServer(t))
	requireEcho(t, dialThrough(t, p))
}

// Neither end of a silenced connection is notified, even when the link is reset. Later connections
// work.
func TestSilentConnectionsStaySilent(t *testing.T) {
	p := newTestProxy(t, startEchoServer(t))
	connection := dialThrough(t, p)
	requireEcho(t, connection)
	p.silence()
	_, err := connection.Write([]byte("ping"))
	require.NoError(t, err)
	p.update(func(state *linkState) { state.reset = true })
	p.update(func(state *linkState) { state.reset = false })
	requireEcho(t, dialThrough(t, p))
	ended := make(chan error)
	go func() {
		_, err := connection.Read(make([]byte, 1))
		ended <- err
	}()
	select {
	case err := <-ended:
		t.Fatal("a silent connection forwarded data or ended", err)
	default:
	}
	p.close()
	require.Error(t, <-ended)
}

func TestRefusedCallersAreRecorded(t *testing.T) {
	e, err := newEnvironment("/bin/false", t.TempDir(), nil)
	require.NoError(t, err)
	defer e.close()
	p := newTestProxy(t, "127.0.0.1:1")
	p.onDial = e.recordDial
	local, err := net.ResolveTCPAddr("tcp", freeAddress())
	require.NoError(t, err)
	// The reset may arrive during the dial or only at the first read.
	connection, err := (&net.Dialer{LocalAddr: local}).Dial("tcp", p.address())
	if err == nil {
		defer connection.Close()
		_, err = connection.Read(make([]byte, 1))
	}
	require.Error(t, err)
	require.True(t, e.Refused(local.String()))
	require.False(t, e.Refused("127.0.0.1:2"))
}
