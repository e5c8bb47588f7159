package hosted

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/result"
)

// A job whose items could not be kept never runs, so its refusal is a promise.
func TestRefusalBeforeTheJobIsKeptPromisesThatItNeverRuns(t *testing.T) {
	for _, code := range []result.Code{result.LogUnknown, result.LogUnavailable} {
		err := notAccepted(result.New(code, "x"))
		require.True(t, result.Is(err, result.LogUnavailable))
		require.Equal(t, submitRetryAfter, result.From(err).RetryAfter)
	}
	require.True(t, result.Is(notAccepted(result.New(result.BodyTooLarge, "x")), result.BodyTooLarge))
}

// Two nodes without the log held a step for 2.5 s each before they refused it, and
// its trainer came 5 s late to a node that had it.
func TestNodeWithoutTheLogRefusesAJobSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newTestNode()
		require.Equal(t, submitTimeout, node.jobs.submitTimeout(), "it did not begin to follow the log")
		node.jobs.followed.Store(true)
		require.Equal(t, isolatedSubmitTimeout, node.jobs.submitTimeout(), "nothing was read yet")
		node.jobs.follower.Log = emptyLog{}
		require.NoError(t, node.jobs.follower.CatchUp(t.Context()))
		require.Equal(t, submitTimeout, node.jobs.submitTimeout())
		time.Sleep(maxLogReadAge + time.Millisecond)
		require.Equal(t, isolatedSubmitTimeout, node.jobs.submitTimeout())
	})
}
