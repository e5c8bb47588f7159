package fanout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/result"
)

func TestDirectReadsSlowDownWhileTheyFail(t *testing.T) {
	pacer := NewDirectReadPacer()
	now := time.Now()
	// waitUntilAllowed returns how long it takes until the next read is allowed.
	waitUntilAllowed := func() time.Duration {
		began := now
		for !pacer.Allow(now) {
			now = now.Add(10 * time.Millisecond)
		}
		return now.Sub(began)
	}
	require.Zero(t, waitUntilAllowed())
	require.Equal(t, minDirectReadInterval, waitUntilAllowed())
	failure := result.New(result.LogUnavailable, "down")
	pacer.Record(0, failure, now)
	require.Equal(t, 2*minDirectReadInterval, waitUntilAllowed())
	pacer.Record(slowDirectRead, nil, now)
	require.Equal(t, 4*minDirectReadInterval, waitUntilAllowed())
	for range 10 {
		pacer.Record(0, failure, now)
	}
	require.Equal(t, maxDirectReadInterval, waitUntilAllowed())
	pacer.Record(0, nil, now)
	waitUntilAllowed()
	require.Equal(t, minDirectReadInterval, waitUntilAllowed())
}
