package platformnode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/result"
)

// A job whose items could not be stored never runs, so its refusal must be the error that
// guarantees this, even if the outcome of storing the items is unknown.
func TestRefusalBeforeTheJobIsStoredGuaranteesThatItNeverRuns(t *testing.T) {
	for _, code := range []result.Code{result.LogUnknown, result.LogUnavailable} {
		err := notAccepted(result.New(code, "x"))
		require.True(t, result.Is(err, result.LogUnavailable))
		require.Equal(t, submitRetryAfter, result.From(err).RetryAfter)
	}
	require.True(t, result.Is(notAccepted(result.New(result.BodyTooLarge, "x")), result.BodyTooLarge))
}

// Guards against a late submission: two nodes without access to the log each retried a
// training step for 2.5 s before they refused it, so that its trainer reached a working
// node 5 s late.
func TestNodeWithoutTheLogRefusesAJobEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newTestNode()
		require.Equal(t, submitTimeout, node.jobs.submitTimeout(), "the node does not follow the log yet")
		node.jobs.following.Store(true)
		require.Equal(t, isolatedSubmitTimeout, node.jobs.submitTimeout(), "the log has not been read yet")
		node.jobs.follower.Log = emptyLog{}
		require.NoError(t, node.jobs.follower.CatchUp(t.Context()))
		require.Equal(t, submitTimeout, node.jobs.submitTimeout())
		time.Sleep(maxLogReadAge + time.Millisecond)
		require.Equal(t, isolatedSubmitTimeout, node.jobs.submitTimeout())
	})
}
