package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/result"
)

type handlerFunc func(ctx context.Context, call *pathbendv1.Envelope) (*pathbendv1.Envelope, error)

func (f handlerFunc) HandlePeer(ctx context.Context, call *pathbendv1.Envelope) (*pathbendv1.Envelope, error) {
	return f(ctx, call)
}

func listCall() *pathbendv1.Envelope {
	return &pathbendv1.Envelope{Body: &pathbendv1.Envelope_ListMachines{ListMachines: &pathbendv1.ListMachines{}}}
}

func emptyMachineList(context.Context, *pathbendv1.Envelope) (*pathbendv1.Envelope, error) {
	return &pathbendv1.Envelope{Body: &pathbendv1.Envelope_MachineList{MachineList: &pathbendv1.MachineList{}}}, nil
}

// serve starts a server and returns its address. The server is stopped when the test
// ends.
func serve(t *testing.T, handler Handler) string {
	t.Helper()
	listener, err := network.TCP{}.Listen("127.0.0.1:0")
	require.NoError(t, err)
	server := NewServer(handler, event.Discard())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		listener.Close()
		server.Close()
		<-done
	})
	return listener.Addr().String()
}

func TestCallsAreMatchedToTheirReplies(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("calls", func(t *testing.T) {
		address := serve(t, handlerFunc(func(_ context.Context, call *pathbendv1.Envelope) (*pathbendv1.Envelope, error) {
			fetch := call.GetFetchAnswer()
			if fetch.Key == "refuse" {
				return nil, result.New(result.Draining, "leaving").WithRetryAfter(time.Second)
			}
			// Later calls are answered before earlier ones.
			time.Sleep(time.Duration(20-fetch.WaitMs) * time.Millisecond)
			answer := &pathbendv1.StoredAnswer{Body: []byte(fetch.Key)}
			return &pathbendv1.Envelope{Body: &pathbendv1.Envelope_StoredAnswer{StoredAnswer: answer}}, nil
		}))
		pool := NewPool(network.TCP{}, "test")
		defer pool.Close()
		fetch := func(key string, order int64) (*pathbendv1.Envelope, error) {
			return pool.Call(context.Background(), address, &pathbendv1.Envelope{Body: &pathbendv1.Envelope_FetchAnswer{
				FetchAnswer: &pathbendv1.FetchAnswer{Key: key, WaitMs: order},
			}})
		}
		replies := make(chan string, 20)
		for order := range int64(20) {
			go func() {
				key := string(rune('a' + order))
				reply, err := fetch(key, order)
				if err != nil || string(reply.GetStoredAnswer().Body) != key {
					replies <- "wrong reply for " + key
					return
				}
				replies <- ""
			}()
		}
		for range 20 {
			require.Empty(t, <-replies)
		}
		_, err := fetch("refuse", 0)
		require.True(t, result.Is(err, result.Draining))
		require.Equal(t, time.Second, result.From(err).RetryAfter)
	})
}

func TestUnreachedAndLostAreDistinguished(t *testing.T) {
	pool := NewPool(network.TCP{}, "test")
	defer pool.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := listener.Addr().String()
	listener.Close()
	_, err = pool.Call(context.Background(), closed, listCall())
	require.True(t, result.Is(err, result.PeerUnreached))

	stuck := make(chan struct{})
	address := serve(t, handlerFunc(func(ctx context.Context, _ *pathbendv1.Envelope) (*pathbendv1.Envelope, error) {
		<-stuck
		return emptyMachineList(ctx, nil)
	}))
	defer close(stuck)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err = pool.Call(ctx, address, listCall())
	require.True(t, result.Is(err, result.PeerLost))
}

// TestServerRejectsInvalidInput checks that the server closes a connection with invalid
// input without an answer and still serves other connections.
func TestServerRejectsInvalidInput(t *testing.T) {
	address := serve(t, handlerFunc(emptyMachineList))
	oversized := binary.AppendUvarint(nil, MaxFrameBytes+1)
	otherVersion := encodeFrame(t, &pathbendv1.Envelope{Body: &pathbendv1.Envelope_Hello{Hello: &pathbendv1.Hello{ProtocolVersion: 99}}})
	for name, input := range map[string][]byte{
		"garbage":       bytes.Repeat([]byte{0xff}, 64),
		"http":          []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		"oversized":     oversized,
		"other version": otherVersion,
		"no hello":      encodeFrame(t, listCall()),
	} {
		t.Run(name, func(t *testing.T) {
			connection, err := net.Dial("tcp", address)
			require.NoError(t, err)
			defer connection.Close()
			_, err = connection.Write(input)
			require.NoError(t, err)
			require.NoError(t, connection.(*net.TCPConn).CloseWrite())
			require.NoError(t, connection.SetReadDeadline(time.Now().Add(10*time.Second)))
			answer, err := io.ReadAll(connection)
			if err != nil {
				require.NotErrorIs(t, err, context.DeadlineExceeded)
			}
			require.Empty(t, answer)
		})
	}
	pool := NewPool(network.TCP{}, "test")
	defer pool.Close()
	_, err := pool.Call(context.Background(), address, listCall())
	require.NoError(t, err)
}

func encodeFrame(t testing.TB, envelope *pathbendv1.Envelope) []byte {
	t.Helper()
	var buffer bytes.Buffer
	writer := bufio.NewWriter(&buffer)
	require.NoError(t, WriteEnvelope(writer, envelope))
	require.NoError(t, writer.Flush())
	return buffer.Bytes()
}

func FuzzReadEnvelope(f *testing.F) {
	f.Add(encodeFrame(f, listCall()))
	f.Add(binary.AppendUvarint(nil, MaxFrameBytes+1))
	f.Add([]byte{0x05, 0x0a})
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := bufio.NewReader(bytes.NewReader(data))
		for {
			envelope, err := ReadEnvelope(reader)
			if err != nil {
				known := err == io.EOF || result.Is(err, result.FrameMalformed) || result.Is(err, result.FrameTooLarge)
				require.True(t, known, "%v", err)
				return
			}
			require.NotEmpty(t, encodeFrame(t, envelope))
		}
	})
}

// slowNetwork is a TCP network whose dials block until proceed is closed.
type slowNetwork struct {
	network.TCP
	dialled chan struct{}
	proceed chan struct{}
}

func (s *slowNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	close(s.dialled)
	<-s.proceed
	return s.TCP.Dial(context.WithoutCancel(ctx), address)
}

// Guards against a deadlock: Close waited forever for a connection that was established
// while the pool was being closed.
func TestCloseDuringDialReturns(t *testing.T) {
	address := serve(t, handlerFunc(emptyMachineList))
	slow := &slowNetwork{dialled: make(chan struct{}), proceed: make(chan struct{})}
	pool := NewPool(slow, "test")
	called := make(chan error, 1)
	go func() {
		_, err := pool.Call(context.Background(), address, listCall())
		called <- err
	}()
	<-slow.dialled
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		pool.Close()
	}()
	require.Eventually(t, func() bool {
		pool.mutex.Lock()
		defer pool.mutex.Unlock()
		return pool.closed
	}, 10*time.Second, time.Millisecond)
	time.Sleep(10 * time.Millisecond)
	close(slow.proceed)
	<-closed
	require.True(t, result.Is(<-called, result.PeerUnreached))
}
