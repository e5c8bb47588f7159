package sharedlog

import (
	"context"
	"encoding/binary"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/result"
)

// fakeLog is an in-memory log with one partition, whose records before the offset oldest are
// truncated. A read returns at most maxPerRead records.
type fakeLog struct {
	mutex      sync.Mutex
	records    [][]byte
	keyed      []KeyedRecord
	oldest     uint64
	maxPerRead int
	// failing makes reads fail. staleEnd, if not 0, is the EndOffset that the next call of
	// ReadNewest returns.
	failing  bool
	staleEnd uint64
	// reads is the number of reads, each of which takes readLatency.
	reads       int
	readLatency time.Duration
	newest      []KeyedRecord
}

func (l *fakeLog) Append(_ context.Context, _ Partition, records [][]byte) (uint64, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.records = append(l.records, records...)
	return uint64(len(l.records) - len(records)), nil
}

func (l *fakeLog) AppendKeyed(_ context.Context, _ Partition, records []KeyedRecord) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.keyed = append(l.keyed, records...)
	return nil
}

func (l *fakeLog) Read(ctx context.Context, _ Partition, from uint64, wait time.Duration) (Batch, error) {
	deadline := time.Now().Add(wait)
	l.set(func() { l.reads++ })
	time.Sleep(l.readLatency)
	for {
		l.mutex.Lock()
		end := uint64(len(l.records))
		failing, oldest := l.failing, l.oldest
		var found [][]byte
		if from < end {
			found = l.records[from:min(end, from+uint64(l.maxPerRead))]
		}
		l.mutex.Unlock()
		switch {
		case failing:
			return Batch{}, result.New(result.LogUnavailable, "down")
		case from < oldest:
			return Batch{OldestOffset: oldest}, result.New(result.LogTruncated, "gone")
		case len(found) > 0 || !time.Now().Before(deadline) || ctx.Err() != nil:
			return Batch{EndOffset: end, OldestOffset: oldest, Records: found}, nil
		}
		time.Sleep(time.Millisecond)
	}
}

func (l *fakeLog) ReadAvailable(ctx context.Context, partition Partition, from uint64, _ int) (Batch, error) {
	return l.Read(ctx, partition, from, 0)
}

func (l *fakeLog) ReadKeyed(_ context.Context, _ Partition, from uint64, wait time.Duration) (KeyedBatch, error) {
	time.Sleep(min(wait, time.Millisecond))
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if from < l.oldest {
		return KeyedBatch{}, result.New(result.LogTruncated, "gone")
	}
	if from >= uint64(len(l.keyed)) {
		return KeyedBatch{EndOffset: uint64(len(l.keyed))}, nil
	}
	return KeyedBatch{EndOffset: uint64(len(l.keyed)), NextOffset: uint64(len(l.keyed)), Records: l.keyed[from:]}, nil
}

func (l *fakeLog) ReadNewest(context.Context, Partition, string) (KeyedPage, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	end := uint64(len(l.keyed))
	if l.staleEnd != 0 {
		end = l.staleEnd
		l.staleEnd = 0
	}
	return KeyedPage{KeyedBatch: KeyedBatch{EndOffset: end, Records: l.newest}}, nil
}

type countingObserver struct{ failed, recovered int }

func (o *countingObserver) ReadFailed(Partition, error)            { o.failed++ }
func (o *countingObserver) ReadRecovered(Partition, time.Duration) { o.recovered++ }

func numbered(count int) [][]byte {
	records := make([][]byte, count)
	for i := range records {
		records[i] = binary.BigEndian.AppendUint64(nil, uint64(i))
	}
	return records
}

// Guards against treating the first batch as all records: a read returns a limited number of
// records, and a node executed a job whose end was in the second batch.
func TestCatchUpReadsAllBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got [][]byte
		follower := &Follower{
			Log: &fakeLog{records: numbered(25), maxPerRead: 10}, Observer: &countingObserver{},
			Apply: func(_ uint64, records [][]byte) { got = append(got, records...) },
		}
		require.NoError(t, follower.CatchUp(t.Context()))
		require.Equal(t, numbered(25), got)
		require.Equal(t, time.Now(), follower.Health.CurrentAt())
	})
}

func TestFollowerIsNotCurrentBeforeTheLastBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		follower := &Follower{
			Log: &fakeLog{records: numbered(25), maxPerRead: 10}, Observer: &countingObserver{}, Apply: func(uint64, [][]byte) {},
		}
		caughtUp, err := follower.readOnce(t.Context(), 0)
		require.NoError(t, err)
		require.False(t, caughtUp)
		require.True(t, follower.Health.CurrentAt().IsZero())
	})
}

func TestFollowerAppliesEachRecordOnceAndReportsOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakeLog{records: numbered(5), maxPerRead: 3}
		observer := &countingObserver{}
		var got [][]byte
		follower := &Follower{
			Log: log, Observer: observer, Pause: oneMillisecond,
			Apply: func(offset uint64, records [][]byte) {
				require.Equal(t, uint64(len(got)), offset)
				got = append(got, records...)
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); follower.Run(ctx) }()
		time.Sleep(100 * time.Millisecond)
		log.set(func() { log.failing = true })
		time.Sleep(2 * time.Second)
		require.True(t, follower.Health.Lost())
		log.set(func() { log.failing = false; log.records = numbered(9) })
		time.Sleep(500 * time.Millisecond)
		require.NoError(t, follower.CatchUp(ctx), "concurrently with the loop")
		cancel()
		<-done
		require.Equal(t, numbered(9), got)
		require.Equal(t, 1, observer.failed)
		require.Equal(t, 1, observer.recovered)
	})
}

func (l *fakeLog) set(change func()) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	change()
}

func TestFollowerContinuesAtTheOldestRetainedRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakeLog{records: numbered(10), maxPerRead: 10, oldest: 4}
		var offsets []uint64
		follower := &Follower{Log: log, Observer: &countingObserver{}, Apply: func(offset uint64, _ [][]byte) { offsets = append(offsets, offset) }}
		require.Error(t, follower.CatchUp(t.Context()))
		require.NoError(t, follower.CatchUp(t.Context()))
		require.Equal(t, []uint64{4}, offsets)
	})
}

func TestKeyedFollowerIgnoresStaleNewestRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		record := func(offset uint64) KeyedRecord {
			return KeyedRecord{Key: "k", Value: []byte{byte(offset)}, Offset: offset}
		}
		log := &fakeLog{keyed: []KeyedRecord{record(0)}, newest: []KeyedRecord{record(0)}}
		var got []byte
		apply := func(records []KeyedRecord, _ uint64) {
			for _, one := range records {
				got = append(got, one.Value[0])
			}
		}
		follower := &KeyedFollower{Log: log, Observer: &countingObserver{}, Reset: apply, Apply: apply, Pause: oneMillisecond}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); follower.Run(ctx) }()
		time.Sleep(50 * time.Millisecond)
		log.set(func() { log.keyed = append(log.keyed, record(1), record(2)) })
		time.Sleep(50 * time.Millisecond)
		// The history is truncated, and the newest records are stale at first.
		log.set(func() { log.oldest, log.staleEnd = 3, 1 })
		time.Sleep(300 * time.Millisecond)
		log.set(func() { log.newest = []KeyedRecord{record(2)} })
		time.Sleep(300 * time.Millisecond)
		cancel()
		<-done
		require.Equal(t, []byte{0, 1, 2}, got[:3])
		for _, value := range got[3:] {
			require.Equal(t, byte(2), value, "a stale response is ignored")
		}
	})
}

// Guards against one read per concurrent caller. After a start of all nodes, each request for
// a job that was not read yet made its own read, and together they used the log's entire read
// capacity for seconds.
func TestConcurrentCatchUpsShareReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakeLog{records: numbered(40), maxPerRead: 10, readLatency: 100 * time.Millisecond}
		count := 0
		follower := &Follower{
			Log: log, Observer: &countingObserver{}, Apply: func(_ uint64, records [][]byte) { count += len(records) },
		}
		var callers sync.WaitGroup
		for range 50 {
			callers.Go(func() {
				require.NoError(t, follower.CatchUp(t.Context()))
				require.Equal(t, 40, count)
			})
		}
		callers.Wait()
		require.LessOrEqual(t, log.reads, 6)
	})
}

func TestLateCallerIsNotServedByAnEarlierRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakeLog{records: numbered(1), maxPerRead: 10, readLatency: 100 * time.Millisecond}
		count := 0
		follower := &Follower{
			Log: log, Observer: &countingObserver{}, Apply: func(_ uint64, records [][]byte) { count += len(records) },
		}
		go func() { _ = follower.CatchUp(t.Context()) }()
		time.Sleep(50 * time.Millisecond)
		log.set(func() { log.records = numbered(3) })
		require.NoError(t, follower.CatchUp(t.Context()))
		require.Equal(t, 3, count)
	})
}

// A caller whose time is up gets its answer although the log does not answer the read, which goes
// on: the log would send its answer anyway. No further read is made for a caller that has gone.
func TestCatchUpEndsAtTheDeadlineOfItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakeLog{records: numbered(40), maxPerRead: 10, readLatency: 1500 * time.Millisecond}
		var count atomic.Int64
		follower := &Follower{
			Log: log, Observer: &countingObserver{}, Apply: func(_ uint64, records [][]byte) { count.Add(int64(len(records))) },
		}
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		began := time.Now()
		require.ErrorIs(t, follower.CatchUp(ctx), context.DeadlineExceeded)
		require.Equal(t, 300*time.Millisecond, time.Since(began))
		time.Sleep(10 * time.Second)
		synctest.Wait()
		require.EqualValues(t, 10, count.Load())
		require.Equal(t, 1, log.reads)
		require.NoError(t, follower.CatchUp(t.Context()))
		require.EqualValues(t, 40, count.Load())
	})
}

// The caller that starts a read which others share may leave before it is answered.
func TestSharedCatchUpOutlivesTheCallerThatStartedIt(t *testing.T) {
	for _, deadline := range []bool{false, true} {
		t.Run(fmt.Sprint("deadline ", deadline), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := &fakeLog{records: numbered(40), maxPerRead: 10, readLatency: 100 * time.Millisecond}
				var count atomic.Int64
				follower := &Follower{
					Log: log, Observer: &countingObserver{}, Apply: func(_ uint64, records [][]byte) { count.Add(int64(len(records))) },
				}
				ctx, cancel := context.WithCancel(t.Context())
				if deadline {
					ctx, cancel = context.WithTimeout(ctx, 150*time.Millisecond)
				}
				defer cancel()
				var callers sync.WaitGroup
				callers.Go(func() {
					require.Error(t, follower.CatchUp(ctx))
					require.Less(t, count.Load(), int64(40))
				})
				synctest.Wait()
				callers.Go(func() {
					require.NoError(t, follower.CatchUp(t.Context()))
					require.EqualValues(t, 40, count.Load())
				})
				time.Sleep(150 * time.Millisecond)
				cancel()
				callers.Wait()
				require.Equal(t, 4, log.reads)
			})
		})
	}
}

// silentLog does not answer the first read, which ends some time after its caller has gone.
type silentLog struct {
	Log
	reads      atomic.Int64
	endLatency time.Duration
}

func (l *silentLog) Read(ctx context.Context, _ Partition, _ uint64, _ time.Duration) (Batch, error) {
	if l.reads.Add(1) > 1 {
		return Batch{}, nil
	}
	<-ctx.Done()
	time.Sleep(l.endLatency)
	return Batch{}, result.Wrap(result.LogUnavailable, ctx.Err(), "read")
}

// A read for which nobody waits any longer ends with the last caller if that is cancelled, as at
// the end of the process.
func TestCancelledCatchUpEndsItsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		observer := &countingObserver{}
		follower := &Follower{Log: &silentLog{}, Observer: observer, Apply: func(uint64, [][]byte) {}}
		ctx, cancel := context.WithCancel(t.Context())
		began := time.Now()
		time.AfterFunc(100*time.Millisecond, cancel)
		require.ErrorIs(t, follower.CatchUp(ctx), context.Canceled)
		require.Equal(t, 100*time.Millisecond, time.Since(began))
		require.Nil(t, follower.round)
		require.Zero(t, observer.failed)
	})
}

// A caller that joins a read whose callers were cancelled gets a read of its own.
func TestCatchUpDoesNotShareACancelledRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &silentLog{endLatency: 50 * time.Millisecond}
		follower := &Follower{Log: log, Observer: &countingObserver{}, Apply: func(uint64, [][]byte) {}}
		ctx, cancel := context.WithCancel(t.Context())
		var callers sync.WaitGroup
		callers.Go(func() { require.ErrorIs(t, follower.CatchUp(ctx), context.Canceled) })
		synctest.Wait()
		cancel()
		synctest.Wait()
		require.NoError(t, follower.CatchUp(t.Context()))
		callers.Wait()
		require.EqualValues(t, 2, log.reads.Load())
	})
}

func oneMillisecond() time.Duration { return time.Millisecond }
