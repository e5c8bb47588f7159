package sharedlog

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/result"
)

// serialLog processes its appends one at a time, as a partition does. While it is
// unresponsive it responds to none.
type serialLog struct {
	Log

	latency time.Duration

	// semaphore is a channel and not a mutex, which would stop the virtual clock.
	semaphore    chan struct{}
	mutex        sync.Mutex
	unresponsive bool
	calls        int
	records      int
}

func (l *serialLog) Append(ctx context.Context, _ Partition, records [][]byte) (uint64, error) {
	l.mutex.Lock()
	l.calls++
	unresponsive := l.unresponsive
	l.mutex.Unlock()
	if unresponsive {
		<-ctx.Done()
		return 0, result.New(result.LogUnknown, "unresponsive")
	}
	l.semaphore <- struct{}{}
	defer func() { <-l.semaphore }()
	time.Sleep(l.latency)
	l.records += len(records)
	return 0, nil
}

func (l *serialLog) setUnresponsive(unresponsive bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.unresponsive = unresponsive
}

// Guards against one call per append. With 480 concurrent appends of 4 ms each, no call had a
// response before its caller retried, and the partition was blocked for five seconds, also for
// the results of items.
func TestBurstOfAppendsIsBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &serialLog{semaphore: make(chan struct{}, 1), latency: 4 * time.Millisecond}
		appender := &Appender{Log: log, MaxBytes: 1 << 20}
		began := time.Now()
		var callers conc.WaitGroup
		for range 480 {
			callers.Go(func() {
				if err := appender.Append(t.Context(), [][]byte{{1}}); err != nil {
					t.Error(err)
				}
			})
		}
		callers.Wait()
		require.Equal(t, 480, log.records)
		require.LessOrEqual(t, log.calls, 2*maxConcurrentCalls)
		require.Less(t, time.Since(began), 50*time.Millisecond)
	})
}

func TestCallsRespectMaxBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &serialLog{semaphore: make(chan struct{}, 1), latency: 4 * time.Millisecond}
		appender := &Appender{Log: log, MaxBytes: 10 * (1 + MaxRecordOverheadBytes)}
		var callers conc.WaitGroup
		for range 104 {
			callers.Go(func() {
				if err := appender.Append(t.Context(), [][]byte{{1}}); err != nil {
					t.Error(err)
				}
			})
		}
		callers.Wait()
		require.Equal(t, 104, log.records)
		require.GreaterOrEqual(t, log.calls, 11)
	})
}

func TestCanceledAppendThatWasNotSentIsNeverSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &serialLog{semaphore: make(chan struct{}, 1), unresponsive: true}
		appender := &Appender{Log: log, MaxBytes: 1 << 20}
		var hung conc.WaitGroup
		for range maxConcurrentCalls {
			hung.Go(func() {
				if err := appender.Append(t.Context(), [][]byte{{1}}); !result.Is(err, result.LogUnknown) {
					t.Error(err)
				}
			})
			// Each append is in flight before the next, so that no two share a call.
			synctest.Wait()
		}
		ctx, cancel := context.WithTimeout(t.Context(), callSlotTimeout/2)
		defer cancel()
		err := appender.Append(ctx, [][]byte{{2}, {3}})
		require.True(t, result.Is(err, result.LogUnavailable), "%v", err)
		log.setUnresponsive(false)
		hung.Wait()
		require.Zero(t, log.records)
	})
}

func TestHungCallsDoNotBlockLaterAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &serialLog{semaphore: make(chan struct{}, 1), unresponsive: true, latency: time.Millisecond}
		appender := &Appender{Log: log, MaxBytes: 1 << 20}
		var hung conc.WaitGroup
		for range 3 * maxConcurrentCalls {
			hung.Go(func() { _ = appender.Append(t.Context(), [][]byte{{1}}) })
		}
		synctest.Wait()
		time.Sleep(2 * callSlotTimeout)
		log.setUnresponsive(false)
		began := time.Now()
		require.NoError(t, appender.Append(t.Context(), [][]byte{{2}}))
		require.LessOrEqual(t, time.Since(began), callSlotTimeout+time.Millisecond)
		hung.Wait()
	})
}

func TestErrorReachesEveryCallerOfABatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		appender := &Appender{Log: refusingLog{}, MaxBytes: 1 << 20}
		var callers conc.WaitGroup
		for range 20 {
			callers.Go(func() {
				if err := appender.Append(t.Context(), [][]byte{{1}}); !result.Is(err, result.LogUnavailable) {
					t.Error(err)
				}
			})
		}
		callers.Wait()
	})
}

type refusingLog struct{ Log }

func (refusingLog) Append(context.Context, Partition, [][]byte) (uint64, error) {
	return 0, result.New(result.LogUnavailable, "refused")
}
