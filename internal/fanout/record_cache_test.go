package fanout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/clock"
)

// recordsFrom returns count records whose content is their offset.
func recordsFrom(from uint64, count int) [][]byte {
	var records [][]byte
	for i := range count {
		records = append(records, []byte(fmt.Sprint(from+uint64(i))))
	}
	return records
}

const anyBytes = 1 << 20

func TestRecordCacheMergesOverlappingReads(t *testing.T) {
	cache := NewRecordCache()
	_, available, _ := cache.Since(5, anyBytes)
	require.False(t, available, "nothing has been read")
	now := clock.CurrentMoment()
	cache.Add(5, recordsFrom(5, 3), 10, now)
	cached, available, changed := cache.Since(5, anyBytes)
	require.True(t, available)
	require.Equal(t, CachedRecords{Records: recordsFrom(5, 3), End: 10}, cached, "the end of the partition was not reached")
	cache.Add(6, recordsFrom(6, 4), 10, now)
	select {
	case <-changed:
	default:
		t.Fatal("the change was not announced")
	}
	// A read that started earlier ends later.
	cache.Add(5, recordsFrom(5, 3), 8, now.Add(-time.Second))
	cached, available, _ = cache.Since(5, anyBytes)
	require.True(t, available)
	require.Equal(t, CachedRecords{Records: recordsFrom(5, 5), End: 10, CurrentAt: now}, cached)
	_, available, _ = cache.Since(4, anyBytes)
	require.False(t, available, "the records before the first read are not cached")
	cached, available, _ = cache.Since(12, anyBytes)
	require.True(t, available)
	require.Equal(t, CachedRecords{End: 12, CurrentAt: now}, cached, "offsets do not move backwards for a node that is ahead")
}

func TestRecordCacheStartsAgainAfterAGap(t *testing.T) {
	cache := NewRecordCache()
	now := clock.CurrentMoment()
	cache.Add(0, recordsFrom(0, 3), 3, now)
	cache.Add(8, nil, 8, now.Add(time.Second))
	_, available, _ := cache.Since(3, anyBytes)
	require.False(t, available)
	cache.Add(8, recordsFrom(8, 2), 10, now.Add(2*time.Second))
	cached, available, _ := cache.Since(8, anyBytes)
	require.True(t, available)
	require.Equal(t, CachedRecords{Records: recordsFrom(8, 2), End: 10, CurrentAt: now.Add(2 * time.Second)}, cached)
	cache.Clear()
	require.False(t, cache.Started())
	_, available, _ = cache.Since(8, anyBytes)
	require.False(t, available)
}

func TestRecordCacheLimitsItsSizeAndEachBatch(t *testing.T) {
	const recordBytes, count = 1 << 20, 12
	cache := NewRecordCache()
	for offset := range uint64(count) {
		cache.Add(offset, [][]byte{make([]byte, recordBytes)}, offset+1, clock.CurrentMoment())
	}
	const kept = maxCachedRecordBytes / recordBytes
	_, available, _ := cache.Since(count-kept-1, anyBytes)
	require.False(t, available, "the oldest records were dropped")
	cached, available, _ := cache.Since(count-kept, 3*recordBytes)
	require.True(t, available)
	require.Len(t, cached.Records, 3)
	require.True(t, cached.More)
	cached, _, _ = cache.Since(count-1, 1)
	require.Len(t, cached.Records, 1, "a batch has at least one record, however large")
	require.False(t, cached.More)
	for _, record := range cached.Records {
		require.Len(t, record, recordBytes)
	}
}

// In any order of overlapping reads, the cache returns the records of the partition.
func TestRecordCacheReturnsWhatThePartitionHolds(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		cache := NewRecordCache()
		now := clock.CurrentMoment()
		for range 50 {
			from := random.Uint64N(40)
			cache.Add(from, recordsFrom(from, random.IntN(8)), 48, now)
			asked := random.Uint64N(50)
			cached, available, _ := cache.Since(asked, random.IntN(20))
			if !available {
				continue
			}
			require.GreaterOrEqual(t, cached.End, asked+uint64(len(cached.Records)))
			require.Equal(t, recordsFrom(asked, len(cached.Records)), cached.Records, "seed %d", seed)
		}
	}
}
