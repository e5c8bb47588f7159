package platformnode

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/locality"
	"github.com/pathbend/pathbend/internal/sharedlog"
	"github.com/pathbend/pathbend/internal/wait"
)

// apply encodes an entry and applies its records to a ledger.
func apply(t *testing.T, state *ledger.Ledger, entry *pathbendv1.LedgerEntry) {
	t.Helper()
	const large = 1 << 20
	records, err := ledger.Encode(entry, 1, large)
	require.NoError(t, err)
	for _, record := range records {
		_, err := state.Apply(record, time.Now())
		require.NoError(t, err)
	}
}

// Guards against lost partial texts. An item had a result in a job whose group stayed
// incomplete, and a later job that required newer weights started it again. When the
// executor was lost, the five longest items of the step started from scratch, although the
// log held most of their texts.
func TestPartialTextOfARestartedItemIsFoundBesideItsResult(t *testing.T) {
	known := ledger.New()
	for _, job := range []string{"old", "new"} {
		apply(t, known, &pathbendv1.LedgerEntry{JobId: job, Fact: &pathbendv1.LedgerEntry_Submitted{
			Submitted: &pathbendv1.BatchJob{ItemIds: []string{"item"}},
		}})
	}
	apply(t, known, &pathbendv1.LedgerEntry{JobId: "old", Fact: &pathbendv1.LedgerEntry_Listed{Listed: &pathbendv1.BatchResults{
		Results: []*pathbendv1.BatchResult{{ItemId: "item", Versions: []uint64{1}}},
	}}})
	apply(t, known, &pathbendv1.LedgerEntry{JobId: "new", Fact: &pathbendv1.LedgerEntry_Progress{Progress: &pathbendv1.BatchProgress{
		Items: []*pathbendv1.ItemProgress{{ItemId: "item", Id: 7, Events: 100, Versions: []uint64{3}}},
	}}})
	finished, partial := knownTexts(known, []*pathbendv1.BatchItem{{Id: "item"}})
	require.Equal(t, []uint64{1}, finished["item"].Versions)
	require.Equal(t, uint64(100), partial["item"].Events)
}

// hasJob reports whether the scheduler of an executor has the job j.
func hasJob(e *executor) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.scheduler.HasJob("j")
}

// Guards against an executor that never loads its jobs from an overloaded log. The log answers
// each read after a queue of 2 s, also those whose callers have left, so that a fixed timeout
// that is shorter than the queue only costs the log answers that nobody receives.
func TestJobIsLoadedFromALogWhoseQueueExceedsTheReadTimeout(t *testing.T) {
	runWithExecutor(t, locality.Regions{}, func(t *testing.T, e *executor) {
		log := e.node.ports.Log.(*bodyLog)
		log.readDelay = 2 * time.Second
		submitJob(t, e)
		time.Sleep(10 * time.Second)
		require.True(t, hasJob(e), "%d reads were requested", log.requestCount())
		require.LessOrEqual(t, log.requestCount(), 3)
		require.Zero(t, e.node.log.ExtraLatency(), "the queue of the log is no latency of the network")
	})
}

// Guards against retries at a fixed rate while the log refuses reads, and against a job that is
// loaded late once the log answers again.
func TestLoadingAJobBacksOffWhileTheLogRefusesReads(t *testing.T) {
	runWithExecutor(t, locality.Regions{}, func(t *testing.T, e *executor) {
		log := e.node.ports.Log.(*bodyLog)
		log.setRefusing(true)
		submitJob(t, e)
		time.Sleep(20 * time.Second)
		require.False(t, hasJob(e))
		require.Less(t, log.requestCount(), 80)
		log.setRefusing(false)
		time.Sleep(1100 * time.Millisecond)
		require.True(t, hasJob(e))
	})
}

// readContinuously reads from the log of a node, as its followers do, until ctx ends.
func readContinuously(ctx context.Context, n *Node) {
	wait.Every(ctx, 100*time.Millisecond, func() {
		callCtx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
		defer cancel()
		_, _ = n.log.ReadAvailable(callCtx, sharedlog.Partition{Topic: "followed"}, 0, 1)
	})
}

// Guards against a slow recovery after an outage: a read that was sent to a silent log is never
// answered, however long its timeout has become.
func TestJobIsLoadedSoonAfterASilentLogIsBack(t *testing.T) {
	for outage := 2 * time.Second; outage < 8*time.Second; outage += 130 * time.Millisecond {
		runWithExecutor(t, locality.Regions{}, func(t *testing.T, e *executor) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			log := e.node.ports.Log.(*bodyLog)
			log.setSilent(true)
			submitJob(t, e)
			go readContinuously(ctx, e.node)
			time.Sleep(outage)
			require.False(t, hasJob(e))
			log.setSilent(false)
			time.Sleep(1100 * time.Millisecond)
			require.True(t, hasJob(e), outage)
		})
	}
}
