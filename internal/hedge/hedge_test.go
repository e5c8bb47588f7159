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

// testPolicy returns a policy with a delay of 100 ms between calls.
func testPolicy(maxCalls int) Policy {
	return Policy{MaxCalls: maxCalls, Delay: func() time.Duration { return 100 * time.Millisecond }}
}

func TestFirstAnswerIsReturned(t *testing.T) {
	for _, test := range []struct {
		name         string
		answeredCall int
		elapsed      time.Duration
		calls        int32
	}{{"first call answers", 0, time.Millisecond, 1}, {"third call answers", 2, 201 * time.Millisecond, 3}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			var calls atomic.Int32
			began := time.Now()
			number, err := First(ctx, testPolicy(4), func(number int) (int, error) {
				calls.Add(1)
				if number < test.answeredCall {
					<-ctx.Done()
					return number, errLost
				}
				time.Sleep(time.Millisecond)
				return number, nil
			})
			require.NoError(t, err, test.name)
			require.Equal(t, test.answeredCall, number, test.name)
			require.Equal(t, test.elapsed, time.Since(began), test.name)
			require.Equal(t, test.calls, calls.Load(), test.name)
			cancel()
			synctest.Wait()
		})
	}
}

func TestLastErrorIsReturnedWhenAllCallsFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var calls atomic.Int32
		_, err := First(ctx, testPolicy(2), func(int) (int, error) {
			calls.Add(1)
			<-ctx.Done()
			return 0, errLost
		})
		require.ErrorIs(t, err, errLost)
		require.EqualValues(t, 2, calls.Load(), "calls are limited to the maximum")
	})
}

// A call that fails before the delay has passed ends the operation: only a missing
// answer is hedged, not an error.
func TestFailedCallIsNotRepeated(t *testing.T) {
	_, err := First(t.Context(), testPolicy(3), func(int) (int, error) { return 0, errLost })
	require.ErrorIs(t, err, errLost)
}
