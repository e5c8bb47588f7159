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

// listBalancer offers addresses in turn, each once per request.
type listBalancer struct {
	// evacuated is set where only evacuations keep back ends from work.
	evacuated bool
	mutex     sync.Mutex
	endpoints []*routing.Endpoint
	leaving   []string
	// asked are the regions of each request for an endpoint.
	asked    []locality.Regions
	inFlight atomic.Int64
	// roomAgain is when cold endpoints have room, zero if none is cold.
	roomAgain time.Time
}

func balancerOf(addresses ...string) *listBalancer {
	balancer := &listBalancer{}
	for i, address := range addresses {
		balancer.endpoints = append(balancer.endpoints, &routing.Endpoint{ID: fmt.Sprint("b", i), Address: address})
	}
	return balancer
}

func (b *listBalancer) Pick(request *routing.Request) *routing.Endpoint {
	b.mutex.Lock()
	b.asked = append(b.asked, request.Regions)
	b.mutex.Unlock()
	if len(request.Excluded) >= len(b.endpoints) {
		return nil
	}
	b.inFlight.Add(1)
	return b.endpoints[len(request.Excluded)]
}

func (b *listBalancer) RoomAgain(*routing.Request) (time.Time, bool) {
	return b.roomAgain, !b.roomAgain.IsZero()
}

func (b *listBalancer) Report(*routing.Endpoint, Report) { b.inFlight.Add(-1) }

func (b *listBalancer) MarkLeaving(endpoint *routing.Endpoint) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.leaving = append(b.leaving, endpoint.ID)
}

func (b *listBalancer) Evacuated(string) bool { return b.evacuated }

func dispatcherOver(t *testing.T, balancer *listBalancer) *Dispatcher {
	t.Helper()
	exchanger := NewExchanger(network.TCP{})
	t.Cleanup(exchanger.Close)
	var ids atomic.Int64
	guard := quarantine.NewGuard(quarantine.Requests(), event.Discard())
	guard.SetTeller(&ownLog{guard: guard})
	return NewDispatcher(exchanger, OwnProtocol{}, balancer, guard, "zone", func() string { return fmt.Sprint("id-", ids.Add(1)) }, event.Discard())
}

// ownLog is a log with one reader and one writer.
type ownLog struct{ guard *quarantine.Guard }

func (l *ownLog) Tell(_ context.Context, record quarantine.Record) { l.guard.Merge(record) }

// backEnd starts a back end and returns its address and execution count.
func backEnd(t *testing.T, handler http.HandlerFunc) (string, *atomic.Int64) {
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

func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

func requestOf(atMostOnce bool) *Request {
	return &Request{
		Tenant: "shop", Pool: "p", Method: http.MethodPost, Path: "/pay?x=1", Buffered: []byte("body"), Length: 4,
		Header: http.Header{"Connection": {"close"}, "X-Own": {"kept"}, "Idempotency-Key": {"k"}}, IdempotencyKey: "k",
		AtMostOnce: atMostOnce, MaxAttempts: 3, Deadline: time.Now().Add(5 * time.Second),
	}
}

func do(t *testing.T, balancer *listBalancer, request *Request) (*Answer, error) {
	t.Helper()
	ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
	defer cancel()
	answer, err := dispatcherOver(t, balancer).Do(ctx, request)
	if answer != nil {
		_, readErr := io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
		if readErr != nil {
			return nil, readErr
		}
	}
	require.Zero(t, balancer.inFlight.Load(), "every started attempt must be reported")
	return answer, err
}

func ok(writer http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	fmt.Fprintf(writer, "%s %s %s own=%s conn=%q", request.Method, request.URL, body, request.Header.Get("X-Own"), request.Header.Get("Connection"))
}

func cutOff(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func refuse(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set(HeaderRun, "not_run")
	writer.Header().Set("Retry-After", "2")
	writer.WriteHeader(http.StatusServiceUnavailable)
}

func TestRequestPassesThroughUntouched(t *testing.T) {
	address, _ := backEnd(t, ok)
	answer, err := do(t, balancerOf(address), requestOf(true))
	require.NoError(t, err)
	require.Equal(t, `POST /pay?x=1 body own=kept conn=""`, string(answer.Buffered))
}

func TestAtMostOnceIsNotSentAgainAfterALostAnswer(t *testing.T) {
	broken, runs := backEnd(t, cutOff)
	healthy, healthyRuns := backEnd(t, ok)
	_, err := do(t, balancerOf(broken, healthy), requestOf(true))
	require.True(t, result.Is(err, result.AnswerLost), "%v", err)
	require.Equal(t, result.Unknown, result.From(err).Run())
	require.Equal(t, int64(1), runs.Load(), "the transport must not replay by itself")
	require.Zero(t, healthyRuns.Load())

	answer, err := do(t, balancerOf(broken, healthy), requestOf(false))
	require.NoError(t, err)
	require.Equal(t, 2, answer.Attempts)
}

// TestConnectionThatDiedIdleIsNotReplayed closes connections after one answer
// without saying so, which is when net/http replays requests that carry an
// idempotency key.
func TestConnectionThatDiedIdleIsNotReplayed(t *testing.T) {
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
			go answerOnceThenSwallow(connection, &served)
		}
	}()
	dispatcher := dispatcherOver(t, balancerOf(listener.Addr().String()))
	for range 5 {
		request := requestOf(true)
		before := served.Load()
		ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
		_, err := dispatcher.Do(ctx, request)
		cancel()
		require.LessOrEqual(t, served.Load()-before, int64(1), "sent twice: %v", err)
	}
}

// answerOnceThenSwallow answers the first request and reads the second one
// before it closes the connection.
func answerOnceThenSwallow(connection net.Conn, served *atomic.Int64) {
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

func TestUnsentAndRefusedRequestsGoToAnother(t *testing.T) {
	refusing, _ := backEnd(t, refuse)
	healthy, runs := backEnd(t, ok)
	answer, err := do(t, balancerOf(unusedAddress(t), refusing, healthy), requestOf(true))
	require.NoError(t, err)
	require.Equal(t, 3, answer.Attempts)
	require.Equal(t, int64(1), runs.Load())

	_, err = do(t, balancerOf(unusedAddress(t)), requestOf(true))
	require.Equal(t, result.NotRun, result.From(err).Run())
	_, err = do(t, balancerOf(refusing), requestOf(true))
	require.True(t, result.Is(err, result.NoBackEnd), "%v", err)
	require.Positive(t, result.From(err).RetryAfter)
}

func TestColdBackEndsAreRefusedAtOnceWithTheTimeOfTheirRoom(t *testing.T) {
	balancer := balancerOf()
	balancer.roomAgain = time.Now().Add(3 * time.Second)
	_, err := do(t, balancer, requestOf(true))
	require.True(t, result.Is(err, result.SamplersCold), "%v", err)
	require.Equal(t, result.NotRun, result.From(err).Run())
	require.InDelta(t, 3, result.From(err).RetryAfter.Seconds(), 0.5)
}

func TestRefusalAfterALostAnswerIsNotCalledNotRun(t *testing.T) {
	broken, _ := backEnd(t, cutOff)
	refusing, _ := backEnd(t, refuse)
	for _, balancer := range []*listBalancer{balancerOf(broken, refusing), balancerOf(broken), balancerOf(broken, unusedAddress(t))} {
		_, err := do(t, balancer, requestOf(false))
		require.Equal(t, result.Unknown, result.From(err).Run(), "%v", err)
	}
}

// endingBackEnd is a back end that ends under the first request that it reads.
func endingBackEnd(t *testing.T) string {
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

// attemptLine is what a log line tells of a failed attempt.
type attemptLine struct {
	Message string `json:"msg"`
	Digest  string `json:"digest"`
	BackEnd string `json:"back_end"`
	Ended   bool   `json:"ended"`
}

// Lines of an incident could not tell tries of one request that ended its back ends from
// requests that lost their answers.
func TestLinesJoinTheTriesOfARequestAndTellBackEndsThatEnded(t *testing.T) {
	dropping, _ := backEnd(t, cutOff)
	var lines bytes.Buffer
	balancer := balancerOf(endingBackEnd(t), dropping, unusedAddress(t))
	dispatcher := dispatcherOver(t, balancer)
	dispatcher.logger = event.NewLogger(&lines, slog.LevelInfo)
	request := requestOf(false)
	ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
	defer cancel()
	_, err := dispatcher.Do(ctx, request)
	require.Error(t, err)
	var attempts []attemptLine
	for decoder := json.NewDecoder(&lines); ; {
		var line attemptLine
		if decoder.Decode(&line) != nil {
			break
		}
		if line.Message == "attempt_failed" {
			attempts = append(attempts, line)
		}
	}
	require.Len(t, attempts, 3)
	require.Equal(t, []bool{true, false, false}, []bool{attempts[0].Ended, attempts[1].Ended, attempts[2].Ended})
	again := requestOf(false)
	again.ID = "another try"
	for _, attempt := range attempts {
		require.Equal(t, again.digest().String(), attempt.Digest)
	}
}

// doAgain sends further tries of a request through one dispatcher, each at back ends of its
// own, and returns how the last ended.
func doAgain(t *testing.T, dispatcher *Dispatcher, tries ...*listBalancer) error {
	t.Helper()
	var last error
	for _, balancer := range tries {
		dispatcher.balancer = balancer
		request := requestOf(false)
		request.MaxAttempts = len(balancer.endpoints)
		ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
		answer, err := dispatcher.Do(ctx, request)
		cancel()
		if answer != nil {
			answer.Body.Close()
		}
		last = err
	}
	return last
}

// named gives the back ends of a balancer ids of their own.
func named(prefix string, balancer *listBalancer) *listBalancer {
	for i := range balancer.endpoints {
		balancer.endpoints[i].ID = fmt.Sprint(prefix, i)
	}
	return balancer
}

// A request under new ids took down whatever ran it, however often it came.
func TestRequestUnderWhichBackEndsEndedIsHeldBack(t *testing.T) {
	healthy, runs := backEnd(t, ok)
	dispatcher := dispatcherOver(t, balancerOf())
	err := doAgain(t, dispatcher,
		named("first", balancerOf(endingBackEnd(t), endingBackEnd(t))),
		named("second", balancerOf(endingBackEnd(t), healthy)),
	)
	require.True(t, result.Is(err, result.AnswerLost), "the try itself ran: %v", err)
	require.Zero(t, runs.Load(), "the third end forbids another attempt of the same try")
	err = doAgain(t, dispatcher, named("third", balancerOf(healthy)))
	require.True(t, result.Is(err, result.RequestQuarantined), "%v", err)
	require.Equal(t, result.NotRun, result.From(err).Run())
	require.Positive(t, result.From(err).RetryAfter)
	require.Zero(t, runs.Load())

	other := requestOf(false)
	other.Buffered = []byte("another body")
	other.Length = int64(len(other.Buffered))
	dispatcher.balancer = balancerOf(healthy)
	_, err = dispatcher.Do(context.Background(), other)
	require.NoError(t, err, "another request is served")
}

func TestBackEndThatSurvivesARequestClearsIt(t *testing.T) {
	healthy, _ := backEnd(t, ok)
	dropping, _ := backEnd(t, cutOff)
	dispatcher := dispatcherOver(t, balancerOf())
	for round := range 4 {
		err := doAgain(t, dispatcher, named(fmt.Sprint("round", round), balancerOf(endingBackEnd(t), dropping, healthy)))
		require.NoError(t, err, "round %d", round)
	}
}

func TestAnswersThatAreLostAloneHoldNothingBack(t *testing.T) {
	dropping, runs := backEnd(t, cutOff)
	dispatcher := dispatcherOver(t, balancerOf())
	for range 5 {
		err := doAgain(t, dispatcher, balancerOf(dropping))
		require.True(t, result.Is(err, result.AnswerLost), "%v", err)
	}
	require.EqualValues(t, 5, runs.Load())
}

// The HTTP transport sent a request without a body once more by itself, to whatever listened
// at the address by then, when the back end ended on a connection that had been used before.
func TestTransportReplaysNoRequestWithoutABody(t *testing.T) {
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
			go answerOnceThenSwallow(connection, &read)
		}
	}()
	dispatcher := dispatcherOver(t, balancerOf(listener.Addr().String()))
	for range 2 {
		request := requestOf(false)
		request.Method, request.Buffered, request.Length, request.MaxAttempts = http.MethodGet, nil, 0, 1
		delete(request.Header, "Idempotency-Key")
		ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
		_, _ = dispatcher.Do(ctx, request)
		cancel()
	}
	require.EqualValues(t, 2, read.Load(), "each was sent once")
}

// A caller left before its request had crashed the back end: nobody was there to see it.
func TestBackEndThatEndsAfterItsCallerLeftCounts(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	began := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		close(began)
		<-request.Context().Done()
	})}
	go func() { _ = server.Serve(listener) }()
	address := listener.Addr().String()
	healthy, _ := backEnd(t, ok)
	dispatcher := dispatcherOver(t, balancerOf(address))
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		<-began
		leave()
	}()
	_, err = dispatcher.Do(ctx, requestOf(true))
	require.True(t, result.Is(err, result.CallerGone), "%v", err)
	require.Zero(t, dispatcher.guard.Counts().Ended)
	_ = server.Close()

	other := requestOf(false)
	other.Path = "/other"
	dispatcher.balancer = balancerOf(address, healthy)
	answer, err := dispatcher.Do(context.Background(), other)
	require.NoError(t, err)
	answer.Body.Close()
	require.Eventually(t, func() bool { return dispatcher.guard.Counts().Ended == 1 }, time.Second, time.Millisecond)
	require.True(t, dispatcher.guard.Suspected(requestOf(true).digest), "the request that had left")
	require.False(t, dispatcher.guard.Suspected(other.digest))
}

// A request that waited while its machine was suspended went on to a back end, long after its
// caller had left.
func TestRequestWhoseCallerLeftDuringASuspensionIsNotSent(t *testing.T) {
	healthy, runs := backEnd(t, ok)
	slept := time.Duration(0)
	defer clock.Simulate(func() time.Duration { return slept })()
	request := requestOf(false)
	request.Received = clock.Mark()
	slept = time.Minute
	_, err := do(t, balancerOf(healthy), request)
	require.True(t, result.Is(err, result.DeadlineInQueue), "%v", err)
	require.Equal(t, result.NotRun, result.From(err).Run())
	require.Zero(t, runs.Load())
}

func TestOldDeparturesEndNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	left, digest := newDepartures(), requestOf(false).digest()
	left.note("a", digest, now)
	require.Empty(t, left.ended("a", now.Add(departureWindow+time.Millisecond)))
	left.note("a", digest, now)
	left.answered("a", now.Add(survivalTime/2))
	require.Len(t, left.ended("a", now.Add(survivalTime)), 1, "it may still end under it")
	require.Empty(t, left.ended("a", now.Add(survivalTime)), "once")
	left.note("a", digest, now)
	left.answered("a", now.Add(survivalTime+time.Millisecond))
	require.Empty(t, left.ended("a", now.Add(2*survivalTime)), "it went on answering")
	for i := range 2 * mostDepartures {
		left.note("a", digest, now.Add(time.Duration(i)))
	}
	require.Len(t, left.ended("a", now.Add(time.Millisecond)), mostDepartures)
}

// The time for an attempt was over before a slow back end ended under it.
func TestSuspectIsWaitedFor(t *testing.T) {
	healthy, _ := backEnd(t, ok)
	release := make(chan struct{})
	slow, _ := backEnd(t, func(_ http.ResponseWriter, request *http.Request) {
		select {
		case <-release:
		case <-request.Context().Done():
		}
	})
	dispatcher := dispatcherOver(t, balancerOf(slow, healthy))
	request := requestOf(false)
	request.AttemptTimeout = 20 * time.Millisecond
	dispatcher.guard.Heard(request.digest(), "one that ended")
	time.AfterFunc(5*request.AttemptTimeout, func() { close(release) })
	ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
	defer cancel()
	answer, err := dispatcher.Do(ctx, request)
	require.NoError(t, err)
	require.Equal(t, 1, answer.Attempts)
}

func TestStreamThatIsCutWhereItsBackEndEndedCounts(t *testing.T) {
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
	dispatcher := dispatcherOver(t, balancerOf(listener.Addr().String()))
	request := requestOf(false)
	ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
	defer cancel()
	answer, err := dispatcher.Do(ctx, request)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, answer.Body)
	require.Error(t, err)
	answer.Body.Close()
	require.Equal(t, 1, dispatcher.guard.Counts().Ended)
}

func TestCrossedAndTruncatedAnswersAreErrors(t *testing.T) {
	crossed, _ := backEnd(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(HeaderRequestID, "another")
		fmt.Fprint(writer, "someone else's")
	})
	_, err := do(t, balancerOf(crossed), requestOf(true))
	require.True(t, result.Is(err, result.AnswerMismatch), "%v", err)
	for _, size := range []int{100, 2 * bufferedAnswerBytes} {
		truncated, _ := backEnd(t, func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Content-Length", fmt.Sprint(size))
			_, _ = writer.Write(make([]byte, size/2))
			_ = http.NewResponseController(writer).Flush()
			cutOff(nil, nil)
		})
		_, err := do(t, balancerOf(truncated), requestOf(true))
		isTruncated := result.Is(err, result.AnswerTruncated) || errors.Is(err, io.ErrUnexpectedEOF)
		require.True(t, isTruncated, "%d bytes: %v", size, err)
	}
}

func TestLeavingIsTakenFromTheAnswer(t *testing.T) {
	address, _ := backEnd(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(HeaderLeaving, "true")
	})
	balancer := balancerOf(address)
	_, err := do(t, balancer, requestOf(true))
	require.NoError(t, err)
	require.Equal(t, []string{"b0"}, balancer.leaving)
}

// TestPlanNeverRepeatsWhatMayHaveRun draws endings and checks every decision.
func TestPlanNeverRepeatsWhatMayHaveRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		plan := &Plan{
			AtMostOnce: rapid.Bool().Draw(t, "at most once"), Replayable: rapid.Bool().Draw(t, "replayable"),
			MaxAttempts: rapid.IntRange(1, 5).Draw(t, "attempts"), Deadline: now.Add(50 * time.Millisecond),
		}
		for {
			ending := Ending(rapid.IntRange(int(Answered), int(Lost)).Draw(t, "ending"))
			bodyRead := rapid.Bool().Draw(t, "body read")
			step, pause := plan.Next(now, ending, bodyRead)
			require.LessOrEqual(t, plan.Attempts(), plan.MaxAttempts)
			if step == Stop {
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

func TestBudgetBoundsRetriesInAnOutage(t *testing.T) {
	budget := NewBudget()
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
	require.LessOrEqual(t, float64(retries), budgetMax+requests*budgetRatio+1)
}

// failingProtocol is the own protocol but for answers of 500, which count as the
// back end's own failure.
type failingProtocol struct{ OwnProtocol }

func (p failingProtocol) Verdict(request *Request, endpoint *routing.Endpoint, requestID string, response *http.Response) Verdict {
	if response.StatusCode == http.StatusInternalServerError {
		return Verdict{Ending: FailedByBackEnd}
	}
	return p.OwnProtocol.Verdict(request, endpoint, requestID, response)
}

func doFailing(t *testing.T, balancer *listBalancer, request *Request) (*Answer, error) {
	t.Helper()
	dispatcher := dispatcherOver(t, balancer)
	dispatcher.protocol = failingProtocol{}
	ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
	defer cancel()
	answer, err := dispatcher.Do(ctx, request)
	if answer != nil {
		answer.Body.Close()
	}
	return answer, err
}

// A failure without an error of its own made the dispatcher panic on the bench.
func TestBackEndsOwnFailureIsTriedElsewhereOrPassedOn(t *testing.T) {
	failing := func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusInternalServerError) }
	first, firstRuns := backEnd(t, failing)
	second, secondRuns := backEnd(t, func(http.ResponseWriter, *http.Request) {})

	answer, err := doFailing(t, balancerOf(first, second), requestOf(false))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, answer.Status)
	require.EqualValues(t, 1, firstRuns.Load())
	require.EqualValues(t, 1, secondRuns.Load())

	answer, err = doFailing(t, balancerOf(first, second), requestOf(true))
	require.NoError(t, err)
	require.Equal(t, http.StatusInternalServerError, answer.Status, "a request that must not be repeated gets the failure")
	require.EqualValues(t, 1, secondRuns.Load())

	answer, err = doFailing(t, balancerOf(first, unusedAddress(t)), requestOf(false))
	require.NoError(t, err)
	require.Equal(t, http.StatusInternalServerError, answer.Status, "it ran, so no later refusal may say otherwise")
}

func TestSilentBackEndIsLeftAfterTheAttemptTimeout(t *testing.T) {
	release := make(chan struct{})
	silent, _ := backEnd(t, func(_ http.ResponseWriter, request *http.Request) {
		select {
		case <-release:
		case <-request.Context().Done():
		}
	})
	t.Cleanup(func() { close(release) })
	quick, _ := backEnd(t, func(http.ResponseWriter, *http.Request) {})
	request := requestOf(false)
	request.AttemptTimeout = 20 * time.Millisecond
	answer, err := do(t, balancerOf(silent, quick), request)
	require.NoError(t, err)
	require.Equal(t, 2, answer.Attempts)
}

func TestRequestWhosePoolIsEvacuatedIsRefusedAtOnce(t *testing.T) {
	balancer := balancerOf()
	balancer.evacuated = true
	_, err := do(t, balancer, requestOf(true))
	require.True(t, result.Is(err, result.ZoneEvacuated))
	require.Equal(t, result.NotRun, result.From(err).Run())
	require.Equal(t, evacuationHint, result.From(err).RetryAfter)
}
