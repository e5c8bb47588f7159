package platformnode

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/blobstore"
)

func TestPausesOfLoadingGrowWithFullJitterUpToTheirLimit(t *testing.T) {
	var longest, shortest loadBackoff
	for _, limit := range []time.Duration{60, 120, 240, 480, 960, 1000, 1000} {
		require.Equal(t, limit*time.Millisecond, longest.fail(false, 1))
		require.Zero(t, shortest.fail(false, 0))
	}
	for range 100 {
		longest.fail(false, 1)
	}
	require.Equal(t, maxLoadRetryPause, longest.fail(false, 1))
	require.Equal(t, blobstore.ReadTimeout, longest.timeout(), "a refused read needs no more time")
}

func TestTimeoutOfLoadingGrowsBeyondTheQueueOfTheLog(t *testing.T) {
	const logQueue = 2 * time.Second
	var b loadBackoff
	require.Equal(t, blobstore.ReadTimeout, b.timeout())
	b.fail(true, 0)
	require.Equal(t, 2*blobstore.ReadTimeout, b.timeout())
	for range 100 {
		b.fail(true, 0)
	}
	require.Equal(t, maxLoadReadTimeout, b.timeout())
	require.Greater(t, b.timeout(), logQueue)
}
