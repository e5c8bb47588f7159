package platformnode

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/sharedlog"
)

// stuckLog does not answer appends while it is stuck, and stores all others.
type stuckLog struct {
	jobsLog
	mutex sync.Mutex
	stuck bool
}

func (l *stuckLog) Append(ctx context.Context, partition sharedlog.Partition, records [][]byte) (uint64, error) {
	l.mutex.Lock()
	stuck := l.stuck
	l.mutex.Unlock()
	if stuck {
		<-ctx.Done()
		return 0, result.New(result.LogUnknown, "no answer")
	}
	return l.jobsLog.Append(ctx, partition, records)
}

func (l *stuckLog) set(stuck bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.stuck = stuck
}

// Guards against results that are delayed until earlier appends without an answer time out.
func TestResultsDoNotWaitForUnansweredAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &stuckLog{stuck: true}
		settings := Settings{Name: "n", MaxRecordBytes: 1 << 10, MaxCallBytes: 1 << 12, Partitions: 2}
		node := New(settings, Ports{Network: network.TCP{}, Log: log}, event.Discard())
		ctx, cancel := context.WithCancel(t.Context())
		records, err := ledger.Encode(&pathbendv1.LedgerEntry{JobId: "j", Fact: &pathbendv1.LedgerEntry_Submitted{
			Submitted: &pathbendv1.BatchJob{ItemIds: []string{"first", "second"}},
		}}, 1, settings.MaxRecordBytes)
		require.NoError(t, err)
		_, err = log.jobsLog.Append(ctx, sharedlog.Partition{}, records)
		require.NoError(t, err)
		require.NoError(t, node.jobs.refresh(ctx))
		done := make(chan struct{})
		go func() { defer close(done); node.executor.resultWriter.run(ctx) }()
		node.executor.resultWriter.addResult("j", &pathbendv1.BatchResult{ItemId: "first"}, []byte("text"))
		time.Sleep(resultLinger + time.Millisecond)
		log.set(false)
		node.executor.resultWriter.addResult("j", &pathbendv1.BatchResult{ItemId: "second"}, []byte("text"))
		time.Sleep(roundOverlapDelay + 100*time.Millisecond)
		require.NoError(t, node.jobs.refresh(ctx))
		node.jobs.withLedger(func(state *ledger.Ledger) { require.True(t, state.Job("j").HasResult("second")) })
		cancel()
		<-done
		synctest.Wait()
	})
}
