package event

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLinesOfOneCauseAreBounded(t *testing.T) {
	var limiter Limiter
	now := time.Unix(100, 0)
	written := 0
	for range 1000 {
		if limiter.Allow(now) {
			written++
		}
	}
	require.Equal(t, mostLines, written)
	require.True(t, limiter.Allow(now.Add(limitWindow)), "a new window begins")
}
