package warmup

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var began = time.Unix(1_000_000, 0)

// executors may send without knowing of each other.
const executors = 2

// arrival is a request at a sampler, by the sampler's own time.
type arrival struct {
	at   time.Duration
	cold bool
}

// mostWhileCold returns the most requests that a second which slides held of those that
// arrived while the sampler was cold.
func mostWhileCold(arrivals []arrival) int {
	most := 0
	for i, first := range arrivals {
		count := 0
		for _, later := range arrivals[i:] {
			if later.at-first.at <= time.Second && later.cold {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// Two executors send as much as their budgets let them, the second from any moment on;
// the sampler becomes cold at any moment, told of it late, never or twice, and the clock
// of the second goes on from another time of day.
func TestNoSecondIsOverTheBoundUnderATakeover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(1, 12).Draw(t, "per second")
		over := rapid.Float64Range(1, 2).Draw(t, "over")
		slack := rapid.Float64Range(1, 6).Draw(t, "slack")
		limits := NewLimits(3*time.Second, perSecond, over, slack)
		var budgets [executors]Budget
		for i := range budgets {
			budgets[i].SetLimits(limits)
		}
		starts := [executors]time.Duration{0, time.Duration(rapid.IntRange(0, 6000).Draw(t, "takeover")) * time.Millisecond}
		offsets := [executors]time.Duration{0, time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "clock")) * time.Hour}
		var arrivals []arrival
		var coldUntil time.Duration
		at := time.Duration(0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				coldUntil = at + limits.ColdFor
			case 1:
				told := time.Duration(rapid.IntRange(0, 3000).Draw(t, "told")) * time.Millisecond
				which := rapid.IntRange(0, executors-1).Draw(t, "told to")
				budgets[which].Told(told, began.Add(at+offsets[which]))
			case 2:
				budgets[0].Doubt(began.Add(at + offsets[0]))
			default:
				for i := range budgets {
					now := began.Add(at + offsets[i])
					for starts[i] <= at && budgets[i].Room(now) > 0 {
						budgets[i].Sent(now)
						arrivals = append(arrivals, arrival{at: at, cold: at < coldUntil})
					}
				}
			}
		}
		require.LessOrEqual(t, float64(mostWhileCold(arrivals)), perSecond*over+slack)
	})
}

// One sender whose clock steps back and forth never sends more in a second than it may.
func TestStepsOfTheClockDoNotAddToTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		b.SetLimits(Limits{ColdFor: time.Second, Cold: 3, Warm: 5})
		now := began
		var arrivals []arrival
		at := time.Duration(0)
		for range 60 {
			pause := time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond
			at += pause
			now = now.Add(pause)
			if rapid.IntRange(0, 9).Draw(t, "step back") == 0 {
				now = now.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(t, "by")) * time.Millisecond)
			}
			for b.Room(now) > 0 {
				b.Sent(now)
				arrivals = append(arrivals, arrival{at: at, cold: true})
			}
		}
		require.LessOrEqual(t, mostWhileCold(arrivals), 5)
	})
}

func TestSendersShareTheBound(t *testing.T) {
	limits := NewLimits(3*time.Second, 7.8, 1.5, 5)
	require.Equal(t, Limits{ColdFor: 3 * time.Second, Cold: 7, Warm: 8}, limits)
}

func TestServiceThatIsNeverColdHasNoBound(t *testing.T) {
	var b Budget
	b.SetLimits(NewLimits(0, 0, 1.5, 5))
	b.Doubt(began)
	b.Sent(began)
	require.Equal(t, Unlimited, b.Room(began))
	require.False(t, b.Cold(began))
}

func TestSameEntryDoesNotProlongTheCold(t *testing.T) {
	var b Budget
	b.SetLimits(Limits{ColdFor: 3 * time.Second, Cold: 3, Warm: 5})
	b.Told(2*time.Second, began)
	b.Told(2*time.Second, began.Add(time.Second))
	require.True(t, b.Cold(began.Add(1900*time.Millisecond)))
	require.False(t, b.Cold(began.Add(2*time.Second)))
}

func TestEntryThatIsLateDoesNotEndTheCold(t *testing.T) {
	var b Budget
	b.SetLimits(Limits{ColdFor: 3 * time.Second, Cold: 3, Warm: 5})
	b.Doubt(began)
	b.Told(time.Second, began)
	b.Told(0, began)
	require.True(t, b.Cold(began.Add(2900*time.Millisecond)))
}

func TestSamplerBecomesColdAgain(t *testing.T) {
	var b Budget
	b.SetLimits(Limits{ColdFor: 3 * time.Second, Cold: 3, Warm: 5})
	b.Told(time.Second, began)
	b.Told(0, began.Add(2*time.Second))
	b.Told(time.Second, began.Add(4*time.Second))
	require.True(t, b.Cold(began.Add(4500*time.Millisecond)))
}

func TestNextIsWhenTheWindowHasRoom(t *testing.T) {
	var b Budget
	b.SetLimits(Limits{ColdFor: 3 * time.Second, Cold: 2, Warm: 2})
	require.Equal(t, began, b.Next(began))
	b.Sent(began)
	b.Sent(began.Add(300 * time.Millisecond))
	later := began.Add(400 * time.Millisecond)
	require.Zero(t, b.Room(later))
	require.Equal(t, began.Add(window), b.Next(later))
}
