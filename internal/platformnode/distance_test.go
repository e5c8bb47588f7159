package platformnode

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/roundtrip"
)

func TestRoundTripIsLoggedOnSignificantChange(t *testing.T) {
	at := func(roundTrip time.Duration) roundtrip.Estimate {
		return roundtrip.Estimate{Smoothed: roundTrip, Timeout: roundTrip + roundtrip.Granularity}
	}
	near, far := at(5*time.Millisecond), at(94*time.Millisecond)
	require.False(t, changedSignificantly(at(0), at(0)), "no answer was received yet")
	require.True(t, changedSignificantly(at(0), near), "the first estimate is logged")
	require.False(t, changedSignificantly(near, at(20*time.Millisecond)), "both are below the threshold")
	require.False(t, changedSignificantly(far, at(150*time.Millisecond)))
	require.True(t, changedSignificantly(near, far))
	require.True(t, changedSignificantly(far, near))
	lost := near
	lost.Timeout *= 8
	require.False(t, changedSignificantly(near, lost), "lost calls do not change the round trip")
}
