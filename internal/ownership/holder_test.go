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

var noCallbacks = Callbacks{HandOver: func(context.Context) {}, Changed: func() {}}

func settingsOf(member string, millicores uint64) Settings {
	const ttl = 1500 * time.Millisecond
	return Settings{Member: member, Millicores: millicores, Group: "executors", Topic: ownershiptest.Topic, TTL: ttl}
}

// announced is what nodes announced, by name.
type announced map[string]uint64

func (a announced) Announced() (Announcements, bool) {
	known := Announcements{Nodes: len(a), Of: func(node string) uint64 { return a[node] }}
	for _, millicores := range a {
		known.Largest = max(known.Largest, millicores)
	}
	return known, true
}

// own runs an ownership against a group for the time of a test.
func own(t *testing.T, test func(o *Holder, group *ownershiptest.Group)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ownWith(t, settingsOf("n", 0), announced{}, test)
	})
}

// ownWith is own with settings and announcements of its own, within a bubble.
func ownWith(t *testing.T, settings Settings, known announced, test func(o *Holder, group *ownershiptest.Group)) {
	t.Helper()
	ownAmong(t, settings, known, nil, test)
}

// ownAmong is ownWith beside owners that are there from the start: the first look may
// come before the first step of the test.
func ownAmong(t *testing.T, settings Settings, known announced, owners []sharedlog.Owner, test func(o *Holder, group *ownershiptest.Group)) {
	t.Helper()
	group := &ownershiptest.Group{Share: ownershiptest.Holding(4, 0), Owned: owners}
	o := New(settings, group, known, nil, noCallbacks, event.Discard())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); o.Run(ctx) }()
	test(o, group)
	cancel()
	<-done
}

func TestHolderExecutesAndOrdersUnderItsGeneration(t *testing.T) {
	own(t, func(o *Holder, _ *ownershiptest.Group) {
		time.Sleep(10 * time.Millisecond)
		require.True(t, o.Executes(0, time.Now()))
		require.False(t, o.Executes(1, time.Now()))
		fence, ok := o.MayOrder(0, time.Now())
		require.True(t, ok)
		require.EqualValues(t, 4, fence)
		_, ok = o.MayOrder(1, time.Now())
		require.False(t, ok)
	})
}

func TestHolderThatCannotRenewStopsOrdersBeforeItsShareEnds(t *testing.T) {
	own(t, func(o *Holder, group *ownershiptest.Group) {
		time.Sleep(4 * time.Second)
		group.Set(func() { group.Down = true })
		time.Sleep(1400 * time.Millisecond)
		_, ok := o.MayOrder(0, time.Now())
		require.False(t, ok, "another may hold the share 1.5 s after the last renewal")
		require.True(t, o.Executes(0, time.Now()), "the log may be down for all")
		time.Sleep(IsolatedLimit)
		require.False(t, o.Executes(0, time.Now()))
		group.Set(func() { group.Down = false })
		time.Sleep(time.Second)
		require.True(t, o.Executes(0, time.Now()))
	})
}

func TestFrozenHolderDoesNotOrderWhenItWakes(t *testing.T) {
	own(t, func(o *Holder, group *ownershiptest.Group) {
		time.Sleep(4 * time.Second)
		frozen := time.Now().Add(5 * time.Second) // no loop ran meanwhile
		_, ok := o.MayOrder(0, frozen)
		require.False(t, ok)
	})
}

func TestAnswerCountsFromItsQuestion(t *testing.T) {
	own(t, func(o *Holder, group *ownershiptest.Group) {
		time.Sleep(4 * time.Second)
		group.Set(func() { group.Delay = 550 * time.Millisecond })
		time.Sleep(2 * time.Second)
		o.mutex.Lock()
		age := o.renewedAt.Age()
		o.mutex.Unlock()
		require.GreaterOrEqual(t, age, 550*time.Millisecond)
	})
}

func TestLostPartitionIsLeftAtOnce(t *testing.T) {
	own(t, func(o *Holder, group *ownershiptest.Group) {
		time.Sleep(4 * time.Second)
		group.Set(func() { group.Share = ownershiptest.Holding(5, 3) })
		time.Sleep(time.Second)
		require.False(t, o.Executes(0, time.Now()))
		_, ok := o.MayOrder(0, time.Now())
		require.False(t, ok)
	})
}

func TestLeavingGivesTheShareBack(t *testing.T) {
	own(t, func(o *Holder, group *ownershiptest.Group) {
		time.Sleep(4 * time.Second)
		o.Leave(context.Background())
		require.True(t, group.HasLeft())
		require.False(t, o.Executes(0, time.Now()))
		joined := group.Joins()
		time.Sleep(3 * time.Second)
		require.LessOrEqual(t, group.Joins(), joined+1, "it does not join again")
		require.False(t, o.Executes(0, time.Now()))
	})
}

// A holder that heard that its partition moves confirmed it only at its next
// renewal, half a second later; until then nobody executed.
func TestNewGenerationIsConfirmedAtOnce(t *testing.T) {
	own(t, func(o *Holder, group *ownershiptest.Group) {
		time.Sleep(4 * time.Second)
		before := group.Joins()
		group.Set(func() { group.Share = ownershiptest.Holding(5) })
		for group.Joins() == before {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(2 * confirmPause)
		require.Equal(t, before+2, group.Joins())
		require.EqualValues(t, 5, group.LastGeneration())
	})
}

// A deployment of 80 nodes lost all its steps: the group had dealt the jobs to a
// node with a fifth of a core, while 19 had four times as much.
func TestSmallNodeLeavesTheJobsToLargerOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := settingsOf("small", 192)
		known := announced{"small": 192, "large": 800}
		ownWith(t, settings, known, func(o *Holder, group *ownershiptest.Group) {
			group.Set(func() { group.Owned = []sharedlog.Owner{{Partition: jobs(0), Member: "large"}} })
			time.Sleep(10 * time.Second)
			require.Zero(t, group.Joins())

			group.Set(func() { group.Owned = nil })
			time.Sleep(3 * time.Second)
			require.Positive(t, group.Joins(), "no other node executes")
			require.True(t, o.Executes(0, time.Now()))

			group.Set(func() { group.Owned = []sharedlog.Owner{{Partition: jobs(3), Member: "large"}} })
			time.Sleep(2 * time.Second)
			require.True(t, group.HasLeft())
			require.False(t, o.Executes(0, time.Now()))
		})
	})
}

func TestSmallNodeKeepsItsPlaceWhileItCannotAsk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := settingsOf("small", 192)
		ownWith(t, settings, announced{"large": 800}, func(_ *Holder, group *ownershiptest.Group) {
			group.Set(func() { group.Down = true })
			time.Sleep(10 * time.Second)
			require.Zero(t, group.Joins())
		})
	})
}

func ownerOf(member string, number int) sharedlog.Owner {
	return sharedlog.Owner{Partition: jobs(number), Member: member}
}

func jobs(number int) sharedlog.Partition {
	return sharedlog.Partition{Topic: ownershiptest.Topic, Number: number}
}

// Every node of the fleet was in the group, and each restart made the service deal
// the jobs anew.
func TestNodesStandOutWhileAnotherExecutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := settingsOf("b", 800)
		among := []sharedlog.Owner{ownerOf("a", 0)}
		ownAmong(t, settings, announced{"a": 800, "b": 800}, among, func(o *Holder, group *ownershiptest.Group) {
			time.Sleep(10 * time.Second)
			require.Zero(t, group.Joins())
			group.Set(func() { group.Owned = nil })
			time.Sleep(time.Second)
			require.Positive(t, group.Joins())
			require.True(t, o.Executes(0, time.Now()))
		})
	})
}

// The executor stood 120 ms from the store, one way, while nodes next to it were idle
// (quiet-1): a node there lets a look pass before it enters.
func TestFarNodeEntersAfterTheNearOnes(t *testing.T) {
	enters := func(away time.Duration) time.Duration {
		var took time.Duration
		synctest.Test(t, func(t *testing.T) {
			group := &ownershiptest.Group{Share: ownershiptest.Holding(1, 0), Distance: away}
			o := New(settingsOf("n", 0), group, announced{}, nil, noCallbacks, event.Discard())
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			began := time.Now()
			go func() { defer close(done); o.Run(ctx) }()
			for !o.Executes(0, time.Now()) {
				time.Sleep(time.Millisecond)
			}
			took = time.Since(began)
			cancel()
			<-done
		})
		return took
	}
	require.Less(t, enters(16*time.Millisecond), ShortestLook/2)
	require.Greater(t, enters(94*time.Millisecond), ShortestLook/2)
}
