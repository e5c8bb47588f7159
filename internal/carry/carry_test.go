package carry

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

// The worker stands in the regions, has a large machine if there is one, and is the same
// whoever chooses and in whichever order the nodes were announced.
func TestWorkerStandsWhereItsWorkMayBe(t *testing.T) {
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
		chosen, found := Choose(nodes, twoRegions, regions, avoid)
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
		again, _ := Choose(rapid.Permutation(nodes).Draw(t, "order"), twoRegions, regions, avoid)
		require.Equal(t, chosen, again)
	})
}

func TestReplacedDeciderIsRefused(t *testing.T) {
	now := Session{Decider: "b", Generation: 5, ID: 9}
	begins, err := now.Admit(now)
	require.NoError(t, err)
	require.False(t, begins)
	_, err = now.Admit(Session{Decider: "a", Generation: 4, ID: 8})
	require.True(t, result.Is(err, result.LeaseConflict))
	for _, newer := range []Session{{Decider: "a", Generation: 6, ID: 1}, {Decider: "b", Generation: 5, ID: 10}} {
		begins, err = now.Admit(newer)
		require.NoError(t, err)
		require.True(t, begins, "%v", newer)
	}
}

// Whatever is reported and acknowledged, the caller ends with the last state of each run
// and every other report, once each.
func TestReportsAreKeptUntilTheCallerHasThem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports Reports
		wanted, got := make(map[uint64]uint64), make(map[uint64]uint64)
		lost, seen := 0, uint64(0)
		read := func() {
			for _, report := range reports.Pending() {
				if state := report.GetRun(); state != nil {
					got[state.Run] = state.Events
				} else {
					lost--
				}
				require.Greater(t, report.Sequence, seen)
				seen = report.Sequence
			}
			reports.Acknowledge(seen)
			require.Empty(t, reports.Pending())
		}
		for step := range rapid.IntRange(0, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				read()
			case 1:
				reports.Add(&pathbendv1.CarryReport{Report: &pathbendv1.CarryReport_Lost{Lost: &pathbendv1.LostItem{ItemId: fmt.Sprint(step)}}})
				lost++
			default:
				run := rapid.Uint64Range(1, 4).Draw(t, "run")
				wanted[run] = uint64(step)
				reports.Add(&pathbendv1.CarryReport{Report: &pathbendv1.CarryReport_Run{Run: &pathbendv1.RunState{Run: run, Events: uint64(step)}}})
			}
		}
		read()
		require.Equal(t, wanted, got)
		require.Zero(t, lost)
	})
}

// Whatever the offset of the two clocks, a call that was held up is told, and one that
// follows it is not.
func TestCallThatWasHeldUpIsTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var way Way
		arrived := time.Unix(1000, 0).Add(time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "offset")))
		const usual = 8 * time.Millisecond
		sent := time.Duration(0)
		for range rapid.IntRange(1, 20).Draw(t, "calls") {
			sent += time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "pause"))
			require.Zero(t, way.HeldUp(arrived.Add(sent+usual), sent))
		}
		held := time.Duration(rapid.Int64Range(1, 1e10).Draw(t, "held"))
		require.Equal(t, held, way.HeldUp(arrived.Add(sent+usual+held), sent))
		require.Zero(t, way.HeldUp(arrived.Add(sent+held+usual), sent+held))
	})
}

// The two clocks need not run alike. A session of two hours whose worker's clock is 0.01 %
// fast took every call for one that was held up.
func TestCallsAreNotHeldUpByADriftOfTheClocks(t *testing.T) {
	var way Way
	const pause, usual, fast = 250 * time.Millisecond, 8 * time.Millisecond, 1e-4
	arrived, sent := time.Unix(1000, 0), time.Duration(0)
	for sent < 2*time.Hour {
		sent += pause
		at := arrived.Add(usual + sent + time.Duration(fast*float64(sent)))
		require.Less(t, way.HeldUp(at, sent), 10*time.Millisecond)
	}
	held := arrived.Add(usual + sent + time.Duration(fast*float64(sent)) + time.Second)
	require.Greater(t, way.HeldUp(held, sent), 900*time.Millisecond)
}

// After a freeze, however long, the calls that waited for its end are told.
func TestCallAfterALongFreezeIsHeldUp(t *testing.T) {
	var way Way
	began := time.Unix(1000, 0)
	for sent := time.Duration(0); sent < time.Minute; sent += time.Second {
		require.Zero(t, way.HeldUp(began.Add(sent), sent))
	}
	for _, frozen := range []time.Duration{time.Second, 3 * time.Minute} {
		require.Equal(t, frozen, way.HeldUp(began.Add(time.Minute+frozen), time.Minute))
	}
}
