package quarantine

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/result"
)

// fakeLog delivers each record to all guards in one order. While disconnected it drops
// records.
type fakeLog struct {
	guards       []*Guard
	disconnected bool
}

func (l *fakeLog) Publish(_ context.Context, record Record) {
	if l.disconnected {
		return
	}
	for _, guard := range l.guards {
		guard.Merge(record)
	}
}

// newGuards returns the guards of count nodes that share a log.
func newGuards(count int, policy Policy) ([]*Guard, *fakeLog) {
	log := &fakeLog{}
	for range count {
		guard := NewGuard(policy, event.Discard())
		guard.SetPublisher(log)
		log.guards = append(log.guards, guard)
	}
	return log.guards, log
}

func digestOf() Digest { return digest }

// admitted returns how many of the guards admit the request. Each attempt is released at
// once.
func admitted(t *testing.T, nodes []*Guard) int {
	t.Helper()
	count := 0
	for _, guard := range nodes {
		release, err := guard.Acquire(context.Background(), digestOf)
		if err != nil {
			require.True(t, result.Is(err, result.RequestQuarantined), "%v", err)
			require.Equal(t, result.NotRun, result.From(err).Execution())
			require.Positive(t, result.From(err).RetryAfter)
			continue
		}
		count++
		release()
	}
	return count
}

func TestCrashesAtDifferentNodesQuarantineARequestAtAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes, _ := newGuards(3, RequestPolicy())
		for i, node := range nodes {
			require.Equal(t, len(nodes), admitted(t, nodes), "%d crashes", i)
			node.ReportCrash(context.Background(), digest, fmt.Sprint("back-end-", i))
			require.True(t, nodes[0].Suspected(digestOf), "the request must be suspect")
		}
		require.Zero(t, admitted(t, nodes))
		require.Equal(t, Counts{Crashes: 1, Refused: 1, Quarantined: 1}, nodes[0].Counts())
	})
}

func TestOnlyOneNodeRunsATrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes, _ := newGuards(5, RequestPolicy())
		for i := range CrashLimit {
			nodes[i].ReportCrash(context.Background(), digest, fmt.Sprint("back-end-", i))
		}
		time.Sleep(RequestPolicy().TrialDelays[0])
		require.Equal(t, 1, admitted(t, nodes))
		nodes[0].ReportCrash(context.Background(), digest, "back-end-of-the-trial")
		time.Sleep(RequestPolicy().TrialDelays[0])
		require.Zero(t, admitted(t, nodes), "the second trial has a longer delay")
		time.Sleep(RequestPolicy().TrialDelays[1])
		require.Equal(t, 1, admitted(t, nodes))
		nodes[0].ReportSuccess(context.Background(), digestOf)
		synctest.Wait()
		require.Equal(t, len(nodes), admitted(t, nodes), "a back end ran it without crashing")
	})
}

// batchingLog delivers records only when batchSize of them have been published.
type batchingLog struct {
	fakeLog
	batchSize int
	mutex     sync.Mutex
	published []Record
	delivered chan struct{}
}

func (l *batchingLog) Publish(ctx context.Context, record Record) {
	l.mutex.Lock()
	l.published = append(l.published, record)
	if len(l.published) == l.batchSize {
		for _, record := range l.published {
			l.fakeLog.Publish(ctx, record)
		}
		close(l.delivered)
	}
	l.mutex.Unlock()
	<-l.delivered
}

func TestFirstOfConcurrentClaimsInTheLogWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes, log := newGuards(3, RequestPolicy())
		for i := range CrashLimit {
			nodes[i].ReportCrash(context.Background(), digest, fmt.Sprint("back-end-", i))
		}
		time.Sleep(RequestPolicy().TrialDelays[0])
		batching := &batchingLog{fakeLog: *log, batchSize: len(nodes), delivered: make(chan struct{})}
		var admittedCount atomic.Int64
		for _, node := range nodes {
			node.SetPublisher(batching)
			go func() {
				if release, err := node.Acquire(context.Background(), digestOf); err == nil {
					admittedCount.Add(1)
					release()
				}
			}()
		}
		synctest.Wait()
		require.EqualValues(t, 1, admittedCount.Load())
	})
}

func TestNodeCutOffFromTheLogRunsNoTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes, log := newGuards(2, RequestPolicy())
		for i := range CrashLimit {
			nodes[0].ReportCrash(context.Background(), digest, fmt.Sprint("back-end-", i))
		}
		log.disconnected = true
		time.Sleep(2 * RequestPolicy().TrialDelays[0])
		require.Zero(t, admitted(t, nodes))
		log.disconnected = false
		require.Equal(t, 1, admitted(t, nodes))
	})
}

func TestNodeCutOffFromTheLogCountsItsOwnCrashes(t *testing.T) {
	nodes, log := newGuards(2, RequestPolicy())
	log.disconnected = true
	for i := range CrashLimit {
		nodes[0].ReportCrash(context.Background(), digest, fmt.Sprint("back-end-", i))
	}
	require.Zero(t, admitted(t, nodes[:1]))
	require.Equal(t, 1, admitted(t, nodes[1:]))
}

func TestSuspectRequestRunsOneAtATime(t *testing.T) {
	nodes, _ := newGuards(1, RequestPolicy())
	for i := range CrashLimit - 1 {
		nodes[0].ReportCrash(context.Background(), digest, fmt.Sprint("back-end-", i))
	}
	release, err := nodes[0].Acquire(context.Background(), digestOf)
	require.NoError(t, err)
	require.Zero(t, admitted(t, nodes))
	release()
	require.Equal(t, 1, admitted(t, nodes))
}

func TestRequestsAreNotHashedWhileTheRegistryIsEmpty(t *testing.T) {
	nodes, _ := newGuards(1, RequestPolicy())
	unexpectedDigest := func() Digest { panic("digest computed with an empty registry") }
	release, err := nodes[0].Acquire(context.Background(), unexpectedDigest)
	require.NoError(t, err)
	release()
	require.False(t, nodes[0].Suspected(unexpectedDigest))
	nodes[0].ReportSuccess(context.Background(), unexpectedDigest)
}

func TestRequestIsRefusedUntilItsTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes, _ := newGuards(1, RequestPolicy())
		for i := range CrashLimit {
			require.Equal(t, 1, admitted(t, nodes))
			nodes[0].ReportCrash(context.Background(), digest, fmt.Sprint("back-end-", i))
		}
		_, err := nodes[0].Acquire(context.Background(), digestOf)
		require.Equal(t, RequestPolicy().TrialDelays[0], result.From(err).RetryAfter)
		time.Sleep(RequestPolicy().TrialDelays[0] - time.Nanosecond)
		require.Zero(t, admitted(t, nodes))
		time.Sleep(time.Nanosecond)
		require.Equal(t, 1, admitted(t, nodes))
	})
}
