package sharedlog

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/result"
)

// pagedLog hands out one key a page. A page takes some time.
type pagedLog struct {
	Log

	keys  []KeyedRecord
	end   uint64
	takes time.Duration
	later []KeyedRecord

	asked  []string
	failed int
}

func (l *pagedLog) Newest(ctx context.Context, _ Partition, after string) (KeyedPage, error) {
	l.asked = append(l.asked, after)
	timer := time.NewTimer(l.takes)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		l.failed++
		return KeyedPage{}, result.New(result.LogUnavailable, "not in time")
	}
	for i, record := range l.keys {
		if after == "" || after == l.keys[max(i-1, 0)].Key && i > 0 {
			page := KeyedPage{More: i+1 < len(l.keys)}
			page.Records, page.End = []KeyedRecord{record}, l.end+uint64(i)
			return page, nil
		}
	}
	return KeyedPage{}, nil
}

func (l *pagedLog) ReadKeyed(_ context.Context, _ Partition, from uint64, wait time.Duration) (KeyedBatch, error) {
	var batch KeyedBatch
	for _, record := range l.later {
		if record.Offset >= from {
			batch.Records = append(batch.Records, record)
			batch.Next = record.Offset + 1
		}
	}
	if len(batch.Records) == 0 {
		time.Sleep(wait)
	}
	return batch, nil
}

func followPages(t *testing.T, log *pagedLog, lasts time.Duration) (reset, applied []KeyedRecord) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &KeyedFollower{
			Log: log, Observer: &silentObserver{}, Pause: shortPause,
			Reset: func(records []KeyedRecord, _ uint64) { reset = append(reset, records...) },
			Apply: func(records []KeyedRecord, _ uint64) { applied = append(applied, records...) },
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(lasts)
		cancel()
		<-done
	})
	return reset, applied
}

// 300 nodes that started at once read 2,400 entries of samplers, five pages each. No
// page was there within 1.3 s for all, and each failure began with the first page
// again: none ever had the list, nor the configuration that lay behind it in the queue.
func TestPagesStayWhenALaterOneFailsAndGetMoreTime(t *testing.T) {
	log := &pagedLog{keys: []KeyedRecord{{Key: "a", Offset: 1}, {Key: "b", Offset: 2}, {Key: "c", Offset: 3}}, end: 5, takes: 3 * time.Second}
	reset, _ := followPages(t, log, 20*time.Second)
	require.Equal(t, log.keys, reset)
	require.Equal(t, []string{"", "", "", "a", "b"}, log.asked, "two attempts too short, then each page once")
	require.Equal(t, 2, log.failed)
}

func TestPageIsNotWaitedForWithoutLimit(t *testing.T) {
	log := &pagedLog{keys: []KeyedRecord{{Key: "a"}}, takes: time.Hour}
	reset, _ := followPages(t, log, 2*time.Minute)
	require.Empty(t, reset)
	require.GreaterOrEqual(t, log.failed, int(2*time.Minute/(mostPageTimeout+retryPause))-1)
}

// The pages are no snapshot: what a later one tells may be newer than the end of the
// first, from which reading goes on.
func TestRecordsReadAheadAreNotReplacedByOlderOnes(t *testing.T) {
	log := &pagedLog{
		keys: []KeyedRecord{{Key: "a", Offset: 1}, {Key: "b", Value: []byte("draining"), Offset: 8}}, end: 5,
		later: []KeyedRecord{
			{Key: "b", Value: []byte("ready"), Offset: 6}, {Key: "a", Value: []byte("new"), Offset: 7},
			{Key: "b", Value: []byte("draining"), Offset: 8}, {Key: "b", Value: []byte("gone"), Offset: 9},
		},
	}
	_, applied := followPages(t, log, 5*time.Second)
	require.Equal(t, log.later[1:], applied)
}

// A node that started among 3,000 samplers knew none of them for 2.2 s.
func TestRecordsReadSoFarAreToldWhileTheFirstPagesCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &pagedLog{takes: 10 * time.Millisecond}
		for _, key := range []string{"a", "b", "c", "d", "e"} {
			log.keys = append(log.keys, KeyedRecord{Key: key})
		}
		ctx, cancel := context.WithCancel(t.Context())
		var told []int
		follower := &KeyedFollower{
			Log: log, Apply: func([]KeyedRecord, uint64) {},
			Early: func(records []KeyedRecord) { told = append(told, len(records)) },
			Reset: func([]KeyedRecord, uint64) { cancel() },
		}
		follower.Run(ctx)
		require.Equal(t, []int{1, 2, 4}, told, "each record is handled about twice in all")
	})
}
