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
	maxChunkBytes = 1 << 20
	maxReplyBytes = 1 << 20
	maxIdleConns  = 512
	// LoadTimeout bounds a load report, OrderTimeout an order's answer.
	LoadTimeout  = time.Second
	OrderTimeout = 60 * time.Second
	// silenceTimeout is how long a stream may deliver nothing.
	silenceTimeout = 10 * time.Second
)

// ErrStaleFence means that the engine accepted an order with a higher fence.
var ErrStaleFence = errors.New("engine has accepted a higher fence")

// ErrBusy means that the engine did not start the generation.
var ErrBusy = errors.New("engine takes no more work")

// Client speaks to engines. It is safe for concurrent use.
type Client struct {
	client *http.Client
}

// NewClient returns a client over a network.
func NewClient(over network.Network) *Client {
	return &Client{client: &http.Client{Transport: network.NewTransport(over, maxIdleConns)}}
}

// Close releases idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Load fetches an engine's load report.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, LoadTimeout)
	defer cancel()
	var load Load
	err := c.exchange(ctx, http.MethodGet, "http://"+address+"/v1/load", nil, &load)
	return load, err
}

// Order sends a fenced order and waits until it is carried out.
func (c *Client) Order(ctx context.Context, address string, order Order) error {
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
	content, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
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
		return fmt.Errorf("engine answered %d: %s", response.StatusCode, bytes.TrimSpace(content[:min(len(content), 200)]))
	}
}

// Stream is a running generation. It is used by one goroutine.
type Stream struct {
	requestID string
	model     string
	next      int
	finished  bool
	cancel    context.CancelFunc
	watchdog  *time.Timer
	body      io.ReadCloser
	reader    *bufio.Reader
}

// Generate starts a generation. ErrBusy means that it did not start. Close must
// be called; before the last chunk it cancels the generation at the engine.
func (c *Client) Generate(ctx context.Context, address string, request GenerateRequest) (*Stream, error) {
	request.Stream = true
	ctx, cancel := context.WithCancel(ctx)
	watchdog := time.AfterFunc(silenceTimeout, cancel)
	response, err := c.send(ctx, http.MethodPost, "http://"+address+"/v1/completions", request)
	if err == nil && response.StatusCode != http.StatusOK {
		content, _ := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
		response.Body.Close()
		err = checkStatus(response, content)
	}
	if err != nil {
		watchdog.Stop()
		cancel()
		return nil, err
	}
	return &Stream{
		requestID: request.RequestID,
		model:     request.Model,
		next:      len(request.ResumeTokens),
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

// Next returns the next chunk. io.EOF follows the chunk with a finish reason;
// a stream that ends earlier is an error.
func (s *Stream) Next() (Chunk, error) {
	for {
		line, err := s.readLine()
		if err != nil {
			return Chunk{}, err
		}
		s.watchdog.Reset(silenceTimeout)
		payload, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue // comments and blank lines keep the stream alive
		}
		if bytes.Equal(payload, doneMarker) {
			if !s.finished {
				return Chunk{}, result.New(result.AnswerTruncated, "stream ended without a finish reason")
			}
			return Chunk{}, io.EOF
		}
		return s.decode(payload)
	}
}

func (s *Stream) readLine() ([]byte, error) {
	var line []byte
	for {
		part, err := s.reader.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxChunkBytes {
			return nil, result.New(result.AnswerTooLarge, "stream line is over %d bytes", maxChunkBytes)
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
		return Chunk{}, result.New(result.AnswerMismatch, "chunk of request %q model %q on the stream of %q model %q",
			chunk.RequestID, chunk.Model, s.requestID, s.model)
	}
	if chunk.FirstIndex != s.next {
		return Chunk{}, result.New(result.AnswerMismatch, "chunk starts at token %d where %d was due", chunk.FirstIndex, s.next)
	}
	if chunk.Version == 0 && len(chunk.Tokens) > 0 {
		return Chunk{}, result.New(result.AnswerMismatch, "chunk names no weight version")
	}
	s.next += len(chunk.Tokens)
	s.finished = chunk.FinishReason != ""
	return chunk, nil
}

// Close ends the stream. Closing an unfinished one tells the engine to stop by
// closing the connection.
func (s *Stream) Close() {
	s.watchdog.Stop()
	s.body.Close()
	s.cancel()
}
