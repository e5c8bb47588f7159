package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestForEndsAtTheTimeOrWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		require.True(t, For(context.Background(), time.Second))
		require.Equal(t, time.Second, time.Since(began))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		require.False(t, Until(ctx, time.Now().Add(time.Hour)))
		require.Equal(t, 2*time.Second, time.Since(began))
		require.False(t, For(ctx, 0))
	})
}

func TestEveryStepsAtOnceAndThenAtEachInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 3500*time.Millisecond)
		defer cancel()
		steps := 0
		Every(ctx, time.Second, func() { steps++ })
		require.Equal(t, 4, steps)
	})
}
