package weights

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// oneByOne chooses the replicas that settle must choose, one after the other, each the best
// of all that are left.
func oneByOne(r *Roll, model string, hosts []string, able map[string]Member, target uint64, wanted int) {
	isReplica := func(id string) bool { return r.isReplica(id, model) }
	for r.count(model) < wanted {
		others := slices.DeleteFunc(slices.Clone(hosts), isReplica)
		best := slices.MinFunc(others, func(a, b string) int {
			return cmp.Or(cmp.Compare(len(r.replicas[a]), len(r.replicas[b])),
				cmp.Compare(target-able[a].Versions[model], target-able[b].Versions[model]), cmp.Compare(a, b))
		})
		if r.replicas[best] == nil {
			r.replicas[best] = make(map[string]struct{})
		}
		r.replicas[best][model] = struct{}{}
	}
	for r.count(model) > wanted {
		own := slices.DeleteFunc(slices.Clone(hosts), func(id string) bool { return !isReplica(id) })
		worst := slices.MinFunc(own, func(a, b string) int {
			return cmp.Or(cmp.Compare(len(r.replicas[b]), len(r.replicas[a])),
				cmp.Compare(able[a].Versions[model], able[b].Versions[model]), cmp.Compare(a, b))
		})
		delete(r.replicas[worst], model)
	}
}

func replicasOf(r *Roll) map[string][]string {
	replicas := make(map[string][]string)
	for id, models := range r.replicas {
		if len(models) > 0 {
			replicas[id] = slices.Sorted(maps.Keys(models))
		}
	}
	return replicas
}

// A new executor needed 1.7 s to choose the replicas of 3,000 samplers one after the other.
func TestReplicasChosenTogetherAreThoseChosenOneByOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := []string{"a", "b", "c"}
		able := make(map[string]Member)
		for i := range rapid.IntRange(1, 12).Draw(t, "samplers") {
			versions := make(map[string]uint64)
			for _, model := range models {
				versions[model] = rapid.Uint64Range(0, 3).Draw(t, "version")
			}
			id := fmt.Sprint(i)
			able[id] = Member{ID: id, Versions: versions}
		}
		hosts := slices.Sorted(maps.Keys(able))
		var members []Member
		for _, id := range hosts {
			members = append(members, able[id])
		}
		together, apart := NewRoll(1), NewRoll(1)
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			model := rapid.SampledFrom(models).Draw(t, "model")
			wanted := rapid.IntRange(0, len(hosts)).Draw(t, "wanted")
			together.addReplicas(model, members, 3, wanted)
			together.dropReplicas(model, members, wanted)
			oneByOne(apart, model, hosts, able, 3, wanted)
			require.Equal(t, replicasOf(apart), replicasOf(together))
		}
	})
}

// oneOrder chooses the order that Next must give, looking at all steps.
func oneOrder(r *Roll, behind []Step, fresh map[string]int, lag func(Step) uint64) (best Step, found bool) {
	for _, step := range behind {
		_, moving := r.moving[step.SamplerID]
		if moving || fresh[step.Model] >= r.share[step.Model] && !r.tooOld(step, lag(step)) {
			continue
		}
		if !found || fresh[step.Model] < fresh[best.Model] {
			best, found = step, true
		}
	}
	return best, found
}

func TestOrdersAreThoseThatALookAtAllStepsFinds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRoll(1)
		fresh, lags := make(map[string]int), make(map[Step]uint64)
		for _, model := range []string{"a", "b", "c"} {
			r.share[model] = rapid.IntRange(0, 3).Draw(t, "share")
			r.slack[model] = rapid.Uint64Range(0, 2).Draw(t, "slack")
			fresh[model] = rapid.IntRange(0, 3).Draw(t, "fresh")
			for i := range rapid.IntRange(0, 5).Draw(t, "steps") {
				lags[Step{SamplerID: fmt.Sprint(i), Model: model}] = rapid.Uint64Range(1, 3).Draw(t, "lag")
			}
		}
		lag := func(step Step) uint64 { return lags[step] }
		behind := slices.SortedFunc(maps.Keys(lags), func(a, b Step) int {
			return cmp.Or(cmp.Compare(lag(b), lag(a)), cmp.Compare(a.SamplerID, b.SamplerID), cmp.Compare(a.Model, b.Model))
		})
		left := queuesOf(behind)
		for {
			wanted, any := oneOrder(r, behind, fresh, lag)
			step, found := r.neediest(left, fresh, lag)
			require.Equal(t, any, found)
			if !found {
				return
			}
			require.Equal(t, wanted, step)
			fresh[step.Model]++
			r.moving[step.SamplerID] = Step{SamplerID: step.SamplerID, Model: step.Model, Version: 1}
		}
	})
}
