package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestForReturnsAfterTheDurationOrWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		require.True(t, For(context.Background(), time.Second))
		require.Equal(t, time.Second, time.Since(start))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		require.False(t, Until(ctx, time.Now().Add(time.Hour)))
		require.Equal(t, 2*time.Second, time.Since(start))
		require.False(t, For(ctx, 0))
	})
}

func TestEveryRunsAtOnceAndThenAtEachInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 3500*time.Millisecond)
		defer cancel()
		runs := 0
		Every(ctx, time.Second, func() { runs++ })
		require.Equal(t, 4, runs)
	})
}
