package fanout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/sharedlog"
)

// testNodes returns perZone nodes in each zone; large is how many of them are large machines.
func testNodes(zones, perZone, large int) []Node {
	var nodes []Node
	for zone := range zones {
		for i := range perZone {
			nodes = append(nodes, Node{
				Name: fmt.Sprintf("n-%d-%d", zone, i), Zone: fmt.Sprint("zone-", zone),
				Address: fmt.Sprintf("10.%d.0.%d:1", zone, i), Large: i < large,
			})
		}
	}
	return nodes
}

func TestFewNodesReadTheLogThemselves(t *testing.T) {
	plan := NewPlan(Sizes{}, "n-0-0", "zone-0", testNodes(2, defaultMaxDirectNodes/2, 2))
	require.False(t, plan.Shared)
	require.True(t, plan.ReadsLog)
	require.Empty(t, plan.Parents)
}

// The number of readers grows with the number of nodes, readers are large machines and serve
// their own zone, and none serves three times the mean.
func TestReadersServeTheirZonesEvenly(t *testing.T) {
	for _, perZone := range []int{60, 197} {
		nodes := testNodes(5, perZone, perZone/5)
		served := make(map[string]int)
		readers := 0
		for _, node := range nodes {
			plan := NewPlan(Sizes{}, node.Name, node.Zone, nodes)
			require.True(t, plan.Shared)
			if plan.ReadsLog {
				require.True(t, node.Large, "readers are large machines")
				readers++
				continue
			}
			require.Equal(t, node.Zone, plan.Parents[0].Zone)
			served[plan.Parents[0].Name]++
		}
		require.Equal(t, 5*((perZone+defaultNodesPerReader-1)/defaultNodesPerReader), readers)
		for name, count := range served {
			require.Less(t, count, 3*defaultNodesPerReader, name)
		}
	}
}

func TestZoneWithoutReadersIsServedByOtherZones(t *testing.T) {
	nodes := testNodes(3, 100, 20)
	plan := NewPlan(Sizes{}, "alone", "elsewhere", nodes)
	require.False(t, plan.ReadsLog)
	require.Len(t, plan.Parents, plan.Readers)
	for i := range nodes {
		nodes[i].Address = ""
	}
	plan = NewPlan(Sizes{}, nodes[0].Name, nodes[0].Zone, nodes)
	require.Empty(t, plan.Parents, "nodes that serve no requests are not asked")
	require.True(t, plan.Shared)
}

func TestFailedReaderIsAvoidedDuringItsBackoff(t *testing.T) {
	now := time.Unix(100, 0)
	selector := NewReaderSelector()
	plan := NewPlan(Sizes{}, "alone", "zone-0", testNodes(2, 200, 40))
	first := selector.Select(plan, now)
	require.Len(t, first, maxReadersPerRequest)
	selector.RecordFailure(first[0].Name, now)
	require.Equal(t, first[1], selector.Select(plan, now)[0])
	require.Equal(t, first, selector.Select(plan, now.Add(failedReaderBackoff)))
	require.True(t, selector.MayWaitForReaders(now.Add(startTimeout/2)), "the timeout runs from the first request on")
	require.False(t, selector.MayWaitForReaders(now.Add(startTimeout)))
	selector.RecordNotReady(now.Add(notReadyTimeout - time.Second))
	require.True(t, selector.MayWaitForReaders(now.Add(notReadyTimeout-time.Millisecond)), "a reader that is starting is awaited longer")
	require.False(t, selector.MayWaitForReaders(now.Add(notReadyTimeout)))
	selector.RecordAnswer()
	require.True(t, selector.MayWaitForReaders(now.Add(notReadyTimeout)), "the timeout starts anew after an answer")
	selector.Select(plan, now.Add(time.Hour))
	require.True(t, selector.MayWaitForReaders(now.Add(time.Hour+startTimeout-1)))
	require.False(t, selector.MayWaitForReaders(now.Add(time.Hour+startTimeout)))
}

func record(key, group string, offset uint64) sharedlog.KeyedRecord {
	return sharedlog.KeyedRecord{Key: key, Value: []byte(group), Offset: offset}
}

func groupByValue(record sharedlog.KeyedRecord) string { return string(record.Value) }

func keysOf(batch sharedlog.KeyedBatch) []string {
	var keys []string
	for _, record := range batch.Records {
		keys = append(keys, record.Key)
	}
	return keys
}

func TestCacheServesTheRequiredGroups(t *testing.T) {
	cache := NewCache(groupByValue)
	_, ready := cache.Snapshot(All())
	require.False(t, ready, "nothing has been read")
	cache.Reset([]sharedlog.KeyedRecord{record("b", "llm", 1), record("a", "api", 2), record("c", "api", 3)}, 4)
	batch, ready := cache.Snapshot(Only("api"))
	require.True(t, ready)
	require.Equal(t, []string{"a", "c"}, keysOf(batch))
	require.EqualValues(t, 4, batch.NextOffset)
	batch, _ = cache.Snapshot(All())
	require.Equal(t, []string{"a", "b", "c"}, keysOf(batch))
	cache.Clear()
	_, ready = cache.Snapshot(All())
	require.False(t, ready)
}

// A key that is deleted, becomes malformed or changes its group is reported to the nodes that
// require its previous group too; otherwise they would keep the old record.
func TestChangesAreServedToThePreviousGroup(t *testing.T) {
	cache := NewCache(groupByValue)
	cache.Reset([]sharedlog.KeyedRecord{record("a", "api", 1), record("b", "llm", 2), record("c", "api", 3)}, 4)
	cache.Apply([]sharedlog.KeyedRecord{
		{Key: "a", Offset: 4}, record("b", "llm", 5), {Key: "c", Malformed: "bad", Offset: 6}, record("d", "api", 7), {Offset: 8, Malformed: "no key"},
	}, 9)
	batch, available, _ := cache.Since(4, Only("api"))
	require.True(t, available)
	require.Equal(t, []string{"a", "c", "d"}, keysOf(batch))
	require.EqualValues(t, 9, batch.NextOffset, "the batch ends after the records of other groups too")
	batch, _, _ = cache.Since(7, Only("api"))
	require.Equal(t, []string{"d"}, keysOf(batch))
	cache.Apply([]sharedlog.KeyedRecord{record("d", "llm", 9)}, 10)
	batch, _, _ = cache.Since(9, Only("api"))
	require.Equal(t, []string{"d"}, keysOf(batch), "the key left the group")
}

// A reader that lags behind the requesting node returns nothing, so that the node's offset does
// not move backwards. A reader that no longer holds the requested records says so, so that the
// node does not miss any.
func TestOffsetsDoNotMoveBackwardsAndGapsAreDetected(t *testing.T) {
	cache := NewCache(groupByValue)
	cache.Reset([]sharedlog.KeyedRecord{record("a", "api", 1)}, 10)
	batch, available, _ := cache.Since(25, All())
	require.True(t, available)
	require.Empty(t, batch.Records)
	require.EqualValues(t, 25, batch.NextOffset)
	_, available, _ = cache.Since(9, All())
	require.False(t, available, "records before the reset are not held")
	var records []sharedlog.KeyedRecord
	for offset := uint64(10); offset < 10+2*maxRecentRecords; offset++ {
		records = append(records, record(fmt.Sprint(offset), "api", offset))
	}
	cache.Apply(records, 10+2*maxRecentRecords)
	require.Len(t, cache.recent, maxRecentRecords)
	_, available, _ = cache.Since(10, All())
	require.False(t, available)
	_, available, _ = cache.Since(10+maxRecentRecords, All())
	require.True(t, available)
}

func TestChangeClosesTheChannel(t *testing.T) {
	cache := NewCache(groupByValue)
	cache.Reset(nil, 1)
	_, _, changed := cache.Since(1, All())
	cache.Apply([]sharedlog.KeyedRecord{record("a", "api", 1)}, 2)
	select {
	case <-changed:
	default:
		t.Fatal("the channel is not closed after a change")
	}
}

func TestGroupsCoverTheirSubsets(t *testing.T) {
	require.True(t, All().Covers(All()))
	require.True(t, All().Covers(Only("a")))
	require.False(t, Only("a").Covers(All()))
	require.True(t, Only("b", "a", "a").Covers(Only("a")))
	require.False(t, Only("a").Covers(Only("a", "b")))
	require.True(t, Groups{}.Covers(Only()))
}
