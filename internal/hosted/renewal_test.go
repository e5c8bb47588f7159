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

// losingGroup renews shares and answers each lost-th call only.
type losingGroup struct {
	scriptedGroup
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
		return holding(4, jobPartition), nil
	}
	<-ctx.Done()
	return sharedlog.Share{}, result.New(result.LogUnknown, "no answer")
}

// Half of the answers of the store were lost for 5 s; three renewals in a row had none,
// the share lapsed, and the jobs moved six times in eight seconds (scale-1).
func TestShareOutlastsLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := &losingGroup{lost: 4}
		settings := Settings{Name: "n", ShortestTTL: time.Second, OrderGrace: 3 * time.Second}
		o := newOwnership(settings, group, announced{}, func(context.Context) {}, event.Discard())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); o.run(ctx) }()
		time.Sleep(time.Second)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			_, may := o.mayOrder(jobPartition, time.Now())
			require.True(t, may)
		}
		cancel()
		<-done
		synctest.Wait()
	})
}

func TestAnsweredRenewalIsOneCall(t *testing.T) {
	own(t, func(_ *ownership, group *scriptedGroup) {
		time.Sleep(10 * time.Millisecond)
		group.set(func() { group.joined = 0 })
		time.Sleep(3 * time.Second)
		group.set(func() { require.LessOrEqual(t, group.joined, 7, "a renewal each half second") })
	})
}
