package sharedlog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func almostOne() float64 { return 0.999999 }

func TestPausesGrowUpToTheirLimitAndEndWithAnAnswer(t *testing.T) {
	const maxPause = time.Second
	now := time.Unix(1_000_000, 0)
	var b readBackoff
	for _, limit := range []time.Duration{retryInterval, 2 * retryInterval, 4 * retryInterval, 8 * retryInterval, maxPause, maxPause} {
		b.recordFailure(false, maxPause, almostOne, now)
		require.InDelta(t, limit, b.notBefore.Sub(now), float64(time.Millisecond))
	}
	for range 100 {
		b.recordFailure(false, maxPause, almostOne, now)
	}
	require.LessOrEqual(t, b.notBefore.Sub(now), maxPause)
	b.recordFailure(false, maxPause, func() float64 { return 0 }, now)
	require.Equal(t, now, b.notBefore, "full jitter")
	b.recordAnswer(time.Millisecond, readTimeout)
	require.True(t, b.notBefore.IsZero())
	b.recordFailure(false, maxPause, almostOne, now)
	require.LessOrEqual(t, b.notBefore.Sub(now), retryInterval)
}

func TestPauseGrowsWithUnansweredProbes(t *testing.T) {
	var b readBackoff
	require.InDelta(t, 4*retryInterval, b.pause(2, time.Second, almostOne), float64(time.Millisecond))
}

func TestTimeoutGrowsOnlyWhenReadsRunOutOfTime(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var b readBackoff
	b.recordFailure(false, time.Second, almostOne, now)
	require.Equal(t, readTimeout, b.timeout(readTimeout, maxReadTimeout), "a refused read was not late")
	for _, timeout := range []time.Duration{2 * readTimeout, 4 * readTimeout, maxReadTimeout, maxReadTimeout} {
		b.recordFailure(true, time.Second, almostOne, now)
		require.Equal(t, timeout, b.timeout(readTimeout, maxReadTimeout))
	}
	require.Greater(t, maxReadTimeout, 2*time.Second, "the log queues answers for 2 s")
}

func TestTimeoutShrinksWhenAnswersAreFastAgain(t *testing.T) {
	var b readBackoff
	for range 2 {
		b.recordFailure(true, time.Second, almostOne, time.Unix(1_000_000, 0))
	}
	b.recordAnswer(2*readTimeout, readTimeout)
	require.Equal(t, 4*readTimeout, b.timeout(readTimeout, maxReadTimeout), "half the timeout would be too short")
	b.recordAnswer(readTimeout, readTimeout)
	require.Equal(t, 2*readTimeout, b.timeout(readTimeout, maxReadTimeout))
	b.recordAnswer(time.Millisecond, readTimeout)
	require.Equal(t, readTimeout, b.timeout(readTimeout, maxReadTimeout))
	b.recordAnswer(time.Millisecond, readTimeout)
	require.Equal(t, readTimeout, b.timeout(readTimeout, maxReadTimeout))
}
