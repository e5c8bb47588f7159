package sharedlog

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/result"
)

// loadedLog has no records. It refuses calls at once while it is refusing, never answers those
// that arrive while it is silent, and answers all others after the hold and the latency. It
// counts calls, and those whose caller left before the answer.
type loadedLog struct {
	Log

	refusing, silent atomic.Bool
	latency          atomic.Int64
	reads, probes    atomic.Int64
	abandonedReads   atomic.Int64
}

func (l *loadedLog) answer(ctx context.Context, hold time.Duration) error {
	if l.refusing.Load() {
		return result.New(result.LogUnavailable, "try later")
	}
	delay := hold + time.Duration(l.latency.Load())
	if l.silent.Load() {
		delay = time.Hour
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return result.New(result.LogUnknown, "no answer")
	}
}

func (l *loadedLog) read(ctx context.Context, hold time.Duration) error {
	l.reads.Add(1)
	err := l.answer(ctx, hold)
	if ctx.Err() != nil {
		l.abandonedReads.Add(1)
	}
	return err
}

func (l *loadedLog) Read(ctx context.Context, _ Partition, _ uint64, hold time.Duration) (Batch, error) {
	return Batch{}, l.read(ctx, hold)
}

func (l *loadedLog) ReadKeyed(ctx context.Context, _ Partition, _ uint64, hold time.Duration) (KeyedBatch, error) {
	return KeyedBatch{Waited: hold}, l.read(ctx, hold)
}

func (l *loadedLog) ReadNewest(context.Context, Partition, string) (KeyedPage, error) {
	return KeyedPage{}, nil
}

func (l *loadedLog) ReadAvailable(ctx context.Context, _ Partition, _ uint64, maxBytes int) (Batch, error) {
	if maxBytes > 1024 {
		panic("a probe requests the smallest answer")
	}
	l.probes.Add(1)
	return Batch{}, l.answer(ctx, 0)
}

// followLoadedLog runs a test with each kind of follower, which has read the log for a while.
// The log's counts start at zero.
func followLoadedLog(t *testing.T, test func(t *testing.T, log *loadedLog, health *Health)) {
	t.Helper()
	runs := map[string]func(ctx context.Context, log *loadedLog) (*Health, func()){
		"follower": func(ctx context.Context, log *loadedLog) (*Health, func()) {
			f := &Follower{Log: log, Observer: &countingObserver{}, Apply: func(uint64, [][]byte) {}, Pause: oneMillisecond}
			return &f.Health, func() { f.Run(ctx) }
		},
		"keyed follower": func(ctx context.Context, log *loadedLog) (*Health, func()) {
			ignore := func([]KeyedRecord, uint64) {}
			f := &KeyedFollower{Log: log, Observer: &countingObserver{}, Reset: ignore, Apply: ignore, Pause: oneMillisecond}
			return &f.Health, func() { f.Run(ctx) }
		},
	}
	for name, run := range runs {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				log := &loadedLog{}
				health, follow := run(ctx, log)
				done := make(chan struct{})
				go func() { defer close(done); follow() }()
				time.Sleep(5 * time.Second)
				require.False(t, health.Lost())
				log.reads.Store(0)
				test(t, log, health)
				cancel()
				<-done
			})
		})
	}
}

// Guards against retrying at a fixed rate: while the log refused calls for overload, every node
// made ten reads a second of each topic.
func TestRefusedReadsBackOff(t *testing.T) {
	followLoadedLog(t, func(t *testing.T, log *loadedLog, health *Health) {
		log.refusing.Store(true)
		time.Sleep(20 * time.Second)
		require.True(t, health.Lost())
		require.LessOrEqual(t, log.reads.Load()+log.probes.Load(), int64(120), "it is 200 with a pause of 0.1 s")
	})
}

// Guards against giving up and repeating reads that a slow log answers late. Their answers cost
// the log as much as others, and none arrived in time until the end of the day.
func TestAnswerOfASlowLogIsAwaited(t *testing.T) {
	followLoadedLog(t, func(t *testing.T, log *loadedLog, health *Health) {
		log.latency.Store(int64(2100 * time.Millisecond))
		time.Sleep(20 * time.Second)
		require.LessOrEqual(t, log.abandonedReads.Load(), int64(3))
		require.False(t, health.Lost())
		require.Less(t, health.Age(), 6*time.Second)
	})
}

// Guards against reads of 64 kB that only find out whether the log is back.
func TestSilentLogIsProbedWithSmallReads(t *testing.T) {
	followLoadedLog(t, func(t *testing.T, log *loadedLog, health *Health) {
		log.silent.Store(true)
		time.Sleep(20 * time.Second)
		require.True(t, health.Lost())
		require.LessOrEqual(t, log.reads.Load(), int64(9))
		log.silent.Store(false)
		time.Sleep(1500 * time.Millisecond)
		require.False(t, health.Lost())
	})
}

// Guards against taking a log that answers late under load for a distant one: polls would be
// shorter, and so more frequent, after the load.
func TestSlowAnswersToRepeatedReadsAreNotMeasuredAsRoundTrips(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := &loadedLog{}
		metered := NewMeteredLog(log, nil)
		f := &Follower{Log: metered, Observer: &countingObserver{}, Apply: func(uint64, [][]byte) {}, Pause: oneMillisecond, ExtraLatency: metered.ExtraLatency}
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(time.Second)
		log.latency.Store(int64(2100 * time.Millisecond))
		time.Sleep(20 * time.Second)
		require.False(t, f.Health.Lost())
		require.Zero(t, metered.ExtraLatency())
		cancel()
		<-done
	})
}
