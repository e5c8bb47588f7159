package platformsim

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/platform"
)

const limitedTopic = "limited"

// callStore makes one call to a store and returns the status of its answer.
func callStore(ctx context.Context, store *Store, method, path string, body []byte) int {
	request := httptest.NewRequestWithContext(ctx, method, path, bytes.NewReader(body))
	recorder := httptest.NewRecorder()
	store.ServeHTTP(recorder, request)
	return recorder.Code
}

func readStore(ctx context.Context, store *Store) int {
	return callStore(ctx, store, http.MethodGet, platform.PathRead+"?max_kb=64&topic="+limitedTopic, nil)
}

func appendStore(store *Store, partition int) int {
	body := append(binary.BigEndian.AppendUint32(nil, 1), 'x')
	path := fmt.Sprintf("%s?topic=%s&part=%d", platform.PathAppend, limitedTopic, partition)
	return callStore(context.Background(), store, http.MethodPost, path, body)
}

// concurrently makes count calls at once and returns how many had each status.
func concurrently(count int, call func(number int) int) map[int]int {
	statuses := make([]int, count)
	var calls conc.WaitGroup
	for number := range count {
		calls.Go(func() { statuses[number] = call(number) })
	}
	calls.Wait()
	counts := make(map[int]int)
	for _, status := range statuses {
		counts[status]++
	}
	return counts
}

func TestStoreRefusesReadsAboveItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore(1)
		store.SetLimits(StoreLimits{ReadsPerSecond: 10})
		began := time.Now()
		read := func(int) int { return readStore(t.Context(), store) }
		require.Equal(t, map[int]int{http.StatusOK: 10, http.StatusTooManyRequests: 5}, concurrently(15, read))
		require.Equal(t, storeLatency, time.Since(began))
		require.Equal(t, http.StatusOK, appendStore(store, 0), "appends are not reads")
		time.Sleep(time.Until(began.Add(time.Second)))
		require.Equal(t, http.StatusOK, read(0), "the next second has reads of its own")
		load := store.LoadBetween(began, began.Add(time.Second))
		require.Equal(t, 10, load[StoreCall{"read", limitedTopic, CallAnswered}].Calls)
		require.Equal(t, 5, load[StoreCall{"read", limitedTopic, CallRefused}].Calls)
		require.Equal(t, 1, load[StoreCall{"append", limitedTopic, CallAnswered}].Calls)
	})
}

// readDurations makes a read every millisecond and returns how long each took.
func readDurations(store *Store, ctxs ...context.Context) []time.Duration {
	took := make([]time.Duration, len(ctxs))
	var reads conc.WaitGroup
	for number, ctx := range ctxs {
		reads.Go(func() {
			began := time.Now()
			readStore(ctx, store)
			took[number] = time.Since(began).Truncate(time.Millisecond)
		})
		time.Sleep(time.Millisecond)
	}
	reads.Wait()
	return took
}

func TestStoreSendsAnswersOneAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const recordBytes, bytesPerSecond = 10_000, 100_000
		store := NewStore(1)
		store.PutRaw(limitedTopic, make([]byte, recordBytes))
		store.SetLimits(StoreLimits{ReadBytesPerSecond: bytesPerSecond})
		began := time.Now()
		background := t.Context()
		took := readDurations(store, background, background, background)
		require.Equal(t, []time.Duration{104 * time.Millisecond, 203 * time.Millisecond, 302 * time.Millisecond}, took)
		load := store.LoadBetween(began, time.Now().Add(time.Second))
		require.Equal(t, StoreLoad{Calls: 3, ReadBytes: 3 * (recordBytes + 20)}, load[StoreCall{"read", limitedTopic, CallAnswered}])
	})
}

func TestAnswerOfAGoneCallerCostsItsBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const recordBytes, bytesPerSecond = 10_000, 100_000
		store := NewStore(1)
		store.PutRaw(limitedTopic, make([]byte, recordBytes))
		store.SetLimits(StoreLimits{ReadBytesPerSecond: bytesPerSecond})
		began := time.Now()
		impatient, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		took := readDurations(store, impatient, t.Context())
		require.Equal(t, []time.Duration{20 * time.Millisecond, 203 * time.Millisecond}, took)
		load := store.LoadBetween(began, time.Now().Add(time.Second))
		require.Equal(t, StoreLoad{Calls: 1, ReadBytes: recordBytes + 20}, load[StoreCall{"read", limitedTopic, CallAbandoned}])
	})
}

func TestPartitionExecutesAppendsOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore(1)
		store.SetLimits(StoreLimits{SerialAppends: true})
		began := time.Now()
		require.Equal(t, map[int]int{http.StatusOK: 10}, concurrently(10, func(int) int { return appendStore(store, 0) }))
		require.Equal(t, storeLatency+10*appendDuration, time.Since(began))
		began = time.Now()
		require.Equal(t, map[int]int{http.StatusOK: 4}, concurrently(4, func(number int) int { return appendStore(store, number) }))
		require.Equal(t, storeLatency+appendDuration, time.Since(began), "partitions do not wait for each other")
	})
}

func TestPartitionRefusesAppendsBehindALongQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore(1)
		store.SetLimits(StoreLimits{SerialAppends: true})
		const admitted = int(maxAppendWait/appendDuration) + 1
		statuses := concurrently(admitted+20, func(int) int { return appendStore(store, 0) })
		require.Equal(t, map[int]int{http.StatusOK: admitted, http.StatusServiceUnavailable: 20}, statuses)
		require.Equal(t, http.StatusOK, appendStore(store, 0), "the queue is empty again")
	})
}

func TestStoreWithoutLimitsServesAllCallsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore(1)
		store.PutRaw(limitedTopic, make([]byte, maxReadBytes))
		began := time.Now()
		require.Equal(t, map[int]int{http.StatusOK: 1000}, concurrently(1000, func(int) int { return readStore(t.Context(), store) }))
		require.Equal(t, map[int]int{http.StatusOK: 1000}, concurrently(1000, func(int) int { return appendStore(store, 0) }))
		require.Equal(t, 2*storeLatency, time.Since(began))
	})
}
