package platformsim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/fanout"
	"github.com/pathbend/pathbend/platform"
)

// sharing is a world of twelve nodes, of which one in each zone reads the samplers' entries
// for the others.
func sharing(seed uint64, logs *lines) Options {
	options := example(seed, nil)
	if logs != nil {
		options.Logs = logs
	}
	options.NodesPerZone = 4
	options.Sharing = fanout.Sizes{Direct: 4, PerReader: 4}
	return options
}

// Nodes that hear of samplers through others keep all rules while readers are killed, cut
// off, frozen and replaced, samplers leave and start again, and other writers' entries come.
func TestRulesHoldWhereNodesShareReadings(t *testing.T) {
	for name, faults := range map[string][]Fault{
		"samplers leave": {
			{Kind: SamplerReplaced, At: 3 * time.Second, Target: 1},
			{Kind: NodeCutFromStore, At: 8 * time.Second, For: 4 * time.Second, Target: 0},
			{Kind: SamplerReplaced, At: 9 * time.Second, Target: 2},
			{Kind: NodeCutFromAll, At: 18 * time.Second, For: 4 * time.Second, Target: 4},
			{Kind: SamplerReplaced, At: 19 * time.Second, Target: 3},
			{Kind: NodeFreeze, At: 28 * time.Second, For: 4 * time.Second, Target: 8},
			{Kind: SamplerReplaced, At: 29 * time.Second, Target: 7},
		},
		"all start at once": {
			{Kind: KillAll, At: 5 * time.Second, For: 2 * time.Second},
			{Kind: ConfigChange, At: 8 * time.Second, Target: 3},
			{Kind: StoreDown, At: 14 * time.Second, For: 4 * time.Second},
			{Kind: HerdKill, At: 24 * time.Second, For: 2 * time.Second},
			{Kind: StoreForgets, At: 30 * time.Second},
			{Kind: SamplerReplaced, At: 31 * time.Second, Target: 5},
		},
		"samplers start again": {
			{Kind: SamplerReborn, At: 4 * time.Second, For: time.Second, Target: 1},
			{Kind: ForeignEntries, At: 8 * time.Second, For: 6 * time.Second, Target: 8},
			{Kind: NodeReplaced, At: 16 * time.Second, For: 3 * time.Second},
			{Kind: SamplerReborn, At: 18 * time.Second, For: time.Second, Target: 4},
			{Kind: NodeReplaced, At: 28 * time.Second, For: 3 * time.Second},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			logs := &lines{}
			world := play(t, sharing(320, logs), faults)
			require.Empty(t, world.Truth.Violations())
			counts := world.Truth.counts
			require.GreaterOrEqual(t, counts["steps whole"], counts["steps"]*3/4, counts)
			require.Positive(t, counts["requests served"])
		})
	}
}

// On a calm day the readers alone follow the topics that are shared, one of four nodes of
// each zone.
func TestFewNodesReadForTheOthers(t *testing.T) {
	world := play(t, sharing(321, nil), nil)
	require.Empty(t, world.Truth.Violations())
	counts := world.Truth.counts
	require.Zero(t, counts["requests refused"]+counts["requests lost"], counts)
	require.Equal(t, counts["steps"], counts["steps whole"], counts)
	for _, topic := range []string{platform.TopicSamplers, platform.TopicOperator} {
		followers, reads := 0, world.Store.Reads(topic)
		for _, count := range reads {
			if count > 60 {
				followers++
			}
		}
		require.Equal(t, 3, followers, "%s: %v", topic, reads)
	}
}

// What the log hands out of the topics that are shared grows with the readers, and not with
// the nodes: twice as many nodes with as many readers read it no more often.
func TestReadsOfTheLogGrowWithReadersAndNotWithNodes(t *testing.T) {
	total := func(nodesPerZone int) map[string]int {
		options := sharing(322, nil)
		options.NodesPerZone, options.Sharing.PerReader = nodesPerZone, nodesPerZone
		world := play(t, options, nil)
		require.Empty(t, world.Truth.Violations())
		sums := make(map[string]int)
		for _, topic := range []string{platform.TopicSamplers, platform.TopicOperator} {
			for _, count := range world.Store.Reads(topic) {
				sums[topic] += count
			}
		}
		return sums
	}
	few, many := total(4), total(8)
	for topic, count := range few {
		require.Less(t, float64(many[topic]), 1.25*float64(count), "%s: %d reads by 12 nodes, %d by 24", topic, count, many[topic])
	}
}

// Drawn faults, as TestSeeds has.
func TestSeedsWhereNodesShareReadings(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+min(*seeds, 3); seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			faults := Draw(seed+5000, faultTime, *faultsRun)
			world := play(t, sharing(seed+5000, nil), faults)
			require.Empty(t, world.Truth.Violations(), "%v", faults)
			require.Positive(t, world.Truth.counts["steps whole"], "%v", faults)
		})
	}
}
