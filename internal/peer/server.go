package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/result"
)

const (
	// helloTimeout limits the time until a new connection has sent its Hello.
	helloTimeout = 5 * time.Second
	// maxConcurrentCalls limits the concurrent calls of one connection.
	maxConcurrentCalls = 4096
)

// Handler answers calls of peers. The returned envelope only needs a body; the server
// sets the call id.
type Handler interface {
	HandlePeer(ctx context.Context, call *pathbendv1.Envelope) (*pathbendv1.Envelope, error)
}

// Server accepts connections from peers and answers their calls. It is safe for
// concurrent use.
type Server struct {
	handler Handler
	logger  *event.Logger

	mutex       sync.Mutex
	connections map[net.Conn]struct{}
	closed      bool
	waitGroup   conc.WaitGroup
}

// NewServer returns a server that answers calls with handler.
func NewServer(handler Handler, logger *event.Logger) *Server {
	return &Server{handler: handler, logger: logger, connections: make(map[net.Conn]struct{})}
}

// Serve accepts connections until the listener is closed and returns its error.
func (s *Server) Serve(listener net.Listener) error {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return err
		}
		if !s.track(connection) {
			connection.Close()
			continue
		}
		s.waitGroup.Go(func() { s.serveConnection(connection) })
	}
}

// Close closes every connection and waits for running calls.
func (s *Server) Close() {
	s.mutex.Lock()
	s.closed = true
	for connection := range s.connections {
		connection.Close()
	}
	s.mutex.Unlock()
	s.waitGroup.Wait()
}

func (s *Server) track(connection net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return false
	}
	s.connections[connection] = struct{}{}
	return true
}

func (s *Server) untrack(connection net.Conn) {
	s.mutex.Lock()
	delete(s.connections, connection)
	s.mutex.Unlock()
	connection.Close()
}

func (s *Server) serveConnection(connection net.Conn) {
	defer s.untrack(connection)
	reader := bufio.NewReader(connection)
	if err := s.readHello(connection, reader); err != nil {
		code := event.PeerRejected
		if result.Is(err, result.ProtocolUnsupported) {
			code = event.PeerProtocol
		}
		s.logger.Log(code, "remote", connection.RemoteAddr().String(), "error", err.Error())
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	writer := newFrameWriter(connection)
	var calls conc.WaitGroup
	defer calls.Wait()
	defer cancel()
	slots := make(chan struct{}, maxConcurrentCalls)
	for {
		call, err := ReadEnvelope(reader)
		if err != nil {
			s.logReadEnd(connection, err)
			return
		}
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			s.answer(ctx, writer, call)
		})
	}
}

func (s *Server) readHello(connection net.Conn, reader *bufio.Reader) error {
	if err := connection.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return err
	}
	first, err := ReadEnvelope(reader)
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if hello == nil {
		return result.New(result.FrameMalformed, "first frame is not a Hello")
	}
	if hello.ProtocolVersion != ProtocolVersion {
		return result.New(result.ProtocolUnsupported, "peer uses protocol version %d, this node uses %d",
			hello.ProtocolVersion, ProtocolVersion)
	}
	return connection.SetReadDeadline(time.Time{})
}

func (s *Server) logReadEnd(connection net.Conn, err error) {
	if errors.Is(err, io.EOF) || !isFrameError(err) {
		return
	}
	s.logger.Log(event.PeerRejected, "remote", connection.RemoteAddr().String(), "error", err.Error())
}

func isFrameError(err error) bool {
	return result.Is(err, result.FrameTooLarge) || result.Is(err, result.FrameMalformed)
}

func (s *Server) answer(ctx context.Context, writer *frameWriter, call *pathbendv1.Envelope) {
	reply, err := s.handler.HandlePeer(ctx, call)
	if err != nil {
		reply = &pathbendv1.Envelope{Failure: NewFailure(err)}
	}
	reply.CallId = call.CallId
	reply.Reply = true
	// A write error closes the connection; the caller then gets PeerLost.
	_ = writer.write(reply)
}

// frameWriter writes whole frames to one connection. It is safe for concurrent use.
type frameWriter struct {
	mutex      sync.Mutex
	connection net.Conn
	writer     *bufio.Writer
}

func newFrameWriter(connection net.Conn) *frameWriter {
	return &frameWriter{connection: connection, writer: bufio.NewWriter(connection)}
}

// writeTimeout limits how long a peer that does not read can block a write.
const writeTimeout = 10 * time.Second

func (w *frameWriter) write(envelope *pathbendv1.Envelope) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if err := w.connection.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	err := WriteEnvelope(w.writer, envelope)
	if err == nil {
		err = w.writer.Flush()
	}
	if err != nil {
		w.connection.Close()
	}
	return err
}
