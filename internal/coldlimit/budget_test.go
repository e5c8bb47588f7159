package coldlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// executors is the number of executors that send without knowing of each other. It does not
// refer to maxSenders, so that a wrong value there fails the test.
const executors = 2

// arrival is a request that reached a sampler, with the time since the start of the test
// and whether the sampler was cold then.
type arrival struct {
	at   time.Duration
	cold bool
}

// maxPerSecondWhileCold returns the maximum number of requests in any second, counting
// only those that arrived while the sampler was cold.
func maxPerSecondWhileCold(arrivals []arrival) int {
	highest := 0
	for i, first := range arrivals {
		count := 0
		for _, later := range arrivals[i:] {
			if later.at-first.at <= time.Second && later.cold {
				count++
			}
		}
		highest = max(highest, count)
	}
	return highest
}

// Two executors send as much as their budgets allow, the second one from a random time on
// and with a clock that differs by up to 1000 h. The sampler becomes cold at random times,
// which the executors learn late, repeatedly or never. Counted together, the requests of
// the two in any second must stay within the limit while the sampler is cold.
func TestTwoSendersStayWithinTheLimitDuringATakeover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(1, 12).Draw(t, "per second")
		factor := rapid.Float64Range(1, 2).Draw(t, "over")
		slack := rapid.Float64Range(1, 6).Draw(t, "slack")
		limits := NewLimits(3*time.Second, perSecond, factor, slack)
		var budgets [executors]Budget
		for i := range budgets {
			budgets[i].SetLimits(limits)
		}
		starts := [executors]time.Duration{0, time.Duration(rapid.IntRange(0, 6000).Draw(t, "takeover")) * time.Millisecond}
		offsets := [executors]time.Duration{0, time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "clock offset")) * time.Hour}
		var arrivals []arrival
		var coldUntil time.Duration
		at := time.Duration(0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				coldUntil = at + limits.ColdDuration
			case 1:
				remaining := time.Duration(rapid.IntRange(0, 3000).Draw(t, "remaining")) * time.Millisecond
				informed := rapid.IntRange(0, executors-1).Draw(t, "informed")
				budgets[informed].UpdateColdRemaining(remaining, start.Add(at+offsets[informed]))
			case 2:
				budgets[0].AssumeColdStart(start.Add(at + offsets[0]))
			default:
				for i := range budgets {
					now := start.Add(at + offsets[i])
					for starts[i] <= at && budgets[i].Available(now) > 0 {
						budgets[i].RecordSent(now)
						arrivals = append(arrivals, arrival{at: at, cold: at < coldUntil})
					}
				}
			}
		}
		require.LessOrEqual(t, float64(maxPerSecondWhileCold(arrivals)), perSecond*factor+slack)
	})
}

// The clock of one sender steps back at random: it must not send more than its limit in any
// second of elapsed time.
func TestClockStepsDoNotIncreaseTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var budget Budget
		budget.SetLimits(Limits{ColdDuration: time.Second, ColdPerSecond: 3, WarmPerSecond: 5})
		now := start
		var arrivals []arrival
		at := time.Duration(0)
		for range 60 {
			pause := time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond
			at += pause
			now = now.Add(pause)
			if rapid.IntRange(0, 9).Draw(t, "step back") == 0 {
				now = now.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(t, "by")) * time.Millisecond)
			}
			for budget.Available(now) > 0 {
				budget.RecordSent(now)
				arrivals = append(arrivals, arrival{at: at, cold: true})
			}
		}
		require.LessOrEqual(t, maxPerSecondWhileCold(arrivals), 5)
	})
}

func TestSendersShareTheLimit(t *testing.T) {
	limits := NewLimits(3*time.Second, 7.8, 1.5, 5)
	require.Equal(t, Limits{ColdDuration: 3 * time.Second, ColdPerSecond: 7, WarmPerSecond: 8}, limits)
}

func TestServiceThatIsNeverColdHasNoLimit(t *testing.T) {
	var budget Budget
	budget.SetLimits(NewLimits(0, 0, 1.5, 5))
	budget.AssumeColdStart(start)
	budget.RecordSent(start)
	require.Equal(t, Unlimited, budget.Available(start))
	require.False(t, budget.Cold(start))
}

// A list entry that is applied twice with the same remaining time does not restart it.
func TestRepeatedEntryDoesNotProlongColdTime(t *testing.T) {
	var budget Budget
	budget.SetLimits(Limits{ColdDuration: 3 * time.Second, ColdPerSecond: 3, WarmPerSecond: 5})
	budget.UpdateColdRemaining(2*time.Second, start)
	budget.UpdateColdRemaining(2*time.Second, start.Add(time.Second))
	require.True(t, budget.Cold(start.Add(1900*time.Millisecond)))
	require.False(t, budget.Cold(start.Add(2*time.Second)))
}

// A list entry from before a suspected restart does not end the cold time assumed for it.
func TestStaleEntryDoesNotShortenColdTime(t *testing.T) {
	var budget Budget
	budget.SetLimits(Limits{ColdDuration: 3 * time.Second, ColdPerSecond: 3, WarmPerSecond: 5})
	budget.AssumeColdStart(start)
	budget.UpdateColdRemaining(time.Second, start)
	budget.UpdateColdRemaining(0, start)
	require.True(t, budget.Cold(start.Add(2900*time.Millisecond)))
}

func TestSamplerBecomesColdAgain(t *testing.T) {
	var budget Budget
	budget.SetLimits(Limits{ColdDuration: 3 * time.Second, ColdPerSecond: 3, WarmPerSecond: 5})
	budget.UpdateColdRemaining(time.Second, start)
	budget.UpdateColdRemaining(0, start.Add(2*time.Second))
	budget.UpdateColdRemaining(time.Second, start.Add(4*time.Second))
	require.True(t, budget.Cold(start.Add(4500*time.Millisecond)))
}

func TestNextAvailableIsWhenTheWindowAllowsARequest(t *testing.T) {
	var budget Budget
	budget.SetLimits(Limits{ColdDuration: 3 * time.Second, ColdPerSecond: 2, WarmPerSecond: 2})
	require.Equal(t, start, budget.NextAvailable(start))
	budget.RecordSent(start)
	budget.RecordSent(start.Add(300 * time.Millisecond))
	later := start.Add(400 * time.Millisecond)
	require.Zero(t, budget.Available(later))
	require.Equal(t, start.Add(window), budget.NextAvailable(later))
}
