package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAgeCountsSuspension(t *testing.T) {
	suspended := time.Duration(0)
	defer Simulate(func() time.Duration { return suspended })()
	moment, before := CurrentMoment(), Now()
	require.Less(t, moment.Age(), time.Second)
	suspended = 5 * time.Second
	require.InDelta(t, 5, moment.Age().Seconds(), 1)
	require.Equal(t, suspended, moment.SuspendedTime())
	require.InDelta(t, 5, Now().Sub(before).Seconds(), 1)
	require.Less(t, CurrentMoment().Age(), time.Second)
	require.True(t, Moment{}.IsZero())
	require.Greater(t, Moment{}.Age(), 24*time.Hour)
}

func TestNoSuspensionIsMeasuredOnARunningMachine(t *testing.T) {
	for range 1000 {
		require.Less(t, SuspendedTime(), 10*time.Millisecond)
	}
}

func BenchmarkSuspendedTime(b *testing.B) {
	for range b.N {
		SuspendedTime()
	}
}
