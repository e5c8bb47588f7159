package hosted

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/roundtrip"
)

func TestDistanceIsToldWhenItChangesMuch(t *testing.T) {
	near := roundtrip.Estimate{Smoothed: 5 * time.Millisecond, Timeout: 100 * time.Millisecond}
	same := roundtrip.Estimate{Smoothed: 40 * time.Millisecond, Timeout: 150 * time.Millisecond}
	far := roundtrip.Estimate{Smoothed: 94 * time.Millisecond, Timeout: 200 * time.Millisecond}
	require.False(t, differsMuch(roundtrip.Estimate{}, roundtrip.Estimate{Timeout: time.Second}), "no answer yet")
	require.True(t, differsMuch(roundtrip.Estimate{}, near), "the first")
	require.False(t, differsMuch(near, same))
	require.True(t, differsMuch(near, far))
	require.True(t, differsMuch(far, near))
}
