package event

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLimiterAllowsMaxLinesPerWindow(t *testing.T) {
	var limiter Limiter
	now := time.Unix(100, 0)
	written := 0
	for range 1000 {
		if limiter.Allow(now) {
			written++
		}
	}
	require.Equal(t, maxLinesPerWindow, written)
	require.True(t, limiter.Allow(now.Add(limitWindow)), "the next window must allow lines again")
}
