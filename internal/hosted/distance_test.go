package hosted

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/roundtrip"
)

func TestDistanceIsToldWhenItChangesMuch(t *testing.T) {
	at := func(roundTrip time.Duration) roundtrip.Estimate {
		return roundtrip.Estimate{Smoothed: roundTrip, Timeout: roundTrip + roundtrip.Granularity}
	}
	near, far := at(5*time.Millisecond), at(94*time.Millisecond)
	require.False(t, differsMuch(at(0), at(0)), "no answer yet")
	require.True(t, differsMuch(at(0), near), "the first")
	require.False(t, differsMuch(near, at(20*time.Millisecond)), "both are next door")
	require.False(t, differsMuch(far, at(150*time.Millisecond)))
	require.True(t, differsMuch(near, far))
	require.True(t, differsMuch(far, near))
	lost := near
	lost.Timeout *= 8
	require.False(t, differsMuch(near, lost), "lost calls do not make it farther")
}
