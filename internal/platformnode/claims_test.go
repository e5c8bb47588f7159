package platformnode

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/ownership"
	"github.com/pathbend/pathbend/internal/ownership/ownershiptest"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/schedule"
	"github.com/pathbend/pathbend/internal/sharedlog"
)

// announceNodes adds entries to the directory of a node: its own, and those of others, which
// belong to an earlier release if readsFurther is not set.
func announceNodes(t *testing.T, e *executor, readsFurther bool, others ...string) {
	t.Helper()
	announce := func(name string, readsFurther bool) {
		value, err := proto.Marshal(&pathbendv1.NodeCapacity{Node: name, Millicores: 1, ReadsFurtherSubjects: readsFurther})
		require.NoError(t, err)
		e.node.directory.Apply([]sharedlog.KeyedRecord{{Key: name, Value: value}}, 0)
	}
	announce(e.node.settings.Name, true)
	for _, name := range others {
		announce(name, readsFurther)
	}
}

func subjects(count int) []string {
	names := make([]string, 0, count)
	for i := range count {
		names = append(names, fmt.Sprintf("i-%09d", i))
	}
	return names
}

// acquireAll acquires permits for all subjects at once and returns the number of those granted.
func acquireAll(t *testing.T, e *executor, subjects []string) int {
	t.Helper()
	var granted atomic.Int64
	var acquired sync.WaitGroup
	for _, subject := range subjects {
		acquired.Go(func() {
			if _, ok := e.node.claims.AcquirePermit(t.Context(), subject); ok {
				granted.Add(1)
			}
		})
	}
	acquired.Wait()
	return int(granted.Load())
}

// size returns the number and the bytes of the records in the log.
func (l *jobsLog) size() (records, bytes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, record := range l.records {
		bytes += len(record)
	}
	return len(l.records), bytes
}

// hidingLog stores records, but does not return them while hiding is set.
type hidingLog struct {
	*jobsLog
	hiding atomic.Bool
}

func (l *hidingLog) Read(ctx context.Context, partition sharedlog.Partition, from uint64, hold time.Duration) (sharedlog.Batch, error) {
	if l.hiding.Load() {
		return sharedlog.Batch{EndOffset: from}, ctx.Err()
	}
	return l.jobsLog.Read(ctx, partition, from, hold)
}

const (
	largeRecordBytes = 1 << 16
	largeCallBytes   = 1 << 20
)

// Guards against an entry for each of 1,500 claims: every node reads each of them.
func TestClaimsMadeTogetherShareOneEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &jobsLog{}
		holder := newHolderWithLimits("tpl-machine-0123", 4, log, largeRecordBytes, largeCallBytes)
		announceNodes(t, holder, true, "other")
		require.Equal(t, 1500, acquireAll(t, holder, subjects(1500)))
		records, bytes := log.size()
		t.Logf("%d records, %d bytes", records, bytes)
		require.Equal(t, 1, records)
		require.Less(t, bytes, 15*1500)
	})
}

// A node of an earlier release reads only the first subject of an entry. While there is one,
// each claim has an entry of its own, as before.
func TestClaimsShareNoEntryWhileANodeOfAnEarlierReleaseIsAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &jobsLog{}
		holder := newHolderWithLimits("tpl-machine-0123", 4, log, largeRecordBytes, largeCallBytes)
		announceNodes(t, holder, false, "earlier")
		require.Equal(t, 1500, acquireAll(t, holder, subjects(1500)))
		records, bytes := log.size()
		t.Logf("%d records, %d bytes", records, bytes)
		require.Equal(t, 1500, records)
	})
}

// An entry that exceeds the size of a record is split, and counts once all parts are read.
func TestClaimsLargerThanARecordAreReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &jobsLog{}
		holder := newHolder("a", 4, log)
		announceNodes(t, holder, true)
		require.Equal(t, 1500, acquireAll(t, holder, subjects(1500)))
		next := newHolder("b", 5, log)
		require.False(t, canAcquirePermit(t, next, subjects(1500)[1499]))
	})
}

// The rules for two holders hold for each of the subjects that share an entry.
func TestNewHolderWaitsForEachSubjectOfASharedEntry(t *testing.T) {
	for _, shared := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			log := &jobsLog{}
			former, next := newHolder("former", 4, log), newHolder("next", 5, log)
			announceNodes(t, former, shared, "next")
			announceNodes(t, next, shared, "former")
			claimed := subjects(20)
			require.Equal(t, 20, acquireAll(t, former, claimed[:20]))
			more := append(claimed, "free-1", "free-2")
			require.Equal(t, 2, acquireAll(t, next, more), "only those that the former holder did not claim")
			require.Zero(t, acquireAll(t, former, []string{"free-3", "free-4"}), "the former holder may not order any sampler")
			time.Sleep(3*time.Second + 2*ownership.OrderMargin)
			next.node.ownership.ApplyAssignment(ownershiptest.NewAssignment(5, jobPartition), clock.CurrentMoment())
			require.Equal(t, 20, acquireAll(t, next, claimed))
		})
	}
}

// Guards against claims that are repeated under new serials while the log does not return
// them: the more claims were waiting, the longer the log took.
func TestClaimsBackOffWhileTheLogDoesNotReturnThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &hidingLog{jobsLog: &jobsLog{}}
		holder := newHolderWithLimits("a", 4, log, largeRecordBytes, largeCallBytes)
		announceNodes(t, holder, true)
		log.hiding.Store(true)
		attempts, end := 0, time.Now().Add(30*time.Second)
		for time.Now().Before(end) {
			holder.node.ownership.ApplyAssignment(ownershiptest.NewAssignment(4, jobPartition), clock.CurrentMoment())
			require.Zero(t, acquireAll(t, holder, subjects(100)))
			attempts++
			time.Sleep(50 * time.Millisecond)
		}
		records, bytes := log.size()
		t.Logf("%d attempts of 100 claims, %d records, %d bytes", attempts, records, bytes)
		const withShortestPauses = 16
		require.LessOrEqual(t, records, withShortestPauses)
		log.hiding.Store(false)
		time.Sleep(maxClaimBackoff)
		holder.node.ownership.ApplyAssignment(ownershiptest.NewAssignment(4, jobPartition), clock.CurrentMoment())
		require.Equal(t, 100, acquireAll(t, holder, subjects(100)))
	})
}

// countingControl is the control interface of samplers that report version 1 and count as asked.
type countingControl struct {
	mutex sync.Mutex
	asked map[string]struct{}
}

func (c *countingControl) Report(_ context.Context, sampler schedule.Sampler) (SamplerReport, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.asked[sampler.ID] = struct{}{}
	return SamplerReport{Versions: map[string]uint64{"m": 1, "n": 1}}, nil
}

func (c *countingControl) Order(context.Context, schedule.Sampler, VersionOrder) (OrderAnswer, error) {
	return OrderUnknown, result.New(result.BackEndRefused, "no order is permitted")
}

// Guards against taking claims that a slow log does not return for failures of the samplers: their
// models moved to other samplers, with as many more claims and loads.
func TestModelsStayOnTheirSamplersWhileClaimsAreNotReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &hidingLog{jobsLog: &jobsLog{}}
		log.hiding.Store(true)
		e := newHolderWithLimits("a", 4, log, largeRecordBytes, largeCallBytes)
		control := &countingControl{asked: make(map[string]struct{})}
		e.node.ports.Control = control
		session, cancel := context.WithCancel(t.Context())
		e.session, e.scheduler = session, schedule.New(func() uint64 { return 1 })
		var listed []schedule.Sampler
		for _, id := range subjects(20) {
			listed = append(listed, schedule.Sampler{ID: id, Service: "llm", Slots: 6, Versions: map[string]uint64{"m": 1, "n": 1}})
		}
		e.scheduler.SetSamplers(listed, time.Now())
		e.node.ApplyVersion("m", 2)
		for range 3000 {
			e.node.ownership.ApplyAssignment(ownershiptest.NewAssignment(4, jobPartition), clock.CurrentMoment())
			e.reviewLocked()
			time.Sleep(100 * time.Millisecond)
		}
		cancel()
		e.work.Wait()
		require.NotEmpty(t, control.asked)
		const share = 10 // one of two models has half of the samplers
		require.LessOrEqual(t, len(control.asked), share)
	})
}

func TestClaimBackoffDoublesUpToItsBound(t *testing.T) {
	var b claimBackoff
	now := time.Unix(100, 0)
	require.False(t, b.active(now))
	for _, pause := range []time.Duration{minClaimBackoff, 2 * minClaimBackoff, 4 * minClaimBackoff, maxClaimBackoff, maxClaimBackoff} {
		require.Equal(t, pause, b.fail(now, 1))
		require.Equal(t, pause/2, b.fail(now.Add(pause/2), 0), "a group that was in progress does not lengthen the pause")
		require.True(t, b.active(now.Add(pause-time.Millisecond)))
		now = now.Add(pause)
		require.False(t, b.active(now))
	}
	b.reset()
	require.Equal(t, minClaimBackoff/2, b.fail(now, 0), "jitter shortens the pause by at most half")
}
