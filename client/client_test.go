package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// node starts a fake node and returns its address and request count.
func node(t *testing.T, handler http.HandlerFunc) (string, *atomic.Int64) {
	t.Helper()
	var count atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		count.Add(1)
		handler(writer, request)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), &count
}

func failing(code int, name string, run Run) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Pathbend-Result-Code", fmt.Sprint(code))
		writer.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintf(writer, `{"error": {"code": %d, "name": %q, "run": %q, "retry_after_ms": 5}}`, code, name, run)
	}
}

func fine(writer http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	fmt.Fprintf(writer, "%s %s", request.URL.Path, body)
}

func cut(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func call(t *testing.T, request Request, addresses ...string) (*Response, *Error) {
	t.Helper()
	c := New(Options{Addresses: addresses, Tenant: "shop", MaxAttempts: 3})
	defer c.Close()
	request.Route, request.Body = "pay", []byte("cash")
	response, err := c.Call(context.Background(), request)
	if err != nil {
		return nil, err.(*Error)
	}
	return response, nil
}

func TestNotRunGoesToAnotherNode(t *testing.T) {
	draining, _ := node(t, failing(2001, "draining", NotRun))
	healthy, _ := node(t, fine)
	response, failure := call(t, Request{AtMostOnce: true}, draining, healthy)
	require.Nil(t, failure)
	require.Equal(t, "/v1/tenants/shop/routes/pay cash", string(response.Body))
	require.Equal(t, 2, response.Attempts)
}

func TestUnknownIsRepeatedOnlyIfThatIsSafe(t *testing.T) {
	broken, runs := node(t, cut)
	healthy, _ := node(t, fine)
	_, failure := call(t, Request{AtMostOnce: true}, broken, healthy)
	require.Equal(t, Unknown, failure.Run)
	require.Equal(t, int64(1), runs.Load())
	for _, request := range []Request{{Repeatable: true}, {AtMostOnce: true, IdempotencyKey: "k"}} {
		response, failure := call(t, request, broken, healthy)
		require.Nil(t, failure)
		require.Equal(t, 2, response.Attempts)
	}
}

func TestRefusalAfterAnUnknownAttemptStaysUnknown(t *testing.T) {
	broken, _ := node(t, cut)
	draining, _ := node(t, failing(2001, "draining", NotRun))
	_, failure := call(t, Request{IdempotencyKey: "k"}, broken, draining, draining)
	require.Equal(t, Unknown, failure.Run)
}

func TestPermanentRefusalIsNotRepeated(t *testing.T) {
	refusing, count := node(t, failing(1003, "unknown_route", NotRun))
	_, failure := call(t, Request{Repeatable: true}, refusing)
	require.Equal(t, 1003, failure.Code)
	require.Equal(t, int64(1), count.Load())
}

// An earlier version waited for the hint of the last refusal before it told.
func TestLastRefusalIsReportedAtOnce(t *testing.T) {
	refusing, count := node(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Pathbend-Result-Code", "2003")
		writer.WriteHeader(http.StatusTooManyRequests)
		fmt.Fprint(writer, `{"error": {"code": 2003, "name": "rate_limited", "run": "not_run", "retry_after_ms": 3600000}}`)
	})
	c := New(Options{Addresses: []string{refusing}, Tenant: "shop", MaxAttempts: 1})
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err := c.Call(ctx, Request{Route: "pay"})
	require.Equal(t, 2003, err.(*Error).Code)
	require.NoError(t, ctx.Err())
	require.Equal(t, int64(1), count.Load())
}

func TestUnreachableNodeIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener.Close()
	_, failure := call(t, Request{AtMostOnce: true}, listener.Addr().String())
	require.Equal(t, NotRun, failure.Run)
}

// TestTrainerTakesEachSlotOnceAndNoneTooLate serves repeated, stale and expired
// samples, loses the job once, and cuts an answer.
func TestTrainerTakesEachSlotOnceAndNoneTooLate(t *testing.T) {
	var submits, pulls atomic.Int64
	address, _ := node(t, func(writer http.ResponseWriter, request *http.Request) {
		if !strings.HasSuffix(request.URL.Path, "/pull") {
			submits.Add(1)
			fmt.Fprint(writer, "{}")
			return
		}
		var pull pullRequest
		_ = json.NewDecoder(request.Body).Decode(&pull)
		switch pulls.Add(1) {
		case 1:
			failing(jobUnknown, "job_unknown", NotRun)(writer, request)
		case 2:
			cut(writer, request)
		case 3:
			fmt.Fprint(writer, `{"samples": [
				{"slot": 0, "max_trainer_version": 4, "discard_after_ms": 60000},
				{"slot": 1, "max_trainer_version": 5, "discard_after_ms": 0},
				{"slot": 2, "max_trainer_version": 5, "discard_after_ms": 60000},
				{"slot": 2, "max_trainer_version": 5, "discard_after_ms": 60000}]}`)
		default:
			held := fmt.Sprint(pull.Held)
			if held != "[{2 3}]" && held != "[{0 3}]" {
				t.Errorf("cursor %s", held)
			}
			fmt.Fprint(writer, `{"samples": [
				{"slot": 0, "max_trainer_version": 6, "discard_after_ms": 60000},
				{"slot": 1, "max_trainer_version": 6, "discard_after_ms": 60000}]}`)
		}
	})
	c := New(Options{Addresses: []string{address}, Tenant: "shop"})
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	job, err := c.Submit(ctx, JobSpec{JobID: "j", Model: "m", Prompts: []Prompt{{Samples: 3}}}, func() uint64 { return 5 }, nil)
	require.NoError(t, err)
	var slots []int
	for {
		sample, err := job.Next(ctx)
		if err == io.EOF {
			break
		}
		require.NoError(t, err)
		slots = append(slots, sample.Slot)
	}
	require.ElementsMatch(t, []int{0, 1, 2}, slots)
	require.Equal(t, int64(2), submits.Load(), "a lost job is submitted again")
	require.Equal(t, []int{0, 1, 2}, job.Held())
}

// silentNode takes requests and never answers, as a frozen machine does.
func silentNode(t *testing.T) (string, *atomic.Int64) {
	t.Helper()
	release := make(chan struct{})
	address, count := node(t, func(http.ResponseWriter, *http.Request) { <-release })
	t.Cleanup(func() { close(release) })
	return address, count
}

// With the first of three nodes stopped for 8 s, 26 % of the requests were lost: each
// went to it first and waited there for all of its time.
func TestSilentNodeIsLeft(t *testing.T) {
	silent, asked := silentNode(t)
	healthy, served := node(t, fine)
	c := New(Options{Addresses: []string{silent, healthy}, Tenant: "shop"})
	defer c.Close()
	for range 5 {
		response, err := c.Call(t.Context(), Request{Route: "pay", Repeatable: true, Timeout: time.Second})
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.Status)
	}
	require.EqualValues(t, 1, asked.Load())
	require.EqualValues(t, 5, served.Load())
}

func TestSilentNodeGetsNoSecondRequestThatMustNotBeRepeated(t *testing.T) {
	silent, asked := silentNode(t)
	healthy, _ := node(t, fine)
	c := New(Options{Addresses: []string{silent, healthy}, Tenant: "shop"})
	defer c.Close()
	request := Request{Route: "pay", AtMostOnce: true, Timeout: 50 * time.Millisecond}
	_, err := c.Call(t.Context(), request)
	require.Equal(t, Unknown, err.(*Error).Run, "it may have run")
	response, err := c.Call(t.Context(), request)
	require.NoError(t, err)
	require.Equal(t, 1, response.Attempts)
	require.EqualValues(t, 1, asked.Load())
}

func TestSpreadRequestsUseAllNodes(t *testing.T) {
	first, ofFirst := node(t, fine)
	second, ofSecond := node(t, fine)
	c := New(Options{Addresses: []string{first, second}, Tenant: "shop", Spread: true})
	defer c.Close()
	for range 6 {
		_, err := c.Call(t.Context(), Request{Route: "pay", Repeatable: true})
		require.NoError(t, err)
	}
	require.EqualValues(t, 3, ofFirst.Load())
	require.EqualValues(t, 3, ofSecond.Load())
}

func TestNodeThatWasSilentIsAskedFirstAgainLater(t *testing.T) {
	now := time.Unix(100, 0)
	n := newNodes([]string{"a", "b", "c"}, false)
	require.Equal(t, []int{0, 1, 2}, n.order(now))
	n.silent(0, now)
	require.Equal(t, []int{1, 2, 0}, n.order(now))
	n.answered(1)
	require.Equal(t, []int{1, 2, 0}, n.order(now.Add(avoidFor)))
}

// A keyed request that was cut for another attempt lost its outcome: the execution that
// the key belonged to ended with the cut ("key_outcome_lost" in a planned restart).
func TestRequestUnderAKeyIsNotCutForAnotherAttempt(t *testing.T) {
	silent, _ := silentNode(t)
	healthy, served := node(t, fine)
	c := New(Options{Addresses: []string{silent, healthy}, Tenant: "shop", MaxAttempts: 2})
	defer c.Close()
	_, err := c.Call(t.Context(), Request{Route: "pay", IdempotencyKey: "k", Timeout: 50 * time.Millisecond})
	require.Equal(t, Unknown, err.(*Error).Run)
	require.Zero(t, served.Load())
}
