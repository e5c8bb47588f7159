package hosted

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

// suspension lets a test suspend the machine: the steady clock stands for that time.
type suspension struct{ slept time.Duration }

func suspendable(t *testing.T) *suspension {
	t.Helper()
	s := &suspension{}
	t.Cleanup(clock.Simulate(func() time.Duration { return s.slept }))
	return s
}

func TestSuspendedNodeIsOutOfTouch(t *testing.T) {
	suspended := suspendable(t)
	synctest.Test(t, func(t *testing.T) {
		node := informedNode(t, silentGroup{})
		require.True(t, node.Ready(t.Context()))
		require.True(t, node.jobs.inTouch())
		suspended.slept = maxLogReadAge
		require.False(t, node.jobs.inTouch())
		require.False(t, node.Ready(t.Context()))
	})
}

// A node that was suspended cannot tell a route that was added meanwhile from none.
func TestSuspendedNodeDeniesNothing(t *testing.T) {
	suspended := suspendable(t)
	node := informedNode(t, silentGroup{})
	read := clock.Mark()
	node.WatchConfiguration(read.Age)
	_, err := node.Admit(t.Context(), "no-such-host", "/", "")
	require.True(t, result.Is(err, result.UnknownRoute), "%v", err)
	suspended.slept = denialLimit
	_, err = node.Admit(t.Context(), "no-such-host", "/", "")
	require.True(t, result.Is(err, result.NotReady), "%v", err)
}

// Runs that a worker carries end with the silence of the node that decides, also if the
// worker was suspended in it.
func TestSuspendedWorkerDropsItsRuns(t *testing.T) {
	suspended := suspendable(t)
	node := informedNode(t, silentGroup{})
	stopped := false
	node.worker.heardAt = clock.Mark()
	node.worker.runs[1] = &carriedRun{number: 1, key: schedule.Key{Job: "j", Item: "i"}, stop: func() { stopped = true }}
	node.worker.step(time.Now())
	require.False(t, stopped)
	suspended.slept = workerLease
	node.worker.step(time.Now())
	require.True(t, stopped)
}

// A sampler was told of all the time that the caller had before the machine was suspended.
func TestSuspensionShortensTheTimeThatIsLeft(t *testing.T) {
	suspended := suspendable(t)
	route := &catalog.Route{Timeout: 10 * time.Second, Shares: []catalog.Share{{Service: "api", Weight: 1}}}
	received := clock.Mark()
	request := requestOf(route, &Inbound{Wait: 3 * time.Second}, received.Time().Add(3*time.Second))
	request.Received = received
	require.InDelta(t, 3, request.Remaining().Seconds(), 0.1)
	suspended.slept = 2 * time.Second
	require.InDelta(t, 1, request.Remaining().Seconds(), 0.1)
	suspended.slept = 5 * time.Second
	require.Zero(t, request.Remaining())
}
