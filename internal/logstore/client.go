package logstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"google.golang.org/protobuf/proto"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/result"
)

// ControlStream is the stream of configuration, roster and lease records.
const ControlStream = "pathbend.control"

const (
	// MaxRecordBytes is the maximum size of one record.
	MaxRecordBytes = 4 << 20
	// MaxBatchBytes is the maximum size of the encoded answer to one read.
	MaxBatchBytes = 32 << 20
	// readTimeout bounds a read, in addition to the time for which it waits for a record.
	readTimeout   = 3 * time.Second
	appendTimeout = 3 * time.Second
	// minRetryInterval and maxRetryInterval are the first and the longest pause of the
	// exponential backoff between two attempts of AppendRecord.
	minRetryInterval = 50 * time.Millisecond
	maxRetryInterval = 2 * time.Second
	// maxIdleConns is the maximum number of idle connections to the log service.
	maxIdleConns = 4
)

// Entry is one record with its offset in the stream.
type Entry struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is the answer to a read. Its entries have consecutive offsets.
type Batch struct {
	Entries []Entry `json:"records"`
	// End is the offset after the last record of the stream.
	End uint64 `json:"end"`
}

// Reader reads up to limit records of a stream, starting at offset from. If there is none yet, it
// waits for one for up to wait.
type Reader interface {
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Batch, error)
}

// Appender appends one record. On result.LogUnavailable nothing was appended; on
// result.LogUnknown the record may have been appended.
type Appender interface {
	Append(ctx context.Context, stream string, data []byte) (offset uint64, err error)
}

// Client is a client of the platform's log service. It is safe for concurrent use.
type Client struct {
	baseURL string
	client  *http.Client
}

// NewClient returns a client of the log service at a host:port address, which connects through
// dialer.
func NewClient(dialer network.Network, address string) *Client {
	return &Client{baseURL: "http://" + address, client: &http.Client{Transport: network.NewTransport(dialer, maxIdleConns)}}
}

// Close closes idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Read implements Reader.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	requestURL := fmt.Sprintf("%s/v1/streams/%s/records?from=%d&max=%d&wait_ms=%d",
		c.baseURL, url.PathEscape(stream), from, limit, wait.Milliseconds())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, requestURL, nil)
	if err != nil {
		return Batch{}, result.Wrap(result.LogUnavailable, err, "read log")
	}
	var batch Batch
	if err := c.do(request, MaxBatchBytes, &batch); err != nil {
		return Batch{}, result.Wrap(result.LogUnavailable, err, "read log")
	}
	for i, entry := range batch.Entries {
		if entry.Offset != from+uint64(i) {
			return Batch{}, result.New(result.LogUnavailable, "read log: got offset %d, want %d", entry.Offset, from+uint64(i))
		}
	}
	return batch, nil
}

// Append implements Appender.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if len(data) > MaxRecordBytes {
		return 0, result.New(result.LogUnavailable, "record of %d bytes exceeds the limit of %d bytes", len(data), MaxRecordBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	requestURL := fmt.Sprintf("%s/v1/streams/%s/records", c.baseURL, url.PathEscape(stream))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, requestURL, bytes.NewReader(data))
	if err != nil {
		return 0, result.Wrap(result.LogUnavailable, err, "append to log")
	}
	// Without GetBody the HTTP transport cannot repeat the request. The platform does not
	// deduplicate appends, so only callers of this client may repeat them.
	request.GetBody = nil
	var answer struct {
		Offset uint64 `json:"offset"`
	}
	if err := c.do(request, MaxRecordBytes, &answer); err != nil {
		return 0, classifyAppend(err)
	}
	return answer.Offset, nil
}

// statusError is an answer with a status other than 200.
type statusError struct {
	status int
	body   string
}

func (e *statusError) Error() string {
	return fmt.Sprintf("log service answered %d: %s", e.status, strings.TrimSpace(e.body))
}

// classifyAppend wraps the error of an append: as result.LogUnavailable if the service refused it
// with status 503, which appends nothing, and as result.LogUnknown otherwise.
func classifyAppend(err error) error {
	if refusal, ok := err.(*statusError); ok && refusal.status == http.StatusServiceUnavailable {
		return result.Wrap(result.LogUnavailable, err, "append to log")
	}
	return result.Wrap(result.LogUnknown, err, "append to log")
}

// do sends a request and decodes the JSON answer, of which it reads up to limit bytes, into answer.
func (c *Client) do(request *http.Request, limit int64, answer any) error {
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := network.ReadBody(response.Body, limit)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return &statusError{status: response.StatusCode, body: string(body[:min(len(body), 200)])}
	}
	return json.Unmarshal(body, answer)
}

// AppendRecord appends the record to ControlStream. It retries until the log confirms the append or
// ctx ends, and then returns the last error of the log. Every attempt sends the same record id.
func AppendRecord(ctx context.Context, appender Appender, record *pathbendv1.Record) (uint64, error) {
	data, err := proto.Marshal(record)
	if err != nil {
		return 0, result.Wrap(result.RecordMalformed, err, "encode record")
	}
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = minRetryInterval
	policy.MaxInterval = maxRetryInterval
	var lastErr error
	offset, err := backoff.Retry(ctx, func() (uint64, error) {
		offset, err := appender.Append(ctx, ControlStream, data)
		if err != nil {
			lastErr = err
		}
		return offset, err
	}, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(0))
	if err != nil && lastErr != nil {
		return 0, lastErr
	}
	return offset, err
}

// DecodeRecord decodes one record. It returns result.RecordMalformed for one that cannot be
// decoded, or lacks an id or a body.
func DecodeRecord(data []byte) (*pathbendv1.Record, error) {
	record := &pathbendv1.Record{}
	if err := proto.Unmarshal(data, record); err != nil {
		return nil, result.Wrap(result.RecordMalformed, err, "decode record")
	}
	if record.Id == "" || record.Body == nil {
		return nil, result.New(result.RecordMalformed, "record without id or body")
	}
	return record, nil
}
