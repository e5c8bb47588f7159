package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// clocks are readings that a test sets.
type clocks struct{ steady, boot, preempted time.Duration }

func (c *clocks) read() (reading, bool) {
	return reading{before: c.steady, boot: c.boot, after: c.steady + c.preempted}, true
}

func TestSuspensionIsNeverOverstatedNorForgotten(t *testing.T) {
	set := &clocks{steady: time.Hour, boot: 3 * time.Hour}
	suspended := newSuspension(set.read)
	require.Zero(t, suspended.slept(), "what was before the process does not count")
	set.steady += time.Minute
	set.boot += time.Minute + 4*time.Second
	set.preempted = time.Second
	require.Equal(t, 3*time.Second, suspended.slept(), "a preempted reading is surely apart by so much")
	set.preempted = 0
	require.Equal(t, 4*time.Second, suspended.slept())
	set.preempted = time.Minute
	require.Equal(t, 4*time.Second, suspended.slept(), "what was known stays known")
}
