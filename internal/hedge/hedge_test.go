package hedge

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

var errLost = errors.New("lost")

func bounds(most int) Call {
	return Call{Most: most, After: func() time.Duration { return 100 * time.Millisecond }}
}

func TestFirstAnswerCounts(t *testing.T) {
	for _, one := range []struct {
		name     string
		answered int
		takes    time.Duration
		calls    int32
	}{{"at once", 0, time.Millisecond, 1}, {"the third", 2, 201 * time.Millisecond, 3}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			var calls atomic.Int32
			began := time.Now()
			number, err := First(ctx, bounds(4), func(number int) (int, error) {
				calls.Add(1)
				if number < one.answered {
					<-ctx.Done()
					return number, errLost
				}
				time.Sleep(time.Millisecond)
				return number, nil
			})
			require.NoError(t, err, one.name)
			require.Equal(t, one.answered, number, one.name)
			require.Equal(t, one.takes, time.Since(began), one.name)
			require.Equal(t, one.calls, calls.Load(), one.name)
			cancel()
			synctest.Wait()
		})
	}
}

func TestAllCallsFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var calls atomic.Int32
		_, err := First(ctx, bounds(2), func(int) (int, error) {
			calls.Add(1)
			<-ctx.Done()
			return 0, errLost
		})
		require.ErrorIs(t, err, errLost)
		require.EqualValues(t, 2, calls.Load(), "no more than the bound")
	})
}

func TestFailedCallIsNotRepeated(t *testing.T) {
	_, err := First(t.Context(), bounds(3), func(int) (int, error) { return 0, errLost })
	require.ErrorIs(t, err, errLost)
}
