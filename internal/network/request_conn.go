package network

import (
	"net"
	"sync"
	"time"
)

// requestConn is a client's connection that records how much of the current request it has
// accepted for sending, and checks what net/http ignores in the head of the response.
type requestConn struct {
	net.Conn

	// mutex is held during each write and guards sent.
	mutex sync.Mutex
	sent  sentRequest

	// headMutex guards head. It is apart from mutex because a response may come early.
	headMutex sync.Mutex
	head      legacyHead
}

// NetConn returns the underlying connection.
func (c *requestConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *requestConn) Write(buffer []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	n, err := c.Conn.Write(buffer)
	c.sent.accept(buffer[:n])
	return n, err
}

// Read implements net.Conn.
func (c *requestConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.headMutex.Lock()
	defer c.headMutex.Unlock()
	if headErr := c.head.check(buffer[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// begin starts a request with a body of the given length in bytes, unknownLength if unknown.
func (c *requestConn) begin(bodyLength int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sent = sentRequest{bodyLength: bodyLength}
	c.headMutex.Lock()
	defer c.headMutex.Unlock()
	c.head = legacyHead{}
}

// bodyBuffered records that the transport has read the whole request body.
func (c *requestConn) bodyBuffered() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sent.bodyBuffered = true
}

// endRequest ends the writes on the connection and reports whether it has accepted the whole
// request.
func (c *requestConn) endRequest() bool {
	// A write that waits for the peer fails at once; one whose bytes were all accepted still
	// succeeds. On a closed connection, where the deadline cannot be set, writes do not wait.
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.sent.complete()
}

// unknownLength is the length of a body that ends with its last chunk.
const unknownLength = -1

// headEnd separates the head of a request from its body.
const headEnd = "\r\n\r\n"

// sentRequest is the part of a request that a connection has accepted for sending.
type sentRequest struct {
	// bodyLength is the length of the whole body in bytes, or unknownLength.
	bodyLength int64
	// headEndMatched is the number of bytes of headEnd that the accepted part of the head ends
	// with; the head is complete when it is len(headEnd).
	headEndMatched int
	// bodyAccepted is the number of bytes accepted after the head.
	bodyAccepted int64
	// bodyBuffered is set once the transport has read the whole body. The end of a body of
	// unknown length is still in its buffer then, until the write that sets endAccepted.
	bodyBuffered bool
	endAccepted  bool
}

// accept records that the next part of the request was accepted.
func (s *sentRequest) accept(part []byte) {
	s.endAccepted = s.endAccepted || s.bodyBuffered && len(part) > 0
	for len(part) > 0 && s.headEndMatched < len(headEnd) {
		s.matchHeadEnd(part[0])
		part = part[1:]
	}
	s.bodyAccepted += int64(len(part))
}

func (s *sentRequest) matchHeadEnd(next byte) {
	switch next {
	case headEnd[s.headEndMatched]:
		s.headEndMatched++
	case headEnd[0]:
		s.headEndMatched = 1
	default:
		s.headEndMatched = 0
	}
}

// complete reports whether the whole request was accepted.
func (s *sentRequest) complete() bool {
	if s.bodyLength == unknownLength {
		return s.endAccepted
	}
	return s.headEndMatched == len(headEnd) && s.bodyAccepted >= s.bodyLength
}
