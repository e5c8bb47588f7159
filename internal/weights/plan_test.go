package weights

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func newEngines(count int, version uint64) []EngineState {
	engines := make([]EngineState, count)
	for i := range engines {
		engines[i] = EngineState{ID: fmt.Sprint("engine-", i), Serving: version, Responding: true}
	}
	return engines
}

func TestVersionsOnlyRise(t *testing.T) {
	versions := NewVersions()
	key := ModelKey{"shop", "m"}
	require.True(t, versions.Raise(key, 3))
	require.False(t, versions.Raise(key, 2))
	require.False(t, versions.Raise(key, 3))
	require.Equal(t, []AnnouncedVersion{{key, 3}}, versions.All())
}

func TestUnresponsiveEngineDoesNotBlockTheOthers(t *testing.T) {
	engines := newEngines(2, 1)
	engines[0].Responding = false
	planner := NewPlanner()
	require.Equal(t, []Order{{"engine-1", Load}}, planner.Next(start, engines, Target{Version: 2}))
	engines[1].Serving = 2
	require.True(t, Reached(engines, Target{Version: 2}))
}

func TestBrokenEngineSwitchesAgain(t *testing.T) {
	engines := newEngines(1, 1)
	engines[0].Broken, engines[0].Prepared = true, 2
	planner := NewPlanner()
	require.Equal(t, []Order{{"engine-0", Switch}}, planner.Next(start, engines, Target{Version: 2}))
	planner.Done(start, "engine-0", false)
	require.Empty(t, planner.Next(start, engines, Target{Version: 2}), "no order during the retry delay")
	require.Len(t, planner.Next(start.Add(orderRetryDelay), engines, Target{Version: 2}), 1)
}

// TestSwitchKeepsMinimumServingShareAndCompletes lets orders succeed, fail and break
// engines while the target changes, and checks throughout that no more engines switch than
// the minimum serving share allows.
func TestSwitchKeepsMinimumServingShareAndCompletes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 20).Draw(t, "engines")
		engines := newEngines(count, 1)
		target := Target{Version: 2, MinServingPercent: rapid.IntRange(0, 99).Draw(t, "percent")}
		allowed := max(count*(100-target.MinServingPercent)/100, 1)
		planner, now := NewPlanner(), start
		busy := map[int]OrderKind{}
		for step := 0; !Reached(engines, target); step++ {
			require.Less(t, step, 400, "the pool must reach the target")
			now = now.Add(orderRetryDelay)
			for _, order := range planner.Next(now, engines, target) {
				var index int
				_, err := fmt.Sscanf(order.EngineID, "engine-%d", &index)
				require.NoError(t, err)
				busy[index] = order.Kind
			}
			switching := 0
			for index, kind := range busy {
				if kind == Switch && !engines[index].Broken {
					switching++
				}
			}
			require.LessOrEqual(t, switching, allowed)
			for index, kind := range busy {
				outcome := 0
				if step < 60 {
					outcome = rapid.IntRange(0, 3).Draw(t, "outcome")
				}
				state := &engines[index]
				switch {
				case outcome == 3: // still running
					continue
				case outcome == 2 && kind == Switch:
					state.Broken = true
				case outcome == 0 && kind == Load:
					state.Prepared = target.Version
				case outcome == 0 && state.Prepared == target.Version:
					state.Serving, state.Prepared, state.Broken = target.Version, 0, false
				}
				planner.Done(now, state.ID, outcome == 0)
				delete(busy, index)
			}
			if step == 20 {
				target.Version = 3
			}
		}
	})
}
