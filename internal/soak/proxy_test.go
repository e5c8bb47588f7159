package soak

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// echo serves connections that send back what they get.
func echo(t *testing.T) string {
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

// requireNoWay asserts that nothing comes through. The reset may meet the dial already
// or only the first read.
func requireNoWay(t *testing.T, p *proxy) {
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
	made, err := newProxy(target)
	require.NoError(t, err)
	t.Cleanup(made.close)
	return made
}

func exchange(t *testing.T, connection net.Conn) {
	t.Helper()
	_, err := connection.Write([]byte("ping"))
	require.NoError(t, err)
	got := make([]byte, 4)
	_, err = io.ReadFull(connection, got)
	require.NoError(t, err)
	require.Equal(t, "ping", string(got))
}

func TestProxyPassesBothDirectionsAndTheEnd(t *testing.T) {
	connection := dialThrough(t, newTestProxy(t, echo(t)))
	exchange(t, connection)
	require.NoError(t, connection.(*net.TCPConn).CloseWrite())
	rest, err := io.ReadAll(connection)
	require.NoError(t, err)
	require.Empty(t, rest)
}

func TestHeldDirectionPassesOnceItIsReleased(t *testing.T) {
	for _, hold := range []func(*linkState, bool){
		func(state *linkState, on bool) { state.holdOut = on },
		func(state *linkState, on bool) { state.holdBack = on },
	} {
		p := newTestProxy(t, echo(t))
		connection := dialThrough(t, p)
		exchange(t, connection)
		p.set(func(state *linkState) { hold(state, true) })
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
			t.Fatal("a held direction passed something")
		default:
		}
		p.set(func(state *linkState) { hold(state, false) })
		require.Equal(t, "ping", <-answered)
	}
}

func TestResetLinkEndsConnectionsAndTakesNone(t *testing.T) {
	p := newTestProxy(t, echo(t))
	connection := dialThrough(t, p)
	exchange(t, connection)
	p.set(func(state *linkState) { state.reset = true })
	_, err := connection.Read(make([]byte, 1))
	require.Error(t, err)
	requireNoWay(t, p)
	p.set(func(state *linkState) { state.reset = false })
	exchange(t, dialThrough(t, p))
}

func TestLaterConnectionsGoToTheNewTarget(t *testing.T) {
	p := newTestProxy(t, "127.0.0.1:1")
	requireNoWay(t, p) // nobody listens there
	p.retarget(echo(t))
	exchange(t, dialThrough(t, p))
}

// Neither end learns that a connection went silent; a later connection passes.
func TestSilentConnectionsPassNothingForGood(t *testing.T) {
	p := newTestProxy(t, echo(t))
	connection := dialThrough(t, p)
	exchange(t, connection)
	p.silence()
	_, err := connection.Write([]byte("ping"))
	require.NoError(t, err)
	p.set(func(state *linkState) { state.reset = true })
	p.set(func(state *linkState) { state.reset = false })
	exchange(t, dialThrough(t, p))
	ended := make(chan error)
	go func() {
		_, err := connection.Read(make([]byte, 1))
		ended <- err
	}()
	select {
	case err := <-ended:
		t.Fatal("a silent connection passed something or ended", err)
	default:
	}
	p.close()
	require.Error(t, <-ended)
}

func TestCallerThatFindsNoListenerIsKnown(t *testing.T) {
	s, err := newSurroundings("/bin/false", t.TempDir(), nil)
	require.NoError(t, err)
	defer s.close()
	p := newTestProxy(t, "127.0.0.1:1")
	p.heard = s.heard
	local, err := net.ResolveTCPAddr("tcp", freeAddress())
	require.NoError(t, err)
	// The reset may meet the dial already or only the first read.
	connection, err := (&net.Dialer{LocalAddr: local}).Dial("tcp", p.address())
	if err == nil {
		defer connection.Close()
		_, err = connection.Read(make([]byte, 1))
	}
	require.Error(t, err)
	require.True(t, s.Refused(local.String()))
	require.False(t, s.Refused("127.0.0.1:2"))
}
