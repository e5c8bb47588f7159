package remoterun

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/locality"
	"github.com/pathbend/pathbend/internal/result"
)

var twoRegions = locality.NewTopology(map[string]string{"n": "north", "s": "south"})

// The worker is in the required regions and has a large machine if any node there has one. The
// choice does not depend on the order in which the nodes are listed.
func TestWorkerIsInAnAllowedRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SliceOfDistinct(rapid.Custom(func(t *rapid.T) Node {
			return Node{
				Name:    rapid.StringMatching("[a-f]{2}").Draw(t, "name"),
				Zone:    rapid.SampledFrom([]string{"n", "s", "unknown"}).Draw(t, "zone"),
				Address: rapid.SampledFrom([]string{"", "10.0.0.1:1"}).Draw(t, "address"), Millicores: rapid.SampledFrom([]uint64{192, 800}).Draw(t, "millicores"),
			}
		}), func(node Node) string { return node.Name }).Draw(t, "nodes")
		avoided := rapid.SampledFrom([]string{"aa", "bb", ""}).Draw(t, "avoided")
		avoid := func(name string) bool { return name == avoided }
		regions := locality.Only("south")
		chosen, found := ChooseWorker(nodes, twoRegions, regions, avoid)
		largest := uint64(0)
		for _, node := range nodes {
			if node.Zone == "s" && node.Address != "" && !avoid(node.Name) {
				largest = max(largest, node.Millicores)
			}
		}
		require.Equal(t, largest > 0, found)
		if !found {
			return
		}
		require.Equal(t, "s", chosen.Zone)
		require.Equal(t, largest, chosen.Millicores)
		permuted, _ := ChooseWorker(rapid.Permutation(nodes).Draw(t, "order"), twoRegions, regions, avoid)
		require.Equal(t, chosen, permuted)
	})
}

func TestReplacedExecutorIsRejected(t *testing.T) {
	current := Session{Executor: "b", Generation: 5, ID: 9}
	begins, err := current.Admit(current)
	require.NoError(t, err)
	require.False(t, begins)
	_, err = current.Admit(Session{Executor: "a", Generation: 4, ID: 8})
	require.True(t, result.Is(err, result.LeaseConflict))
	for _, newer := range []Session{{Executor: "a", Generation: 6, ID: 1}, {Executor: "b", Generation: 5, ID: 10}} {
		begins, err = current.Admit(newer)
		require.NoError(t, err)
		require.True(t, begins, "%v", newer)
	}
}

// However reports and acknowledgements interleave, the executor receives the last state of each
// run, and every other report exactly once.
func TestReportsAreKeptUntilAcknowledged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports Reports
		expected, received := make(map[uint64]uint64), make(map[uint64]uint64)
		pendingLost, acknowledged := 0, uint64(0)
		acknowledge := func() {
			for _, report := range reports.Pending() {
				if state := report.GetRun(); state != nil {
					received[state.Run] = state.Events
				} else {
					pendingLost--
				}
				require.Greater(t, report.Sequence, acknowledged)
				acknowledged = report.Sequence
			}
			reports.Acknowledge(acknowledged)
			require.Empty(t, reports.Pending())
		}
		for step := range rapid.IntRange(0, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				acknowledge()
			case 1:
				reports.Add(&pathbendv1.CarryReport{Report: &pathbendv1.CarryReport_Lost{Lost: &pathbendv1.LostItem{ItemId: fmt.Sprint(step)}}})
				pendingLost++
			default:
				run := rapid.Uint64Range(1, 4).Draw(t, "run")
				expected[run] = uint64(step)
				reports.Add(&pathbendv1.CarryReport{Report: &pathbendv1.CarryReport_Run{Run: &pathbendv1.RunState{Run: run, Events: uint64(step)}}})
			}
		}
		acknowledge()
		require.Equal(t, expected, received)
		require.Zero(t, pendingLost)
	})
}

// Whatever the offset of the two clocks, a delayed call is detected, and the call after it, which
// was not delayed, is not reported.
func TestDelayedCallIsDetected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var delays DelayEstimator
		arrived := time.Unix(1000, 0).Add(time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "offset")))
		const transit = 8 * time.Millisecond
		sent := time.Duration(0)
		for range rapid.IntRange(1, 20).Draw(t, "calls") {
			sent += time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "pause"))
			require.Zero(t, delays.Delay(arrived.Add(sent+transit), sent))
		}
		delay := time.Duration(rapid.Int64Range(1, 1e10).Draw(t, "delay"))
		require.Equal(t, delay, delays.Delay(arrived.Add(sent+transit+delay), sent))
		require.Zero(t, delays.Delay(arrived.Add(sent+delay+transit), sent+delay))
	})
}

// Clocks drift. With a baseline that never expired, a worker whose clock ran 0.01 % fast took
// every call of a two-hour session for a delayed one.
func TestClockDriftIsNotTakenForDelay(t *testing.T) {
	var delays DelayEstimator
	const pause, transit, drift = 250 * time.Millisecond, 8 * time.Millisecond, 1e-4
	arrived, sent := time.Unix(1000, 0), time.Duration(0)
	for sent < 2*time.Hour {
		sent += pause
		at := arrived.Add(transit + sent + time.Duration(drift*float64(sent)))
		require.Less(t, delays.Delay(at, sent), 10*time.Millisecond)
	}
	delayedArrival := arrived.Add(transit + sent + time.Duration(drift*float64(sent)) + time.Second)
	require.Greater(t, delays.Delay(delayedArrival, sent), 900*time.Millisecond)
}

// Calls that arrive after the process was frozen, for however long, count as delayed.
func TestCallAfterALongFreezeIsDelayed(t *testing.T) {
	var delays DelayEstimator
	began := time.Unix(1000, 0)
	for sent := time.Duration(0); sent < time.Minute; sent += time.Second {
		require.Zero(t, delays.Delay(began.Add(sent), sent))
	}
	for _, freeze := range []time.Duration{time.Second, 3 * time.Minute} {
		require.Equal(t, freeze, delays.Delay(began.Add(time.Minute+freeze), time.Minute))
	}
}
