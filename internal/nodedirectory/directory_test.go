package nodedirectory

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/sharedlog"
	"github.com/pathbend/pathbend/internal/sharedlog/sharedlogtest"
)

func newEntryRecord(t *testing.T, node string, millicores uint64) sharedlog.KeyedRecord {
	t.Helper()
	value, err := proto.Marshal(&pathbendv1.NodeCapacity{Node: node, Millicores: millicores})
	require.NoError(t, err)
	return sharedlog.KeyedRecord{Key: node, Value: value}
}

func announceAs(t *testing.T, d *Directory, node string, millicores uint64) {
	t.Helper()
	d.Apply([]sharedlog.KeyedRecord{newEntryRecord(t, node, millicores)}, 1)
}

func TestAnnouncedCapacitiesAreKnownUntilTheyExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(sharedlog.NewMeteredLog(&sharedlogtest.MemoryLog{}, nil), "nodes", "self", nil, nil, event.Discard())
		_, ok := d.Announced()
		require.False(t, ok, "the topic was not read yet")
		d.follower.Health = sharedlog.Health{}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); d.Run(ctx) }()
		synctest.Wait()
		announceAs(t, d, "small", 192)
		announceAs(t, d, "large", 800)
		announceAs(t, d, "large", 700)
		d.Apply([]sharedlog.KeyedRecord{{Key: "malformed", Value: []byte{0xff}}}, 1)
		known, ok := d.Announced()
		require.True(t, ok)
		require.EqualValues(t, 700, known.Largest)
		require.Equal(t, 2, known.NodeCount)
		require.EqualValues(t, 192, known.CapacityOf("small"))
		require.Zero(t, known.CapacityOf("other"))
		time.Sleep(entryTTL + time.Second)
		known, _ = d.Announced()
		require.Zero(t, known.Largest)
		require.Zero(t, known.NodeCount)
		cancel()
		<-done
	})
}

// The nodes of a new deployment announce themselves one after the other: the directory counts
// as complete once it has not changed for settlePeriod. A process that finds the entry of its
// node was restarted, and the entries of the other nodes are present from the start.
func TestDirectoryIsLikelyCompleteOnceItDoesNotChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &sharedlogtest.MemoryLog{}
		d := New(sharedlog.NewMeteredLog(log, nil), "nodes", "self", nil, nil, event.Discard())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			d.Run(ctx)
		}()
		for i := range 20 {
			require.NoError(t, log.AppendKeyed(ctx, d.follower.Partition, []sharedlog.KeyedRecord{newEntryRecord(t, fmt.Sprint("n", i), 800)}))
			time.Sleep(100 * time.Millisecond)
			require.False(t, d.LikelyComplete())
		}
		time.Sleep(settlePeriod + 2*baseReadPause)
		require.True(t, d.LikelyComplete())
		cancel()
		<-done
		restarted := New(sharedlog.NewMeteredLog(log, nil), "nodes", "n3", nil, nil, event.Discard())
		restarted.reset([]sharedlog.KeyedRecord{newEntryRecord(t, "n3", 800)}, 1)
		require.True(t, restarted.selfFound)
		unread := New(sharedlog.NewMeteredLog(log, nil), "nodes", "self", nil, nil, event.Discard())
		require.False(t, unread.LikelyComplete(), "nothing was read")
	})
}

// A node of an earlier release would take a claim of many subjects for one of the first of them.
func TestFurtherSubjectsAreReadOnlyIfAllNodesAnnounceIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(sharedlog.NewMeteredLog(&sharedlogtest.MemoryLog{}, nil), "nodes", "self", nil, nil, event.Discard())
		announce := func(node string, reads bool) {
			value, err := proto.Marshal(&pathbendv1.NodeCapacity{Node: node, Millicores: 1, ReadsFurtherSubjects: reads})
			require.NoError(t, err)
			d.Apply([]sharedlog.KeyedRecord{{Key: node, Value: value}}, 1)
		}
		require.False(t, d.AllReadFurtherSubjects(), "nothing was announced")
		announce("other", true)
		require.False(t, d.AllReadFurtherSubjects(), "this node's entry was not read")
		announce("self", true)
		require.True(t, d.AllReadFurtherSubjects())
		announce("earlier", false)
		require.False(t, d.AllReadFurtherSubjects())
		announce("earlier", true)
		require.True(t, d.AllReadFurtherSubjects())
		announce("other", false)
		require.False(t, d.AllReadFurtherSubjects(), "it was taken back")
		time.Sleep(entryTTL + time.Second)
		require.False(t, d.AllReadFurtherSubjects(), "this node's entry has expired")
		announce("self", true)
		require.True(t, d.AllReadFurtherSubjects(), "the node of the earlier release has left")
	})
}

func TestAnnouncementStatesThatFurtherSubjectsAreRead(t *testing.T) {
	log := &sharedlogtest.MemoryLog{}
	d := New(sharedlog.NewMeteredLog(log, nil), "nodes", "self", nil, nil, event.Discard())
	entry := Entry{Millicores: 1, ReadsFurtherSubjects: true}
	require.NoError(t, d.Announce(t.Context(), entry))
	batch, err := log.ReadKeyed(t.Context(), d.follower.Partition, 0, 0)
	require.NoError(t, err)
	d.Apply(batch.Records, 0)
	require.Equal(t, entry, d.nodes["self"].Entry)
}
