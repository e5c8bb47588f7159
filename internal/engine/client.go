package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/result"
)

const (
	maxChunkBytes    = 1 << 20
	maxResponseBytes = 1 << 20
	maxIdleConns     = 512
	// LoadTimeout limits the time to fetch a load report.
	LoadTimeout = time.Second
	// OrderTimeout limits the time to execute an order.
	OrderTimeout = 60 * time.Second
	// streamIdleTimeout is how long a stream may go without a line before it is cancelled.
	streamIdleTimeout = 10 * time.Second
)

// ErrStaleFence means that the engine already accepted an order with a higher fencing
// token.
var ErrStaleFence = errors.New("engine has already accepted a higher fencing token")

// ErrBusy means that the engine rejected the request without executing it.
var ErrBusy = errors.New("engine accepts no more requests")

// Client sends requests to engines. It is safe for concurrent use.
type Client struct {
	client *http.Client
}

// NewClient returns a client that opens its connections through a network.
func NewClient(dialer network.Network) *Client {
	return &Client{client: &http.Client{Transport: network.NewTransport(dialer, maxIdleConns)}}
}

// Close closes idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// FetchLoad fetches an engine's load report.
func (c *Client) FetchLoad(ctx context.Context, address string) (LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, LoadTimeout)
	defer cancel()
	var load LoadReport
	err := c.exchange(ctx, http.MethodGet, "http://"+address+"/v1/load", nil, &load)
	return load, err
}

// SendOrder sends a fenced order and waits until the engine has executed it.
func (c *Client) SendOrder(ctx context.Context, address string, order Order) error {
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	return c.exchange(ctx, http.MethodPost, "http://"+address+"/v1/orders", order, nil)
}

func (c *Client) exchange(ctx context.Context, method, url string, body, target any) error {
	response, err := c.send(ctx, method, url, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	content, err := network.ReadBody(response.Body, maxResponseBytes)
	if err != nil {
		return err
	}
	if err := checkStatus(response, content); err != nil {
		return err
	}
	if target == nil {
		return nil
	}
	return json.Unmarshal(content, target)
}

func (c *Client) send(ctx context.Context, method, url string, body any) (*http.Response, error) {
	var reader io.Reader
	if body != nil {
		content, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		reader = bytes.NewReader(content)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return c.client.Do(request)
}

func checkStatus(response *http.Response, content []byte) error {
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrStaleFence
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return ErrBusy
	default:
		return fmt.Errorf("engine returned status %d: %s", response.StatusCode, bytes.TrimSpace(content[:min(len(content), 200)]))
	}
}

// Stream is the token stream of a running generation. It is not safe for concurrent
// use.
type Stream struct {
	requestID string
	model     string
	nextIndex int
	finished  bool
	cancel    context.CancelFunc
	watchdog  *time.Timer
	body      io.ReadCloser
	reader    *bufio.Reader
}

// Generate starts a generation. ErrBusy means that it did not start. The caller must
// call Close on the stream; before the last chunk this cancels the generation on the
// engine.
func (c *Client) Generate(ctx context.Context, address string, request GenerateRequest) (*Stream, error) {
	request.Stream = true
	ctx, cancel := context.WithCancel(ctx)
	watchdog := time.AfterFunc(streamIdleTimeout, cancel)
	response, err := c.send(ctx, http.MethodPost, "http://"+address+"/v1/completions", request)
	if err == nil && response.StatusCode != http.StatusOK {
		var content []byte
		content, err = network.ReadBody(response.Body, maxResponseBytes)
		response.Body.Close()
		if err == nil {
			err = checkStatus(response, content)
		}
	}
	if err != nil {
		watchdog.Stop()
		cancel()
		return nil, err
	}
	return &Stream{
		requestID: request.RequestID,
		model:     request.Model,
		nextIndex: len(request.ResumeTokens),
		cancel:    cancel,
		watchdog:  watchdog,
		body:      response.Body,
		reader:    bufio.NewReader(response.Body),
	}, nil
}

var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")
)

// Next returns the next chunk. After the chunk with a finish reason it returns io.EOF;
// a stream that ends earlier is an AnswerTruncated error.
func (s *Stream) Next() (Chunk, error) {
	for skippedBytes := 0; skippedBytes <= maxChunkBytes; {
		line, err := s.readLine()
		if err != nil {
			return Chunk{}, err
		}
		s.watchdog.Reset(streamIdleTimeout)
		payload, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			// Comments and blank lines only reset the idle timeout.
			skippedBytes += len(line) + len("\n")
			continue
		}
		if bytes.Equal(payload, doneMarker) {
			if !s.finished {
				return Chunk{}, result.New(result.AnswerTruncated, "stream ended without a finish reason")
			}
			return Chunk{}, io.EOF
		}
		return s.decode(payload)
	}
	return Chunk{}, result.New(result.AnswerTooLarge, "stream has no chunk within %d bytes", maxChunkBytes)
}

func (s *Stream) readLine() ([]byte, error) {
	var line []byte
	for {
		part, err := s.reader.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxChunkBytes {
			return nil, result.New(result.AnswerTooLarge, "stream line exceeds %d bytes", maxChunkBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, result.Wrap(result.AnswerTruncated, err, "read stream")
		}
		return bytes.TrimRight(line, "\r\n"), nil
	}
}

func (s *Stream) decode(payload []byte) (Chunk, error) {
	var chunk Chunk
	if err := json.Unmarshal(payload, &chunk); err != nil {
		return Chunk{}, result.Wrap(result.AnswerTruncated, err, "decode chunk")
	}
	if chunk.RequestID != s.requestID || chunk.Model != s.model {
		return Chunk{}, result.New(result.AnswerMismatch, "received a chunk of request %q, model %q on the stream of request %q, model %q",
			chunk.RequestID, chunk.Model, s.requestID, s.model)
	}
	if chunk.FirstIndex != s.nextIndex {
		return Chunk{}, result.New(result.AnswerMismatch, "chunk starts at token %d, expected %d", chunk.FirstIndex, s.nextIndex)
	}
	if chunk.Version == 0 && len(chunk.Tokens) > 0 {
		return Chunk{}, result.New(result.AnswerMismatch, "chunk has no weight version")
	}
	s.nextIndex += len(chunk.Tokens)
	s.finished = chunk.FinishReason != ""
	return chunk, nil
}

// Close closes the stream. If the generation is unfinished, this closes the connection,
// which makes the engine cancel it.
func (s *Stream) Close() {
	s.watchdog.Stop()
	s.body.Close()
	s.cancel()
}
