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
	// revisionBound is the time within which an accepted revision is in force
	// everywhere, deathBound that within which all know of a crash (users' brief and
	// letter 1).
	revisionBound = 5 * time.Second
	deathBound    = 5 * time.Second
	// controlBytes bounds what a node sends and receives for control, in bytes a
	// second (letter 1).
	controlBytes = 7000
)

// Fourteen nodes in seven zones of three regions, without traffic.
func TestNewsIsEverywhereSoonAndControlIsCheap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := simnet.New(1, regionalLatency)
		options, err := lab.ExampleOptions(network, 1)
		require.NoError(t, err)
		options.Zones = []string{"r1-a", "r1-b", "r1-c", "r2-a", "r2-b", "r3-a", "r3-b"}
		options.NodesPerZone, options.Pools, options.ListLag = 2, nil, 0
		cluster, err := lab.Start(options)
		require.NoError(t, err)
		defer time.Sleep(closeTime)
		defer cluster.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
		defer cancel()
		require.NoError(t, cluster.WaitReady(ctx))
		w := &world{network: network, cluster: cluster}

		before := peerBytes(cluster)
		const quiet = 30 * time.Second
		time.Sleep(quiet)
		// A byte is counted at the end that opened its connection, and is one of
		// either node.
		perNode := 2 * float64(peerBytes(cluster)-before) / float64(len(cluster.Nodes)) / quiet.Seconds()
		require.Less(t, perNode, float64(controlBytes))
		require.Zero(t, deadSeen(cluster, ""), "live nodes taken for dead")

		_, revision := cluster.Nodes[0].Node().Current()
		require.NoError(t, cluster.Publish(context.Background(), options.Document, revision, "test"))
		time.Sleep(revisionBound)
		for _, slot := range cluster.Nodes {
			_, current := slot.Node().Current()
			require.Greater(t, current, revision, slot.Name)
		}

		victim := cluster.Nodes[0]
		id := victim.Node().ID()
		w.crashNode(victim)
		time.Sleep(deathBound)
		for _, slot := range cluster.Nodes[1:] {
			require.Equal(t, "dead", slot.Node().Sees(id), slot.Name)
		}
		require.Zero(t, deadSeen(cluster, id), "others taken for dead")
	})
}

// regionalLatency is that between zones named "region-zone".
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

// deadSeen counts statements that a node other than the one with an id is dead.
func deadSeen(cluster *lab.Cluster, except string) int {
	count := 0
	for _, slot := range cluster.Nodes {
		if running := slot.Node(); running != nil {
			count += running.CountDead(except)
		}
	}
	return count
}
