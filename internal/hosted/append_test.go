package hosted

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/sharedlog"
)

// awayLog never answers what it gets before it is back. What it gets later is
// answered after some time.
type awayLog struct {
	sharedlog.Log

	backAt time.Time
	takes  time.Duration

	mutex   sync.Mutex
	appends int
}

func (l *awayLog) answer(ctx context.Context) error {
	if time.Now().Before(l.backAt) {
		<-ctx.Done()
		return result.New(result.LogUnknown, "silent")
	}
	time.Sleep(l.takes)
	return nil
}

func (l *awayLog) Append(ctx context.Context, _ sharedlog.Partition, _ [][]byte) (uint64, error) {
	l.mutex.Lock()
	l.appends++
	l.mutex.Unlock()
	return 0, l.answer(ctx)
}

func (l *awayLog) sent() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.appends
}

func (l *awayLog) Read(ctx context.Context, _ sharedlog.Partition, _ uint64, _ time.Duration) (sharedlog.Batch, error) {
	return sharedlog.Batch{}, l.answer(ctx)
}

// Results of an outage were listed 0.8 s after the store was back: the appends that
// hung were waited for, and meanwhile another executor made the texts again.
func TestAppendIsKeptSoonAfterASilentLogIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &awayLog{backAt: time.Now().Add(5200 * time.Millisecond)}
		node := New(Settings{Name: "n"}, Ports{Network: network.TCP{}, Log: log}, event.Discard())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		followed := make(chan struct{})
		go func() { defer close(followed); node.jobs.follower.Run(ctx) }()
		for node.jobs.appendOne(ctx, nil, nil) != nil {
			time.Sleep(appendRetryPause)
		}
		require.Less(t, time.Since(log.backAt), maxAppendHedgeDelay+appendRetryPause)
		cancel()
		<-followed
	})
}

func TestSlowLogGetsNoMoreThanTwoAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Between two looks at whether another append goes out.
		const takes = 4*maxAppendHedgeDelay + maxAppendHedgeDelay/2
		log := &awayLog{takes: takes}
		node := New(Settings{Name: "n"}, Ports{Network: network.TCP{}, Log: log}, event.Discard())
		require.NoError(t, node.jobs.appendOne(t.Context(), nil, nil))
		require.Equal(t, 2, log.sent())
		synctest.Wait()
		time.Sleep(takes)
	})
}

// A log that is merely slow, sixty times as slow as it was, would get slower by appends that
// are sent again: only those that were under way as it slowed down are.
func TestLogThatSlowsDownGetsFewAppendsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const usual, calls = 4 * time.Millisecond, 20
		log := &awayLog{takes: usual}
		node := New(Settings{Name: "n"}, Ports{Network: network.TCP{}, Log: log}, event.Discard())
		for range calls {
			require.NoError(t, node.jobs.appendOne(t.Context(), nil, nil))
		}
		log.takes = 60 * usual
		before := log.sent()
		for range calls {
			require.NoError(t, node.jobs.appendOne(t.Context(), nil, nil))
		}
		require.LessOrEqual(t, log.sent()-before, calls+2)
		time.Sleep(log.takes)
	})
}

// losingLog answers all but the first of its appends.
type losingLog struct {
	sharedlog.Log

	mutex   sync.Mutex
	appends int
	lost    int
}

func (l *losingLog) Append(ctx context.Context, _ sharedlog.Partition, _ [][]byte) (uint64, error) {
	l.mutex.Lock()
	l.appends++
	lost := l.appends <= l.lost
	l.mutex.Unlock()
	if !lost {
		return 0, nil
	}
	<-ctx.Done()
	return 0, result.New(result.LogUnknown, "no answer")
}

// The store lost half of its answers for 5.4 s, and no result was listed for 6 s: two
// appends without an answer were waited for, 1.5 s each time (scale-1).
func TestAppendWhoseAnswersAreLostGoesOutAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &losingLog{lost: 4}
		node := New(Settings{Name: "n"}, Ports{Network: network.TCP{}, Log: log}, event.Discard())
		node.log.Appends().Answered(5*time.Millisecond, time.Now())
		began := time.Now()
		require.NoError(t, node.jobs.appendOne(t.Context(), nil, nil))
		require.Less(t, time.Since(began), 2*maxAppendHedgeDelay)
		require.Equal(t, 5, log.appends)
		synctest.Wait()
	})
}
