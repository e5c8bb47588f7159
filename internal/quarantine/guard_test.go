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

// sharedLog hands every record to all guards, in one order. Nothing is heard while it is
// lost.
type sharedLog struct {
	guards []*Guard
	lost   bool
}

func (l *sharedLog) Tell(_ context.Context, record Record) {
	if l.lost {
		return
	}
	for _, guard := range l.guards {
		guard.Merge(record)
	}
}

// guards returns the guards of some nodes.
func guards(count int, policy Policy) ([]*Guard, *sharedLog) {
	log := &sharedLog{}
	for range count {
		guard := NewGuard(policy, event.Discard())
		guard.SetTeller(log)
		log.guards = append(log.guards, guard)
	}
	return log.guards, log
}

func digestOf() Digest { return digest }

// admitted counts the guards that let a request through, and leaves at once.
func admitted(t *testing.T, among []*Guard) int {
	t.Helper()
	count := 0
	for _, guard := range among {
		leave, err := guard.Enter(context.Background(), digestOf)
		if err != nil {
			require.True(t, result.Is(err, result.RequestQuarantined), "%v", err)
			require.Equal(t, result.NotRun, result.From(err).Run())
			require.Positive(t, result.From(err).RetryAfter)
			continue
		}
		count++
		leave()
	}
	return count
}

func TestEndsAtAnyNodesHoldARequestAtAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes, _ := guards(3, Requests())
		for i, node := range nodes {
			require.Equal(t, len(nodes), admitted(t, nodes), "%d ends", i)
			node.Ended(context.Background(), digest, fmt.Sprint("back-end-", i))
			require.True(t, nodes[0].Suspected(digestOf), "it runs at one back end at a time")
		}
		require.Zero(t, admitted(t, nodes))
		require.Equal(t, Counts{Ended: 1, Refused: 1, Held: 1}, nodes[0].Counts())
	})
}

func TestOnlyOneNodeTriesAHeldRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes, _ := guards(5, Requests())
		for i := range Ends {
			nodes[i].Ended(context.Background(), digest, fmt.Sprint("back-end-", i))
		}
		time.Sleep(Requests().Pauses[0])
		require.Equal(t, 1, admitted(t, nodes))
		nodes[0].Ended(context.Background(), digest, "back-end-of-the-trial")
		time.Sleep(Requests().Pauses[0])
		require.Zero(t, admitted(t, nodes), "the second trial comes later")
		time.Sleep(Requests().Pauses[1])
		require.Equal(t, 1, admitted(t, nodes))
		nodes[0].Served(context.Background(), digestOf)
		synctest.Wait()
		require.Equal(t, len(nodes), admitted(t, nodes), "a back end survived it")
	})
}

// slowLog hands records on only once so many were told.
type slowLog struct {
	sharedLog
	waitFor int
	mutex   sync.Mutex
	told    []Record
	full    chan struct{}
}

func (l *slowLog) Tell(ctx context.Context, record Record) {
	l.mutex.Lock()
	l.told = append(l.told, record)
	if len(l.told) == l.waitFor {
		for _, one := range l.told {
			l.sharedLog.Tell(ctx, one)
		}
		close(l.full)
	}
	l.mutex.Unlock()
	<-l.full
}

func TestOfClaimsAtOnceTheFirstInTheLogWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes, log := guards(3, Requests())
		for i := range Ends {
			nodes[i].Ended(context.Background(), digest, fmt.Sprint("back-end-", i))
		}
		time.Sleep(Requests().Pauses[0])
		slow := &slowLog{sharedLog: *log, waitFor: len(nodes), full: make(chan struct{})}
		var tried atomic.Int64
		for _, node := range nodes {
			node.SetTeller(slow)
			go func() {
				if leave, err := node.Enter(context.Background(), digestOf); err == nil {
					tried.Add(1)
					leave()
				}
			}()
		}
		synctest.Wait()
		require.EqualValues(t, 1, tried.Load())
	})
}

func TestNodeWithoutTheLogTriesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes, log := guards(2, Requests())
		for i := range Ends {
			nodes[0].Ended(context.Background(), digest, fmt.Sprint("back-end-", i))
		}
		log.lost = true
		time.Sleep(2 * Requests().Pauses[0])
		require.Zero(t, admitted(t, nodes))
		log.lost = false
		require.Equal(t, 1, admitted(t, nodes))
	})
}

func TestNodeWithoutTheLogStillCountsWhatItSees(t *testing.T) {
	nodes, log := guards(2, Requests())
	log.lost = true
	for i := range Ends {
		nodes[0].Ended(context.Background(), digest, fmt.Sprint("back-end-", i))
	}
	require.Zero(t, admitted(t, nodes[:1]))
	require.Equal(t, 1, admitted(t, nodes[1:]))
}

func TestSuspectRunsAlone(t *testing.T) {
	nodes, _ := guards(1, Requests())
	for i := range Ends - 1 {
		nodes[0].Ended(context.Background(), digest, fmt.Sprint("back-end-", i))
	}
	leave, err := nodes[0].Enter(context.Background(), digestOf)
	require.NoError(t, err)
	require.Zero(t, admitted(t, nodes))
	leave()
	require.Equal(t, 1, admitted(t, nodes))
}

func TestOtherRequestsAreNotHashedWhileNothingIsKnown(t *testing.T) {
	nodes, _ := guards(1, Requests())
	unasked := func() Digest { panic("not to be asked") }
	leave, err := nodes[0].Enter(context.Background(), unasked)
	require.NoError(t, err)
	leave()
	require.False(t, nodes[0].Suspected(unasked))
	nodes[0].Served(context.Background(), unasked)
	require.True(t, nodes[0].HeldUntil(digest).IsZero())
}

func TestItemIsHeldUntilItsTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes, _ := guards(1, Items())
		for i := range Ends {
			require.True(t, nodes[0].HeldUntil(digest).IsZero())
			nodes[0].Ended(context.Background(), digest, fmt.Sprint("sampler-", i))
		}
		require.Equal(t, time.Now().Add(Items().Pauses[0]).Unix(), nodes[0].HeldUntil(digest).Unix())
		time.Sleep(Items().Pauses[0])
		require.True(t, nodes[0].HeldUntil(digest).IsZero())
	})
}
