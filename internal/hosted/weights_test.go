package hosted

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

// jobsLog keeps the records of one partition.
type jobsLog struct {
	sharedlog.Log

	mutex   sync.Mutex
	records [][]byte
	// hidden hides so many of the newest records from reads.
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
		return sharedlog.Batch{}, result.New(result.LogUnavailable, "too late")
	}
	end := len(l.records) - l.hidden
	return sharedlog.Batch{Records: l.records[min(int(from), end):end], End: uint64(end)}, nil
}

// newHolder returns a node that takes itself for the holder of the jobs under a
// generation.
func newHolder(name string, generation uint64, log sharedlog.Log) *executor {
	settings := Settings{
		Name: name, Zone: "a", ShortestTTL: time.Second, OrderGrace: 3 * time.Second, MaxRecordBytes: 1 << 10, MaxCallBytes: 1 << 12,
	}
	node := New(settings, Ports{Network: network.TCP{}, Log: log}, event.Discard())
	node.ownership.Take(ownershiptest.Holding(generation, jobPartition), clock.Mark())
	return node.executor
}

func canClaim(t *testing.T, e *executor, samplerID string) bool {
	t.Helper()
	right, ok := e.node.claims.Claim(t.Context(), samplerID)
	if ok {
		require.Equal(t, e.node.ownership.Current(), right.Fence)
	}
	return ok
}

func TestNewHolderOrdersImmediatelyWithoutEarlierOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &jobsLog{}
		require.True(t, canClaim(t, newHolder("a", 4, log), "s"))
		require.True(t, canClaim(t, newHolder("a", 5, log), "s"), "the same machine after a restart")
	})
}

// All partitions were dealt anew at once, and the former holder ordered until its
// next renewal (tpl-dakar mix --seed 522902039884). A new holder waited 1.7 s for
// that; now the log tells the former one.
func TestFormerHolderFindsTheNewOneInTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &jobsLog{}
		former, next := newHolder("former", 4, log), newHolder("next", 5, log)
		require.True(t, canClaim(t, former, "s1"))
		require.True(t, canClaim(t, next, "s2"))
		require.False(t, canClaim(t, former, "s3"), "to whichever sampler")
		require.True(t, canClaim(t, next, "s4"))
	})
}

func TestNewHolderWaitsForASamplerThatAnotherOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &jobsLog{}
		former, next := newHolder("former", 4, log), newHolder("next", 5, log)
		require.True(t, canClaim(t, former, "s1"))
		require.False(t, canClaim(t, next, "s1"))
		require.True(t, canClaim(t, next, "s2"))
		time.Sleep(3*time.Second + 2*ownership.OrderMargin)
		next.node.ownership.Take(ownershiptest.Holding(5, jobPartition), clock.Mark())
		require.True(t, canClaim(t, next, "s1"))
	})
}

// The log may answer reads from a state of seconds ago.
func TestNoOrderUntilTheClaimIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &jobsLog{hidden: 1}
		require.False(t, canClaim(t, newHolder("a", 4, log), "s"))
	})
}

// 430 samplers that loaded at once were asked 7,000 times a second.
func TestPollRateOfLoadingSamplersIsBounded(t *testing.T) {
	e := newHolder("a", 1, emptyLog{})
	require.Equal(t, minPollInterval, e.pollInterval())
	var members []weights.Member
	for i := range 2500 {
		members = append(members, weights.Member{ID: fmt.Sprint(i), Versions: map[string]uint64{"m": 1}})
	}
	require.Len(t, e.roll.Next(time.Now(), weights.Listed(members), map[string]uint64{"m": 2}), 500)
	require.Equal(t, 500*time.Second/maxPollsPerSecond, e.pollInterval())
}
