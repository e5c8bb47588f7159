package ownership

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/ownership/ownershiptest"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/sharedlog"
)

// losingGroup renews shares and answers each lost-th call only.
type losingGroup struct {
	ownershiptest.Group
	mutex sync.Mutex
	calls int
	lost  int
}

func (g *losingGroup) Join(ctx context.Context, _, _, _ string, _ time.Duration, _ uint64) (sharedlog.Share, error) {
	g.mutex.Lock()
	g.calls++
	answered := g.calls%g.lost == 0
	g.mutex.Unlock()
	if answered {
		return ownershiptest.Holding(4, 0), nil
	}
	<-ctx.Done()
	return sharedlog.Share{}, result.New(result.LogUnknown, "no answer")
}

// Half of the answers of the store were lost for 5 s; three renewals in a row had none,
// the share lapsed, and the jobs moved six times in eight seconds (scale-1).
func TestShareOutlastsLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := &losingGroup{lost: 4}
		settings := settingsOf("n", 0)
		o := New(settings, group, announced{}, nil, noCallbacks, event.Discard())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); o.Run(ctx) }()
		time.Sleep(time.Second)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			_, may := o.MayOrder(0, time.Now())
			require.True(t, may)
		}
		cancel()
		<-done
		synctest.Wait()
	})
}

func TestAnsweredRenewalIsOneCall(t *testing.T) {
	own(t, func(_ *Holder, group *ownershiptest.Group) {
		time.Sleep(10 * time.Millisecond)
		group.Set(func() { group.Joined = 0 })
		time.Sleep(3 * time.Second)
		group.Set(func() { require.LessOrEqual(t, group.Joined, 7, "a renewal each half second") })
	})
}

// A holder that was suspended for longer than its share took it for its own, since the
// steady clock had stood, until its next renewal was answered.
func TestShareEndsWhileTheMachineIsSuspended(t *testing.T) {
	suspended := time.Duration(0)
	t.Cleanup(clock.Simulate(func() time.Duration { return suspended }))
	own(t, func(o *Holder, group *ownershiptest.Group) {
		time.Sleep(4 * time.Second)
		_, ok := o.MayOrder(0, time.Now())
		require.True(t, ok)
		require.True(t, o.Executes(0, time.Now()))
		group.Set(func() { group.Down = true })
		suspended += 2 * time.Second
		_, ok = o.MayOrder(0, time.Now())
		require.False(t, ok)
		require.False(t, o.holds(0, time.Now()))
		require.True(t, o.OutOfTouch(time.Now()))
		require.True(t, o.Executes(0, time.Now()), "for as long as one that is isolated")
		suspended += IsolatedLimit
		require.False(t, o.Executes(0, time.Now()))
		group.Set(func() { group.Down = false })
		time.Sleep(time.Second)
		_, ok = o.MayOrder(0, time.Now())
		require.True(t, ok, "it was renewed since")
	})
}

// A holder that was cut off came back and entered the group before it looked: the
// service dealt anew, and the node that executed by then stopped all its runs.
func TestHolderThatWasOutOfTouchLooksBeforeItEnters(t *testing.T) {
	own(t, func(o *Holder, group *ownershiptest.Group) {
		time.Sleep(4 * time.Second)
		group.Set(func() { group.Down = true })
		time.Sleep(4 * time.Second)
		require.True(t, o.OutOfTouch(time.Now()))
		before := 0
		group.Set(func() {
			group.Down = false
			before = group.Joined
			group.Owned = append(group.Owned, ownerOf("other", 0))
		})
		time.Sleep(time.Second)
		require.Equal(t, before, group.Joins())
		require.False(t, o.Executes(0, time.Now()))
	})
}
