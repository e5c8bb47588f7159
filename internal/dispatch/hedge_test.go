package dispatch

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/locality"
	"github.com/pathbend/pathbend/internal/result"
)

// heldBackEnd answers once released, and tells how its request ended.
func heldBackEnd(t *testing.T, release <-chan struct{}) (address string, ended chan bool) {
	t.Helper()
	ended = make(chan bool, 4)
	address, _ = backEnd(t, func(_ http.ResponseWriter, request *http.Request) {
		// The server notices that its caller left only once the body is read.
		_, _ = io.Copy(io.Discard, request.Body)
		select {
		case <-release:
			ended <- true
		case <-request.Context().Done():
			ended <- false
		}
	})
	return address, ended
}

// Of 35 authorisations in two seconds 8 were late while one of three back ends was seven
// times slower than usual: each waited for it alone.
func TestRequestAtASlowBackEndGoesToASecondToo(t *testing.T) {
	release := make(chan struct{})
	slow, ended := heldBackEnd(t, release)
	quick, quickRuns := backEnd(t, func(http.ResponseWriter, *http.Request) {})
	request := requestOf(false)
	request.HedgeAfter = 20 * time.Millisecond
	ctx, leave := context.WithCancel(t.Context())
	answer, err := dispatcherOver(t, balancerOf(slow, quick)).Do(ctx, request)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, answer.Status)
	require.EqualValues(t, 1, quickRuns.Load())
	leave()
	close(release)
	require.True(t, <-ended, "the other attempt runs to its end")
}

func TestRequestThatMayNotRunTwiceIsNotHedged(t *testing.T) {
	release := make(chan struct{})
	slow, _ := heldBackEnd(t, release)
	quick, quickRuns := backEnd(t, func(http.ResponseWriter, *http.Request) {})
	request := requestOf(true)
	request.HedgeAfter = time.Millisecond
	time.AfterFunc(50*time.Millisecond, func() { close(release) })
	_, err := do(t, balancerOf(slow, quick), request)
	require.NoError(t, err)
	require.Zero(t, quickRuns.Load())
}

// The caller leaves once both attempts have reached their back ends: it left after 100 ms
// before, when the second attempt had not always begun on a busy machine.
func TestBothAttemptsOfACallerThatLeftAreStopped(t *testing.T) {
	arrived, ended := make(chan struct{}), make(chan struct{})
	held := func(_ http.ResponseWriter, request *http.Request) {
		// The server notices that its caller left only once the body is read.
		_, _ = io.Copy(io.Discard, request.Body)
		arrived <- struct{}{}
		<-request.Context().Done()
		ended <- struct{}{}
	}
	first, _ := backEnd(t, held)
	second, _ := backEnd(t, held)
	request := requestOf(false)
	// Far beyond the test's own limit: only the caller's leave can end an attempt.
	request.HedgeAfter, request.Deadline = 10*time.Millisecond, time.Now().Add(time.Hour)
	ctx, leave := context.WithCancel(t.Context())
	dispatcher, done := dispatcherOver(t, balancerOf(first, second)), make(chan error)
	go func() {
		_, err := dispatcher.Do(ctx, request)
		done <- err
	}()
	<-arrived
	<-arrived
	leave()
	require.True(t, result.Is(<-done, result.CallerGone))
	<-ended
	<-ended
}

func TestBothAttemptsFailAndTheRequestGoesOn(t *testing.T) {
	failing := func(writer http.ResponseWriter, _ *http.Request) {
		time.Sleep(30 * time.Millisecond)
		writer.WriteHeader(http.StatusInternalServerError)
	}
	first, _ := backEnd(t, failing)
	second, _ := backEnd(t, failing)
	third, thirdRuns := backEnd(t, func(http.ResponseWriter, *http.Request) {})
	request := requestOf(false)
	request.HedgeAfter, request.MaxAttempts = 5*time.Millisecond, 3
	answer, err := doFailing(t, balancerOf(first, second, third), request)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, answer.Status)
	require.Equal(t, 3, answer.Attempts)
	require.EqualValues(t, 1, thirdRuns.Load())
}

// The first attempt, the one beside it and the one after both are all bound.
func TestRegionsBindEveryAttempt(t *testing.T) {
	failing := func(writer http.ResponseWriter, _ *http.Request) {
		time.Sleep(30 * time.Millisecond)
		writer.WriteHeader(http.StatusInternalServerError)
	}
	first, _ := backEnd(t, failing)
	second, _ := backEnd(t, failing)
	request := requestOf(false)
	request.HedgeAfter, request.MaxAttempts, request.Regions = 5*time.Millisecond, 3, locality.Only("north")
	balancer := balancerOf(first, second)
	_, err := doFailing(t, balancer, request)
	require.NoError(t, err, "the failure of a back end is its answer")
	require.Equal(t, []locality.Regions{request.Regions, request.Regions, request.Regions}, balancer.asked)
}

// The end of a request's time cancelled its attempts, which then told of a caller that had
// left: its connection was cut where a refusal was due (soak, seed 8801556).
func TestTimeOfAHedgedRequestThatIsOverIsNoCallerThatLeft(t *testing.T) {
	release := make(chan struct{})
	first, _ := heldBackEnd(t, release)
	second, _ := heldBackEnd(t, release)
	t.Cleanup(func() { close(release) })
	request := requestOf(false)
	request.HedgeAfter, request.Deadline = time.Millisecond, time.Now().Add(time.Hour)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := dispatcherOver(t, balancerOf(first, second)).Do(ctx, request)
	require.True(t, result.Is(err, result.DeadlineExceeded), "%v", err)
}
