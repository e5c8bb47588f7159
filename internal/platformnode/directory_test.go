package platformnode

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/nodedirectory"
	"github.com/pathbend/pathbend/internal/ownership"
	"github.com/pathbend/pathbend/internal/ownership/ownershiptest"
	"github.com/pathbend/pathbend/internal/schedule"
	"github.com/pathbend/pathbend/internal/sharedlog"
	"github.com/pathbend/pathbend/internal/sharedlog/sharedlogtest"
)

// readDirectory runs a directory until it has read its topic once.
func readDirectory(t *testing.T, d *nodedirectory.Directory) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); d.Run(ctx) }()
	for {
		if _, ok := d.Announced(); ok {
			break
		}
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
}

func entryOf(t *testing.T, node string, millicores uint64) sharedlog.KeyedRecord {
	t.Helper()
	value, err := proto.Marshal(&pathbendv1.NodeCapacity{Node: node, Millicores: millicores})
	require.NoError(t, err)
	return sharedlog.KeyedRecord{Key: node, Value: value}
}

func announceAs(t *testing.T, d *nodedirectory.Directory, node string, millicores uint64) {
	t.Helper()
	d.Apply([]sharedlog.KeyedRecord{entryOf(t, node, millicores)}, 1)
}

// Guards against an overloaded log at startup: when 295 nodes read the entire ledger at once,
// none had its configuration for 1.2 s, and the executor had the ledger only after 3.3 s.
func TestOnlyNodesThatMayExecuteReadTheLedgerImmediately(t *testing.T) {
	node := func(millicores uint64, known ...uint64) *Node {
		made := New(Settings{Name: "n", Millicores: millicores}, Ports{Network: network.TCP{}, Log: emptyLog{}}, event.Discard())
		readDirectory(t, made.directory)
		for i, other := range known {
			announceAs(t, made.directory, fmt.Sprint(i), other)
		}
		return made
	}
	require.Zero(t, node(192).ledgerDelay(), "no other node is known")
	require.Zero(t, node(800, 800, 192).ledgerDelay())
	require.Zero(t, node(0, 800, 192).ledgerDelay(), "its own capacity is unknown")
	small := node(192, append(make([]uint64, 299), 800)...)
	longest := time.Duration(0)
	for range 200 {
		delay := small.ledgerDelay()
		require.Less(t, delay, 300*ledgerReadInterval)
		longest = max(longest, delay)
	}
	require.Greater(t, longest, 100*ledgerReadInterval, "the delays are spread")
	crowd := node(192, append(make([]uint64, 5000), 800)...)
	require.LessOrEqual(t, crowd.ledgerDelay(), maxLedgerDelay)
}

// startLog counts reads of the ledger and writes to keyed topics.
type startLog struct {
	emptyLog
	entries []sharedlog.KeyedRecord

	mutex  sync.Mutex
	reads  int
	writes int
}

func (l *startLog) Read(ctx context.Context, partition sharedlog.Partition, from uint64, wait time.Duration) (sharedlog.Batch, error) {
	l.mutex.Lock()
	l.reads++
	l.mutex.Unlock()
	return l.emptyLog.Read(ctx, partition, from, wait)
}

func (l *startLog) ReadNewest(context.Context, sharedlog.Partition, string) (sharedlog.KeyedPage, error) {
	return sharedlog.KeyedPage{KeyedBatch: sharedlog.KeyedBatch{Records: l.entries}}, nil
}

func (l *startLog) AppendKeyed(context.Context, sharedlog.Partition, []sharedlog.KeyedRecord) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.writes++
	return nil
}

func (l *startLog) counts() (reads, writes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.reads, l.writes
}

func TestNodeReadsRoutesAndSamplersBeforeTheLedger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &startLog{entries: []sharedlog.KeyedRecord{entryOf(t, "n", 800), entryOf(t, "other", 800)}}
		settings := Settings{Name: "n", Millicores: 800, MinAssignmentTTL: time.Second, OrderGrace: time.Second, JobRetention: time.Minute}
		node := New(settings, Ports{Network: network.TCP{}, Log: log, Group: &ownershiptest.Group{}}, event.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		node.Start(ctx)
		time.Sleep(time.Second)
		reads, writes := log.counts()
		require.Zero(t, reads)
		require.Zero(t, writes, "the directory already holds its entry")
		require.False(t, node.Ready(t.Context()))
		node.ApplyCatalog(catalogOf(t, 1))
		node.ApplySamplers([]schedule.Sampler{})
		require.True(t, node.Ready(t.Context()), "the ledger is needed only for requests about jobs")
		synctest.Wait()
		reads, _ = log.counts()
		require.Positive(t, reads)
		time.Sleep(nodedirectory.AnnounceInterval + nodedirectory.AnnounceJitter)
		_, writes = log.counts()
		require.Positive(t, writes, "entries are repeated before they expire")
		cancel()
		node.Stop()
	})
}

// Guards against a small executor in a new deployment: 18 nodes read an empty directory, each
// considered its own machine the largest, and one with a quarter of the others' capacity
// executed for 4.5 s.
func TestSmallNodeOfANewDeploymentLeavesTheJobsToALargeOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &sharedlogtest.MemoryLog{}
		groups := map[uint64]*ownershiptest.Group{192: {Assignment: ownershiptest.NewAssignment(1)}, 800: {Assignment: ownershiptest.NewAssignment(1)}}
		ctx, cancel := context.WithCancel(context.Background())
		var nodes []*Node
		for millicores, group := range groups {
			settings := Settings{Name: fmt.Sprint(millicores), Millicores: millicores, MinAssignmentTTL: time.Second, OrderGrace: time.Second, JobRetention: time.Minute}
			node := New(settings, Ports{Network: network.TCP{}, Log: log, Group: group}, event.Discard())
			node.Start(ctx)
			node.ApplyCatalog(catalogOf(t, 1))
			node.ApplySamplers([]schedule.Sampler{})
			nodes = append(nodes, node)
		}
		time.Sleep(ownership.MinObserveInterval)
		require.Positive(t, groups[800].Joins())
		require.Zero(t, groups[192].Joins())
		cancel()
		for _, node := range nodes {
			node.Stop()
		}
	})
}

func TestNodeThatCannotAnnounceItselfJoinsTheGroupAnyway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := &ownershiptest.Group{Assignment: ownershiptest.NewAssignment(4, 0)}
		settings := Settings{Name: "n", Millicores: 800, MinAssignmentTTL: time.Second, OrderGrace: time.Second, JobRetention: time.Minute}
		log := &startLog{}
		node := New(settings, Ports{Network: network.TCP{}, Log: log, Group: group}, event.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		node.Start(ctx)
		node.ApplyCatalog(catalogOf(t, 1))
		node.ApplySamplers([]schedule.Sampler{})
		time.Sleep(firstEntryTimeout / 2)
		require.Zero(t, group.Joins())
		time.Sleep(firstEntryTimeout)
		require.Positive(t, group.Joins())
		cancel()
		node.Stop()
	})
}

// Data bound to a region must not be relayed to the log service through a node in another
// region.
func TestLogCallsAreRelayedOnlyWithinTheRegion(t *testing.T) {
	node := New(Settings{Name: "n", Zone: "a", Topology: twoRegions}, Ports{Network: network.TCP{}, Log: emptyLog{}}, event.Discard())
	for name, zone := range map[string]string{"near": "a", "far": "b"} {
		value, err := proto.Marshal(&pathbendv1.NodeCapacity{Node: name, Zone: zone, Address: name + ":1"})
		require.NoError(t, err)
		node.directory.Apply([]sharedlog.KeyedRecord{{Key: name, Value: value}}, 1)
	}
	peers := node.Peers()
	require.Len(t, peers, 1)
	require.Equal(t, "near", peers[0].Name)
}
