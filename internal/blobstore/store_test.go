package blobstore

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/sharedlog"
)

// blobLog is a log in memory whose partitions may be down.
type blobLog struct {
	sharedlog.Log

	mutex      sync.Mutex
	partitions map[int][][]byte
	down       map[int]bool
	// lostAnswers is the number of appends that succeed, but whose answers are lost.
	lostAnswers int
	reads       int
}

func newBlobLog() *blobLog {
	return &blobLog{partitions: make(map[int][][]byte), down: make(map[int]bool)}
}

func (l *blobLog) Append(_ context.Context, partition sharedlog.Partition, records [][]byte) (uint64, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.down[partition.Number] {
		return 0, result.New(result.LogUnavailable, "down")
	}
	offset := len(l.partitions[partition.Number])
	l.partitions[partition.Number] = append(l.partitions[partition.Number], records...)
	if l.lostAnswers > 0 {
		l.lostAnswers--
		return 0, result.New(result.LogUnknown, "answer lost")
	}
	return uint64(offset), nil
}

func (l *blobLog) ReadAvailable(_ context.Context, partition sharedlog.Partition, from uint64, maxBytes int) (sharedlog.Batch, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.reads++
	records := l.partitions[partition.Number]
	if l.down[partition.Number] {
		return sharedlog.Batch{}, result.New(result.LogUnavailable, "down")
	}
	batch := sharedlog.Batch{EndOffset: uint64(len(records))}
	size := 0
	for _, record := range records[min(int(from), len(records)):] {
		if size += len(record); size > maxBytes && len(batch.Records) > 0 {
			break
		}
		batch.Records = append(batch.Records, record)
	}
	return batch, nil
}

const testPartitions = 4

func newTestStore(log sharedlog.Log) *Store {
	limits := Limits{MaxRecordBytes: 128, MaxCallBytes: 1024, Partitions: testPartitions}
	return New(sharedlog.NewMeteredLog(log, nil), limits, func(error, time.Duration) {})
}

func payloadsOf(sizes ...int) [][]byte {
	payloads := make([][]byte, len(sizes))
	for i, size := range sizes {
		payloads[i] = bytes.Repeat([]byte{byte('a' + i%26)}, size)
	}
	return payloads
}

func TestBlobsAreReadAsStored(t *testing.T) {
	log := newBlobLog()
	store := newTestStore(log)
	expected := payloadsOf(10, 0, 112, 113, 500, 800, 1)
	stored, err := store.Put(t.Context(), Texts, time.Second, expected)
	require.NoError(t, err)
	require.Len(t, stored, len(expected))
	payloads, err := store.Get(t.Context(), stored)
	require.NoError(t, err)
	for i := range expected {
		require.Equal(t, string(expected[i]), string(payloads[i]), i)
	}
	reversed := []*pathbendv1.Blob{stored[6], stored[3], stored[0]}
	payloads, err = store.Get(t.Context(), reversed)
	require.NoError(t, err)
	require.Equal(t, string(expected[3]), string(payloads[1]))
}

func TestAdjacentBlobsAreReadInOneCall(t *testing.T) {
	log := newBlobLog()
	store := newTestStore(log)
	stored, err := store.Put(t.Context(), Texts, time.Second, payloadsOf(10, 20, 30))
	require.NoError(t, err)
	_, err = store.Get(t.Context(), stored)
	require.NoError(t, err)
	require.Equal(t, 1, log.reads)
}

func TestAppendsAvoidAPartitionThatIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newBlobLog()
		store := newTestStore(log)
		first, err := store.Put(t.Context(), Texts, time.Second, payloadsOf(10))
		require.NoError(t, err)
		log.down[int(first[0].Partition)] = true
		second, err := store.Put(t.Context(), Texts, time.Second, payloadsOf(10))
		require.NoError(t, err)
		require.NotEqual(t, first[0].Partition, second[0].Partition)
		_, err = store.Get(t.Context(), first)
		require.True(t, result.Is(err, result.LogUnavailable), "the blob may exist, so that the error is not permanent")
		require.Positive(t, result.From(err).RetryAfter)
		for partition := range testPartitions {
			log.down[partition] = true
		}
		_, err = store.Put(t.Context(), Texts, time.Second, payloadsOf(10))
		require.Error(t, err)
	})
}

func TestAppendWithLostAnswerIsRetriedAndReturnedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newBlobLog()
		log.lostAnswers = 1
		store := newTestStore(log)
		stored, err := store.Put(t.Context(), Texts, time.Second, payloadsOf(10))
		require.NoError(t, err)
		payloads, err := store.Get(t.Context(), stored)
		require.NoError(t, err)
		require.Equal(t, payloadsOf(10), payloads)
	})
}

func TestPayloadLargerThanAnAppendIsRejected(t *testing.T) {
	store := newTestStore(newBlobLog())
	require.True(t, store.Fits(make([]byte, 800)))
	require.False(t, store.Fits(make([]byte, 1024)))
	_, err := store.Put(t.Context(), Texts, time.Second, payloadsOf(1024))
	require.True(t, result.Is(err, result.BodyTooLarge))
}

func TestMissingBlobIsReportedAsUnavailable(t *testing.T) {
	store := newTestStore(newBlobLog())
	_, err := store.Get(t.Context(), []*pathbendv1.Blob{{Records: 1, Bytes: 3}})
	require.True(t, result.Is(err, result.LogUnavailable))
}

func TestItemsOfAJobAreSplitAcrossBlobs(t *testing.T) {
	store := newTestStore(newBlobLog())
	spec := &pathbendv1.BatchJob{}
	var items []*pathbendv1.BatchItem
	for i := range 20 {
		items = append(items, &pathbendv1.BatchItem{Id: fmt.Sprint(i), Body: make([]byte, 100)})
	}
	stored, err := store.PutItems(t.Context(), time.Second, items)
	require.NoError(t, err)
	require.Greater(t, len(stored), 1)
	spec.Items, spec.ItemIds = stored, itemIDs(items)
	retrieved, err := store.GetItems(t.Context(), spec)
	require.NoError(t, err)
	require.Equal(t, spec.ItemIds, itemIDs(retrieved))
}

func itemIDs(items []*pathbendv1.BatchItem) []string {
	ids := make([]string, 0, len(items))
	for _, item := range items {
		ids = append(ids, item.Id)
	}
	return ids
}

// distantLog is a log whose reads take a round trip.
type distantLog struct {
	*blobLog

	roundTrip time.Duration
}

func (l *distantLog) ReadAvailable(ctx context.Context, partition sharedlog.Partition, from uint64, maxBytes int) (sharedlog.Batch, error) {
	select {
	case <-time.After(l.roundTrip):
		return l.blobLog.ReadAvailable(ctx, partition, from, maxBytes)
	case <-ctx.Done():
		return sharedlog.Batch{}, result.New(result.LogUnavailable, "timed out")
	}
}

// scattered stores blobs and returns some of them, no two of which are adjacent.
func scattered(t *testing.T, store *Store, count int) []*pathbendv1.Blob {
	t.Helper()
	stored, err := store.Put(t.Context(), Texts, time.Second, payloadsOf(make([]int, 2*count)...))
	require.NoError(t, err)
	var blobs []*pathbendv1.Blob
	for i := range count {
		blobs = append(blobs, stored[2*i])
	}
	return blobs
}

// Reads of scattered blobs must run concurrently. With regions 45 ms apart, sequential reads of
// the texts of a finished job (290 reads in one case) took longer than callers in another region
// than that of the log waited, which counted as 16 lost results.
func TestScatteredBlobsOfADistantLogAreReadConcurrently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTestStore(&distantLog{blobLog: newBlobLog(), roundTrip: 94 * time.Millisecond})
		blobs := scattered(t, store, 32)
		began := time.Now()
		payloads, err := store.Get(t.Context(), blobs)
		require.NoError(t, err)
		require.Len(t, payloads, 32)
		require.LessOrEqual(t, time.Since(began), 4*94*time.Millisecond)
	})
}

// The blobs that were read before the deadline are returned with the error.
func TestFirstBlobsAreReturnedAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTestStore(&distantLog{blobLog: newBlobLog(), roundTrip: 244 * time.Millisecond})
		blobs := scattered(t, store, 64)
		ctx, cancel := context.WithTimeout(t.Context(), 800*time.Millisecond)
		defer cancel()
		payloads, err := store.GetUntilError(ctx, blobs)
		require.Error(t, err)
		require.Len(t, payloads, 3*maxConcurrentReads)
		synctest.Wait()
	})
}

func TestBlobsAfterAMissingOneAreNotReturned(t *testing.T) {
	store := newTestStore(newBlobLog())
	blobs := scattered(t, store, 8)
	blobs[3] = &pathbendv1.Blob{Partition: 3, Records: 1, Bytes: 1}
	payloads, err := store.GetUntilError(t.Context(), blobs)
	require.True(t, result.Is(err, result.LogUnavailable))
	require.Len(t, payloads, 3)
	_, err = store.Get(t.Context(), blobs)
	require.True(t, result.Is(err, result.LogUnavailable))
}

// readSizeLog records the largest maxBytes of a read.
type readSizeLog struct {
	*blobLog

	sizeMutex sync.Mutex
	maxBytes  int
}

func (l *readSizeLog) ReadAvailable(ctx context.Context, partition sharedlog.Partition, from uint64, maxBytes int) (sharedlog.Batch, error) {
	l.sizeMutex.Lock()
	l.maxBytes = max(l.maxBytes, maxBytes)
	l.sizeMutex.Unlock()
	return l.blobLog.ReadAvailable(ctx, partition, from, maxBytes)
}

// A read must fit the first round trip of a new connection. Reads of about 50 KB from a log
// 120 ms away took several round trips, which exceeded the timeout of a page, so that no page
// made progress in the distant region, which counted as 7 lost results.
func TestAdjacentBlobsAreReadWithinOneRoundTripEach(t *testing.T) {
	log := &readSizeLog{blobLog: newBlobLog()}
	store := newTestStore(log)
	sizes := make([]int, 60)
	for i := range sizes {
		sizes[i] = 800
	}
	stored, err := store.Put(t.Context(), Texts, time.Second, payloadsOf(sizes...))
	require.NoError(t, err)
	payloads, err := store.Get(t.Context(), stored)
	require.NoError(t, err)
	require.Equal(t, payloadsOf(sizes...), payloads)
	require.LessOrEqual(t, log.maxBytes, 14<<10)
	require.LessOrEqual(t, log.reads, 6, "reads must not be smaller than needed")
}

// A failed read must not prevent reads of earlier blobs that have not started. When it did, 6 of
// 900 runs returned fewer blobs than those before the first missing one.
func TestEarlierBlobsAreReadWhenALaterReadFailsFirst(t *testing.T) {
	for range 3000 {
		store := newTestStore(newBlobLog())
		blobs := scattered(t, store, 8)
		blobs[3] = &pathbendv1.Blob{Partition: 3, Records: 1, Bytes: 1}
		payloads, err := store.GetUntilError(t.Context(), blobs)
		require.True(t, result.Is(err, result.LogUnavailable))
		require.Len(t, payloads, 3)
	}
}

func TestReadThatRanOutOfTimeIsMarkedAndAnsweredWithALongerTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTestStore(&distantLog{blobLog: newBlobLog(), roundTrip: 2 * time.Second})
		stored, err := store.Put(t.Context(), Items, time.Second, payloadsOf(10))
		require.NoError(t, err)
		_, err = store.Get(t.Context(), stored)
		require.True(t, errors.Is(err, ErrReadTimeout), err)
		require.True(t, result.Is(err, result.LogUnavailable))
		_, err = store.Get(t.Context(), stored, WithReadTimeout(2500*time.Millisecond))
		require.NoError(t, err)
	})
}

func TestReadWhoseCallerLeftHasNotRunOutOfTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTestStore(&distantLog{blobLog: newBlobLog(), roundTrip: 2 * time.Second})
		stored, err := store.Put(t.Context(), Items, time.Second, payloadsOf(10))
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), ReadTimeout/2)
		defer cancel()
		_, err = store.Get(ctx, stored)
		require.Error(t, err)
		require.False(t, errors.Is(err, ErrReadTimeout), err)
	})
}
