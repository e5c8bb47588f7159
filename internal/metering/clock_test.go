package metering

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestClockIgnoresTransientStepsAndAdoptsPersistentOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := &Clock{}
		start := time.Now()
		clock.base = start
		read := func(difference time.Duration) time.Duration {
			reading := time.Now()
			clock.mutex.Lock()
			clock.adoptStep(reading, difference)
			offset := clock.offset
			clock.mutex.Unlock()
			return offset
		}
		require.Zero(t, read(0))
		require.Zero(t, read(2*time.Second), "new step")
		time.Sleep(5 * time.Second)
		require.Zero(t, read(2*time.Second))
		require.Zero(t, read(0), "step reverted")
		time.Sleep(time.Minute)
		require.Zero(t, read(2*time.Second), "second step")
		time.Sleep(stepConfirmTime)
		require.Equal(t, 2*time.Second, read(2*time.Second), "step persisted")
		require.Equal(t, 2*time.Second, read(2*time.Second+minStep/2), "drift below minStep")
		require.Equal(t, 2*time.Second, read(0), "step back, not yet persisted")
		time.Sleep(stepConfirmTime)
		require.Zero(t, read(0))
	})
}

func TestClockAdvancesWithTheMonotonicClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := &Clock{Now: time.Now}
		first := clock.Read()
		time.Sleep(3 * time.Second)
		require.Equal(t, 3*time.Second, clock.Read().Sub(first))
		require.True(t, clock.At(time.Now()).Equal(time.Now()))
	})
}

// Guards against windows that are closed late after a suspension: the monotonic clock does
// not count the suspended time, so the clock would be behind by it until the step of the wall
// clock has persisted for stepConfirmTime.
func TestClockCountsTheTimeOfASuspension(t *testing.T) {
	suspended := time.Duration(0)
	at := time.Now()
	clock := &Clock{Now: func() time.Time { return at }, SuspendedTime: func() time.Duration { return suspended }}
	first := clock.Read()
	// The monotonic clock stands still while the time of day advances.
	suspended = 5 * time.Second
	require.Equal(t, suspended, clock.Read().Sub(first))
}
