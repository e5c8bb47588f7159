package sharedlog

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/result"
)

// slowLog responds to each call after a latency, or not until the call's context is done.
type slowLog struct {
	Log
	Group

	latency      time.Duration
	unresponsive bool
}

func (l *slowLog) respond(ctx context.Context) error {
	responded := time.After(l.latency)
	if l.unresponsive {
		responded = nil
	}
	select {
	case <-responded:
		return nil
	case <-ctx.Done():
		return result.Wrap(result.LogUnknown, ctx.Err(), "await the log's response")
	}
}

func (l *slowLog) Append(ctx context.Context, _ Partition, _ [][]byte) (uint64, error) {
	return 0, l.respond(ctx)
}

func (l *slowLog) Read(ctx context.Context, _ Partition, _ uint64, wait time.Duration) (Batch, error) {
	time.Sleep(wait)
	return Batch{}, l.respond(ctx)
}

func (l *slowLog) Owners(ctx context.Context, _ string) ([]Owner, error) {
	return nil, l.respond(ctx)
}

func appendTo(t *testing.T, log *MeteredLog, count int) {
	t.Helper()
	for range count {
		_, err := log.Append(t.Context(), Partition{}, nil)
		require.NoError(t, err)
	}
}

func TestAppendIsOverdueAccordingToObservedLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 250 * time.Millisecond
		slow := &slowLog{latency: 5 * time.Millisecond}
		log := NewMeteredLog(slow, slow)
		after, responsive := log.AppendTimeout(limit)
		require.False(t, responsive)
		require.Equal(t, limit, after)
		appendTo(t, log, 20)
		after, responsive = log.AppendTimeout(limit)
		require.True(t, responsive)
		require.Equal(t, minTimeout, after)
		slow.latency = limit
		appendTo(t, log, 40)
		after, _ = log.AppendTimeout(limit)
		require.Greater(t, after, limit, "appends to a slow log do not count as lost")
		time.Sleep(recentAppendWindow + time.Millisecond)
		_, responsive = log.AppendTimeout(limit)
		require.False(t, responsive, "there was no recent response")
	})
}

func TestRoundTripIsThatOfCallsAnsweredImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := &slowLog{latency: 94 * time.Millisecond}
		log := NewMeteredLog(slow, slow)
		for range 60 {
			_, err := log.Owners(t.Context(), "")
			require.NoError(t, err)
			// The service waits for records in this read.
			_, err = log.Read(t.Context(), Partition{}, 0, pollWait)
			require.NoError(t, err)
		}
		require.Equal(t, 94*time.Millisecond, log.RoundTrip().Estimate().Smoothed)
		require.Less(t, log.ExtraLatency(), 94*time.Millisecond)
		require.Greater(t, log.ExtraLatency(), 70*time.Millisecond)
		require.Zero(t, log.AppendTime().Estimate().Smoothed)
	})
}

// A call that times out counts as a lost response, a call that its caller cancels does not.
func TestCanceledCallDoesNotCountAsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := &slowLog{unresponsive: true}
		log := NewMeteredLog(slow, slow)
		before := log.RoundTrip().Estimate().Timeout
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		_, err := log.Owners(ctx, "")
		require.Error(t, err)
		require.Equal(t, before, log.RoundTrip().Estimate().Timeout)
		ctx, cancel = context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = log.Owners(ctx, "")
		require.Error(t, err)
		require.Greater(t, log.RoundTrip().Estimate().Timeout, before)
	})
}

// Guards against constant timeouts for a distant log. With a region at a latency of 120 ms, the
// hedging delays and timeouts for a log in the same data center were too short, and a follower
// that received no records was out of date for longer than nodes may be.
func TestFollowerOfADistantLogStaysCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := &slowLog{latency: 244 * time.Millisecond}
		log := NewMeteredLog(slow, slow)
		ctx, cancel := context.WithCancel(t.Context())
		follower := &Follower{Log: log, Apply: func(uint64, [][]byte) {}, ExtraLatency: log.ExtraLatency}
		ended := make(chan struct{})
		go func() { defer close(ended); follower.Run(ctx) }()
		for range 20 {
			_, err := log.Owners(ctx, "")
			require.NoError(t, err)
		}
		oldest := time.Duration(0)
		for range 5000 {
			time.Sleep(time.Millisecond)
			oldest = max(oldest, time.Since(follower.Health.CurrentAt()))
		}
		require.Less(t, oldest, pollWait+244*time.Millisecond+withExtraLatency(0, log.ExtraLatency))
		cancel()
		<-ended
	})
}

func TestTimeoutsIncludeTheExtraLatencyOfADistantLog(t *testing.T) {
	near := func() time.Duration { return 0 }
	far := func() time.Duration { return 150 * time.Millisecond }
	farther := func() time.Duration { return 700 * time.Millisecond }
	require.Equal(t, probeTimeout, withExtraLatency(probeTimeout, nil))
	require.Equal(t, probeTimeout, withExtraLatency(probeTimeout, near))
	require.Equal(t, probeTimeout+150*time.Millisecond, withExtraLatency(probeTimeout, far))
	require.Equal(t, pollWait, pollWaitFor(nil))
	require.Equal(t, pollWait, pollWaitFor(near))
	require.Equal(t, pollWait-150*time.Millisecond, pollWaitFor(far))
	require.Equal(t, minPollWait, pollWaitFor(farther))
}

func TestOnlyALaterReadThatReturnedRecordsCountsAsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakeLog{maxPerRead: 1}
		metered := NewMeteredLog(log, nil)
		began := time.Now()
		time.Sleep(time.Second)
		_, err := metered.ReadAvailable(t.Context(), Partition{}, 0, 1)
		require.NoError(t, err)
		require.False(t, metered.AnsweredReadAfter(began), "an empty answer")
		log.records = [][]byte{{1}}
		_, err = metered.ReadAvailable(t.Context(), Partition{}, 0, 1)
		require.NoError(t, err)
		require.True(t, metered.AnsweredReadAfter(began))
		require.False(t, metered.AnsweredReadAfter(time.Now()), "an earlier read")
	})
}
