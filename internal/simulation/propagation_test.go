package simulation

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/lab"
	"github.com/pathbend/pathbend/internal/simnet"
)

const (
	// revisionPropagationLimit is how long an accepted revision may take to be in force on
	// all nodes. This limit and those below are requirements of the users.
	revisionPropagationLimit = 5 * time.Second
	// crashDetectionLimit is how long all other nodes may take to detect a crash.
	crashDetectionLimit = 5 * time.Second
	// maxControlBytesPerSecond bounds the control traffic that a node sends and
	// receives.
	maxControlBytesPerSecond = 7000
)

// TestPropagationTimeAndControlTraffic starts fourteen nodes in seven zones of three
// regions, without traffic. It checks the control traffic between them, and how soon
// all of them have a new revision and detect a crash.
func TestPropagationTimeAndControlTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := simnet.New(1, regionalLatency)
		options, err := lab.ExampleOptions(network, 1)
		require.NoError(t, err)
		options.Zones = []string{"r1-a", "r1-b", "r1-c", "r2-a", "r2-b", "r3-a", "r3-b"}
		options.NodesPerZone, options.Pools, options.ListLag = 2, nil, 0
		cluster, err := lab.Start(options)
		require.NoError(t, err)
		defer time.Sleep(shutdownWait)
		defer cluster.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
		defer cancel()
		require.NoError(t, cluster.WaitReady(ctx))
		r := &simulationRun{network: network, cluster: cluster}

		before := peerBytes(cluster)
		const quiet = 30 * time.Second
		time.Sleep(quiet)
		// A byte is counted only at the end that opened its connection, but belongs
		// to the traffic of both nodes.
		perNode := 2 * float64(peerBytes(cluster)-before) / float64(len(cluster.Nodes)) / quiet.Seconds()
		require.Less(t, perNode, float64(maxControlBytesPerSecond))
		require.Zero(t, countDeadReports(cluster, ""), "reports that a live node is dead")

		_, revision := cluster.Nodes[0].Node().Current()
		require.NoError(t, cluster.Publish(context.Background(), options.Document, revision, "test"))
		time.Sleep(revisionPropagationLimit)
		for _, slot := range cluster.Nodes {
			_, current := slot.Node().Current()
			require.Greater(t, current, revision, slot.Name)
		}

		victim := cluster.Nodes[0]
		id := victim.Node().ID()
		r.crashNode(victim)
		time.Sleep(crashDetectionLimit)
		for _, slot := range cluster.Nodes[1:] {
			require.Equal(t, "dead", slot.Node().MemberStatusOf(id), slot.Name)
		}
		require.Zero(t, countDeadReports(cluster, id), "reports that another node is dead")
	})
}

// regionalLatency returns the one-way latency between zones named "region-zone".
func regionalLatency(from, to string) time.Duration {
	fromRegion, _, _ := strings.Cut(from, "-")
	toRegion, _, _ := strings.Cut(to, "-")
	switch {
	case from == to:
		return sameZoneLatency
	case fromRegion == toRegion:
		return time.Millisecond
	default:
		return 40 * time.Millisecond
	}
}

func peerBytes(cluster *lab.Cluster) int64 {
	var bytes int64
	for _, slot := range cluster.Nodes {
		if running := slot.Node(); running != nil {
			sent, received := running.PeerTraffic()
			bytes += sent + received
		}
	}
	return bytes
}

// countDeadReports counts, over all nodes, the members other than the one with the
// given id that a node considers dead.
func countDeadReports(cluster *lab.Cluster, except string) int {
	count := 0
	for _, slot := range cluster.Nodes {
		if running := slot.Node(); running != nil {
			count += running.CountDead(except)
		}
	}
	return count
}
