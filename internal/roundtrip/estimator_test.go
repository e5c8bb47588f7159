package roundtrip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testBounds = Bounds{MinTimeout: 100 * time.Millisecond, MaxTimeout: time.Second}

// drawMilliseconds draws a duration of minimum to maximum milliseconds.
func drawMilliseconds(t *rapid.T, label string, minimum, maximum int) time.Duration {
	return time.Duration(rapid.IntRange(minimum, maximum).Draw(t, label)) * time.Millisecond
}

// Whatever answers and abandoned calls are recorded, the timeout and the extra latency stay
// within the bounds.
func TestTimeoutStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimator := New(testBounds)
		var now time.Time
		for range rapid.IntRange(0, 80).Draw(t, "calls") {
			if rapid.Bool().Draw(t, "answered") {
				estimator.RecordAnswer(drawMilliseconds(t, "took", 0, 100_000), now)
			} else {
				now = now.Add(time.Minute)
				estimator.RecordAbandoned(drawMilliseconds(t, "after", 0, 10_000), now)
			}
			timeout := estimator.Estimate().Timeout
			if timeout < testBounds.MinTimeout || timeout > testBounds.MaxTimeout {
				t.Fatalf("timeout %v is out of bounds", timeout)
			}
			if extra := estimator.ExtraLatency(); extra < 0 || extra > timeout-testBounds.MinTimeout {
				t.Fatalf("extra latency is %v with a timeout of %v", extra, timeout)
			}
		}
	})
}

// The round-trip time changes abruptly, up or down. The timeout exceeds the new round-trip
// time after 3 answers, and has converged to within 5 ms of its steady value after 60 more.
func TestTimeoutFollowsAStepInRoundTripTime(t *testing.T) {
	const few, many = 3, 60
	rapid.Check(t, func(t *rapid.T) {
		estimator := New(testBounds)
		before, after := drawMilliseconds(t, "before", 1, 500), drawMilliseconds(t, "after", 1, 500)
		var now time.Time
		for range rapid.IntRange(1, 100).Draw(t, "answers before") {
			estimator.RecordAnswer(before, now)
		}
		for range few {
			estimator.RecordAnswer(after, now)
		}
		if timeout := estimator.Estimate().Timeout; timeout <= after {
			t.Fatalf("timeout is %v after %d answers that took %v", timeout, few, after)
		}
		for range many {
			estimator.RecordAnswer(after, now)
		}
		steady := max(after+Granularity, testBounds.MinTimeout)
		const tolerance = 5 * time.Millisecond
		if timeout := estimator.Estimate().Timeout; (timeout - steady).Abs() > tolerance {
			t.Fatalf("timeout is %v after %d answers that took %v", timeout, few+many, after)
		}
	})
}

// However many calls are lost in a row, the timeout never shrinks meanwhile, the extra
// latency is unchanged, and the next answer resets the backoff.
func TestAnswerResetsTheBackoffAfterManyLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimator := New(testBounds)
		roundTrip := drawMilliseconds(t, "round trip", 1, 300)
		var now time.Time
		for range 50 {
			estimator.RecordAnswer(roundTrip, now)
		}
		before := estimator.Estimate().Timeout
		extra := estimator.ExtraLatency()
		longest := before
		for range rapid.IntRange(1, 10_000).Draw(t, "lost") {
			now = now.Add(time.Minute)
			estimator.RecordAbandoned(2*time.Second, now)
			if timeout := estimator.Estimate().Timeout; timeout < longest {
				t.Fatalf("timeout shrank to %v from %v", timeout, longest)
			} else {
				longest = timeout
			}
		}
		if estimator.ExtraLatency() != extra {
			t.Fatalf("losses changed the extra latency from %v to %v", extra, estimator.ExtraLatency())
		}
		estimator.RecordAnswer(roundTrip, now)
		if after := estimator.Estimate().Timeout; after > before {
			t.Fatalf("timeout was %v before the losses and is %v after the next answer", before, after)
		}
	})
}

func TestLossLengthensTheTimeout(t *testing.T) {
	estimator := New(testBounds)
	for range 50 {
		estimator.RecordAnswer(90*time.Millisecond, time.Time{})
	}
	before := estimator.Estimate().Timeout
	now := time.Unix(1000, 0)
	estimator.RecordAbandoned(before-1, now)
	require.Equal(t, before, estimator.Estimate().Timeout, "the answer was not overdue")
	estimator.RecordAbandoned(before, now)
	require.Equal(t, 2*before, estimator.Estimate().Timeout)
	estimator.RecordAbandoned(time.Second, now.Add(time.Millisecond))
	require.Equal(t, 2*before, estimator.Estimate().Timeout, "the call was in flight when the other one was lost")
}

func TestAnsweredSinceReportsRecentAnswers(t *testing.T) {
	estimator := New(testBounds)
	start := time.Unix(1000, 0)
	require.False(t, estimator.AnsweredSince(time.Time{}), "no answer yet")
	estimator.RecordAnswer(time.Millisecond, start)
	require.True(t, estimator.AnsweredSince(start))
	require.False(t, estimator.AnsweredSince(start.Add(1)))
}

// Timeouts elsewhere are set for a service that answers in 4 ms: for such a service they must
// not be lengthened.
func TestExtraLatencyIsZeroForANearbyService(t *testing.T) {
	estimator := New(testBounds)
	require.Zero(t, estimator.ExtraLatency(), "no answer yet")
	for range 20 {
		estimator.RecordAnswer(4*time.Millisecond, time.Time{})
		require.Zero(t, estimator.ExtraLatency())
	}
}
