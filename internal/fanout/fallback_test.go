package fanout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func always(value float64) func() float64 { return func() float64 { return value } }

func TestSpreadKeepsWithinAQuarterOfTheLimits(t *testing.T) {
	limits := LogLimits{BytesPerSecond: 80e6, ReadsPerSecond: 16_000}
	require.InDelta(t, 985*64e3/20e6, limits.Spread(985, 64e3).Seconds(), 1e-6)
	require.InDelta(t, 985/4000., limits.Spread(985, 1).Seconds(), 1e-6)
	require.Less(t, limits.Spread(1, 64e3), 10*time.Millisecond)
	require.Equal(t, maxSpread, limits.Spread(985, 1e9))
	require.Zero(t, LogLimits{}.Spread(985, 1e9), "unknown limits")
}

func TestFirstReadIsWithinTheSpread(t *testing.T) {
	now := time.Unix(100, 0)
	for _, random := range []float64{0, 0.25, 0.99} {
		fallback := NewFallback(always(random))
		require.False(t, fallback.Active())
		at := fallback.NextRead(now, 4*time.Second)
		require.Equal(t, now.Add(time.Duration(random*4e9)), at)
		require.True(t, fallback.Active())
		require.Equal(t, at, fallback.NextRead(now.Add(time.Second), 4*time.Second), "the time does not move")
		fallback.End()
		require.False(t, fallback.Active())
		require.Equal(t, at.Add(time.Minute), fallback.NextRead(now.Add(time.Minute), 4*time.Second), "a new fallback is spread again")
	}
}

func TestPausesGrowWhileTheLogIsSlowAndShrinkWhileItIsFast(t *testing.T) {
	now := time.Unix(100, 0)
	fallback := NewFallback(always(0.999999))
	fallback.NextRead(now, 0)
	pauseAfter := func(took time.Duration, answered bool) time.Duration {
		fallback.ReadEnded(now, took, answered, MinPagePause, 0)
		return fallback.NextRead(now, 0).Sub(now).Round(time.Millisecond)
	}
	require.Equal(t, MinPagePause, pauseAfter(time.Millisecond, true))
	var pauses []time.Duration
	for range 4 {
		pauses = append(pauses, pauseAfter(time.Millisecond, false))
	}
	for range 3 {
		pauses = append(pauses, pauseAfter(slowRead, true))
	}
	require.Equal(t, []time.Duration{250, 500, 1000, 2000, 4000, 8000, 8000}, milliseconds(pauses))
	pauses = nil
	for range 10 {
		pauses = append(pauses, pauseAfter(slowRead-1, true))
	}
	require.Equal(t, []time.Duration{4000, 2000, 1000, 500, 250, 125, 62, 31, 20, 20}, milliseconds(pauses))
	fallback.random = always(0)
	require.Equal(t, MinPagePause/2, pauseAfter(time.Millisecond, true), "the jitter is up to half of the pause")
}

func TestPauseAfterASlowReadHasAMinimum(t *testing.T) {
	now := time.Unix(100, 0)
	fallback := NewFallback(always(0.999999))
	fallback.NextRead(now, 0)
	var pauses []time.Duration
	for _, answered := range []bool{true, false, false, true} {
		fallback.ReadEnded(now, time.Millisecond, answered, MinPagePause, 3*time.Second)
		pauses = append(pauses, fallback.NextRead(now, 0).Sub(now).Round(time.Millisecond))
	}
	require.Equal(t, []time.Duration{20, 3000, 6000, 3000}, milliseconds(pauses))
}

func milliseconds(durations []time.Duration) []time.Duration {
	var counts []time.Duration
	for _, duration := range durations {
		counts = append(counts, duration/time.Millisecond)
	}
	return counts
}
