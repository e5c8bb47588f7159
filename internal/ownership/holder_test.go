package ownership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/ownership/ownershiptest"
	"github.com/pathbend/pathbend/internal/sharedlog"
)

var noCallbacks = Callbacks{BeforeRelease: func(context.Context) {}, OnChange: func() {}}

func settingsOf(member string, millicores uint64) Settings {
	const ttl = 1500 * time.Millisecond
	return Settings{Member: member, Millicores: millicores, Group: "executors", Topic: ownershiptest.Topic, TTL: ttl}
}

// announcedCapacities maps the names of nodes to their capacities in millicores.
type announcedCapacities map[string]uint64

func (a announcedCapacities) Announced() (NodeCapacities, bool) {
	known := NodeCapacities{NodeCount: len(a), CapacityOf: func(node string) uint64 { return a[node] }}
	for _, millicores := range a {
		known.Largest = max(known.Largest, millicores)
	}
	return known, true
}

// runHolder runs a holder with a fake group for the duration of a test function, in a
// synctest bubble.
func runHolder(t *testing.T, test func(h *Holder, group *ownershiptest.Group)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		runHolderWith(t, settingsOf("n", 0), announcedCapacities{}, test)
	})
}

// runHolderWith is runHolder with given settings and capacities. The caller runs in a bubble.
func runHolderWith(t *testing.T, settings Settings, known announcedCapacities, test func(h *Holder, group *ownershiptest.Group)) {
	t.Helper()
	runHolderWithOwners(t, settings, known, nil, test)
}

// runHolderWithOwners is runHolderWith with owners that are present from the start: the
// holder may observe the owners before the first statement of the test function.
func runHolderWithOwners(t *testing.T, settings Settings, known announcedCapacities, owners []sharedlog.Owner, test func(h *Holder, group *ownershiptest.Group)) {
	t.Helper()
	group := &ownershiptest.Group{Assignment: ownershiptest.NewAssignment(4, 0), Owned: owners}
	h := New(settings, group, known, nil, noCallbacks, event.Discard())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); h.Run(ctx) }()
	test(h, group)
	cancel()
	<-done
}

func TestHolderExecutesAndOrdersUnderItsGeneration(t *testing.T) {
	runHolder(t, func(h *Holder, _ *ownershiptest.Group) {
		time.Sleep(10 * time.Millisecond)
		require.True(t, h.ShouldExecute(0, time.Now()))
		require.False(t, h.ShouldExecute(1, time.Now()))
		fence, ok := h.OrderFencingToken(0, time.Now())
		require.True(t, ok)
		require.EqualValues(t, 4, fence)
		_, ok = h.OrderFencingToken(1, time.Now())
		require.False(t, ok)
	})
}

func TestHolderThatCannotRenewStopsOrdersBeforeItsAssignmentExpires(t *testing.T) {
	runHolder(t, func(h *Holder, group *ownershiptest.Group) {
		time.Sleep(4 * time.Second)
		group.Set(func() { group.Down = true })
		time.Sleep(1400 * time.Millisecond)
		_, ok := h.OrderFencingToken(0, time.Now())
		require.False(t, ok, "another node may hold the partition 1.5 s after the last renewal")
		require.True(t, h.ShouldExecute(0, time.Now()), "the log may be unavailable to all nodes")
		time.Sleep(isolationTimeout)
		require.False(t, h.ShouldExecute(0, time.Now()))
		group.Set(func() { group.Down = false })
		time.Sleep(time.Second)
		require.True(t, h.ShouldExecute(0, time.Now()))
	})
}

func TestFrozenHolderMayNotOrderAfterItResumes(t *testing.T) {
	runHolder(t, func(h *Holder, group *ownershiptest.Group) {
		time.Sleep(4 * time.Second)
		resumed := time.Now().Add(5 * time.Second) // the loop did not run meanwhile
		_, ok := h.OrderFencingToken(0, resumed)
		require.False(t, ok)
	})
}

func TestAssignmentIsValidFromTheTimeOfTheRequest(t *testing.T) {
	runHolder(t, func(h *Holder, group *ownershiptest.Group) {
		time.Sleep(4 * time.Second)
		group.Set(func() { group.Delay = 550 * time.Millisecond })
		time.Sleep(2 * time.Second)
		h.mutex.Lock()
		age := h.renewedAt.Age()
		h.mutex.Unlock()
		require.GreaterOrEqual(t, age, 550*time.Millisecond)
	})
}

func TestReassignedPartitionIsReleasedAtOnce(t *testing.T) {
	runHolder(t, func(h *Holder, group *ownershiptest.Group) {
		time.Sleep(4 * time.Second)
		group.Set(func() { group.Assignment = ownershiptest.NewAssignment(5, 3) })
		time.Sleep(time.Second)
		require.False(t, h.ShouldExecute(0, time.Now()))
		_, ok := h.OrderFencingToken(0, time.Now())
		require.False(t, ok)
	})
}

func TestLeavingReleasesTheAssignment(t *testing.T) {
	runHolder(t, func(h *Holder, group *ownershiptest.Group) {
		time.Sleep(4 * time.Second)
		h.Leave(context.Background())
		require.True(t, group.HasLeft())
		require.False(t, h.ShouldExecute(0, time.Now()))
		joined := group.Joins()
		time.Sleep(3 * time.Second)
		require.LessOrEqual(t, group.Joins(), joined+1, "the holder must not join again")
		require.False(t, h.ShouldExecute(0, time.Now()))
	})
}

// Guards against a gap in execution while a partition moves: a holder that learns of the new
// generation must confirm it at once and not with its next renewal half a second later,
// because no node executes until then.
func TestNewGenerationIsConfirmedAtOnce(t *testing.T) {
	runHolder(t, func(h *Holder, group *ownershiptest.Group) {
		time.Sleep(4 * time.Second)
		before := group.Joins()
		group.Set(func() { group.Assignment = ownershiptest.NewAssignment(5) })
		for group.Joins() == before {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(2 * confirmDelay)
		require.Equal(t, before+2, group.Joins())
		require.EqualValues(t, 5, group.LastGeneration())
	})
}

// Guards against assigning the jobs to a node that is too small. A deployment of 80 nodes
// completed no steps because its executor had a fifth of a core, while 19 other nodes had
// four times as much.
func TestSmallNodeLeavesJobsToLargerNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := settingsOf("small", 192)
		known := announcedCapacities{"small": 192, "large": 800}
		runHolderWith(t, settings, known, func(h *Holder, group *ownershiptest.Group) {
			group.Set(func() { group.Owned = []sharedlog.Owner{{Partition: jobPartition(0), Member: "large"}} })
			time.Sleep(10 * time.Second)
			require.Zero(t, group.Joins())

			group.Set(func() { group.Owned = nil })
			time.Sleep(3 * time.Second)
			require.Positive(t, group.Joins(), "no other node executes")
			require.True(t, h.ShouldExecute(0, time.Now()))

			group.Set(func() { group.Owned = []sharedlog.Owner{{Partition: jobPartition(3), Member: "large"}} })
			time.Sleep(2 * time.Second)
			require.True(t, group.HasLeft())
			require.False(t, h.ShouldExecute(0, time.Now()))
		})
	})
}

func TestSmallNodeDoesNotJoinWhileTheGroupIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := settingsOf("small", 192)
		runHolderWith(t, settings, announcedCapacities{"large": 800}, func(_ *Holder, group *ownershiptest.Group) {
			group.Set(func() { group.Down = true })
			time.Sleep(10 * time.Second)
			require.Zero(t, group.Joins())
		})
	})
}

func newOwner(member string, number int) sharedlog.Owner {
	return sharedlog.Owner{Partition: jobPartition(number), Member: member}
}

func jobPartition(number int) sharedlog.Partition {
	return sharedlog.Partition{Topic: ownershiptest.Topic, Number: number}
}

// Guards against a rebalance of the jobs with every restart of a node, which happens if all
// nodes are members of the group.
func TestNodesStayOutOfTheGroupWhileAnotherExecutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := settingsOf("b", 800)
		owners := []sharedlog.Owner{newOwner("a", 0)}
		runHolderWithOwners(t, settings, announcedCapacities{"a": 800, "b": 800}, owners, func(h *Holder, group *ownershiptest.Group) {
			time.Sleep(10 * time.Second)
			require.Zero(t, group.Joins())
			group.Set(func() { group.Owned = nil })
			time.Sleep(time.Second)
			require.Positive(t, group.Joins())
			require.True(t, h.ShouldExecute(0, time.Now()))
		})
	})
}

// Guards against an executor that is far from the log service while nodes near to it are
// idle, as happened with a one-way latency of 120 ms. A far node skips one observation of
// the owners before it joins.
func TestFarNodeJoinsAfterNearNodes(t *testing.T) {
	timeToExecute := func(roundTrip time.Duration) time.Duration {
		var elapsed time.Duration
		synctest.Test(t, func(t *testing.T) {
			group := &ownershiptest.Group{Assignment: ownershiptest.NewAssignment(1, 0), RoundTrip: roundTrip}
			h := New(settingsOf("n", 0), group, announcedCapacities{}, nil, noCallbacks, event.Discard())
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			began := time.Now()
			go func() { defer close(done); h.Run(ctx) }()
			for !h.ShouldExecute(0, time.Now()) {
				time.Sleep(time.Millisecond)
			}
			elapsed = time.Since(began)
			cancel()
			<-done
		})
		return elapsed
	}
	require.Less(t, timeToExecute(16*time.Millisecond), MinObserveInterval/2)
	require.Greater(t, timeToExecute(94*time.Millisecond), MinObserveInterval/2)
}
