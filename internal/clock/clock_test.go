package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAgeCountsSuspension(t *testing.T) {
	slept := time.Duration(0)
	defer Simulate(func() time.Duration { return slept })()
	mark, before := Mark(), Now()
	require.Less(t, mark.Age(), time.Second)
	slept = 5 * time.Second
	require.InDelta(t, 5, mark.Age().Seconds(), 1)
	require.Equal(t, slept, mark.Slept())
	require.InDelta(t, 5, Now().Sub(before).Seconds(), 1)
	require.Less(t, Mark().Age(), time.Second)
	require.True(t, Moment{}.IsZero())
	require.Greater(t, Moment{}.Age(), 24*time.Hour)
}

func TestMachineThatIsNotSuspendedIsNeverCalledSo(t *testing.T) {
	for range 1000 {
		require.Less(t, Slept(), 10*time.Millisecond)
	}
}

func BenchmarkSlept(b *testing.B) {
	for range b.N {
		Slept()
	}
}
