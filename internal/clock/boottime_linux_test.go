package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeClocks are clocks that a test sets. preempted is the time between the two reads of the
// monotonic clock.
type fakeClocks struct{ monotonic, boot, preempted time.Duration }

func (c *fakeClocks) read() (reading, bool) {
	return reading{before: c.monotonic, boot: c.boot, after: c.monotonic + c.preempted}, true
}

// A reading during which the thread was preempted is inexact. It must neither overstate the
// suspension nor lower a value that was returned before.
func TestSuspensionIsNeverOverstatedAndNeverDecreases(t *testing.T) {
	clocks := &fakeClocks{monotonic: time.Hour, boot: 3 * time.Hour}
	suspension := newSuspension(clocks.read)
	require.Zero(t, suspension.total(), "suspension before the first reading does not count")
	clocks.monotonic += time.Minute
	clocks.boot += time.Minute + 4*time.Second
	clocks.preempted = time.Second
	require.Equal(t, 3*time.Second, suspension.total(), "the preempted second is not counted as suspension")
	clocks.preempted = 0
	require.Equal(t, 4*time.Second, suspension.total())
	clocks.preempted = time.Minute
	require.Equal(t, 4*time.Second, suspension.total(), "an inexact reading does not lower the value")
}
