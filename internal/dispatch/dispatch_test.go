package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/locality"
	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/quarantine"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/routing"
)

// sequentialBalancer picks its endpoints in order, each at most once per request.
type sequentialBalancer struct {
	// evacuated is the result of PoolEvacuated.
	evacuated bool
	mutex     sync.Mutex
	endpoints []*routing.Endpoint
	leaving   []string
	// regions are the allowed regions of each call of Pick.
	regions  []locality.Regions
	inFlight atomic.Int64
	// nextColdBudget is the result of NextColdBudget; zero if no endpoint is cold.
	nextColdBudget time.Time
}

// newBalancer returns a balancer over endpoints b0, b1 and so on at the given addresses.
func newBalancer(addresses ...string) *sequentialBalancer {
	balancer := &sequentialBalancer{}
	for i, address := range addresses {
		balancer.endpoints = append(balancer.endpoints, &routing.Endpoint{ID: fmt.Sprint("b", i), Address: address})
	}
	return balancer
}

func (b *sequentialBalancer) Pick(request *routing.Request) *routing.Endpoint {
	b.mutex.Lock()
	b.regions = append(b.regions, request.Regions)
	b.mutex.Unlock()
	if len(request.Excluded) >= len(b.endpoints) {
		return nil
	}
	b.inFlight.Add(1)
	return b.endpoints[len(request.Excluded)]
}

func (b *sequentialBalancer) NextColdBudget(*routing.Request) (time.Time, bool) {
	return b.nextColdBudget, !b.nextColdBudget.IsZero()
}

func (b *sequentialBalancer) Report(*routing.Endpoint, Report) { b.inFlight.Add(-1) }

func (b *sequentialBalancer) MarkLeaving(endpoint *routing.Endpoint) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.leaving = append(b.leaving, endpoint.ID)
}

func (b *sequentialBalancer) PoolEvacuated(string) bool { return b.evacuated }

// newTestDispatcher returns a dispatcher whose guard has no other nodes to inform.
func newTestDispatcher(t *testing.T, balancer *sequentialBalancer) *Dispatcher {
	t.Helper()
	exchanger := NewExchanger(network.TCP{})
	t.Cleanup(exchanger.Close)
	var ids atomic.Int64
	guard := quarantine.NewGuard(quarantine.RequestPolicy(), event.Discard())
	guard.SetPublisher(&loopbackLog{guard: guard})
	return NewDispatcher(exchanger, NativeProtocol{}, balancer, guard, "zone", func() string { return fmt.Sprint("id-", ids.Add(1)) }, event.Discard())
}

// loopbackLog applies each record to the guard that wrote it.
type loopbackLog struct{ guard *quarantine.Guard }

func (l *loopbackLog) Publish(_ context.Context, record quarantine.Record) { l.guard.Merge(record) }

// startBackEnd starts a back end that echoes request ids, and returns its address and the number
// of requests that it ran.
func startBackEnd(t *testing.T, handler http.HandlerFunc) (string, *atomic.Int64) {
	t.Helper()
	var runs atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(HeaderRequestID, request.Header.Get(HeaderRequestID))
		runs.Add(1)
		handler(writer, request)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), &runs
}

// unusedAddress returns an address that refuses connections.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// newTestRequest returns a request with three attempts and a deadline in five seconds.
func newTestRequest(atMostOnce bool) *Request {
	return &Request{
		Tenant: "shop", Pool: "p", Method: http.MethodPost, Path: "/pay?x=1", Buffered: []byte("body"), Length: 4,
		Header: http.Header{"Connection": {"close"}, "X-Own": {"kept"}, "Idempotency-Key": {"k"}}, IdempotencyKey: "k",
		AtMostOnce: atMostOnce, MaxAttempts: 3, Deadline: time.Now().Add(5 * time.Second),
	}
}

// do sends a request through a new dispatcher and reads the answer to its end.
func do(t *testing.T, balancer *sequentialBalancer, request *Request) (*Answer, error) {
	t.Helper()
	ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
	defer cancel()
	answer, err := newTestDispatcher(t, balancer).Do(ctx, request)
	if answer != nil {
		_, readErr := io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
		if readErr != nil {
			return nil, readErr
		}
	}
	require.Zero(t, balancer.inFlight.Load(), "every picked endpoint must be reported")
	return answer, err
}

// echoRequest echoes the parts of the request that reach the back end.
func echoRequest(writer http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	fmt.Fprintf(writer, "%s %s %s own=%s conn=%q", request.Method, request.URL, body, request.Header.Get("X-Own"), request.Header.Get("Connection"))
}

// abortAnswer closes the connection without an answer.
func abortAnswer(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// refuseRequest answers that the request was not run.
func refuseRequest(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set(HeaderRun, "not_run")
	writer.Header().Set("Retry-After", "2")
	writer.WriteHeader(http.StatusServiceUnavailable)
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	address, _ := startBackEnd(t, echoRequest)
	answer, err := do(t, newBalancer(address), newTestRequest(true))
	require.NoError(t, err)
	require.Equal(t, `POST /pay?x=1 body own=kept conn=""`, string(answer.Buffered))
}

func TestAtMostOnceRequestIsNotRetriedAfterLostAnswer(t *testing.T) {
	broken, runs := startBackEnd(t, abortAnswer)
	healthy, healthyRuns := startBackEnd(t, echoRequest)
	_, err := do(t, newBalancer(broken, healthy), newTestRequest(true))
	require.True(t, result.Is(err, result.AnswerLost), "%v", err)
	require.Equal(t, result.Unknown, result.From(err).Execution())
	require.Equal(t, int64(1), runs.Load(), "the transport must not retry on its own")
	require.Zero(t, healthyRuns.Load())

	answer, err := do(t, newBalancer(broken, healthy), newTestRequest(false))
	require.NoError(t, err)
	require.Equal(t, 2, answer.Attempts)
}

// net/http retries requests with an idempotency key on its own if a reused connection turns out
// to be closed. The back end here closes each connection after one answer without announcing
// it, and no request may be sent twice.
func TestRequestOnClosedIdleConnectionIsNotReplayed(t *testing.T) {
	var served atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go answerFirstRequestOnly(connection, &served)
		}
	}()
	dispatcher := newTestDispatcher(t, newBalancer(listener.Addr().String()))
	for range 5 {
		request := newTestRequest(true)
		before := served.Load()
		ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
		_, err := dispatcher.Do(ctx, request)
		cancel()
		require.LessOrEqual(t, served.Load()-before, int64(1), "sent twice: %v", err)
	}
}

// answerFirstRequestOnly answers the first request on a connection, then reads the second one and
// closes the connection without an answer.
func answerFirstRequestOnly(connection net.Conn, served *atomic.Int64) {
	defer connection.Close()
	buffer := make([]byte, 4096)
	n, err := connection.Read(buffer)
	if err != nil {
		return
	}
	served.Add(1)
	id := "none"
	for _, line := range strings.Split(string(buffer[:n]), "\r\n") {
		if value, found := strings.CutPrefix(line, HeaderRequestID+": "); found {
			id = value
		}
	}
	fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", HeaderRequestID, id)
	if n, _ := connection.Read(buffer); n > 0 {
		served.Add(1)
	}
}

func TestUnsentAndRefusedRequestsAreRetriedElsewhere(t *testing.T) {
	refusing, _ := startBackEnd(t, refuseRequest)
	healthy, runs := startBackEnd(t, echoRequest)
	answer, err := do(t, newBalancer(unusedAddress(t), refusing, healthy), newTestRequest(true))
	require.NoError(t, err)
	require.Equal(t, 3, answer.Attempts)
	require.Equal(t, int64(1), runs.Load())

	_, err = do(t, newBalancer(unusedAddress(t)), newTestRequest(true))
	require.Equal(t, result.NotRun, result.From(err).Execution())
	_, err = do(t, newBalancer(refusing), newTestRequest(true))
	require.True(t, result.Is(err, result.NoBackEnd), "%v", err)
	require.Positive(t, result.From(err).RetryAfter)
}

func TestRequestToColdBackEndsIsRefusedWithRetryAfter(t *testing.T) {
	balancer := newBalancer()
	balancer.nextColdBudget = time.Now().Add(3 * time.Second)
	_, err := do(t, balancer, newTestRequest(true))
	require.True(t, result.Is(err, result.SamplersCold), "%v", err)
	require.Equal(t, result.NotRun, result.From(err).Execution())
	require.InDelta(t, 3, result.From(err).RetryAfter.Seconds(), 0.5)
}

func TestRefusalAfterLostAnswerDoesNotClaimNotRun(t *testing.T) {
	broken, _ := startBackEnd(t, abortAnswer)
	refusing, _ := startBackEnd(t, refuseRequest)
	for _, balancer := range []*sequentialBalancer{newBalancer(broken, refusing), newBalancer(broken), newBalancer(broken, unusedAddress(t))} {
		_, err := do(t, balancer, newTestRequest(false))
		require.Equal(t, result.Unknown, result.From(err).Execution(), "%v", err)
	}
}

// startCrashingBackEnd starts a back end that stops listening and drops the connection once it
// has read its first request, and returns its address.
func startCrashingBackEnd(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = connection.Read(make([]byte, 4096))
		_ = listener.Close()
		_ = connection.Close()
	}()
	return listener.Addr().String()
}

// attemptLogEntry holds the fields of a log line about a failed attempt.
type attemptLogEntry struct {
	Message string `json:"msg"`
	Digest  string `json:"digest"`
	BackEnd string `json:"back_end"`
	Crashed bool   `json:"ended"`
}

// Log lines of failed attempts must show which tries belong to the same request and whether the
// back end crashed. Without both, repeated tries of a request that crashes back ends cannot be
// told from requests that only lost their answers.
func TestAttemptLogHasRequestDigestAndBackEndCrash(t *testing.T) {
	dropping, _ := startBackEnd(t, abortAnswer)
	var lines bytes.Buffer
	balancer := newBalancer(startCrashingBackEnd(t), dropping, unusedAddress(t))
	dispatcher := newTestDispatcher(t, balancer)
	dispatcher.logger = event.NewLogger(&lines, slog.LevelInfo)
	request := newTestRequest(false)
	ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
	defer cancel()
	_, err := dispatcher.Do(ctx, request)
	require.Error(t, err)
	var attempts []attemptLogEntry
	for decoder := json.NewDecoder(&lines); ; {
		var line attemptLogEntry
		if decoder.Decode(&line) != nil {
			break
		}
		if line.Message == "attempt_failed" {
			attempts = append(attempts, line)
		}
	}
	require.Len(t, attempts, 3)
	require.Equal(t, []bool{true, false, false}, []bool{attempts[0].Crashed, attempts[1].Crashed, attempts[2].Crashed})
	repeated := newTestRequest(false)
	repeated.ID = "another try"
	for _, attempt := range attempts {
		require.Equal(t, repeated.digest().String(), attempt.Digest)
	}
}

// doTries sends the same request through one dispatcher once per balancer, and returns the error
// of the last try.
func doTries(t *testing.T, dispatcher *Dispatcher, tries ...*sequentialBalancer) error {
	t.Helper()
	var lastErr error
	for _, balancer := range tries {
		dispatcher.balancer = balancer
		request := newTestRequest(false)
		request.MaxAttempts = len(balancer.endpoints)
		ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
		answer, err := dispatcher.Do(ctx, request)
		cancel()
		if answer != nil {
			answer.Body.Close()
		}
		lastErr = err
	}
	return lastErr
}

// withIDPrefix sets the ids of a balancer's endpoints to the prefix and their index.
func withIDPrefix(prefix string, balancer *sequentialBalancer) *sequentialBalancer {
	for i := range balancer.endpoints {
		balancer.endpoints[i].ID = fmt.Sprint(prefix, i)
	}
	return balancer
}

// A request that crashes its back ends must be quarantined although each try of its caller has a
// new id. Otherwise every try crashes further back ends.
func TestRequestThatCrashesBackEndsIsQuarantined(t *testing.T) {
	healthy, runs := startBackEnd(t, echoRequest)
	dispatcher := newTestDispatcher(t, newBalancer())
	err := doTries(t, dispatcher,
		withIDPrefix("first", newBalancer(startCrashingBackEnd(t), startCrashingBackEnd(t))),
		withIDPrefix("second", newBalancer(startCrashingBackEnd(t), healthy)),
	)
	require.True(t, result.Is(err, result.AnswerLost), "the try was run: %v", err)
	require.Zero(t, runs.Load(), "the third crash must stop the attempts of the same try")
	err = doTries(t, dispatcher, withIDPrefix("third", newBalancer(healthy)))
	require.True(t, result.Is(err, result.RequestQuarantined), "%v", err)
	require.Equal(t, result.NotRun, result.From(err).Execution())
	require.Positive(t, result.From(err).RetryAfter)
	require.Zero(t, runs.Load())

	other := newTestRequest(false)
	other.Buffered = []byte("another body")
	other.Length = int64(len(other.Buffered))
	dispatcher.balancer = newBalancer(healthy)
	_, err = dispatcher.Do(context.Background(), other)
	require.NoError(t, err, "another request is served")
}

func TestAnsweredRequestIsNoLongerSuspected(t *testing.T) {
	healthy, _ := startBackEnd(t, echoRequest)
	dropping, _ := startBackEnd(t, abortAnswer)
	dispatcher := newTestDispatcher(t, newBalancer())
	for round := range 4 {
		err := doTries(t, dispatcher, withIDPrefix(fmt.Sprint("round", round), newBalancer(startCrashingBackEnd(t), dropping, healthy)))
		require.NoError(t, err, "round %d", round)
	}
}

func TestLostAnswersWithoutCrashesDoNotQuarantine(t *testing.T) {
	dropping, runs := startBackEnd(t, abortAnswer)
	dispatcher := newTestDispatcher(t, newBalancer())
	for range 5 {
		err := doTries(t, dispatcher, newBalancer(dropping))
		require.True(t, result.Is(err, result.AnswerLost), "%v", err)
	}
	require.EqualValues(t, 5, runs.Load())
}

// If a back end drops a reused connection, the HTTP transport on its own retries a request
// without a body, at whatever listens at the address by then. The dispatcher must prevent that.
func TestTransportDoesNotReplayRequestWithoutBody(t *testing.T) {
	var read atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go answerFirstRequestOnly(connection, &read)
		}
	}()
	dispatcher := newTestDispatcher(t, newBalancer(listener.Addr().String()))
	for range 2 {
		request := newTestRequest(false)
		request.Method, request.Buffered, request.Length, request.MaxAttempts = http.MethodGet, nil, 0, 1
		delete(request.Header, "Idempotency-Key")
		ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
		_, _ = dispatcher.Do(ctx, request)
		cancel()
	}
	require.EqualValues(t, 2, read.Load(), "each request must be sent once")
}

// If a caller disconnects before its request crashes the back end, a later attempt at that back
// end must detect the crash and attribute it to the request.
func TestCrashAfterCallerDisconnectedIsAttributed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	began := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		close(began)
		<-request.Context().Done()
	})}
	go func() { _ = server.Serve(listener) }()
	address := listener.Addr().String()
	healthy, _ := startBackEnd(t, echoRequest)
	dispatcher := newTestDispatcher(t, newBalancer(address))
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		<-began
		leave()
	}()
	_, err = dispatcher.Do(ctx, newTestRequest(true))
	require.True(t, result.Is(err, result.CallerGone), "%v", err)
	require.Zero(t, dispatcher.guard.Counts().Crashes)
	_ = server.Close()

	other := newTestRequest(false)
	other.Path = "/other"
	dispatcher.balancer = newBalancer(address, healthy)
	answer, err := dispatcher.Do(context.Background(), other)
	require.NoError(t, err)
	answer.Body.Close()
	require.Eventually(t, func() bool { return dispatcher.guard.Counts().Crashes == 1 }, time.Second, time.Millisecond)
	require.True(t, dispatcher.guard.Suspected(newTestRequest(true).digest), "the request of the disconnected caller")
	require.False(t, dispatcher.guard.Suspected(other.digest))
}

// A request whose deadline expired while the machine was suspended must not reach a back end,
// since its caller no longer waits.
func TestRequestThatExpiredDuringSuspensionIsNotSent(t *testing.T) {
	healthy, runs := startBackEnd(t, echoRequest)
	suspended := time.Duration(0)
	defer clock.Simulate(func() time.Duration { return suspended })()
	request := newTestRequest(false)
	request.Received = clock.CurrentMoment()
	suspended = time.Minute
	_, err := do(t, newBalancer(healthy), request)
	require.True(t, result.Is(err, result.DeadlineInQueue), "%v", err)
	require.Equal(t, result.NotRun, result.From(err).Execution())
	require.Zero(t, runs.Load())
}

func TestOldAbandonedAttemptsAreNotBlamedForCrash(t *testing.T) {
	now := time.Unix(1000, 0)
	abandoned, digest := newAbandonedAttempts(), newTestRequest(false).digest()
	abandoned.add("a", digest, now)
	require.Empty(t, abandoned.takeSuspects("a", now.Add(crashAttributionWindow+time.Millisecond)))
	abandoned.add("a", digest, now)
	abandoned.backEndAnswered("a", now.Add(survivalPeriod/2))
	require.Len(t, abandoned.takeSuspects("a", now.Add(survivalPeriod)), 1, "the back end may still crash because of the attempt")
	require.Empty(t, abandoned.takeSuspects("a", now.Add(survivalPeriod)), "each attempt is reported once")
	abandoned.add("a", digest, now)
	abandoned.backEndAnswered("a", now.Add(survivalPeriod+time.Millisecond))
	require.Empty(t, abandoned.takeSuspects("a", now.Add(2*survivalPeriod)), "the back end survived the attempt")
	for i := range 2 * maxAbandonedPerBackEnd {
		abandoned.add("a", digest, now.Add(time.Duration(i)))
	}
	require.Len(t, abandoned.takeSuspects("a", now.Add(time.Millisecond)), maxAbandonedPerBackEnd)
}

// An attempt of a suspected request must not time out before a slow back end crashes because of
// it.
func TestAttemptTimeoutDoesNotApplyToSuspectedRequest(t *testing.T) {
	healthy, _ := startBackEnd(t, echoRequest)
	release := make(chan struct{})
	slow, _ := startBackEnd(t, func(_ http.ResponseWriter, request *http.Request) {
		select {
		case <-release:
		case <-request.Context().Done():
		}
	})
	dispatcher := newTestDispatcher(t, newBalancer(slow, healthy))
	request := newTestRequest(false)
	request.AttemptTimeout = 20 * time.Millisecond
	dispatcher.guard.ReportCrash(t.Context(), request.digest(), "crashed back end")
	time.AfterFunc(5*request.AttemptTimeout, func() { close(release) })
	ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
	defer cancel()
	answer, err := dispatcher.Do(ctx, request)
	require.NoError(t, err)
	require.Equal(t, 1, answer.Attempts)
}

func TestCrashDuringStreamedAnswerIsReported(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(HeaderRequestID, request.Header.Get(HeaderRequestID))
		writer.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(writer, "data: begun\n\n")
		_ = http.NewResponseController(writer).Flush()
		_ = listener.Close()
		panic(http.ErrAbortHandler)
	})}
	go func() { _ = server.Serve(listener) }()
	dispatcher := newTestDispatcher(t, newBalancer(listener.Addr().String()))
	request := newTestRequest(false)
	ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
	defer cancel()
	answer, err := dispatcher.Do(ctx, request)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, answer.Body)
	require.Error(t, err)
	answer.Body.Close()
	require.Equal(t, 1, dispatcher.guard.Counts().Crashes)
}

func TestMismatchedAndTruncatedAnswersAreErrors(t *testing.T) {
	mismatched, _ := startBackEnd(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(HeaderRequestID, "another")
		fmt.Fprint(writer, "answer to another request")
	})
	_, err := do(t, newBalancer(mismatched), newTestRequest(true))
	require.True(t, result.Is(err, result.AnswerMismatch), "%v", err)
	for _, size := range []int{100, 2 * maxBufferedAnswerBytes} {
		truncated, _ := startBackEnd(t, func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Content-Length", fmt.Sprint(size))
			_, _ = writer.Write(make([]byte, size/2))
			_ = http.NewResponseController(writer).Flush()
			abortAnswer(nil, nil)
		})
		_, err := do(t, newBalancer(truncated), newTestRequest(true))
		isTruncated := result.Is(err, result.AnswerTruncated) || errors.Is(err, io.ErrUnexpectedEOF)
		require.True(t, isTruncated, "%d bytes: %v", size, err)
	}
}

func TestLeavingHeaderOfAnswerIsReported(t *testing.T) {
	address, _ := startBackEnd(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(HeaderLeaving, "true")
	})
	balancer := newBalancer(address)
	_, err := do(t, balancer, newTestRequest(true))
	require.NoError(t, err)
	require.Equal(t, []string{"b0"}, balancer.leaving)
}

// A random sequence of endings must never lead to a retry that the request's limits forbid.
func TestRetryPlanNeverRepeatsWhatMayHaveRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		plan := &RetryPlan{
			AtMostOnce: rapid.Bool().Draw(t, "at most once"), Replayable: rapid.Bool().Draw(t, "replayable"),
			MaxAttempts: rapid.IntRange(1, 5).Draw(t, "attempts"), Deadline: now.Add(50 * time.Millisecond),
		}
		for {
			ending := Ending(rapid.IntRange(int(Answered), int(Lost)).Draw(t, "ending"))
			bodyRead := rapid.Bool().Draw(t, "body read")
			decision, pause := plan.Next(now, ending, bodyRead)
			require.LessOrEqual(t, plan.Attempts(), plan.MaxAttempts)
			if decision == Stop {
				return
			}
			require.NotEqual(t, Answered, ending)
			require.False(t, plan.AtMostOnce && ending == Lost)
			require.False(t, bodyRead && !plan.Replayable)
			now = now.Add(pause)
			require.True(t, now.Before(plan.Deadline))
		}
	})
}

func TestRetryBudgetLimitsRetriesDuringOutage(t *testing.T) {
	budget := NewRetryBudget()
	retries := 0
	const requests = 10_000
	for range requests {
		budget.Earn()
		for range 3 {
			if budget.Spend() {
				retries++
			}
		}
	}
	require.LessOrEqual(t, float64(retries), maxAccumulatedRetries+requests*retriesPerRequest+1)
}

// failOn500Protocol is NativeProtocol, except that status 500 means that the back end ran the
// request and failed.
type failOn500Protocol struct{ NativeProtocol }

func (p failOn500Protocol) Verdict(request *Request, endpoint *routing.Endpoint, requestID string, response *http.Response) Verdict {
	if response.StatusCode == http.StatusInternalServerError {
		return Verdict{Ending: FailedByBackEnd}
	}
	return p.NativeProtocol.Verdict(request, endpoint, requestID, response)
}

// doWithFailOn500 sends a request through a new dispatcher that speaks failOn500Protocol.
func doWithFailOn500(t *testing.T, balancer *sequentialBalancer, request *Request) (*Answer, error) {
	t.Helper()
	dispatcher := newTestDispatcher(t, balancer)
	dispatcher.protocol = failOn500Protocol{}
	ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
	defer cancel()
	answer, err := dispatcher.Do(ctx, request)
	if answer != nil {
		answer.Body.Close()
	}
	return answer, err
}

// A failure answered by a back end carries no error, which once made the dispatcher panic. The
// request must be retried elsewhere, or the failure returned if no retry is possible.
func TestBackEndFailureIsRetriedOrReturned(t *testing.T) {
	failing := func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusInternalServerError) }
	first, firstRuns := startBackEnd(t, failing)
	second, secondRuns := startBackEnd(t, func(http.ResponseWriter, *http.Request) {})

	answer, err := doWithFailOn500(t, newBalancer(first, second), newTestRequest(false))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, answer.Status)
	require.EqualValues(t, 1, firstRuns.Load())
	require.EqualValues(t, 1, secondRuns.Load())

	answer, err = doWithFailOn500(t, newBalancer(first, second), newTestRequest(true))
	require.NoError(t, err)
	require.Equal(t, http.StatusInternalServerError, answer.Status, "an at-most-once request must get the failure")
	require.EqualValues(t, 1, secondRuns.Load())

	answer, err = doWithFailOn500(t, newBalancer(first, unusedAddress(t)), newTestRequest(false))
	require.NoError(t, err)
	require.Equal(t, http.StatusInternalServerError, answer.Status, "the request was run, so a later refusal must not replace the failure")
}

func TestUnresponsiveBackEndIsAbandonedAfterAttemptTimeout(t *testing.T) {
	release := make(chan struct{})
	unresponsive, _ := startBackEnd(t, func(_ http.ResponseWriter, request *http.Request) {
		select {
		case <-release:
		case <-request.Context().Done():
		}
	})
	t.Cleanup(func() { close(release) })
	quick, _ := startBackEnd(t, func(http.ResponseWriter, *http.Request) {})
	request := newTestRequest(false)
	request.AttemptTimeout = 20 * time.Millisecond
	answer, err := do(t, newBalancer(unresponsive, quick), request)
	require.NoError(t, err)
	require.Equal(t, 2, answer.Attempts)
}

func TestRequestToEvacuatedPoolIsRefused(t *testing.T) {
	balancer := newBalancer()
	balancer.evacuated = true
	_, err := do(t, balancer, newTestRequest(true))
	require.True(t, result.Is(err, result.ZoneEvacuated))
	require.Equal(t, result.NotRun, result.From(err).Execution())
	require.Equal(t, evacuationRetryAfter, result.From(err).RetryAfter)
}
