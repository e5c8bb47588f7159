package weights

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func membersOf(count int, versions map[string]uint64) []Member {
	members := make([]Member, count)
	for i := range members {
		own := make(map[string]uint64)
		for model, version := range versions {
			own[model] = version
		}
		members[i] = Member{ID: fmt.Sprintf("s%d", i), Versions: own}
	}
	return members
}

// play carries all orders out at once until none is left and counts them.
func play(r *Roll, now time.Time, members []Member, targets map[string]uint64) int {
	orders := 0
	for {
		steps := r.Next(now, Listed(members), targets)
		if len(steps) == 0 {
			return orders
		}
		for _, step := range steps {
			for i := range members {
				if members[i].ID == step.SamplerID {
					members[i].Versions[step.Model] = step.Version
				}
			}
			r.Done(step, true, now)
			orders++
		}
	}
}

func TestOneModelIsFollowedByAllFewAtATime(t *testing.T) {
	now := time.Unix(100, 0)
	roll := NewRoll(2)
	members := membersOf(8, map[string]uint64{"m": 1})
	require.Len(t, roll.Next(now, Listed(members), map[string]uint64{"m": 2}), 2)
	require.Empty(t, roll.Next(now, Listed(members), map[string]uint64{"m": 2}), "two are under way")
	roll.Forget()
	require.Equal(t, 8, play(roll, now, members, map[string]uint64{"m": 2}))
}

// With three models before nine samplers, every version of each on every
// sampler took three times the loads that there is time for: steps waited until
// their deadline for a sampler of their version.
func TestEachModelHasItsShareOfTheSamplers(t *testing.T) {
	now := time.Unix(100, 0)
	roll := NewRoll(2)
	members := membersOf(9, map[string]uint64{"a": 1, "b": 1, "c": 1})
	for version := uint64(2); version < 6; version++ {
		targets := map[string]uint64{"a": version, "b": version, "c": version}
		require.Equal(t, 9, play(roll, now, members, targets))
		for model := range targets {
			current := 0
			for _, member := range members {
				if member.Versions[model] == version {
					current++
				}
			}
			require.Equal(t, 3, current, model)
		}
	}
}

func TestLostSamplersAreReplacedWithFewChanges(t *testing.T) {
	now := time.Unix(100, 0)
	roll := NewRoll(2)
	members := membersOf(9, map[string]uint64{"a": 1, "b": 1, "c": 1})
	targets := map[string]uint64{"a": 2, "b": 2, "c": 2}
	play(roll, now, members, targets)
	members[0].Leaving = true
	require.LessOrEqual(t, play(roll, now, members, targets), 1)
	members[0].Leaving = false
	require.Zero(t, play(roll, now, members, targets), "it has the version already")
}

func TestSamplerThatDoesNotFollowIsReplacedForAWhile(t *testing.T) {
	now := time.Unix(100, 0)
	roll := NewRoll(1)
	members := membersOf(4, map[string]uint64{"a": 1, "b": 1})
	targets := map[string]uint64{"a": 2, "b": 1}
	first := roll.Next(now, Listed(members), targets)[0]
	roll.Done(first, false, now)
	now = now.Add(rollPause)
	for range 2 {
		step := roll.Next(now, Listed(members), targets)[0]
		roll.Done(step, step.SamplerID != first.SamplerID, now)
		if step.SamplerID != first.SamplerID {
			for i := range members {
				if members[i].ID == step.SamplerID {
					members[i].Versions["a"] = 2
				}
			}
		}
	}
	next := roll.Next(now, Listed(members), targets)
	require.Len(t, next, 1)
	require.NotEqual(t, first.SamplerID, next[0].SamplerID)
}

func TestMoreModelsThanSamplersStillHaveTwoHomes(t *testing.T) {
	now := time.Unix(100, 0)
	roll := NewRoll(2)
	versions, targets := map[string]uint64{}, map[string]uint64{}
	for i := range 6 {
		versions[fmt.Sprint(i)], targets[fmt.Sprint(i)] = 1, 2
	}
	require.Equal(t, 12, play(roll, now, membersOf(3, versions), targets))
}

func TestSamplerThatAnotherOrderedIsLeftAloneAndKeepsItsModels(t *testing.T) {
	now := time.Unix(100, 0)
	roll := NewRoll(2)
	members := membersOf(2, map[string]uint64{"a": 1})
	members[0].Wait = true
	targets := map[string]uint64{"a": 2}
	require.Equal(t, []Step{{SamplerID: "s1", Model: "a", Version: 2}}, roll.Next(now, Listed(members), targets))
	members[0].Wait = false
	require.Equal(t, []Step{{SamplerID: "s0", Model: "a", Version: 2}}, roll.Next(now, Listed(members), targets))
}

// A fleet of 35 samplers with three models changed two at a time: twelve replicas
// took seven seconds, and a new version came every four.
func TestLargerFleetChangesAPartOfItAtOnce(t *testing.T) {
	now := time.Unix(100, 0)
	roll := NewRoll(2)
	members := append(membersOf(35, map[string]uint64{"a": 1}), Member{ID: "no-model"})
	require.Len(t, roll.Next(now, Listed(members), map[string]uint64{"a": 2}), 7)
	require.Len(t, NewRoll(2).Next(now, Listed(membersOf(9, map[string]uint64{"a": 1})), map[string]uint64{"a": 2}), 2)
}

// Half of the samplers idled while a model's nine replicas had a queue: jobs allow
// the version before the newest, so twice as many samplers can serve them for the
// same number of loads.
func TestHomesTakeTurnsWhereJobsAllowTheVersionBefore(t *testing.T) {
	now := time.Unix(100, 0)
	roll := NewRoll(2)
	members := membersOf(9, map[string]uint64{"a": 1, "b": 1, "c": 1})
	for version := uint64(2); version < 12; version++ {
		for _, model := range []string{"a", "b", "c"} {
			roll.Allow(model, version, 1)
		}
		targets := map[string]uint64{"a": version, "b": version, "c": version}
		require.Equal(t, 9, play(roll, now, members, targets), "three loads a version of each model")
		if version < 3 {
			continue
		}
		for model := range targets {
			usable := 0
			for _, member := range members {
				if member.Versions[model] >= version-1 {
					usable++
				}
			}
			require.GreaterOrEqual(t, usable, 6)
		}
	}
}

// All eleven samplers were ordered to every version, two at a time: that took 6.5 s
// while a version came every 4 s, so two were always out and those two versions
// behind served nothing.
func TestSamplersOfOneModelTakeTurnsToo(t *testing.T) {
	now := time.Unix(100, 0)
	roll := NewRoll(2)
	roll.Allow("a", 1, 1)
	members := membersOf(8, map[string]uint64{"a": 1})
	for version := uint64(2); version < 6; version++ {
		require.Equal(t, 4, play(roll, now, members, map[string]uint64{"a": version}))
		for _, member := range members {
			require.GreaterOrEqual(t, member.Versions["a"], version-1)
		}
	}
}

// An executor took two jobs over, the later one first, and went by the slack of the
// older one, which allowed a version more by then.
func TestLatestStepTellsWhatJobsAllow(t *testing.T) {
	roll := NewRoll(2)
	roll.Allow("a", 4, 1)
	roll.Allow("a", 3, 2)
	require.EqualValues(t, 1, roll.slack["a"])
}

func TestSamplersTooOldForTheJobsToComeAreAllBroughtUp(t *testing.T) {
	now := time.Unix(100, 0)
	roll := NewRoll(2)
	roll.Allow("a", 1, 1)
	members := membersOf(8, map[string]uint64{"a": 1})
	require.Equal(t, 8, play(roll, now, members, map[string]uint64{"a": 3}))
}

// Versions of the model that came last by name were loaded last, so its steps had
// no sampler for five seconds while the others had nine each.
func TestModelThatFewestServeComesFirst(t *testing.T) {
	now := time.Unix(100, 0)
	roll := NewRoll(2)
	members := membersOf(12, map[string]uint64{"a": 1, "b": 1, "z": 1})
	targets := map[string]uint64{"a": 2, "b": 2, "z": 2}
	var order []string
	for range 6 {
		for _, step := range roll.Next(now, Listed(members), targets) {
			order = append(order, step.Model)
			for i := range members {
				if members[i].ID == step.SamplerID {
					members[i].Versions[step.Model] = step.Version
				}
			}
			roll.Done(step, true, now)
		}
	}
	require.Len(t, order, 12)
	for round := range 4 {
		require.ElementsMatch(t, []string{"a", "b", "z"}, order[3*round:3*round+3])
	}
}

// 1,000 samplers followed two models of which 40 and 67 items were wanted at once:
// 3,094 orders a day, a sixth of the day's worth, to samplers that had no work.
func TestModelHasNoMoreHomesThanItsWorkNeeds(t *testing.T) {
	now := time.Unix(100, 0)
	roll := NewRoll(2)
	members := membersOf(300, map[string]uint64{"a": 1, "b": 1})
	for i := range members {
		members[i].Slots = 6
	}
	targets := map[string]uint64{"a": 2, "b": 1}
	roll.Want(map[string]int{"a": 40})
	require.Equal(t, 14, play(roll, now, members, targets), "84 slots for 40 items")
	roll.Want(map[string]int{"a": 1})
	targets["a"] = 3
	require.Equal(t, minReplicas, play(roll, now, members, targets))
	roll.Want(map[string]int{"a": 4000})
	targets["a"] = 4
	require.Equal(t, 150, play(roll, now, members, targets), "its even share, if that is less")
}

// Orders and failures of a former incarnation end with it, and the end of such an order
// tells nothing of an order to the newer.
func TestOrdersEndWithTheIncarnation(t *testing.T) {
	roll := NewRoll(1)
	now := time.Unix(100, 0)
	targets := map[string]uint64{"m": 2}
	member := func(born int64) []Member {
		return []Member{{ID: "s", Born: born, Versions: map[string]uint64{"m": 1}, Slots: 4}}
	}
	former := roll.Next(now, Listed(member(10)), targets)
	require.Len(t, former, 1)
	require.EqualValues(t, 10, former[0].Born)
	next := roll.Next(now, Listed(member(20)), targets)
	require.Len(t, next, 1, "the order under way was for the former")
	roll.Done(former[0], false, now)
	require.Equal(t, 1, roll.Moving())
	require.Empty(t, roll.failures)
	roll.Done(next[0], true, now)
	require.Zero(t, roll.Moving())
}
