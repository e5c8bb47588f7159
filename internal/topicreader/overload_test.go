package topicreader

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/fanout"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/sharedlog"
	"github.com/pathbend/pathbend/internal/wait"
)

// refuseBeyond is the queue from which on busyLog refuses reads.
const refuseBeyond = 2 * time.Second

// busyLog is a log with one keyed topic that serves a limited number of bytes a second to all
// its readers together, in order of arrival. A read whose caller has gone still costs its bytes.
type busyLog struct {
	sharedlog.Log
	bytesPerSecond float64
	// readsPerSecond limits the reads as the readers know it. It may be 0, which means unknown.
	readsPerSecond float64
	// skipReaderWait is that of the topic's feeds.
	skipReaderWait bool
	// pageRecords is the number of records in a page of the newest ones, batchRecords the
	// maximum in an answer to a read from an offset on, or 0 for any number.
	pageRecords, batchRecords int

	mutex   sync.Mutex
	records []sharedlog.KeyedRecord
	freeAt  time.Time
	logLoad
}

// logLoad is what a busyLog was asked for.
type logLoad struct {
	maxQueue time.Duration
	// reads counts all reads, pages those of the newest records.
	reads, pages, refused, abandoned int
}

// load returns what the log was asked for so far.
func (l *busyLog) load() logLoad {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.logLoad
}

func (l *busyLog) put(size int) sharedlog.KeyedRecord {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	offset := uint64(len(l.records))
	l.records = append(l.records, sharedlog.KeyedRecord{Key: fmt.Sprintf("%06d", offset), Value: make([]byte, size), Offset: offset})
	return l.records[offset]
}

// serve queues an answer of the given records and waits until it is sent.
func (l *busyLog) serve(ctx context.Context, records []sharedlog.KeyedRecord) error {
	size := 100
	for _, record := range records {
		size += len(record.Value)
	}
	l.mutex.Lock()
	now := time.Now()
	l.reads++
	if l.freeAt.Sub(now) > refuseBeyond {
		l.refused++
		l.mutex.Unlock()
		return result.New(result.LogUnavailable, "try later")
	}
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(size) / l.bytesPerSecond * float64(time.Second)))
	l.maxQueue = max(l.maxQueue, l.freeAt.Sub(now))
	sentAt := l.freeAt
	l.mutex.Unlock()
	if !wait.Until(ctx, sentAt) {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.abandoned++
		return result.New(result.LogUnavailable, "the caller has gone")
	}
	return nil
}

func (l *busyLog) snapshot() []sharedlog.KeyedRecord {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.records[:len(l.records):len(l.records)]
}

func (l *busyLog) ReadNewest(ctx context.Context, _ sharedlog.Partition, after string) (sharedlog.KeyedPage, error) {
	l.mutex.Lock()
	l.pages++
	l.mutex.Unlock()
	records := l.snapshot()
	first := 0
	for first < len(records) && records[first].Key <= after {
		first++
	}
	end := min(first+l.pageRecords, len(records))
	page := sharedlog.KeyedPage{More: end < len(records)}
	page.Records, page.EndOffset, page.NextOffset = records[first:end], uint64(len(records)), uint64(len(records))
	return page, l.serve(ctx, page.Records)
}

func (l *busyLog) ReadKeyed(ctx context.Context, _ sharedlog.Partition, from uint64, hold time.Duration) (sharedlog.KeyedBatch, error) {
	if from >= uint64(len(l.snapshot())) {
		wait.For(ctx, hold)
	}
	records := l.snapshot()
	end := uint64(len(records))
	next := end
	if l.batchRecords > 0 {
		next = min(from+uint64(l.batchRecords), end)
	}
	batch := sharedlog.KeyedBatch{EndOffset: end, NextOffset: next, Records: records[min(from, next):next]}
	if len(batch.Records) == 0 {
		batch.Waited = hold
	}
	return batch, l.serve(ctx, batch.Records)
}

// asker is a node that reads through readers.
type asker struct {
	follower *sharedlog.KeyedFollower
	next     atomic.Uint64
}

// askerFleet is a number of askers whose readers are controlled by the test.
type askerFleet struct {
	log     *busyLog
	readers map[string]*Feed
	servers map[string]*Server
	plan    fanout.Plan
	askers  []*asker
	// age is the age of all readers' entries in nanoseconds, gone is set if none can be reached.
	// If silent is set too, calls to them get no answer instead of an error.
	age          atomic.Int64
	gone, silent atomic.Bool
}

func newAskerFleet(log *busyLog, readers, nodes int) *askerFleet {
	fleet := &askerFleet{log: log, readers: map[string]*Feed{}, servers: map[string]*Server{}, plan: fanout.Plan{Shared: true, Nodes: nodes}}
	for i := range readers {
		name := fmt.Sprint("reader-", i)
		feed := fleet.newFeed(fanout.Plan{Shared: true, ReadsLog: true})
		feed.SetAgeFunc(func() time.Duration { return time.Duration(fleet.age.Load()) })
		fleet.readers[name], fleet.servers[name] = feed, NewServer(feed)
		fleet.plan.Parents = append(fleet.plan.Parents, fanout.Node{Name: name, Address: name})
	}
	return fleet
}

func (f *askerFleet) newFeed(plan fanout.Plan) *Feed {
	return New(Config{
		Log: f.log, Topic: "t", GroupOf: func(sharedlog.KeyedRecord) string { return "" }, Plan: func() fanout.Plan { return plan },
		RequiredGroups: fanout.All, Caller: f, Counter: noCounts{}, Logger: event.NewLogger(io.Discard, slog.LevelError),
		Limits:         fanout.LogLimits{BytesPerSecond: f.log.bytesPerSecond, ReadsPerSecond: f.log.readsPerSecond},
		SkipReaderWait: f.log.skipReaderWait,
	})
}

// Call implements Caller.
func (f *askerFleet) Call(ctx context.Context, address string, call *pathbendv1.Envelope) (*pathbendv1.Envelope, error) {
	if f.gone.Load() {
		return nil, f.unreached(ctx, address)
	}
	response, err := f.servers[address].Serve(ctx, call.GetReadEntries())
	if err != nil {
		return nil, err
	}
	if f.gone.Load() {
		return nil, f.unreached(ctx, address)
	}
	return &pathbendv1.Envelope{Body: &pathbendv1.Envelope_EntryBatch{EntryBatch: response}}, nil
}

// unreached returns the error of a call to a node that cannot be reached.
func (f *askerFleet) unreached(ctx context.Context, address string) error {
	if f.silent.Load() {
		<-ctx.Done()
	}
	return result.New(result.PeerUnreached, "no node at %s", address)
}

// load gives the readers all entries, without reads that the log counts.
func (f *askerFleet) load() {
	records := f.log.snapshot()
	for _, reader := range f.readers {
		reader.setLoaded(fanout.All())
		reader.Reset(records, uint64(len(records)))
	}
}

// publish adds an entry, which the readers get at once.
func (f *askerFleet) publish(size int) {
	record := f.log.put(size)
	for _, reader := range f.readers {
		reader.Apply([]sharedlog.KeyedRecord{record}, record.Offset+1)
	}
}

// start starts the askers, which run until ctx ends.
func (f *askerFleet) start(ctx context.Context, count int) {
	for i := range count {
		started := &asker{}
		plan := f.plan
		// A reader holds the requests of 256 nodes at most.
		first := i % len(plan.Parents)
		plan.Parents = slices.Concat(plan.Parents[first:], plan.Parents[:first])
		feed := f.newFeed(plan)
		observe := func(records []sharedlog.KeyedRecord, next uint64) {
			feed.Apply(records, next)
			started.next.Store(next)
		}
		started.follower = &sharedlog.KeyedFollower{
			Log: feed, Partition: sharedlog.Partition{Topic: "t"}, Observer: noObserver{}, Reset: observe, Apply: observe,
		}
		f.askers = append(f.askers, started)
		go started.follower.Run(ctx)
	}
}

type noObserver struct{}

func (noObserver) ReadFailed(sharedlog.Partition, error)            {}
func (noObserver) ReadRecovered(sharedlog.Partition, time.Duration) {}

// reached returns the number of askers that have all entries before an offset.
func (f *askerFleet) reached(next uint64) int {
	count := 0
	for _, asker := range f.askers {
		if asker.next.Load() >= next {
			count++
		}
	}
	return count
}

// await waits until all askers have all entries of the log, and returns how long that took.
func (f *askerFleet) await(t *testing.T, limit time.Duration) time.Duration {
	t.Helper()
	began := time.Now()
	next := uint64(len(f.log.snapshot()))
	for f.reached(next) < len(f.askers) {
		require.Less(t, time.Since(began), limit, "%d of %d askers have the entries", f.reached(next), len(f.askers))
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(began)
}

// withFleet runs a test with askers whose readers and own lists are complete.
func withFleet(t *testing.T, log *busyLog, askers int, test func(*testing.T, *askerFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			synctest.Wait()
		}()
		log.put(100)
		fleet := newAskerFleet(log, 8, askers)
		fleet.load()
		fleet.start(ctx, askers)
		fleet.await(t, time.Second)
		require.Zero(t, log.load().reads)
		test(t, fleet)
	})
}

// When all readers are late at once, 200 nodes use their late answers, know how old these are,
// and do not read the log.
func TestLateReadersCauseNoReadsOfTheLog(t *testing.T) {
	log := &busyLog{bytesPerSecond: 1e6, pageRecords: 10}
	withFleet(t, log, 200, func(t *testing.T, fleet *askerFleet) {
		const age = 5 * time.Second
		time.Sleep(2 * age)
		fleet.age.Store(int64(age))
		for range 20 {
			fleet.publish(20_000)
			time.Sleep(time.Second)
		}
		fleet.await(t, time.Second)
		require.Zero(t, log.load().reads)
		for _, asker := range fleet.askers {
			require.GreaterOrEqual(t, asker.follower.Health.Age(), age)
			require.Less(t, asker.follower.Health.Age(), age+2*time.Second)
		}
	})
}

// When all readers disappear at once, the reads of 200 nodes are spread: those of 20 kB each,
// half a second's worth of the log's rate all together, keep its queue below a quarter of a
// second, none is refused or given up, and every node has the entry within 8 s. The log is no
// longer read once the readers are back.
func TestReadsOfNodesWithoutReadersAreSpread(t *testing.T) {
	log := &busyLog{bytesPerSecond: 8e6, pageRecords: 10}
	withFleet(t, log, 200, func(t *testing.T, fleet *askerFleet) {
		fleet.gone.Store(true)
		fleet.publish(20_000)
		t.Log("all have the entry after", fleet.await(t, 8*time.Second), "queue", log.load().maxQueue, "reads", log.load().reads)
		for range 20 {
			fleet.publish(1000)
			time.Sleep(time.Second)
		}
		t.Log("queue", log.load().maxQueue, "reads", log.load().reads)
		require.Less(t, log.load().maxQueue, 250*time.Millisecond)
		require.Zero(t, log.load().refused+log.load().abandoned)
		require.Zero(t, log.load().pages)
		fleet.gone.Store(false)
		time.Sleep(5 * time.Second)
		reads := log.load().reads
		time.Sleep(10 * time.Second)
		require.Equal(t, reads, log.load().reads)
	})
}

// The log takes 20 s to send an entry of 50 kB to each of 200 nodes without readers. Its queue
// stays at the 2 s beyond which it refuses reads, plus one read, and every node has the entry
// within twice the time that the bytes take.
func TestNodesWithoutReadersStepBackWhileTheLogIsSlow(t *testing.T) {
	log := &busyLog{bytesPerSecond: 0.5e6, pageRecords: 10}
	withFleet(t, log, 200, func(t *testing.T, fleet *askerFleet) {
		fleet.gone.Store(true)
		fleet.publish(50_000)
		took := fleet.await(t, 40*time.Second)
		t.Log("all have the entry after", took, "queue", log.load().maxQueue, "reads", log.load().reads, "refused", log.load().refused, "given up", log.load().abandoned)
		require.LessOrEqual(t, log.load().maxQueue, refuseBeyond+200*time.Millisecond)
		require.Zero(t, log.load().abandoned)
		require.Less(t, log.load().refused, 3*len(fleet.askers), "refused reads are repeated after growing pauses")
	})
}

// operatorLog returns a log with the topic of the operator, and the share of the limits that a
// cluster of 985 nodes has for a number of nodes.
func operatorLog(nodes int) *busyLog {
	share := float64(nodes) / 985
	return &busyLog{bytesPerSecond: 80e6 * share, readsPerSecond: 16_000 * share, skipReaderWait: true, pageRecords: 10}
}

// When all readers of the operator's topic disappear at once, the reads of 985 nodes are spread by
// the number of calls only: those of 44 kB each, 0.54 s of the log's rate all together, keep its
// queue far from the 2 s beyond which it refuses reads, and every node has the entry within 2 s.
func TestEntriesThatAreNeededAtOnceAreReadSoonByAllNodes(t *testing.T) {
	for _, nodes := range []int{200, 985} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			log := operatorLog(nodes)
			withFleet(t, log, nodes, func(t *testing.T, fleet *askerFleet) {
				fleet.gone.Store(true)
				fleet.publish(44_000)
				t.Log("all have the entry after", fleet.await(t, 2*time.Second), "queue", log.load().maxQueue, "reads", log.load().reads)
				for range 20 {
					fleet.publish(1000)
					time.Sleep(time.Second)
				}
				t.Log("queue", log.load().maxQueue, "reads", log.load().reads)
				require.Less(t, log.load().maxQueue, 600*time.Millisecond)
				require.Zero(t, log.load().refused+log.load().abandoned)
				require.Zero(t, log.load().pages)
			})
		})
	}
}

// The log takes 20 s to send an entry of the operator's topic to each of 200 nodes without readers.
// They step back like those of other topics.
func TestNodesThatNeedEntriesAtOnceStepBackWhileTheLogIsSlow(t *testing.T) {
	log := operatorLog(200)
	log.bytesPerSecond = 0.5e6
	withFleet(t, log, 200, func(t *testing.T, fleet *askerFleet) {
		fleet.gone.Store(true)
		fleet.publish(50_000)
		took := fleet.await(t, 40*time.Second)
		t.Log("all have the entry after", took, "queue", log.load().maxQueue, "reads", log.load().reads, "refused", log.load().refused, "given up", log.load().abandoned)
		require.LessOrEqual(t, log.load().maxQueue, refuseBeyond+200*time.Millisecond)
		require.Zero(t, log.load().abandoned)
		require.Less(t, log.load().refused, 3*len(fleet.askers), "refused reads are repeated after growing pauses")
	})
}

// One node of 985 loses its readers of the operator's topic, but not the log. It knows a new entry
// within 2 s if the readers refuse its calls, and within 4 s if they are silent: then it learns
// only from timeouts that none of them answers.
func TestEntryThatIsNeededAtOnceIsKnownSoonWithoutReaders(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprint("silent readers ", silent), func(t *testing.T) {
			limit := 2 * time.Second
			if silent {
				limit = 4 * time.Second
			}
			var longest time.Duration
			for range 30 {
				log := operatorLog(985)
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer func() {
						cancel()
						synctest.Wait()
					}()
					log.put(100)
					fleet := newAskerFleet(log, 8, 985)
					fleet.load()
					fleet.start(ctx, 1)
					fleet.await(t, time.Second)
					time.Sleep(5 * time.Second)
					fleet.silent.Store(silent)
					fleet.gone.Store(true)
					fleet.publish(44_000)
					longest = max(longest, fleet.await(t, limit))
				})
			}
			t.Log("known after at most", longest)
		})
	}
}

// A node that is alone without readers gets entries as soon as one that reads the log.
func TestSingleNodeWithoutReadersIsNotSlowedDown(t *testing.T) {
	log := &busyLog{bytesPerSecond: 8e6, pageRecords: 10}
	withFleet(t, log, 1, func(t *testing.T, fleet *askerFleet) {
		fleet.gone.Store(true)
		time.Sleep(5 * time.Second)
		for range 10 {
			fleet.publish(1000)
			require.LessOrEqual(t, fleet.await(t, time.Second), fanout.MinEntriesPause+50*time.Millisecond)
			time.Sleep(300 * time.Millisecond)
		}
	})
}

// A node that cannot reach its readers keeps up with 0.5 MB/s of entries, of which one read
// returns 64 kB.
func TestSingleNodeWithoutReadersKeepsUp(t *testing.T) {
	log := &busyLog{bytesPerSecond: 80e6, pageRecords: 10, batchRecords: 13}
	withFleet(t, log, 1, func(t *testing.T, fleet *askerFleet) {
		fleet.gone.Store(true)
		time.Sleep(5 * time.Second)
		for range 20 * 100 {
			fleet.publish(5000)
			time.Sleep(10 * time.Millisecond)
		}
		require.LessOrEqual(t, fleet.await(t, 20*time.Second), time.Second)
	})
}

// A node that needs the entries at once reads them without a spread when it starts. Later it waits
// for its turn like any other.
func TestEntriesThatAreNeededAtOnceAreSpreadAfterTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &busyLog{bytesPerSecond: 1e6, readsPerSecond: 1000, skipReaderWait: true, pageRecords: 10}
		log.put(100)
		fleet := newAskerFleet(log, 2, 1000)
		fleet.gone.Store(true)
		feed := fleet.newFeed(fleet.plan)
		feed.fallback.Fallback = fanout.NewFallback(func() float64 { return 0.75 })
		began := time.Now()
		_, err := feed.ReadNewest(t.Context(), sharedlog.Partition{Topic: "t"}, "")
		require.NoError(t, err)
		require.Less(t, time.Since(began), time.Millisecond)
		fleet.load()
		fleet.gone.Store(false)
		// The failed readers are avoided for 3 s.
		time.Sleep(4 * time.Second)
		_, err = feed.ReadKeyed(t.Context(), sharedlog.Partition{Topic: "t"}, 1, 0)
		require.NoError(t, err)
		fleet.gone.Store(true)
		began = time.Now()
		for {
			if _, err = feed.ReadKeyed(t.Context(), sharedlog.Partition{Topic: "t"}, 1, 0); err == nil {
				break
			}
			require.True(t, result.Is(err, result.LogUnavailable))
		}
		require.InDelta(t, 3, time.Since(began).Seconds(), 0.01, "three quarters of the spread of 4 s")
	})
}

// 200 nodes whose readers are not ready for 15 s wait for them.
func TestNodesWaitForReadersThatAreNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			synctest.Wait()
		}()
		log := &busyLog{bytesPerSecond: 8e6, pageRecords: 10}
		log.put(100)
		fleet := newAskerFleet(log, 8, 200)
		fleet.start(ctx, 200)
		time.Sleep(15 * time.Second)
		fleet.load()
		fleet.await(t, time.Second)
		require.Zero(t, log.load().reads)
	})
}

// 200 nodes that start while no reader can be reached read lists of 1 MB in ten pages, which take
// the log 10 s. It is never so busy that it refuses a read, and all nodes are done within 40 s. A
// reader that answers meanwhile ends the reading.
func TestNodesThatStartWithoutReadersReadPagesInTurn(t *testing.T) {
	for _, back := range []bool{false, true} {
		t.Run(fmt.Sprint("readers come back ", back), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer func() {
					cancel()
					synctest.Wait()
				}()
				log := &busyLog{bytesPerSecond: 20e6, pageRecords: 10}
				for range 100 {
					log.put(10_000)
				}
				fleet := newAskerFleet(log, 8, 200)
				fleet.load()
				fleet.gone.Store(true)
				fleet.start(ctx, 200)
				if back {
					time.Sleep(8 * time.Second)
					fleet.gone.Store(false)
				}
				took := fleet.await(t, 40*time.Second)
				t.Log("all have the list after", took, "queue", log.load().maxQueue, "pages", log.load().pages, "given up", log.load().abandoned)
				require.Less(t, log.load().maxQueue, refuseBeyond)
				require.Zero(t, log.load().refused+log.load().abandoned)
				if back {
					require.Less(t, took, 5*time.Second)
					// The failed readers are avoided for 3 s.
					time.Sleep(4 * time.Second)
					reads := log.load().reads
					time.Sleep(5 * time.Second)
					require.Equal(t, reads, log.load().reads)
				}
			})
		})
	}
}
