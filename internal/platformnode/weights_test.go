package platformnode

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/ownership"
	"github.com/pathbend/pathbend/internal/ownership/ownershiptest"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/sharedlog"
	"github.com/pathbend/pathbend/internal/weights"
)

// jobsLog stores the records of one partition in memory.
type jobsLog struct {
	sharedlog.Log

	mutex   sync.Mutex
	records [][]byte
	// hidden is the number of newest records that reads do not return yet.
	hidden int
}

func (l *jobsLog) Append(_ context.Context, _ sharedlog.Partition, records [][]byte) (uint64, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.records = append(l.records, records...)
	return uint64(len(l.records) - len(records)), nil
}

func (l *jobsLog) Read(ctx context.Context, _ sharedlog.Partition, from uint64, _ time.Duration) (sharedlog.Batch, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if ctx.Err() != nil {
		return sharedlog.Batch{}, result.New(result.LogUnavailable, "read canceled")
	}
	end := len(l.records) - l.hidden
	return sharedlog.Batch{Records: l.records[min(int(from), end):end], EndOffset: uint64(end)}, nil
}

// newHolder returns the executor of a node that believes it holds the jobs under a generation.
func newHolder(name string, generation uint64, log sharedlog.Log) *executor {
	settings := Settings{
		Name: name, Zone: "a", MinAssignmentTTL: time.Second, OrderGrace: 3 * time.Second, MaxRecordBytes: 1 << 10, MaxCallBytes: 1 << 12,
	}
	node := New(settings, Ports{Network: network.TCP{}, Log: log}, event.Discard())
	node.ownership.ApplyAssignment(ownershiptest.NewAssignment(generation, jobPartition), clock.CurrentMoment())
	return node.executor
}

// canAcquirePermit acquires a permit to order a sampler and reports whether that succeeded.
func canAcquirePermit(t *testing.T, e *executor, samplerID string) bool {
	t.Helper()
	permit, ok := e.node.claims.AcquirePermit(t.Context(), samplerID)
	if ok {
		require.Equal(t, e.node.ownership.Generation(), permit.Fence)
	}
	return ok
}

func TestNewHolderOrdersImmediatelyWithoutEarlierOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &jobsLog{}
		require.True(t, canAcquirePermit(t, newHolder("a", 4, log), "s"))
		require.True(t, canAcquirePermit(t, newHolder("a", 5, log), "s"), "the same machine after a restart")
	})
}

// If the group reassigns all partitions at once, the former holder learns of it only at its
// next renewal. Until then it must find the new holder's claims in the log and stop ordering,
// so that the new holder need not wait 1.7 s for that renewal.
func TestFormerHolderFindsTheNewOneInTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &jobsLog{}
		former, next := newHolder("former", 4, log), newHolder("next", 5, log)
		require.True(t, canAcquirePermit(t, former, "s1"))
		require.True(t, canAcquirePermit(t, next, "s2"))
		require.False(t, canAcquirePermit(t, former, "s3"), "the former holder may not order any sampler")
		require.True(t, canAcquirePermit(t, next, "s4"))
	})
}

func TestNewHolderWaitsForASamplerThatAnotherOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &jobsLog{}
		former, next := newHolder("former", 4, log), newHolder("next", 5, log)
		require.True(t, canAcquirePermit(t, former, "s1"))
		require.False(t, canAcquirePermit(t, next, "s1"))
		require.True(t, canAcquirePermit(t, next, "s2"))
		time.Sleep(3*time.Second + 2*ownership.OrderMargin)
		next.node.ownership.ApplyAssignment(ownershiptest.NewAssignment(5, jobPartition), clock.CurrentMoment())
		require.True(t, canAcquirePermit(t, next, "s1"))
	})
}

// The log may answer reads from a state that is seconds old, so a claim counts only once it
// has been read back.
func TestNoOrderUntilTheClaimIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &jobsLog{hidden: 1}
		require.False(t, canAcquirePermit(t, newHolder("a", 4, log), "s"))
	})
}

// Without a bound on all polls together, 430 samplers that loaded at once were polled 7,000
// times a second.
func TestPollRateOfLoadingSamplersIsBounded(t *testing.T) {
	e := newHolder("a", 1, emptyLog{})
	require.Equal(t, minPollInterval, e.pollInterval())
	var members []weights.Member
	for i := range 2500 {
		members = append(members, weights.Member{ID: fmt.Sprint(i), Versions: map[string]uint64{"m": 1}})
	}
	require.Len(t, e.rollingUpdate.Next(time.Now(), weights.MemberList(members), map[string]uint64{"m": 2}), 500)
	require.Equal(t, 500*time.Second/maxPollsPerSecond, e.pollInterval())
}
