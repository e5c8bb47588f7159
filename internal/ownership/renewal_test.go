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

// lossyGroup renews assignments, and responds only to every responseInterval-th call.
type lossyGroup struct {
	ownershiptest.Group
	mutex            sync.Mutex
	calls            int
	responseInterval int
}

func (g *lossyGroup) Join(ctx context.Context, _, _, _ string, _ time.Duration, _ uint64) (sharedlog.Assignment, error) {
	g.mutex.Lock()
	g.calls++
	responds := g.calls%g.responseInterval == 0
	g.mutex.Unlock()
	if responds {
		return ownershiptest.NewAssignment(4, 0), nil
	}
	<-ctx.Done()
	return sharedlog.Assignment{}, result.New(result.LogUnknown, "no response")
}

// Guards against assignments that expire because responses are lost. When half of the log
// service's responses were lost for 5 s, three consecutive renewals had none, the assignment
// expired, and the jobs moved six times in eight seconds.
func TestAssignmentSurvivesLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := &lossyGroup{responseInterval: 4}
		settings := settingsOf("n", 0)
		h := New(settings, group, announcedCapacities{}, nil, noCallbacks, event.Discard())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); h.Run(ctx) }()
		time.Sleep(time.Second)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			_, may := h.OrderFencingToken(0, time.Now())
			require.True(t, may)
		}
		cancel()
		<-done
		synctest.Wait()
	})
}

func TestRenewalWithAResponseMakesOneCall(t *testing.T) {
	runHolder(t, func(_ *Holder, group *ownershiptest.Group) {
		time.Sleep(10 * time.Millisecond)
		group.Set(func() { group.JoinCalls = 0 })
		time.Sleep(3 * time.Second)
		group.Set(func() { require.LessOrEqual(t, group.JoinCalls, 7, "one renewal every half second") })
	})
}

// Guards against a stale assignment after the machine was suspended for longer than the TTL.
// The monotonic clock stands still meanwhile, so that the holder considered the partition its
// own until its next renewal had a response.
func TestAssignmentExpiresWhileTheMachineIsSuspended(t *testing.T) {
	suspended := time.Duration(0)
	t.Cleanup(clock.Simulate(func() time.Duration { return suspended }))
	runHolder(t, func(h *Holder, group *ownershiptest.Group) {
		time.Sleep(4 * time.Second)
		_, ok := h.OrderFencingToken(0, time.Now())
		require.True(t, ok)
		require.True(t, h.ShouldExecute(0, time.Now()))
		group.Set(func() { group.Down = true })
		suspended += 2 * time.Second
		_, ok = h.OrderFencingToken(0, time.Now())
		require.False(t, ok)
		require.False(t, h.hasValidAssignment(0, time.Now()))
		require.True(t, h.AssignmentExpired(time.Now()))
		require.True(t, h.ShouldExecute(0, time.Now()), "until the isolation timeout")
		suspended += isolationTimeout
		require.False(t, h.ShouldExecute(0, time.Now()))
		group.Set(func() { group.Down = false })
		time.Sleep(time.Second)
		_, ok = h.OrderFencingToken(0, time.Now())
		require.True(t, ok, "the assignment was renewed")
	})
}

// Guards against a needless rebalance: a holder that regains contact must observe the owners
// before it joins. Otherwise the service rebalances the group, and the node that has taken the
// jobs over stops all of its runs.
func TestHolderWithExpiredAssignmentObservesOwnersBeforeItJoins(t *testing.T) {
	runHolder(t, func(h *Holder, group *ownershiptest.Group) {
		time.Sleep(4 * time.Second)
		group.Set(func() { group.Down = true })
		time.Sleep(4 * time.Second)
		require.True(t, h.AssignmentExpired(time.Now()))
		before := 0
		group.Set(func() {
			group.Down = false
			before = group.JoinCalls
			group.Owned = append(group.Owned, newOwner("other", 0))
		})
		time.Sleep(time.Second)
		require.Equal(t, before, group.Joins())
		require.False(t, h.ShouldExecute(0, time.Now()))
	})
}
