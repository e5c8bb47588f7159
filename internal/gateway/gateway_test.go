package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/admission"
	"github.com/pathbend/pathbend/internal/config"
	"github.com/pathbend/pathbend/internal/dispatch"
	"github.com/pathbend/pathbend/internal/engine"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/rollout"
)

const document = `tenants:
  - name: shop
    spec:
      capacity: {requests_per_second: 1000, burst: 1000, concurrent_requests: 10, queue_length: 10, concurrent_samples: 4}
      models:
        - {name: m, pool: p, max_tokens: 100, version: {follow: trainer}, freshness: {max_versions: 1, max_age: 1m}, stragglers: {policy: restart}, switch: {policy: restart, min_serving_percent: 50}}
      routes:
        - {name: pay, pool: b, at_most_once: true, deadline: 2s, priority: critical, max_attempts: 2, max_body_bytes: 1000}
        - {name: look, pool: b, deadline: 300ms, priority: normal, max_attempts: 2, max_body_bytes: 5000000}
        - {name: upload, pool: b, deadline: 30s, priority: normal, max_attempts: 2, max_body_bytes: 5000000}
`

// fakeServices implements every interface of Services except IdempotentDispatcher.
type fakeServices struct {
	document    *config.Document
	lastRequest *dispatch.Request
	body        []byte
	answer      *dispatch.Answer
	err         error
	keyed       bool
	chunks      []engine.Chunk
	version     uint64
	spec        rollout.Spec
	pull        rollout.Pull
	release     chan struct{}
}

func (f *fakeServices) Current() (*config.Document, uint64) { return f.document, 1 }

func (f *fakeServices) Acquire(context.Context, string, admission.Priority, time.Time) (func(), error) {
	return func() {}, nil
}

func (f *fakeServices) Do(_ context.Context, request *dispatch.Request) (*dispatch.Answer, error) {
	f.lastRequest = request
	if request.Body != nil {
		content, err := io.ReadAll(request.Body)
		if err != nil {
			return nil, result.Wrap(result.BackEndUnreached, err, "read body")
		}
		f.body = content
	}
	if f.release != nil {
		<-f.release
	}
	return f.answer, f.err
}

type keyedDispatcher struct{ *fakeServices }

func (k keyedDispatcher) Do(ctx context.Context, request *dispatch.Request) (*dispatch.Answer, error) {
	k.keyed = true
	return k.fakeServices.Do(ctx, request)
}

func (f *fakeServices) Complete(_ context.Context, _ Completion, deliver func(engine.Chunk) error) error {
	for _, chunk := range f.chunks {
		if err := deliver(chunk); err != nil {
			return err
		}
	}
	return f.err
}

func (f *fakeServices) Submit(_ context.Context, _ string, spec rollout.Spec) error {
	f.spec = spec
	return f.err
}

func (f *fakeServices) Pull(_ context.Context, _, _ string, pull rollout.Pull) (rollout.PullAnswer, error) {
	f.pull = pull
	return rollout.PullAnswer{JobID: "j", Samples: []rollout.DeliveredSample{}}, f.err
}

func (f *fakeServices) Cancel(context.Context, string, string) error { return f.err }

func (f *fakeServices) AnnounceVersion(_ context.Context, _, _ string, version uint64) error {
	f.version = version
	return f.err
}

func (f *fakeServices) Record(string, string, result.Code, time.Duration) {}

func newAnswer(body string) *dispatch.Answer {
	return &dispatch.Answer{
		Status: http.StatusOK, Header: http.Header{"X-Back-End": {"yes"}}, Buffered: []byte(body), Length: int64(len(body)),
		Body: io.NopCloser(strings.NewReader(body)), Attempts: 1,
	}
}

// startGateway serves a gateway with fake services until the test ends.
func startGateway(t *testing.T) (*fakeServices, *Gateway, string) {
	t.Helper()
	decoded, err := config.Decode([]byte(document))
	require.NoError(t, err)
	f := &fakeServices{document: decoded, answer: newAnswer("fine")}
	g := New(Services{
		Configuration: f, Admission: f, Dispatcher: f, IdempotentDispatcher: keyedDispatcher{f}, Completer: f, Jobs: f, Recorder: f,
		Logger: event.Discard(), NewID: func() string { return "id" }, NodeID: "node",
	})
	server := httptest.NewUnstartedServer(nil)
	server.Config = g.Server()
	server.Start()
	t.Cleanup(server.Close)
	return f, g, server.URL
}

func send(t *testing.T, method, url, body string, header ...string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(content)
}

func decodeError(t *testing.T, content string) ErrorDetail {
	t.Helper()
	var body ErrorBody
	require.NoError(t, json.Unmarshal([]byte(content), &body), content)
	return body.Error
}

func TestApplicationRequestReachesTheDispatcherUnchanged(t *testing.T) {
	f, _, url := startGateway(t)
	response, content := send(t, "POST", url+"/v1/tenants/shop/routes/pay/a%2Fb/c?q=1", "cash", "Idempotency-Key", "k1", "Pathbend-Deadline-Ms", "1500")
	require.Equal(t, "fine", content)
	require.Equal(t, "done", response.Header.Get("Pathbend-Run"))
	require.Equal(t, "yes", response.Header.Get("X-Back-End"))
	require.Equal(t, "/pay/a%2Fb/c?q=1", f.lastRequest.Path)
	require.Equal(t, "cash", string(f.lastRequest.Buffered))
	require.True(t, f.lastRequest.AtMostOnce)
	require.True(t, f.keyed)
	require.InDelta(t, 1.5, time.Until(f.lastRequest.Deadline).Seconds(), 1)
}

func TestLargeAndChunkedBodiesAreStreamed(t *testing.T) {
	f, _, url := startGateway(t)
	large := strings.Repeat("x", replayableBodyBytes+1)
	_, content := send(t, "PUT", url+"/v1/tenants/shop/routes/upload", large)
	require.Equal(t, "fine", content)
	require.Nil(t, f.lastRequest.Buffered)
	require.Len(t, f.body, len(large))
}

func TestInvalidInputGetsAnErrorCodeAndTheField(t *testing.T) {
	_, _, url := startGateway(t)
	base := url + "/v1/tenants/shop"
	cases := []struct {
		method, path, body, header, value string
		code                              result.Code
		field                             string
	}{
		{"POST", "/routes/none", "", "", "", result.UnknownRoute, ""},
		{"POST", "/nowhere", "", "", "", result.UnknownPath, ""},
		{"POST", "/routes/pay", strings.Repeat("x", 1001), "", "", result.BodyTooLarge, "body"},
		{"POST", "/routes/pay", "", "Pathbend-Deadline-Ms", "soon", result.MalformedRequest, "Pathbend-Deadline-Ms"},
		{"POST", "/routes/pay", "", "Pathbend-Deadline-Ms", "-5", result.MalformedRequest, "Pathbend-Deadline-Ms"},
		{"POST", "/routes/pay", "", "Pathbend-Priority", "urgent", result.MalformedRequest, "Pathbend-Priority"},
		{"POST", "/routes/pay", "", "Pathbend-At-Most-Once", "maybe", result.MalformedRequest, "Pathbend-At-Most-Once"},
		{"POST", "/routes/pay", "", "Idempotency-Key", strings.Repeat("k", 201), result.MalformedRequest, "Idempotency-Key"},
		{"POST", "/models/none/completions", "{}", "", "", result.UnknownModel, ""},
		{"POST", "/models/m/completions", "{", "", "", result.MalformedRequest, "body"},
		{"POST", "/models/m/completions", `{"prompt": 5}`, "", "", result.MalformedRequest, "prompt"},
		{"POST", "/models/m/completions", `{"promt": "x"}`, "", "", result.MalformedRequest, "promt"},
		{"POST", "/models/m/completions", `{"prompt": "x", "max_tokens": 101}`, "", "", result.MalformedRequest, "max_tokens"},
		{"POST", "/models/m/version", `{"version": 0}`, "", "", result.MalformedRequest, "version"},
		{"POST", "/models/m/version", `{"version": -1}`, "", "", result.MalformedRequest, "version"},
		{"POST", "/jobs", `{"job_id": "j", "model": "m", "prompts": []}`, "", "", result.MalformedRequest, "prompts"},
		{"POST", "/jobs", `{"job_id": "j", "model": "m", "prompts": [{"prompt": "p", "samples": 0, "max_tokens": 1}]}`, "", "", result.MalformedRequest, "prompts[0].samples"},
		{"POST", "/jobs", `{"job_id": "j", "model": "m", "prompts": [{"prompt": "p", "samples": 2, "max_tokens": 1}], "held": [{"from": 1, "to": 3}]}`, "", "", result.MalformedRequest, "held[0]"},
		{"POST", "/jobs/j/pull", `{"wait_ms": 99999999}`, "", "", result.MalformedRequest, "wait_ms"},
		{"POST", "/jobs/j/pull", `{"max_samples": -1}`, "", "", result.MalformedRequest, "max_samples"},
		{"POST", "/jobs/j/pull", `{}{}`, "", "", result.MalformedRequest, "body"},
	}
	for _, test := range cases {
		t.Run(fmt.Sprint(test.code, " ", test.path, " ", test.field), func(t *testing.T) {
			header := []string{}
			if test.header != "" {
				header = append(header, test.header, test.value)
			}
			response, content := send(t, test.method, base+test.path, test.body, header...)
			detail := decodeError(t, content)
			require.Equal(t, int(test.code), detail.Code, content)
			require.Equal(t, test.field, detail.Field)
			require.Equal(t, result.NotRun, detail.Run)
			require.NotEmpty(t, detail.Fix)
			require.Equal(t, "not_run", response.Header.Get("Pathbend-Run"))
			require.Equal(t, result.Lookup(test.code).HTTPStatus, response.StatusCode)
		})
	}
	_, content := send(t, "GET", url+"/v1/tenants/none/routes/pay", "")
	require.Equal(t, int(result.UnknownTenant), decodeError(t, content).Code)
}

func TestSlowBodyAndLargeHeaderAreRejected(t *testing.T) {
	_, _, url := startGateway(t)
	address := strings.TrimPrefix(url, "http://")
	slow, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer slow.Close()
	fmt.Fprintf(slow, "POST /v1/tenants/shop/routes/look HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc")
	response, err := http.ReadResponse(bufio.NewReader(slow), nil)
	require.NoError(t, err)
	content, _ := io.ReadAll(response.Body)
	require.Equal(t, int(result.SlowBody), decodeError(t, string(content)).Code)

	huge, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer huge.Close()
	go fmt.Fprintf(huge, "GET / HTTP/1.1\r\nHost: x\r\nX-Big: %s\r\n\r\n", strings.Repeat("x", 4*maxHeaderBytes))
	response, err = http.ReadResponse(bufio.NewReader(huge), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)

	_, body := send(t, "POST", url+"/v1/tenants/shop/routes/look", "")
	require.Equal(t, "fine", body)
}

func TestErrorCarriesRetryAfterAndRun(t *testing.T) {
	f, _, url := startGateway(t)
	f.err = result.New(result.RateLimited, "too fast").WithRetryAfter(1200 * time.Millisecond)
	f.answer = nil
	response, content := send(t, "POST", url+"/v1/tenants/shop/routes/look", "")
	require.Equal(t, http.StatusTooManyRequests, response.StatusCode)
	require.Equal(t, "2", response.Header.Get("Retry-After"))
	require.Equal(t, int64(1200), decodeError(t, content).RetryAfterMS)
	f.document = nil
	_, content = send(t, "POST", url+"/v1/tenants/shop/routes/look", "")
	require.Equal(t, int(result.NotReady), decodeError(t, content).Code)
}

func TestTruncatedStreamAbortsTheConnection(t *testing.T) {
	f, _, url := startGateway(t)
	f.answer = &dispatch.Answer{Status: http.StatusOK, Header: http.Header{}, Length: -1, Body: io.NopCloser(io.MultiReader(
		strings.NewReader("first half"), &failingReader{}))}
	response, err := http.Get(url + "/v1/tenants/shop/routes/look")
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	require.Error(t, err, "a truncated answer must not look complete")
}

type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func TestCompletionsStateTheirWeightVersions(t *testing.T) {
	f, _, url := startGateway(t)
	f.chunks = []engine.Chunk{
		{Tokens: []string{"a", "b"}, Version: 3},
		{FirstIndex: 2, Tokens: []string{"c"}, Version: 4, FinishReason: "stop"},
	}
	_, content := send(t, "POST", url+"/v1/tenants/shop/models/m/completions", `{"prompt": "p"}`)
	require.Contains(t, content, `"text":"abc"`)
	require.Contains(t, content, `"segments":[{"from":0,"to":2,"weight_version":3},{"from":2,"to":3,"weight_version":4}]`)
	_, content = send(t, "POST", url+"/v1/tenants/shop/models/m/completions", `{"prompt": "p", "stream": true}`)
	require.Equal(t, 3, strings.Count(content, "data: "))
	require.True(t, strings.HasSuffix(content, "data: [DONE]\n\n"))
}

func TestDrainRejectsNewRequestsAndFinishesRunningOnes(t *testing.T) {
	f, g, url := startGateway(t)
	f.release = make(chan struct{})
	running := make(chan string)
	go func() {
		response, err := http.Post(url+"/v1/tenants/shop/routes/look", "", strings.NewReader(""))
		if err != nil {
			running <- err.Error()
			return
		}
		content, _ := io.ReadAll(response.Body)
		response.Body.Close()
		running <- string(content)
	}()
	require.Eventually(t, func() bool { return g.ActiveRequests() == 1 }, 5*time.Second, time.Millisecond)
	idle := g.Drain()
	_, content := send(t, "POST", url+"/v1/tenants/shop/routes/look", "")
	require.Equal(t, int(result.Draining), decodeError(t, content).Code)
	select {
	case <-idle:
		t.Fatal("drained with a request in progress")
	default:
	}
	close(f.release)
	require.Equal(t, "fine", <-running)
	<-idle
}
