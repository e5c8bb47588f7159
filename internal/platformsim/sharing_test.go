package platformsim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/fanout"
	"github.com/pathbend/pathbend/platform"
)

// sharingOptions describes a world of twelve nodes, of which one in each zone reads the shared
// topics for the others.
func sharingOptions(seed uint64, logs *logBuffer) Options {
	options := exampleOptions(seed, nil)
	if logs != nil {
		options.Logs = logs
	}
	options.NodesPerZone = 4
	options.Sharing = fanout.Sizes{MaxDirectNodes: 4, NodesPerReader: 4}
	return options
}

// Nodes that learn of samplers through other nodes keep all rules while readers are killed,
// isolated, paused and replaced, samplers leave and restart, and another writer adds entries to
// the samplers' topic.
func TestRulesHoldWhenNodesShareReads(t *testing.T) {
	for name, faults := range map[string][]Fault{
		"samplers leave": {
			{Kind: SamplerReplaced, At: 3 * time.Second, Target: 1},
			{Kind: NodeCutFromStore, At: 8 * time.Second, For: 4 * time.Second, Target: 0},
			{Kind: SamplerReplaced, At: 9 * time.Second, Target: 2},
			{Kind: NodeCutFromAll, At: 18 * time.Second, For: 4 * time.Second, Target: 4},
			{Kind: SamplerReplaced, At: 19 * time.Second, Target: 3},
			{Kind: NodePause, At: 28 * time.Second, For: 4 * time.Second, Target: 8},
			{Kind: SamplerReplaced, At: 29 * time.Second, Target: 7},
		},
		"all start at once": {
			{Kind: KillAllNodes, At: 5 * time.Second, For: 2 * time.Second},
			{Kind: ConfigChange, At: 8 * time.Second, Target: 3},
			{Kind: StoreDown, At: 14 * time.Second, For: 4 * time.Second},
			{Kind: KillMostNodes, At: 24 * time.Second, For: 2 * time.Second},
			{Kind: StoreDropsHistory, At: 30 * time.Second},
			{Kind: SamplerReplaced, At: 31 * time.Second, Target: 5},
		},
		"samplers restart": {
			{Kind: SamplerRestarted, At: 4 * time.Second, For: time.Second, Target: 1},
			{Kind: ForeignEntries, At: 8 * time.Second, For: 6 * time.Second, Target: 8},
			{Kind: NodeReplaced, At: 16 * time.Second, For: 3 * time.Second},
			{Kind: SamplerRestarted, At: 18 * time.Second, For: time.Second, Target: 4},
			{Kind: NodeReplaced, At: 28 * time.Second, For: 3 * time.Second},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			logs := &logBuffer{}
			world := runSimulation(t, sharingOptions(320, logs), faults)
			require.Empty(t, world.Checker.Violations())
			counts := world.Checker.counts
			require.GreaterOrEqual(t, counts["steps whole"], counts["steps"]*3/4, counts)
			require.Positive(t, counts["requests served"])
		})
	}
}

// sharedTopics are the topics that some nodes read for the others: the samplers' entries, the
// operator's documents and the records of batch jobs.
var sharedTopics = []string{platform.TopicSamplers, platform.TopicOperator, "pathbend-jobs"}

// Without faults, only the readers, one of the four nodes of each zone, follow the shared topics.
func TestOnlyReadersFollowSharedTopics(t *testing.T) {
	world := runSimulation(t, sharingOptions(321, nil), nil)
	require.Empty(t, world.Checker.Violations())
	counts := world.Checker.counts
	require.Zero(t, counts["requests refused"]+counts["requests lost"], counts)
	require.Equal(t, counts["steps"], counts["steps whole"], counts)
	for _, topic := range sharedTopics {
		followers, reads := 0, world.Store.ReadCounts(topic)
		for _, count := range reads {
			if count > 60 {
				followers++
			}
		}
		require.Equal(t, 3, followers, "%s: %v", topic, reads)
	}
}

// The number of reads of the shared topics grows with the number of readers, not of nodes: with
// twice the nodes and the same number of readers it grows by less than a quarter.
func TestLogReadsGrowWithReadersNotNodes(t *testing.T) {
	total := func(nodesPerZone int) map[string]int {
		options := sharingOptions(322, nil)
		options.NodesPerZone, options.Sharing.NodesPerReader = nodesPerZone, nodesPerZone
		world := runSimulation(t, options, nil)
		require.Empty(t, world.Checker.Violations())
		sums := make(map[string]int)
		for _, topic := range sharedTopics {
			for _, count := range world.Store.ReadCounts(topic) {
				sums[topic] += count
			}
		}
		return sums
	}
	few, many := total(4), total(8)
	for topic, count := range few {
		t.Logf("%s: %d reads by 12 nodes, %d by 24", topic, count, many[topic])
		require.Less(t, float64(many[topic]), 1.25*float64(count), "%s: %d reads by 12 nodes, %d by 24", topic, count, many[topic])
	}
}

// Runs random faults, as TestSeeds does, in a world whose nodes share reads.
func TestSeedsWithSharedReads(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+min(*seeds, 3); seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			faults := RandomFaults(seed+5000, faultTime, *faultCount)
			world := runSimulation(t, sharingOptions(seed+5000, nil), faults)
			require.Empty(t, world.Checker.Violations(), "%v", faults)
			require.Positive(t, world.Checker.counts["steps whole"], "%v", faults)
		})
	}
}
