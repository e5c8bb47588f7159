package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// Nodes with random demands report twice. The shares of the second round add up
// to the rate, and no share is below the node's demand or, under overload, below
// its proportional part of the rate.
func TestSharesAddUpToTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 1000).Draw(t, "rate")
		demands := rapid.SliceOfN(rapid.Float64Range(0.1, 1000), 1, 20).Draw(t, "demands")
		allocator := NewAllocator()
		sum, total := 0.0, 0.0
		for round := range 2 {
			sum, total = 0, 0
			for i, demand := range demands {
				share := allocator.Report(start, fmt.Sprint("n", i), demand, rate)
				sum += share
				total += demand
				if round == 1 && len(demands) > 0 {
					require.GreaterOrEqual(t, share*1.000001, min(demand, rate*demand/max(sumOf(demands), rate)))
				}
			}
		}
		require.InEpsilon(t, rate, sum, 1e-6)
	})
}

func sumOf(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum
}

func TestSoleNodeGetsTheWholeRateUntilAnotherReports(t *testing.T) {
	allocator := NewAllocator()
	require.InDelta(t, 100, allocator.Report(start, "a", 10, 100), 1e-9)
	require.InDelta(t, 90, allocator.Report(start, "b", 90, 100), 1e-9)
	require.InDelta(t, 10, allocator.Report(start, "a", 10, 100), 1e-9)
	require.InDelta(t, 100, allocator.Report(start.Add(ReportTTL), "a", 10, 100), 1e-9, "the report of b has expired")
	require.Equal(t, 1, allocator.ActiveNodes())
}

func TestMeterFollowsDemandAndDropsToZeroWhenIdle(t *testing.T) {
	var meter Meter
	for range 10 {
		meter.Observe(50, ReportInterval)
	}
	require.InDelta(t, 100, meter.Observe(50, ReportInterval), 1)
	for range 12 {
		meter.Observe(0, ReportInterval)
	}
	require.Zero(t, meter.Observe(0, ReportInterval))
}
