package sharedlog

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/result"
)

// quietLog is empty. While it is silent it answers nothing; else each answer takes
// its time.
type quietLog struct {
	Log

	silent atomic.Bool
	takes  time.Duration
}

func (l *quietLog) Read(ctx context.Context, _ Partition, _ uint64, wait time.Duration) (Batch, error) {
	if l.silent.Load() {
		<-ctx.Done()
		return Batch{}, result.New(result.LogUnknown, "silent")
	}
	timer := time.NewTimer(wait + l.takes)
	defer timer.Stop()
	select {
	case <-timer.C:
		return Batch{}, nil
	case <-ctx.Done():
		return Batch{}, result.New(result.LogUnknown, "slow")
	}
}

func follow(t *testing.T, log *quietLog, test func(f *Follower)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &Follower{Log: log, Observer: &silentObserver{}, Apply: func(uint64, [][]byte) {}, Pause: shortPause}
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		test(f)
		cancel()
		<-done
	})
}

// Reads that were sent to a silent log are never answered: nodes heard of a version up
// to 1.3 s after the log was back.
func TestFollowerIsBackSoonAfterASilentLog(t *testing.T) {
	log := &quietLog{}
	follow(t, log, func(f *Follower) {
		const outages = 40
		var away time.Duration
		for outage := range outages {
			time.Sleep(5 * time.Second)
			log.silent.Store(true)
			time.Sleep(3*time.Second + time.Duration(outage)*73*time.Millisecond)
			require.True(t, f.Health.Lost())
			log.silent.Store(false)
			began := time.Now()
			for f.Health.Lost() {
				time.Sleep(time.Millisecond)
			}
			away += time.Since(began)
		}
		require.Less(t, away/outages, 600*time.Millisecond, "it is 1.3 s without probes")
	})
}

func TestThreeOfFourReadsOfALostLogAreProbes(t *testing.T) {
	var health Health
	require.False(t, health.probes())
	probes := 0
	for range 4 * probesPerRead {
		health.failed()
		if health.probes() {
			probes++
		}
	}
	require.Equal(t, 4*(probesPerRead-1), probes)
	health.answered(clock.Mark())
	require.False(t, health.probes())
}

// A log that answers later than a probe waits must not stay lost.
func TestSlowLogIsFollowedAllTheSame(t *testing.T) {
	log := &quietLog{takes: probeTimeout + 100*time.Millisecond}
	follow(t, log, func(f *Follower) {
		log.silent.Store(true)
		time.Sleep(4 * time.Second)
		log.silent.Store(false)
		time.Sleep(4 * time.Second)
		require.False(t, f.Health.Lost())
	})
}
