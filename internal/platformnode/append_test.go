package platformnode

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

// unavailableLog never answers calls made from silentFrom until backAt, and answers all others
// after latency.
type unavailableLog struct {
	sharedlog.Log

	silentFrom, backAt time.Time
	latency            time.Duration

	mutex   sync.Mutex
	appends int
}

func (l *unavailableLog) answer(ctx context.Context) error {
	if now := time.Now(); !now.Before(l.silentFrom) && now.Before(l.backAt) {
		<-ctx.Done()
		return result.New(result.LogUnknown, "silent")
	}
	time.Sleep(l.latency)
	return nil
}

func (l *unavailableLog) Append(ctx context.Context, _ sharedlog.Partition, _ [][]byte) (uint64, error) {
	l.mutex.Lock()
	l.appends++
	l.mutex.Unlock()
	return 0, l.answer(ctx)
}

func (l *unavailableLog) sent() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.appends
}

func (l *unavailableLog) Read(ctx context.Context, _ sharedlog.Partition, _ uint64, _ time.Duration) (sharedlog.Batch, error) {
	return sharedlog.Batch{}, l.answer(ctx)
}

func (l *unavailableLog) ReadAvailable(ctx context.Context, _ sharedlog.Partition, _ uint64, _ int) (sharedlog.Batch, error) {
	return sharedlog.Batch{}, l.answer(ctx)
}

// Guards against waiting for hanging appends after an outage of the log: results were stored
// 0.8 s after its recovery, while another executor generated the texts again.
func TestAppendIsStoredSoonAfterASilentLogRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &unavailableLog{backAt: time.Now().Add(5200 * time.Millisecond)}
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

// Guards against waiting for hanging appends if the follower regains the log just before the
// append would be repeated, so that the log no longer counts as lost then.
func TestAppendIsStoredSoonWhereverInItsWaitTheLogRecovers(t *testing.T) {
	const start, lastOutage, step = 5 * time.Second, 5 * time.Second, 25 * time.Millisecond
	for outage := 4 * time.Second; outage <= lastOutage; outage += step {
		synctest.Test(t, func(t *testing.T) {
			log := &unavailableLog{silentFrom: time.Now().Add(start), backAt: time.Now().Add(start + outage)}
			node := New(Settings{Name: "n"}, Ports{Network: network.TCP{}, Log: log}, event.Discard())
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			followed := make(chan struct{})
			go func() { defer close(followed); node.jobs.follower.Run(ctx) }()
			time.Sleep(start)
			for node.jobs.appendOne(ctx, nil, nil) != nil {
				time.Sleep(appendRetryPause)
			}
			require.Less(t, time.Since(log.backAt), maxAppendHedgeDelay+appendRetryPause, "outage of %v", outage)
			cancel()
			<-followed
		})
	}
}

func TestSlowLogGetsNoMoreThanTwoAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Ends between two checks whether to send another append.
		const latency = 4*maxAppendHedgeDelay + maxAppendHedgeDelay/2
		log := &unavailableLog{latency: latency}
		node := New(Settings{Name: "n"}, Ports{Network: network.TCP{}, Log: log}, event.Discard())
		require.NoError(t, node.jobs.appendOne(t.Context(), nil, nil))
		require.Equal(t, 2, log.sent())
		synctest.Wait()
		time.Sleep(latency)
	})
}

// Repeated appends would slow down an already slow log further. When the log becomes sixty
// times slower, only the appends in progress at that time may be repeated.
func TestLogThatSlowsDownGetsFewRepeatedAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const usual, calls = 4 * time.Millisecond, 20
		log := &unavailableLog{latency: usual}
		node := New(Settings{Name: "n"}, Ports{Network: network.TCP{}, Log: log}, event.Discard())
		for range calls {
			require.NoError(t, node.jobs.appendOne(t.Context(), nil, nil))
		}
		log.latency = 60 * usual
		before := log.sent()
		for range calls {
			require.NoError(t, node.jobs.appendOne(t.Context(), nil, nil))
		}
		require.LessOrEqual(t, log.sent()-before, calls+2)
		time.Sleep(log.latency)
	})
}

// losingLog does not answer its first lost appends, and answers all others.
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

// Guards against waiting for lost answers: while the log lost half of its answers for 5.4 s,
// no result was stored for 6 s, because each pair of unanswered appends was waited for
// until its timeout of 1.5 s.
func TestAppendIsRepeatedSoonWhenItsAnswersAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &losingLog{lost: 4}
		node := New(Settings{Name: "n"}, Ports{Network: network.TCP{}, Log: log}, event.Discard())
		node.log.AppendTime().RecordAnswer(5*time.Millisecond, time.Now())
		began := time.Now()
		require.NoError(t, node.jobs.appendOne(t.Context(), nil, nil))
		require.Less(t, time.Since(began), 2*maxAppendHedgeDelay)
		require.Equal(t, 5, log.appends)
		synctest.Wait()
	})
}
