package metering

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestClockIgnoresAJumpThatGoesAndFollowsOneThatStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := &Clock{}
		start := time.Now()
		clock.base = start
		read := func(jump time.Duration) time.Duration {
			reading := time.Now()
			clock.mutex.Lock()
			clock.follow(reading, jump)
			offset := clock.offset
			clock.mutex.Unlock()
			return offset
		}
		require.Zero(t, read(0))
		require.Zero(t, read(2*time.Second), "a jump")
		time.Sleep(5 * time.Second)
		require.Zero(t, read(2*time.Second))
		require.Zero(t, read(0), "it went")
		time.Sleep(time.Minute)
		require.Zero(t, read(2*time.Second), "another")
		time.Sleep(stepTrust)
		require.Equal(t, 2*time.Second, read(2*time.Second), "it stays")
		require.Equal(t, 2*time.Second, read(2*time.Second+stepSize/2), "drift")
		require.Equal(t, 2*time.Second, read(0), "back")
		time.Sleep(stepTrust)
		require.Zero(t, read(0))
	})
}

func TestClockGoesOnSteadily(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := &Clock{Now: time.Now}
		first := clock.Read()
		time.Sleep(3 * time.Second)
		require.Equal(t, 3*time.Second, clock.Read().Sub(first))
		require.True(t, clock.At(time.Now()).Equal(time.Now()))
	})
}

// A node that was suspended closed its windows seconds late, until the jump of its clock had
// lasted long enough to be followed.
func TestClockGoesOnWhileTheMachineIsSuspended(t *testing.T) {
	slept := time.Duration(0)
	at := time.Now()
	clock := &Clock{Now: func() time.Time { return at }, Slept: func() time.Duration { return slept }}
	first := clock.Read()
	// The steady reading stands, the time of day goes on.
	slept = 5 * time.Second
	require.Equal(t, slept, clock.Read().Sub(first))
}
