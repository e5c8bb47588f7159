package platformnode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/catalog"
	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/schedule"
)

// suspension simulates a suspended machine: the monotonic clock stands still for slept.
type suspension struct{ slept time.Duration }

func simulateSuspension(t *testing.T) *suspension {
	t.Helper()
	s := &suspension{}
	t.Cleanup(clock.Simulate(func() time.Duration { return s.slept }))
	return s
}

func TestSuspendedNodeHasNoCurrentLog(t *testing.T) {
	suspended := simulateSuspension(t)
	synctest.Test(t, func(t *testing.T) {
		node := readyNode(t, silentGroup{})
		require.True(t, node.Ready(t.Context()))
		require.True(t, node.jobs.hasCurrentLog())
		suspended.slept = maxLogReadAge
		require.False(t, node.jobs.hasCurrentLog())
		require.False(t, node.Ready(t.Context()))
	})
}

// A node that was suspended cannot know whether an unknown route was added meanwhile.
func TestSuspendedNodeDoesNotDenyUnknownRoutes(t *testing.T) {
	suspended := simulateSuspension(t)
	node := readyNode(t, silentGroup{})
	read := clock.CurrentMoment()
	node.SetConfigurationAge(read.Age)
	_, err := node.Admit(t.Context(), "no-such-host", "/", "")
	require.True(t, result.Is(err, result.UnknownRoute), "%v", err)
	suspended.slept = maxDenialAge
	_, err = node.Admit(t.Context(), "no-such-host", "/", "")
	require.True(t, result.Is(err, result.NotReady), "%v", err)
}

// A worker cancels its runs when it has not heard from the executor for workerLease,
// including the time for which the worker was suspended.
func TestSuspendedWorkerCancelsItsRuns(t *testing.T) {
	suspended := simulateSuspension(t)
	node := readyNode(t, silentGroup{})
	stopped := false
	node.worker.lastCallAt = clock.CurrentMoment()
	node.worker.runs[1] = &workerRun{number: 1, key: schedule.Key{Job: "j", Item: "i"}, stop: func() { stopped = true }}
	node.worker.step(time.Now())
	require.False(t, stopped)
	suspended.slept = workerLease
	node.worker.step(time.Now())
	require.True(t, stopped)
}

// Guards against passing a sampler the time that the caller had before the machine was
// suspended.
func TestSuspensionReducesTheRemainingTime(t *testing.T) {
	suspended := simulateSuspension(t)
	route := &catalog.Route{Timeout: 10 * time.Second, TrafficShares: []catalog.TrafficShare{{Service: "api", Weight: 1}}}
	received := clock.CurrentMoment()
	request := newDispatchRequest(route, &Inbound{Wait: 3 * time.Second}, received.Time().Add(3*time.Second))
	request.Received = received
	require.InDelta(t, 3, request.Remaining().Seconds(), 0.1)
	suspended.slept = 2 * time.Second
	require.InDelta(t, 1, request.Remaining().Seconds(), 0.1)
	suspended.slept = 5 * time.Second
	require.Zero(t, request.Remaining())
}
