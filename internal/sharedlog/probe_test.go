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

// emptyLog has no records. While it is unresponsive it does not respond; otherwise each
// response takes latency in addition to the requested wait.
type emptyLog struct {
	Log

	unresponsive atomic.Bool
	latency      time.Duration
}

func (l *emptyLog) Read(ctx context.Context, _ Partition, _ uint64, wait time.Duration) (Batch, error) {
	if l.unresponsive.Load() {
		<-ctx.Done()
		return Batch{}, result.New(result.LogUnknown, "unresponsive")
	}
	timer := time.NewTimer(wait + l.latency)
	defer timer.Stop()
	select {
	case <-timer.C:
		return Batch{}, nil
	case <-ctx.Done():
		return Batch{}, result.New(result.LogUnknown, "slow")
	}
}

func (l *emptyLog) ReadAvailable(ctx context.Context, partition Partition, from uint64, _ int) (Batch, error) {
	return l.Read(ctx, partition, from, 0)
}

func runFollower(t *testing.T, log *emptyLog, test func(f *Follower)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &Follower{Log: log, Observer: &countingObserver{}, Apply: func(uint64, [][]byte) {}, Pause: oneMillisecond}
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		test(f)
		cancel()
		<-done
	})
}

// Guards against a slow recovery after an outage. Reads that were sent to an unresponsive log
// never have a response, so that nodes learned of a version up to 1.3 s after the log had
// recovered.
func TestFollowerRecoversSoonFromAnUnresponsiveLog(t *testing.T) {
	log := &emptyLog{}
	runFollower(t, log, func(f *Follower) {
		const outages = 40
		var total time.Duration
		for outage := range outages {
			time.Sleep(5 * time.Second)
			log.unresponsive.Store(true)
			time.Sleep(3*time.Second + time.Duration(outage)*73*time.Millisecond)
			require.True(t, f.Health.Lost())
			log.unresponsive.Store(false)
			began := time.Now()
			for f.Health.Lost() {
				time.Sleep(time.Millisecond)
			}
			total += time.Since(began)
		}
		require.Less(t, total/outages, 600*time.Millisecond, "the recovery takes 1.3 s without probes")
	})
}

func TestEveryReadAfterAFailureIsProbedBeside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r retrier
		reads, probes := 0, 0
		log := &emptyLog{}
		log.unresponsive.Store(true)
		attempt := readAttempt{
			hold: pollWait, timeout: readTimeout, maxTimeout: maxReadTimeout,
			read: func(ctx context.Context, hold time.Duration) error {
				reads++
				_, err := log.Read(ctx, Partition{}, 0, hold)
				return err
			},
			probe: func(ctx context.Context) error {
				probes++
				_, err := log.Read(ctx, Partition{}, 0, 0)
				return err
			},
		}
		_, err := r.read(t.Context(), attempt)
		require.Error(t, err)
		require.Zero(t, probes, "no read failed before")
		for failed := range 16 {
			probes = 0
			hold, err := r.read(t.Context(), attempt)
			require.Error(t, err)
			require.Zero(t, hold)
			require.Equal(t, failed+2, reads)
			require.GreaterOrEqual(t, probes, 1)
			require.True(t, r.wait(t.Context()))
		}
		log.unresponsive.Store(false)
		_, err = r.read(t.Context(), attempt)
		require.NoError(t, err)
		probes = 0
		log.unresponsive.Store(true)
		hold, err := r.read(t.Context(), attempt)
		require.Error(t, err)
		require.Equal(t, pollWait, hold)
		require.Zero(t, probes)
	})
}

// Contact with a log whose responses take longer than the timeout of a probe must be regained.
func TestFollowerRecoversWhenTheLogIsSlow(t *testing.T) {
	log := &emptyLog{latency: probeTimeout + 100*time.Millisecond}
	runFollower(t, log, func(f *Follower) {
		log.unresponsive.Store(true)
		time.Sleep(4 * time.Second)
		log.unresponsive.Store(false)
		time.Sleep(4 * time.Second)
		require.False(t, f.Health.Lost())
	})
}
