package sharedlog

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/result"
)

// pagedLog returns pages of one key each, after a latency.
type pagedLog struct {
	Log

	keys    []KeyedRecord
	end     uint64
	latency time.Duration
	later   []KeyedRecord
	// truncations is the number of reads after the newest records that fail because the
	// records are no longer retained.
	truncations int
	// stale is the number of reads of the newest records, after the first one, whose answers end
	// before that of the first.
	stale int

	requested []string
	failed    int
}

func (l *pagedLog) ReadNewest(ctx context.Context, _ Partition, after string) (KeyedPage, error) {
	l.requested = append(l.requested, after)
	timer := time.NewTimer(l.latency)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		l.failed++
		return KeyedPage{}, result.New(result.LogUnavailable, "page timed out")
	}
	for i, record := range l.keys {
		if after == "" || after == l.keys[max(i-1, 0)].Key && i > 0 {
			page := KeyedPage{More: i+1 < len(l.keys)}
			page.Records, page.EndOffset = []KeyedRecord{record}, l.end+uint64(i)
			if len(l.requested) > 1 && l.stale > 0 {
				l.stale--
				page.EndOffset--
			}
			return page, nil
		}
	}
	return KeyedPage{}, nil
}

func (l *pagedLog) ReadKeyed(_ context.Context, _ Partition, from uint64, wait time.Duration) (KeyedBatch, error) {
	if l.truncations > 0 {
		l.truncations--
		return KeyedBatch{}, result.New(result.LogTruncated, "no longer retained")
	}
	var batch KeyedBatch
	for _, record := range l.later {
		if record.Offset >= from {
			batch.Records = append(batch.Records, record)
			batch.NextOffset = record.Offset + 1
		}
	}
	if len(batch.Records) == 0 {
		time.Sleep(wait)
	}
	return batch, nil
}

func runKeyedFollower(t *testing.T, log *pagedLog, duration time.Duration) (reset, applied []KeyedRecord) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &KeyedFollower{
			Log: log, Observer: &countingObserver{}, Pause: oneMillisecond,
			Reset: func(records []KeyedRecord, _ uint64) { reset = append(reset, records...) },
			Apply: func(records []KeyedRecord, _ uint64) { applied = append(applied, records...) },
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(duration)
		cancel()
		<-done
	})
	return reset, applied
}

// Guards against restarting the initial read after each failed page. When 300 nodes that
// started at once read 2,400 sampler entries in five pages each, the log could not serve a page
// to all of them within the timeout of 1.3 s, and each failure restarted the read at the first
// page. No node ever received the entire list, or the configuration that was queued behind it.
func TestPagesAreRetainedAndTheTimeoutGrowsWhenALaterPageFails(t *testing.T) {
	log := &pagedLog{keys: []KeyedRecord{{Key: "a", Offset: 1}, {Key: "b", Offset: 2}, {Key: "c", Offset: 3}}, end: 5, latency: 3 * time.Second}
	reset, _ := runKeyedFollower(t, log, 20*time.Second)
	require.Equal(t, log.keys, reset)
	require.Equal(t, []string{"", "", "", "a", "b"}, log.requested, "two attempts time out, then each page is read once")
	require.Equal(t, 2, log.failed)
}

func TestPageTimeoutIsLimited(t *testing.T) {
	log := &pagedLog{keys: []KeyedRecord{{Key: "a"}}, latency: time.Hour}
	reset, _ := runKeyedFollower(t, log, 2*time.Minute)
	require.Empty(t, reset)
	require.GreaterOrEqual(t, log.failed, int(2*time.Minute/(maxPageTimeout+retryInterval))-1)
}

// The pages are not a consistent snapshot: a later page may have records after the end of the
// first page, from which the follower continues.
func TestRecordsReadAheadAreNotReplacedByOlderOnes(t *testing.T) {
	log := &pagedLog{
		keys: []KeyedRecord{{Key: "a", Offset: 1}, {Key: "b", Value: []byte("draining"), Offset: 8}}, end: 5,
		later: []KeyedRecord{
			{Key: "b", Value: []byte("ready"), Offset: 6}, {Key: "a", Value: []byte("new"), Offset: 7},
			{Key: "b", Value: []byte("draining"), Offset: 8}, {Key: "b", Value: []byte("gone"), Offset: 9},
		},
	}
	_, applied := runKeyedFollower(t, log, 5*time.Second)
	require.Equal(t, log.later[1:], applied)
}

// Guards against delivering records only after the last page: a node that started among 3,000
// samplers knew none of them for 2.2 s.
func TestRecordsReadSoFarAreReportedDuringTheInitialRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &pagedLog{latency: 10 * time.Millisecond}
		for _, key := range []string{"a", "b", "c", "d", "e"} {
			log.keys = append(log.keys, KeyedRecord{Key: key})
		}
		ctx, cancel := context.WithCancel(t.Context())
		var counts []int
		follower := &KeyedFollower{
			Log: log, Apply: func([]KeyedRecord, uint64) {},
			OnPartial: func(records []KeyedRecord) { counts = append(counts, len(records)) },
			Reset:     func([]KeyedRecord, uint64) { cancel() },
		}
		follower.Run(ctx)
		require.Equal(t, []int{1, 2, 4}, counts, "each record is passed about twice in total")
	})
}

// One truncation is answered at once; if truncations follow each other, the newest records are
// read after growing pauses.
func TestRepeatedTruncationsAreAnsweredAfterGrowingPauses(t *testing.T) {
	log := &pagedLog{keys: []KeyedRecord{{Key: "a"}}, end: 5, truncations: 1}
	runKeyedFollower(t, log, 10*time.Millisecond)
	require.Len(t, log.requested, 2)
	log = &pagedLog{keys: []KeyedRecord{{Key: "a"}}, end: 5, truncations: 1 << 30}
	runKeyedFollower(t, log, time.Minute)
	require.GreaterOrEqual(t, len(log.requested), 10)
	require.LessOrEqual(t, len(log.requested), 20)
}

// Newest records that are older than what was applied come from a reader that lags. They are read
// again soon at first, then after growing pauses.
func TestRepeatedStaleNewestRecordsAreReadAgainAfterGrowingPauses(t *testing.T) {
	log := &pagedLog{keys: []KeyedRecord{{Key: "a"}}, end: 5, truncations: 1, stale: 3}
	reset, _ := runKeyedFollower(t, log, time.Second)
	require.Len(t, log.requested, 5)
	require.Len(t, reset, 2)
	log = &pagedLog{keys: []KeyedRecord{{Key: "a"}}, end: 5, truncations: 1, stale: 1 << 30}
	reset, _ = runKeyedFollower(t, log, time.Minute)
	t.Log("read", len(log.requested), "times")
	require.GreaterOrEqual(t, len(log.requested), 10)
	require.LessOrEqual(t, len(log.requested), 20)
	require.Len(t, reset, 1)
}
