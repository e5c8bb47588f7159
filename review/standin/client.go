package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/pathbend/pathbend/platform"
)

// attempt is one attempt of a client and what came back.
type attempt struct {
	id              string
	sentAt, endedAt time.Time
	status          int
	header          textproto.MIMEHeader
	body            []byte
	// whole is set if the answer was complete. failure tells how it ended otherwise.
	whole   bool
	failure string
}

// outgoing is a request of a client.
type outgoing struct {
	id, method, host, path string
	header                 map[string]string
	body                   []byte
	wait                   time.Duration
}

// send makes one attempt on a new connection and reads the answer to its end.
func send(ctx context.Context, address string, request outgoing) attempt {
	result := attempt{id: request.id, sentAt: time.Now()}
	fail := func(err error) attempt {
		result.failure, result.endedAt = err.Error(), time.Now()
		return result
	}
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return fail(err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if request.wait > 0 {
		_ = conn.SetDeadline(time.Now().Add(request.wait + 500*time.Millisecond))
	}
	if err := writeRequest(conn, request); err != nil {
		return fail(err)
	}
	result.sentAt = time.Now()
	if err := result.read(bufio.NewReader(conn)); err != nil {
		return fail(err)
	}
	result.whole, result.endedAt = true, time.Now()
	return result
}

func writeRequest(conn io.Writer, request outgoing) error {
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.method, request.path, request.host)
	if request.id != "" {
		fmt.Fprintf(&text, "%s: %s\r\n", platform.HeaderRequestID, request.id)
	}
	if request.wait > 0 {
		fmt.Fprintf(&text, "%s: %d\r\n", platform.HeaderDeadlineMs, request.wait.Milliseconds())
	}
	for name, value := range request.header {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n", len(request.body))
	text.Write(request.body)
	_, err := conn.Write(text.Bytes())
	return err
}

// read reads the answer; an error means that it is not complete.
func (a *attempt) read(reader *bufio.Reader) error {
	text := textproto.NewReader(reader)
	line, err := text.ReadLine()
	if err != nil {
		return err
	}
	parts := strings.SplitN(line, " ", 3)
	if len(parts) < 2 || parts[0] != "HTTP/1.1" {
		return fmt.Errorf("not an answer: %q", line)
	}
	if a.status, err = strconv.Atoi(parts[1]); err != nil {
		return err
	}
	if a.header, err = text.ReadMIMEHeader(); err != nil {
		return err
	}
	body := io.Reader(reader)
	switch {
	case a.header.Get("Transfer-Encoding") == "chunked":
		body = httputil.NewChunkedReader(reader)
	case a.header.Get("Content-Length") != "":
		length, err := strconv.ParseInt(a.header.Get("Content-Length"), 10, 64)
		if err != nil {
			return err
		}
		a.body = make([]byte, length)
		n, err := io.ReadFull(reader, a.body)
		a.body = a.body[:n]
		return err
	}
	a.body, err = io.ReadAll(body)
	return err
}
