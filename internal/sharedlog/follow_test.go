package sharedlog

import (
	"context"
	"encoding/binary"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/result"
)

// fakeLog holds one partition in memory and answers at most perRead records.
type fakeLog struct {
	mutex   sync.Mutex
	records [][]byte
	keyed   []KeyedRecord
	first   uint64
	perRead int
	// failing makes calls fail; staleEnd, if not 0, is the end that Newest tells.
	failing  bool
	staleEnd uint64
	// reads counts the reads, each of which takes readTime.
	reads    int
	readTime time.Duration
	newest   []KeyedRecord
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
	time.Sleep(l.readTime)
	for {
		l.mutex.Lock()
		end := uint64(len(l.records))
		failing, first := l.failing, l.first
		var found [][]byte
		if from < end {
			found = l.records[from:min(end, from+uint64(l.perRead))]
		}
		l.mutex.Unlock()
		switch {
		case failing:
			return Batch{}, result.New(result.LogUnavailable, "down")
		case from < first:
			return Batch{First: first}, result.New(result.LogTruncated, "gone")
		case len(found) > 0 || !time.Now().Before(deadline) || ctx.Err() != nil:
			return Batch{End: end, First: first, Records: found}, nil
		}
		time.Sleep(time.Millisecond)
	}
}

func (l *fakeLog) ReadPart(ctx context.Context, partition Partition, from uint64, _ int) (Batch, error) {
	return l.Read(ctx, partition, from, 0)
}

func (l *fakeLog) ReadKeyed(_ context.Context, _ Partition, from uint64, wait time.Duration) (KeyedBatch, error) {
	time.Sleep(min(wait, time.Millisecond))
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if from < l.first {
		return KeyedBatch{}, result.New(result.LogTruncated, "gone")
	}
	if from >= uint64(len(l.keyed)) {
		return KeyedBatch{End: uint64(len(l.keyed))}, nil
	}
	return KeyedBatch{End: uint64(len(l.keyed)), Next: uint64(len(l.keyed)), Records: l.keyed[from:]}, nil
}

func (l *fakeLog) Newest(context.Context, Partition, string) (KeyedPage, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	end := uint64(len(l.keyed))
	if l.staleEnd != 0 {
		end = l.staleEnd
		l.staleEnd = 0
	}
	return KeyedPage{KeyedBatch: KeyedBatch{End: end, Records: l.newest}}, nil
}

type silentObserver struct{ failed, recovered int }

func (o *silentObserver) ReadFailed(Partition, error)            { o.failed++ }
func (o *silentObserver) ReadRecovered(Partition, time.Duration) { o.recovered++ }

func numbered(count int) [][]byte {
	records := make([][]byte, count)
	for i := range records {
		records[i] = binary.BigEndian.AppendUint64(nil, uint64(i))
	}
	return records
}

// A log answers a bounded part of what it holds. A node that took the first
// part for the whole executed a job whose end lay in the second.
func TestCatchUpReadsAllParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got [][]byte
		follower := &Follower{
			Log: &fakeLog{records: numbered(25), perRead: 10}, Observer: &silentObserver{},
			Apply: func(_ uint64, records [][]byte) { got = append(got, records...) },
		}
		require.NoError(t, follower.CatchUp(t.Context()))
		require.Equal(t, numbered(25), got)
		require.Equal(t, time.Now(), follower.Health.CurrentAt())
	})
}

func TestFollowerIsNotCurrentBeforeTheLastPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		follower := &Follower{
			Log: &fakeLog{records: numbered(25), perRead: 10}, Observer: &silentObserver{}, Apply: func(uint64, [][]byte) {},
		}
		whole, err := follower.step(t.Context(), 0)
		require.NoError(t, err)
		require.False(t, whole)
		require.True(t, follower.Health.CurrentAt().IsZero())
	})
}

func TestFollowerHandsEachRecordOverOnceAndTellsOfOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakeLog{records: numbered(5), perRead: 3}
		observer := &silentObserver{}
		var got [][]byte
		follower := &Follower{
			Log: log, Observer: observer, Pause: shortPause,
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
		require.NoError(t, follower.CatchUp(ctx), "beside the loop")
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

func TestFollowerGoesOnAtTheOldestRecordKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakeLog{records: numbered(10), perRead: 10, first: 4}
		var offsets []uint64
		follower := &Follower{Log: log, Observer: &silentObserver{}, Apply: func(offset uint64, _ [][]byte) { offsets = append(offsets, offset) }}
		require.Error(t, follower.CatchUp(t.Context()))
		require.NoError(t, follower.CatchUp(t.Context()))
		require.Equal(t, []uint64{4}, offsets)
	})
}

func TestKeyedFollowerNeverMovesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		record := func(offset uint64) KeyedRecord {
			return KeyedRecord{Key: "k", Value: []byte{byte(offset)}, Offset: offset}
		}
		log := &fakeLog{keyed: []KeyedRecord{record(0)}, newest: []KeyedRecord{record(0)}}
		var got []byte
		take := func(records []KeyedRecord, _ uint64) {
			for _, one := range records {
				got = append(got, one.Value[0])
			}
		}
		follower := &KeyedFollower{Log: log, Observer: &silentObserver{}, Reset: take, Apply: take, Pause: shortPause}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); follower.Run(ctx) }()
		time.Sleep(50 * time.Millisecond)
		log.set(func() { log.keyed = append(log.keyed, record(1), record(2)) })
		time.Sleep(50 * time.Millisecond)
		// The history is dropped, and the newest records are stale at first.
		log.set(func() { log.first, log.staleEnd = 3, 1 })
		time.Sleep(300 * time.Millisecond)
		log.set(func() { log.newest = []KeyedRecord{record(2)} })
		time.Sleep(300 * time.Millisecond)
		cancel()
		<-done
		require.Equal(t, []byte{0, 1, 2}, got[:3])
		for _, value := range got[3:] {
			require.Equal(t, byte(2), value, "a stale answer is passed over")
		}
	})
}

// After a start of all nodes, each request for a job that was not read yet made
// a reading of its own, and together they took as long as the log gives away in
// seconds.
func TestCatchUpsShareTheirReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakeLog{records: numbered(40), perRead: 10, readTime: 100 * time.Millisecond}
		count := 0
		follower := &Follower{
			Log: log, Observer: &silentObserver{}, Apply: func(_ uint64, records [][]byte) { count += len(records) },
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
		log := &fakeLog{records: numbered(1), perRead: 10, readTime: 100 * time.Millisecond}
		count := 0
		follower := &Follower{
			Log: log, Observer: &silentObserver{}, Apply: func(_ uint64, records [][]byte) { count += len(records) },
		}
		go func() { _ = follower.CatchUp(t.Context()) }()
		time.Sleep(50 * time.Millisecond)
		log.set(func() { log.records = numbered(3) })
		require.NoError(t, follower.CatchUp(t.Context()))
		require.Equal(t, 3, count)
	})
}

func shortPause() time.Duration { return time.Millisecond }
