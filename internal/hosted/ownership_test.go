package hosted

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/sharedlog"
)

// scriptedGroup deals out what a test says.
type scriptedGroup struct {
	mutex  sync.Mutex
	share  sharedlog.Share
	down   bool
	delay  time.Duration
	left   bool
	joined int
	heard  uint64
	owners []sharedlog.Owner
	away   time.Duration
}

func (g *scriptedGroup) set(change func()) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	change()
}

func (g *scriptedGroup) Join(ctx context.Context, _, _, _ string, _ time.Duration, generation uint64) (sharedlog.Share, error) {
	g.mutex.Lock()
	delay, down, share := g.delay, g.down, g.share
	g.joined++
	g.heard = generation
	g.mutex.Unlock()
	time.Sleep(delay)
	if down {
		return sharedlog.Share{}, result.New(result.LogUnavailable, "down")
	}
	return share, ctx.Err()
}

func (g *scriptedGroup) Leave(context.Context, string, string) error {
	g.set(func() { g.left = true })
	return nil
}

func (g *scriptedGroup) Owners(context.Context, string) ([]sharedlog.Owner, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.down {
		return nil, result.New(result.LogUnavailable, "down")
	}
	return g.owners, nil
}

// announced is what nodes announced, by name.
type announced map[string]uint64

func (a announced) Announced() (announcements, bool) {
	known := announcements{nodes: len(a), of: func(node string) uint64 { return a[node] }}
	for _, millicores := range a {
		known.largest = max(known.largest, millicores)
	}
	return known, true
}

func holding(generation uint64, partitions ...int) sharedlog.Share {
	share := sharedlog.Share{Generation: generation}
	for _, number := range partitions {
		share.Partitions = append(share.Partitions, sharedlog.Partition{Topic: jobTopic, Number: number})
	}
	return share
}

// own runs an ownership against a group for the time of a test.
func own(t *testing.T, test func(o *ownership, group *scriptedGroup)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ownWith(t, Settings{Name: "n", ShortestTTL: time.Second, OrderGrace: 3 * time.Second}, announced{}, test)
	})
}

// ownWith is own with settings and announcements of its own, within a bubble.
func ownWith(t *testing.T, settings Settings, known announced, test func(o *ownership, group *scriptedGroup)) {
	t.Helper()
	ownAmong(t, settings, known, nil, test)
}

// ownAmong is ownWith beside owners that are there from the start: the first look may
// come before the first step of the test.
func ownAmong(t *testing.T, settings Settings, known announced, owners []sharedlog.Owner, test func(o *ownership, group *scriptedGroup)) {
	t.Helper()
	group := &scriptedGroup{share: holding(4, 0), owners: owners}
	o := newOwnership(settings, group, known, func(context.Context) {}, event.Discard())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); o.run(ctx) }()
	test(o, group)
	cancel()
	<-done
}

func TestHolderExecutesAndOrdersUnderItsGeneration(t *testing.T) {
	own(t, func(o *ownership, _ *scriptedGroup) {
		time.Sleep(10 * time.Millisecond)
		require.True(t, o.executes(0, time.Now()))
		require.False(t, o.executes(1, time.Now()))
		fence, ok := o.mayOrder(0, time.Now())
		require.True(t, ok)
		require.EqualValues(t, 4, fence)
		_, ok = o.mayOrder(1, time.Now())
		require.False(t, ok)
	})
}

func TestHolderThatCannotRenewStopsOrdersBeforeItsShareEnds(t *testing.T) {
	own(t, func(o *ownership, group *scriptedGroup) {
		time.Sleep(4 * time.Second)
		group.set(func() { group.down = true })
		time.Sleep(1400 * time.Millisecond)
		_, ok := o.mayOrder(0, time.Now())
		require.False(t, ok, "another may hold the share 1.5 s after the last renewal")
		require.True(t, o.executes(0, time.Now()), "the log may be down for all")
		time.Sleep(isolatedLimit)
		require.False(t, o.executes(0, time.Now()))
		group.set(func() { group.down = false })
		time.Sleep(time.Second)
		require.True(t, o.executes(0, time.Now()))
	})
}

func TestFrozenHolderDoesNotOrderWhenItWakes(t *testing.T) {
	own(t, func(o *ownership, group *scriptedGroup) {
		time.Sleep(4 * time.Second)
		frozen := time.Now().Add(5 * time.Second) // no loop ran meanwhile
		_, ok := o.mayOrder(0, frozen)
		require.False(t, ok)
	})
}

func TestAnswerCountsFromItsQuestion(t *testing.T) {
	own(t, func(o *ownership, group *scriptedGroup) {
		time.Sleep(4 * time.Second)
		group.set(func() { group.delay = 550 * time.Millisecond })
		time.Sleep(2 * time.Second)
		o.mutex.Lock()
		age := o.renewedAt.Age()
		o.mutex.Unlock()
		require.GreaterOrEqual(t, age, 550*time.Millisecond)
	})
}

func TestLostPartitionIsLeftAtOnce(t *testing.T) {
	own(t, func(o *ownership, group *scriptedGroup) {
		time.Sleep(4 * time.Second)
		group.set(func() { group.share = holding(5, 3) })
		time.Sleep(time.Second)
		require.False(t, o.executes(0, time.Now()))
		_, ok := o.mayOrder(0, time.Now())
		require.False(t, ok)
	})
}

func TestLeavingGivesTheShareBack(t *testing.T) {
	own(t, func(o *ownership, group *scriptedGroup) {
		time.Sleep(4 * time.Second)
		o.leave(context.Background())
		require.True(t, group.hasLeft())
		require.False(t, o.executes(0, time.Now()))
		joined := group.joins()
		time.Sleep(3 * time.Second)
		require.LessOrEqual(t, group.joins(), joined+1, "it does not join again")
		require.False(t, o.executes(0, time.Now()))
	})
}

// A holder that heard that its partition moves confirmed it only at its next
// renewal, half a second later; until then nobody executed.
func TestNewGenerationIsConfirmedAtOnce(t *testing.T) {
	own(t, func(o *ownership, group *scriptedGroup) {
		time.Sleep(4 * time.Second)
		before := group.joins()
		group.set(func() { group.share = holding(5) })
		for group.joins() == before {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(2 * confirmPause)
		require.Equal(t, before+2, group.joins())
		require.EqualValues(t, 5, group.lastGeneration())
	})
}

func (g *scriptedGroup) joins() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.joined
}

func (g *scriptedGroup) hasLeft() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.left
}

func (g *scriptedGroup) lastGeneration() uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.heard
}

// A deployment of 80 nodes lost all its steps: the group had dealt the jobs to a
// node with a fifth of a core, while 19 had four times as much.
func TestSmallNodeLeavesTheJobsToLargerOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := Settings{Name: "small", Millicores: 192, ShortestTTL: time.Second, OrderGrace: time.Second}
		known := announced{"small": 192, "large": 800}
		ownWith(t, settings, known, func(o *ownership, group *scriptedGroup) {
			group.set(func() { group.owners = []sharedlog.Owner{{Partition: jobs(0), Member: "large"}} })
			time.Sleep(10 * time.Second)
			require.Zero(t, group.joins())

			group.set(func() { group.owners = nil })
			time.Sleep(3 * time.Second)
			require.Positive(t, group.joins(), "no other node executes")
			require.True(t, o.executes(0, time.Now()))

			group.set(func() { group.owners = []sharedlog.Owner{{Partition: jobs(3), Member: "large"}} })
			time.Sleep(2 * time.Second)
			require.True(t, group.hasLeft())
			require.False(t, o.executes(0, time.Now()))
		})
	})
}

func TestSmallNodeKeepsItsPlaceWhileItCannotAsk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := Settings{Name: "small", Millicores: 192, ShortestTTL: time.Second, OrderGrace: time.Second}
		ownWith(t, settings, announced{"large": 800}, func(_ *ownership, group *scriptedGroup) {
			group.set(func() { group.down = true })
			time.Sleep(10 * time.Second)
			require.Zero(t, group.joins())
		})
	})
}

func ownerOf(member string, number int) sharedlog.Owner {
	return sharedlog.Owner{Partition: jobs(number), Member: member}
}

func jobs(number int) sharedlog.Partition {
	return sharedlog.Partition{Topic: jobTopic, Number: number}
}

// Every node of the fleet was in the group, and each restart made the service deal
// the jobs anew.
func TestNodesStandOutWhileAnotherExecutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := Settings{Name: "b", Millicores: 800, ShortestTTL: time.Second, OrderGrace: time.Second}
		among := []sharedlog.Owner{ownerOf("a", jobPartition)}
		ownAmong(t, settings, announced{"a": 800, "b": 800}, among, func(o *ownership, group *scriptedGroup) {
			time.Sleep(10 * time.Second)
			require.Zero(t, group.joins())
			group.set(func() { group.owners = nil })
			time.Sleep(time.Second)
			require.Positive(t, group.joins())
			require.True(t, o.executes(0, time.Now()))
		})
	})
}

// Beyond implements group: the service is next door.
func (g *scriptedGroup) Beyond() time.Duration { return 0 }

// Away implements group.
func (g *scriptedGroup) Away() time.Duration { return g.away }

// The executor stood 120 ms from the store, one way, while nodes next to it were idle
// (quiet-1): a node there lets a look pass before it enters.
func TestFarNodeEntersAfterTheNearOnes(t *testing.T) {
	enters := func(away time.Duration) time.Duration {
		var took time.Duration
		synctest.Test(t, func(t *testing.T) {
			group := &scriptedGroup{share: holding(1, jobPartition), away: away}
			o := newOwnership(Settings{Name: "n", ShortestTTL: time.Second, OrderGrace: 3 * time.Second}, group, announced{}, func(context.Context) {}, event.Discard())
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			began := time.Now()
			go func() { defer close(done); o.run(ctx) }()
			for !o.executes(jobPartition, time.Now()) {
				time.Sleep(time.Millisecond)
			}
			took = time.Since(began)
			cancel()
			<-done
		})
		return took
	}
	require.Less(t, enters(16*time.Millisecond), shortestLook/2)
	require.Greater(t, enters(94*time.Millisecond), shortestLook/2)
}
