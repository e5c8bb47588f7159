package content

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/sharedlog"
)

// blobLog keeps records by partition. Partitions may be down.
type blobLog struct {
	sharedlog.Log

	mutex      sync.Mutex
	partitions map[int][][]byte
	down       map[int]bool
	// lost loses the answers of so many appends that are done.
	lost  int
	reads int
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
	if l.lost > 0 {
		l.lost--
		return 0, result.New(result.LogUnknown, "lost")
	}
	return uint64(offset), nil
}

func (l *blobLog) ReadPart(_ context.Context, partition sharedlog.Partition, from uint64, maxBytes int) (sharedlog.Batch, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.reads++
	kept := l.partitions[partition.Number]
	if l.down[partition.Number] {
		return sharedlog.Batch{}, result.New(result.LogUnavailable, "down")
	}
	batch := sharedlog.Batch{End: uint64(len(kept))}
	size := 0
	for _, record := range kept[min(int(from), len(kept)):] {
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
	return New(sharedlog.Measure(log, nil), limits, func(error, time.Duration) {})
}

func contentsOf(sizes ...int) [][]byte {
	contents := make([][]byte, len(sizes))
	for i, size := range sizes {
		contents[i] = bytes.Repeat([]byte{byte('a' + i%26)}, size)
	}
	return contents
}

func TestBlobsComeBackAsTheyWere(t *testing.T) {
	log := newBlobLog()
	b := newTestStore(log)
	contents := contentsOf(10, 0, 112, 113, 500, 800, 1)
	named, err := b.Put(t.Context(), Texts, time.Second, contents)
	require.NoError(t, err)
	require.Len(t, named, len(contents))
	got, err := b.Get(t.Context(), named)
	require.NoError(t, err)
	for i := range contents {
		require.Equal(t, string(contents[i]), string(got[i]), i)
	}
	reversed := []*pathbendv1.Blob{named[6], named[3], named[0]}
	got, err = b.Get(t.Context(), reversed)
	require.NoError(t, err)
	require.Equal(t, string(contents[3]), string(got[1]))
}

func TestNeighbouringBlobsAreReadTogether(t *testing.T) {
	log := newBlobLog()
	b := newTestStore(log)
	named, err := b.Put(t.Context(), Texts, time.Second, contentsOf(10, 20, 30))
	require.NoError(t, err)
	_, err = b.Get(t.Context(), named)
	require.NoError(t, err)
	require.Equal(t, 1, log.reads)
}

func TestBlobsGoElsewhereWhileAPartitionIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newBlobLog()
		b := newTestStore(log)
		first, err := b.Put(t.Context(), Texts, time.Second, contentsOf(10))
		require.NoError(t, err)
		log.down[int(first[0].Partition)] = true
		second, err := b.Put(t.Context(), Texts, time.Second, contentsOf(10))
		require.NoError(t, err)
		require.NotEqual(t, first[0].Partition, second[0].Partition)
		_, err = b.Get(t.Context(), first)
		require.True(t, result.Is(err, result.LogUnavailable), "not sure, not denied")
		require.Positive(t, result.From(err).RetryAfter)
		for partition := range testPartitions {
			log.down[partition] = true
		}
		_, err = b.Put(t.Context(), Texts, time.Second, contentsOf(10))
		require.Error(t, err)
	})
}

func TestLostAnswerIsRepeatedAndTheBlobNamedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newBlobLog()
		log.lost = 1
		b := newTestStore(log)
		named, err := b.Put(t.Context(), Texts, time.Second, contentsOf(10))
		require.NoError(t, err)
		got, err := b.Get(t.Context(), named)
		require.NoError(t, err)
		require.Equal(t, contentsOf(10), got)
	})
}

func TestContentLargerThanAnAppendIsRefused(t *testing.T) {
	b := newTestStore(newBlobLog())
	require.True(t, b.Fits(make([]byte, 800)))
	require.False(t, b.Fits(make([]byte, 1024)))
	_, err := b.Put(t.Context(), Texts, time.Second, contentsOf(1024))
	require.True(t, result.Is(err, result.BodyTooLarge))
}

func TestBlobThatIsNotThereIsNotDenied(t *testing.T) {
	b := newTestStore(newBlobLog())
	_, err := b.Get(t.Context(), []*pathbendv1.Blob{{Records: 1, Bytes: 3}})
	require.True(t, result.Is(err, result.LogUnavailable))
}

func TestItemsOfAJobTravelInParts(t *testing.T) {
	b := newTestStore(newBlobLog())
	spec := &pathbendv1.BatchJob{}
	var items []*pathbendv1.BatchItem
	for i := range 20 {
		items = append(items, &pathbendv1.BatchItem{Id: fmt.Sprint(i), Body: make([]byte, 100)})
	}
	named, err := b.PutItems(t.Context(), time.Second, items)
	require.NoError(t, err)
	require.Greater(t, len(named), 1)
	spec.Items, spec.ItemIds = named, idsOf(items)
	got, err := b.GetItems(t.Context(), spec)
	require.NoError(t, err)
	require.Equal(t, spec.ItemIds, idsOf(got))
}

func idsOf(items []*pathbendv1.BatchItem) []string {
	ids := make([]string, 0, len(items))
	for _, item := range items {
		ids = append(ids, item.Id)
	}
	return ids
}

// farLog is a log so far away that each read takes a while.
type farLog struct {
	*blobLog

	roundTrip time.Duration
}

func (l *farLog) ReadPart(ctx context.Context, partition sharedlog.Partition, from uint64, maxBytes int) (sharedlog.Batch, error) {
	select {
	case <-time.After(l.roundTrip):
		return l.blobLog.ReadPart(ctx, partition, from, maxBytes)
	case <-ctx.Done():
		return sharedlog.Batch{}, result.New(result.LogUnavailable, "given up")
	}
}

// scattered returns blobs of which no two lie near each other.
func scattered(t *testing.T, store *Store, count int) []*pathbendv1.Blob {
	t.Helper()
	named, err := store.Put(t.Context(), Texts, time.Second, contentsOf(make([]int, 2*count)...))
	require.NoError(t, err)
	var apart []*pathbendv1.Blob
	for i := range count {
		apart = append(apart, named[2*i])
	}
	return apart
}

// Regions lay 45 ms apart. The texts of a finished job were read one after the other, and
// whoever listed it from another region than the store's left before the last (quiet-1,
// 290 reads, LOST 16).
func TestScatteredBlobsOfAFarLogAreReadTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTestStore(&farLog{blobLog: newBlobLog(), roundTrip: 94 * time.Millisecond})
		apart := scattered(t, store, 32)
		began := time.Now()
		got, err := store.Get(t.Context(), apart)
		require.NoError(t, err)
		require.Len(t, got, 32)
		require.LessOrEqual(t, time.Since(began), 4*94*time.Millisecond)
	})
}

// What was read before the time was over is of use.
func TestFirstBlobsAreReturnedWhenTheTimeIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTestStore(&farLog{blobLog: newBlobLog(), roundTrip: 244 * time.Millisecond})
		apart := scattered(t, store, 64)
		ctx, cancel := context.WithTimeout(t.Context(), 800*time.Millisecond)
		defer cancel()
		got, err := store.GetFirst(ctx, apart)
		require.Error(t, err)
		require.Len(t, got, 3*readsTogether)
		synctest.Wait()
	})
}

func TestBlobsAfterOneThatIsMissingAreNotReturned(t *testing.T) {
	store := newTestStore(newBlobLog())
	apart := scattered(t, store, 8)
	apart[3] = &pathbendv1.Blob{Partition: 3, Records: 1, Bytes: 1}
	got, err := store.GetFirst(t.Context(), apart)
	require.True(t, result.Is(err, result.LogUnavailable))
	require.Len(t, got, 3)
	_, err = store.Get(t.Context(), apart)
	require.True(t, result.Is(err, result.LogUnavailable))
}

// askedLog notes the largest read asked for.
type askedLog struct {
	*blobLog

	noted sync.Mutex
	most  int
}

func (l *askedLog) ReadPart(ctx context.Context, partition sharedlog.Partition, from uint64, maxBytes int) (sharedlog.Batch, error) {
	l.noted.Lock()
	l.most = max(l.most, maxBytes)
	l.noted.Unlock()
	return l.blobLog.ReadPart(ctx, partition, from, maxBytes)
}

// Reads of some 50 KB from 120 ms away took several round trips on a new connection and
// more than a page's time: no page of the far region made any progress (LOST 7).
func TestNeighboursAreReadInPiecesThatAConnectionCarriesAtOnce(t *testing.T) {
	log := &askedLog{blobLog: newBlobLog()}
	store := newTestStore(log)
	sizes := make([]int, 60)
	for i := range sizes {
		sizes[i] = 800
	}
	named, err := store.Put(t.Context(), Texts, time.Second, contentsOf(sizes...))
	require.NoError(t, err)
	got, err := store.Get(t.Context(), named)
	require.NoError(t, err)
	require.Equal(t, contentsOf(sizes...), got)
	require.LessOrEqual(t, log.most, 14<<10)
	require.LessOrEqual(t, log.reads, 6, "and no smaller ones")
}

// A read that failed kept reads before it, which had not begun, from being made: 6 of 900
// runs returned less than what lies before the first that is missing.
func TestEarlierBlobsAreReadThoughALaterOneFailsFirst(t *testing.T) {
	for range 3000 {
		store := newTestStore(newBlobLog())
		apart := scattered(t, store, 8)
		apart[3] = &pathbendv1.Blob{Partition: 3, Records: 1, Bytes: 1}
		got, err := store.GetFirst(t.Context(), apart)
		require.True(t, result.Is(err, result.LogUnavailable))
		require.Len(t, got, 3)
	}
}
