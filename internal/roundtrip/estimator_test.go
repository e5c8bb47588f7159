package roundtrip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testBounds = Bounds{Floor: 100 * time.Millisecond, Ceiling: time.Second}

// milliseconds draws a duration.
func milliseconds(t *rapid.T, label string, least, most int) time.Duration {
	return time.Duration(rapid.IntRange(least, most).Draw(t, label)) * time.Millisecond
}

func TestTimeoutStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimator := New(testBounds)
		var now time.Time
		for range rapid.IntRange(0, 80).Draw(t, "calls") {
			if rapid.Bool().Draw(t, "answered") {
				estimator.Answered(milliseconds(t, "took", 0, 100_000), now)
			} else {
				now = now.Add(time.Minute)
				estimator.GivenUp(milliseconds(t, "after", 0, 10_000), now)
			}
			timeout := estimator.Read().Timeout
			if timeout < testBounds.Floor || timeout > testBounds.Ceiling {
				t.Fatalf("time-out of %v", timeout)
			}
			if beyond := estimator.Beyond(); beyond < 0 || beyond > timeout-testBounds.Floor {
				t.Fatalf("beyond is %v at a time-out of %v", beyond, timeout)
			}
		}
	})
}

// A step of the delay, up or down, is followed: the time-out exceeds the new round trip
// after a few answers, and lies near it after some tens.
func TestTimeoutFollowsAStep(t *testing.T) {
	const few, tens = 3, 60
	rapid.Check(t, func(t *rapid.T) {
		estimator := New(testBounds)
		before, after := milliseconds(t, "before", 1, 500), milliseconds(t, "after", 1, 500)
		var now time.Time
		for range rapid.IntRange(1, 100).Draw(t, "answers before") {
			estimator.Answered(before, now)
		}
		for range few {
			estimator.Answered(after, now)
		}
		if timeout := estimator.Read().Timeout; timeout <= after {
			t.Fatalf("%v after %d answers of %v", timeout, few, after)
		}
		for range tens {
			estimator.Answered(after, now)
		}
		usual := max(after+Granularity, testBounds.Floor)
		const near = 5 * time.Millisecond
		if timeout := estimator.Read().Timeout; (timeout - usual).Abs() > near {
			t.Fatalf("%v after %d answers of %v", timeout, few+tens, after)
		}
	})
}

// However many calls were lost, the next answer brings the time-out back.
func TestBurstOfLossesDoesNotFreeze(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimator := New(testBounds)
		usual := milliseconds(t, "usual", 1, 300)
		var now time.Time
		for range 50 {
			estimator.Answered(usual, now)
		}
		before := estimator.Read().Timeout
		beyond := estimator.Beyond()
		longest := before
		for range rapid.IntRange(1, 10_000).Draw(t, "lost") {
			now = now.Add(time.Minute)
			estimator.GivenUp(2*time.Second, now)
			if timeout := estimator.Read().Timeout; timeout < longest {
				t.Fatalf("%v after %v", timeout, longest)
			} else {
				longest = timeout
			}
		}
		if estimator.Beyond() != beyond {
			t.Fatalf("losses moved the service from %v to %v", beyond, estimator.Beyond())
		}
		estimator.Answered(usual, now)
		if after := estimator.Read().Timeout; after > before {
			t.Fatalf("%v before, %v after", before, after)
		}
	})
}

func TestLossLengthensTheTimeout(t *testing.T) {
	estimator := New(testBounds)
	for range 50 {
		estimator.Answered(90*time.Millisecond, time.Time{})
	}
	before := estimator.Read().Timeout
	now := time.Unix(1000, 0)
	estimator.GivenUp(before-1, now)
	require.Equal(t, before, estimator.Read().Timeout, "it was not overdue")
	estimator.GivenUp(before, now)
	require.Equal(t, 2*before, estimator.Read().Timeout)
	estimator.GivenUp(time.Second, now.Add(time.Millisecond))
	require.Equal(t, 2*before, estimator.Read().Timeout, "it was sent before the other was lost")
}

func TestAnswersOfLateAreTold(t *testing.T) {
	estimator := New(testBounds)
	began := time.Unix(1000, 0)
	require.False(t, estimator.AnsweredSince(time.Time{}), "none yet")
	estimator.Answered(time.Millisecond, began)
	require.True(t, estimator.AnsweredSince(began))
	require.False(t, estimator.AnsweredSince(began.Add(1)))
}

// A service next door that answers in 4 ms is what constants were chosen for.
func TestNothingIsBeyondAServiceNextDoor(t *testing.T) {
	estimator := New(testBounds)
	require.Zero(t, estimator.Beyond(), "nothing is known")
	for range 20 {
		estimator.Answered(4*time.Millisecond, time.Time{})
		require.Zero(t, estimator.Beyond())
	}
}
