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

// turnLog takes its appends in turn, as a partition does. While it is silent it
// answers none.
type turnLog struct {
	Log

	takes time.Duration

	// turn is a channel rather than a lock, which would stop the virtual clock.
	turn    chan struct{}
	mutex   sync.Mutex
	silent  bool
	calls   int
	records int
}

func (l *turnLog) Append(ctx context.Context, _ Partition, records [][]byte) (uint64, error) {
	l.mutex.Lock()
	l.calls++
	silent := l.silent
	l.mutex.Unlock()
	if silent {
		<-ctx.Done()
		return 0, result.New(result.LogUnknown, "silent")
	}
	l.turn <- struct{}{}
	defer func() { <-l.turn }()
	time.Sleep(l.takes)
	l.records += len(records)
	return 0, nil
}

func (l *turnLog) silence(silent bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.silent = silent
}

// 480 orders were announced with one append each, 4 ms apiece: none was answered
// before its caller tried again, the results of items among them, and the partition
// did nothing else for five seconds.
func TestBurstOfAppendsTakesFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &turnLog{turn: make(chan struct{}, 1), takes: 4 * time.Millisecond}
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
		require.LessOrEqual(t, log.calls, 2*callsTogether)
		require.Less(t, time.Since(began), 50*time.Millisecond)
	})
}

func TestCallsKeepToTheirSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &turnLog{turn: make(chan struct{}, 1), takes: 4 * time.Millisecond}
		appender := &Appender{Log: log, MaxBytes: 10 * (1 + RecordFraming)}
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

func TestAppendThatWasNotSentIsNeverSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &turnLog{turn: make(chan struct{}, 1), silent: true}
		appender := &Appender{Log: log, MaxBytes: 1 << 20}
		var hung conc.WaitGroup
		for range callsTogether {
			hung.Go(func() {
				if err := appender.Append(t.Context(), [][]byte{{1}}); !result.Is(err, result.LogUnknown) {
					t.Error(err)
				}
			})
			// Each is under way before the next, so that no two share a call.
			synctest.Wait()
		}
		ctx, cancel := context.WithTimeout(t.Context(), callHold/2)
		defer cancel()
		err := appender.Append(ctx, [][]byte{{2}, {3}})
		require.True(t, result.Is(err, result.LogUnavailable), "%v", err)
		log.silence(false)
		hung.Wait()
		require.Zero(t, log.records)
	})
}

func TestHungCallsDoNotHoldUpLaterOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &turnLog{turn: make(chan struct{}, 1), silent: true, takes: time.Millisecond}
		appender := &Appender{Log: log, MaxBytes: 1 << 20}
		var hung conc.WaitGroup
		for range 3 * callsTogether {
			hung.Go(func() { _ = appender.Append(t.Context(), [][]byte{{1}}) })
		}
		synctest.Wait()
		time.Sleep(2 * callHold)
		log.silence(false)
		began := time.Now()
		require.NoError(t, appender.Append(t.Context(), [][]byte{{2}}))
		require.LessOrEqual(t, time.Since(began), callHold+time.Millisecond)
		hung.Wait()
	})
}

func TestErrorsReachEveryCallerOfACall(t *testing.T) {
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
