package topicreader

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
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
)

// recordLog is a log with one partition, which counts its reads.
type recordLog struct {
	sharedlog.Log

	mutex   sync.Mutex
	records [][]byte
	oldest  uint64
	reads   int
	down    bool
	latency time.Duration
	changed chan struct{}
	// batchRecords is the maximum number of records of an answer, or 0 for any number.
	batchRecords uint64
}

func (l *recordLog) append(records ...string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, record := range records {
		l.records = append(l.records, []byte(record))
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *recordLog) state() (records [][]byte, changed chan struct{}, down bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.records, l.changed, l.down
}

func (l *recordLog) readCount() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.reads
}

func (l *recordLog) Read(ctx context.Context, _ sharedlog.Partition, from uint64, hold time.Duration) (sharedlog.Batch, error) {
	l.mutex.Lock()
	l.reads++
	l.mutex.Unlock()
	time.Sleep(l.latency)
	timer := time.NewTimer(hold)
	defer timer.Stop()
	for waiting := hold > 0; ; {
		records, changed, down := l.state()
		end := uint64(len(records))
		switch {
		case down:
			return sharedlog.Batch{}, result.New(result.LogUnavailable, "down")
		case from < l.oldest:
			return sharedlog.Batch{OldestOffset: l.oldest}, result.New(result.LogTruncated, "truncated")
		case from < end || !waiting:
			next := end
			if l.batchRecords > 0 {
				next = min(from+l.batchRecords, end)
			}
			return sharedlog.Batch{EndOffset: end, Records: records[min(from, next):next]}, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			return sharedlog.Batch{}, result.New(result.LogUnavailable, "timed out")
		}
	}
}

func (noCounts) RecordsRead(Source, bool) {}
func (noCounts) RecordsServed(int)        {}

type silentObserver struct{}

func (silentObserver) ReadFailed(sharedlog.Partition, error)            {}
func (silentObserver) ReadRecovered(sharedlog.Partition, time.Duration) {}

// cutLog is the log as a node sees it that may be cut off from it.
type cutLog struct {
	*recordLog
	cut atomic.Bool
}

func (l *cutLog) Read(ctx context.Context, partition sharedlog.Partition, from uint64, hold time.Duration) (sharedlog.Batch, error) {
	if l.cut.Load() {
		l.mutex.Lock()
		l.reads++
		l.mutex.Unlock()
		return sharedlog.Batch{}, result.New(result.LogUnavailable, "cut off")
	}
	return l.recordLog.Read(ctx, partition, from, hold)
}

// recordNode is a node that follows the partition through its feed.
type recordNode struct {
	feed     *RecordFeed
	log      *cutLog
	follower *sharedlog.Follower
	plan     fanout.Plan
	needsLog bool

	mutex sync.Mutex
	// applied holds the records read so far.
	applied []string
	// silent is set if the node does not answer calls, old if it does not know them.
	silent, old bool
	calls       int
}

func (n *recordNode) read() []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return append([]string(nil), n.applied...)
}

func (n *recordNode) called() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.calls
}

// lockedBuilder is a strings.Builder for concurrent use.
type lockedBuilder struct {
	mutex   sync.Mutex
	builder strings.Builder
}

func (b *lockedBuilder) Write(content []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.builder.Write(content)
}

func (b *lockedBuilder) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.builder.String()
}

// recordCluster is a set of nodes that read one log through each other.
type recordCluster struct {
	t     *testing.T
	log   *recordLog
	nodes map[string]*recordNode
	logs  lockedBuilder
	// limits are those of the log that nodes assume.
	limits fanout.LogLimits
}

func newRecordCluster(t *testing.T) *recordCluster {
	return &recordCluster{t: t, log: &recordLog{changed: make(chan struct{}), latency: 5 * time.Millisecond}, nodes: map[string]*recordNode{}}
}

// Call implements Caller. The address of a node is its name.
func (c *recordCluster) Call(ctx context.Context, address string, call *pathbendv1.Envelope) (*pathbendv1.Envelope, error) {
	node := c.nodes[address]
	if node == nil {
		return nil, result.New(result.PeerUnreached, "no node at %s", address)
	}
	node.mutex.Lock()
	node.calls++
	silent, old := node.silent, node.old
	node.mutex.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if old {
		return nil, result.New(result.FrameMalformed, "unexpected call")
	}
	time.Sleep(time.Millisecond)
	response, err := node.feed.Serve(ctx, call.GetReadLogRecords())
	if err != nil {
		return nil, err
	}
	return &pathbendv1.Envelope{Body: &pathbendv1.Envelope_LogRecordBatch{LogRecordBatch: response}}, nil
}

func (c *recordCluster) node(name string, plan fanout.Plan) *recordNode {
	node := &recordNode{plan: plan, log: &cutLog{recordLog: c.log}}
	node.feed = NewRecordFeed(RecordConfig{
		Log: node.log, Topic: "t", Plan: func() fanout.Plan { return node.plan }, NeedsLog: func() bool { return node.needsLog },
		Caller: c, Limits: c.limits, Counter: noCounts{}, Logger: event.NewLogger(&c.logs, slog.LevelDebug),
	})
	node.follower = &sharedlog.Follower{
		Log: node.feed, Partition: sharedlog.Partition{Topic: "t"}, Observer: silentObserver{},
		Apply: func(_ uint64, records [][]byte) {
			node.mutex.Lock()
			defer node.mutex.Unlock()
			for _, record := range records {
				node.applied = append(node.applied, string(record))
			}
		},
		Pause: func() time.Duration { return 100 * time.Millisecond },
	}
	node.feed.SetFollower(node.follower)
	c.nodes[name] = node
	return node
}

func (c *recordCluster) reader(name string) *recordNode {
	return c.node(name, fanout.Plan{Shared: true, ReadsLog: true})
}

func (c *recordCluster) asker(name string, parents ...string) *recordNode {
	plan := fanout.Plan{Shared: true}
	for _, parent := range parents {
		plan.Parents = append(plan.Parents, fanout.Node{Name: parent, Address: parent})
	}
	return c.node(name, plan)
}

// run makes nodes follow the partition until stop is called.
func (c *recordCluster) run(nodes ...*recordNode) (stop func()) {
	ctx, cancel := context.WithCancel(c.t.Context())
	var running sync.WaitGroup
	for _, node := range nodes {
		running.Go(func() { node.follower.Run(ctx) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

func TestRecordsArriveThroughTheReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newRecordCluster(t)
		cluster.log.append("a", "b")
		reader := cluster.reader("r")
		nodes := []*recordNode{reader}
		for i := range 30 {
			nodes = append(nodes, cluster.asker(fmt.Sprint("n", i), "r"))
		}
		stop := cluster.run(nodes...)
		defer stop()
		time.Sleep(2 * time.Second)
		cluster.log.append("c")
		time.Sleep(250 * time.Millisecond)
		for _, node := range nodes {
			require.Equal(t, []string{"a", "b", "c"}, node.read())
		}
		before, asked := cluster.log.readCount(), reader.called()
		previousAge := time.Duration(0)
		for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(7 * time.Millisecond) {
			// What the reader has just read is on its way to the other node.
			age, readerAge := nodes[7].follower.Health.Age(), reader.follower.Health.Age()
			require.Less(t, age, max(readerAge, previousAge, 700*time.Millisecond)+20*time.Millisecond, "the reader's age is %v", readerAge)
			previousAge = readerAge
			if time.Since(began) > 2*time.Second {
				require.Less(t, age, 730*time.Millisecond, "without new records")
			}
		}
		require.LessOrEqual(t, cluster.log.readCount()-before, 30, "only the reader reads the log")
		require.LessOrEqual(t, reader.called()-asked, 30*30)
	})
}

// A node that must have all records gets those that the log held at the time of the call, and
// many nodes that do so at once cost the log few reads.
func TestCatchUpThroughTheReaderHasAllRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newRecordCluster(t)
		reader := cluster.reader("r")
		require.NoError(t, reader.follower.CatchUp(t.Context()))
		var askers []*recordNode
		for i := range 30 {
			askers = append(askers, cluster.asker(fmt.Sprint("n", i), "r"))
		}
		cluster.log.append("a")
		before := cluster.log.readCount()
		var running sync.WaitGroup
		for _, asker := range askers {
			running.Go(func() {
				require.NoError(t, asker.follower.CatchUp(t.Context()))
				require.Equal(t, []string{"a"}, asker.read())
				require.LessOrEqual(t, asker.follower.Health.Age(), 15*time.Millisecond)
			})
		}
		running.Wait()
		require.LessOrEqual(t, cluster.log.readCount()-before, 2)
	})
}

func TestLargePartitionArrivesInParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newRecordCluster(t)
		var records []string
		for i := range 100 {
			records = append(records, strings.Repeat(fmt.Sprint(i%10), 10<<10))
		}
		cluster.log.append(records...)
		reader := cluster.reader("r")
		asker := cluster.asker("n", "r")
		require.NoError(t, asker.follower.CatchUp(t.Context()))
		require.Equal(t, records, asker.read())
		require.Equal(t, 4, reader.called())
		require.LessOrEqual(t, cluster.log.readCount(), 2)
	})
}

// The age of what a reader has read is the asking node's, too. It does not make the node read
// the log.
func TestAgeOfTheReaderIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newRecordCluster(t)
		reader := cluster.reader("r")
		asker := cluster.asker("n", "r")
		stop := cluster.run(reader, asker)
		defer stop()
		time.Sleep(5 * time.Second)
		cluster.log.mutex.Lock()
		cluster.log.down = true
		cluster.log.mutex.Unlock()
		cluster.log.append()
		time.Sleep(time.Second)
		before := cluster.log.readCount()
		time.Sleep(4 * time.Second)
		ages := reader.follower.Health.Age() - asker.follower.Health.Age()
		require.Greater(t, reader.follower.Health.Age(), 4*time.Second)
		require.Less(t, ages.Abs(), 10*time.Millisecond)
		require.LessOrEqual(t, cluster.log.readCount()-before, 42, "only the reader retries, each 100 ms")
	})
}

func TestNodeWhoseReaderIsSilentAsksAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newRecordCluster(t)
		first, second := cluster.reader("r1"), cluster.reader("r2")
		asker := cluster.asker("n", "r1", "r2")
		stop := cluster.run(first, second, asker)
		defer stop()
		time.Sleep(5 * time.Second)
		first.mutex.Lock()
		first.silent = true
		first.mutex.Unlock()
		for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(10 * time.Millisecond) {
			require.Less(t, asker.follower.Health.Age(), 1300*time.Millisecond)
			require.False(t, asker.follower.Health.Lost())
		}
	})
}

// A reader that is cut off from the log answers, but late. Its askers use what it has and ask
// another reader next; none of them reads the log.
func TestNodeWhoseReaderIsLateAsksAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newRecordCluster(t)
		first, second := cluster.reader("r1"), cluster.reader("r2")
		asker := cluster.asker("n", "r1", "r2")
		asker.log.cut.Store(true)
		stop := cluster.run(first, second, asker)
		defer stop()
		time.Sleep(5 * time.Second)
		first.log.cut.Store(true)
		for began := time.Now(); time.Since(began) < 60*time.Second; time.Sleep(10 * time.Millisecond) {
			require.Less(t, asker.follower.Health.Age(), 1300*time.Millisecond)
			require.False(t, asker.follower.Health.Lost())
		}
		cluster.log.append("a")
		require.NoError(t, asker.follower.CatchUp(t.Context()))
		require.Equal(t, []string{"a"}, asker.read())
		require.NotContains(t, cluster.logs.String(), "no reader gave")
	})
}

// A node of the earlier release does not know the call. Nodes that have no other reader read the
// log themselves, at a bounded rate.
func TestNodeWithoutUsableReadersReadsTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newRecordCluster(t)
		cluster.reader("r").old = true
		asker := cluster.asker("n", "r", "gone")
		cluster.log.append("a")
		stop := cluster.run(asker)
		defer stop()
		time.Sleep(10 * time.Second)
		require.Equal(t, []string{"a"}, asker.read())
		require.Less(t, asker.follower.Health.Age(), time.Second)
		require.LessOrEqual(t, cluster.log.readCount(), 35)
		require.Contains(t, cluster.logs.String(), "reader_unhelpful")
		cluster.log.append("b")
		require.NoError(t, asker.follower.CatchUp(t.Context()))
		require.Equal(t, []string{"a", "b"}, asker.read())
	})
}

// A read past the readers may take longer than its caller has time. It goes on without the caller.
func TestCatchUpPastTheReadersEndsAtTheDeadlineOfItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newRecordCluster(t)
		asker := cluster.asker("n", "gone")
		cluster.log.append("a")
		cluster.log.latency = 2400 * time.Millisecond
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		began := time.Now()
		require.ErrorIs(t, asker.follower.CatchUp(ctx), context.DeadlineExceeded)
		require.Equal(t, 300*time.Millisecond, time.Since(began))
		time.Sleep(3 * time.Second)
		require.Equal(t, []string{"a"}, asker.read())
		require.Equal(t, 1, cluster.log.readCount())
	})
}

func TestExecutorReadsTheLogItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newRecordCluster(t)
		reader := cluster.reader("r")
		executor := cluster.asker("n", "r")
		executor.needsLog = true
		cluster.log.append("a")
		require.NoError(t, executor.follower.CatchUp(t.Context()))
		require.Equal(t, []string{"a"}, executor.read())
		require.Zero(t, reader.called())
		_, err := executor.feed.Serve(t.Context(), &pathbendv1.ReadLogRecords{Topic: "t"})
		require.True(t, result.Is(err, result.NotReady), "a node that reads the log only for itself serves no other")
	})
}

// A reader that started to follow later than its askers does not keep their offset; the log has
// it, or says from which offset on it does.
func TestRecordsThatTheReaderDoesNotKeepComeFromTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newRecordCluster(t)
		cluster.log.append("a", "b", "c")
		reader := cluster.node("r", fanout.Plan{ReadsLog: true})
		require.NoError(t, reader.follower.CatchUp(t.Context()))
		reader.plan.Shared = true
		cluster.log.append("d")
		require.NoError(t, reader.follower.CatchUp(t.Context()))
		asker := cluster.asker("n", "r")
		require.NoError(t, asker.follower.CatchUp(t.Context()))
		require.Equal(t, []string{"a", "b", "c", "d"}, asker.read())

		cluster.log.oldest = 2
		late := cluster.asker("late", "r")
		stop := cluster.run(late)
		time.Sleep(2 * time.Second)
		stop()
		require.Equal(t, []string{"c", "d"}, late.read())
	})
}

// A node that starts needs records that its readers do not keep: 60 answers of the log, for which
// it must not pause as long as for new records.
func TestRecordsThatTheReadersDoNotKeepAreReadWithoutLongPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newRecordCluster(t)
		cluster.log.batchRecords = 10
		for range 600 {
			cluster.log.append("a")
		}
		reader := cluster.node("r", fanout.Plan{ReadsLog: true})
		require.NoError(t, reader.follower.CatchUp(t.Context()))
		reader.plan.Shared = true
		cluster.log.append("b")
		require.NoError(t, reader.follower.CatchUp(t.Context()))
		asker := cluster.asker("n", "r")
		defer cluster.run(asker)()
		time.Sleep(5 * time.Second)
		require.Len(t, asker.read(), 601)
	})
}

// A node that starts asks for records that the log has removed. It learns of that from the log,
// which all nodes of a large fleet can ask at the same time.
func TestNodeStartsSoonAfterTheFirstRecordsWereRemoved(t *testing.T) {
	for range 10 {
		synctest.Test(t, func(t *testing.T) {
			cluster := newRecordCluster(t)
			cluster.limits = fanout.LogLimits{BytesPerSecond: 80e6, ReadsPerSecond: 16_000}
			cluster.log.append("a", "b", "c")
			cluster.log.oldest = 2
			reader := cluster.reader("r")
			require.Error(t, reader.follower.CatchUp(t.Context()))
			require.NoError(t, reader.follower.CatchUp(t.Context()))
			asker := cluster.asker("n", "r")
			asker.plan.Nodes = 985
			defer cluster.run(asker)()
			time.Sleep(time.Second)
			require.Equal(t, []string{"c"}, asker.read())
			require.Less(t, asker.follower.Health.Age(), time.Second)
		})
	}
}

func TestInvalidRecordBatchIsRejected(t *testing.T) {
	packed := must(pack(&pathbendv1.LogRecordList{Records: [][]byte{[]byte("a")}}))
	request := &pathbendv1.ReadLogRecords{From: 5, HoldMs: 100}
	batch, err := decodeRecordBatch(&pathbendv1.LogRecordBatch{Packed: packed, End: 9, AgeMs: 3000}, request)
	require.NoError(t, err)
	require.Equal(t, sharedlog.Batch{EndOffset: 9, Records: [][]byte{[]byte("a")}, Age: 3 * time.Second}, batch, "a late answer is used")
	for name, bad := range map[string]*pathbendv1.LogRecordBatch{
		"no batch":                     nil,
		"truncated":                    {Truncated: true, End: 9},
		"end before the requested one": {End: 4},
		"record at the end":            {Packed: packed, End: 5},
		"not compressed":               {Packed: []byte("records"), End: 9},
		"compressed data cut short":    {Packed: packed[:len(packed)-1], End: 9},
	} {
		_, err := decodeRecordBatch(bad, request)
		require.Error(t, err, name)
	}
	_, err = decodeRecordBatch(&pathbendv1.LogRecordBatch{End: 9}, &pathbendv1.ReadLogRecords{From: 5})
	require.Error(t, err, "a reader that has read the log up to its end has the records before it")
}

func FuzzRecordBatch(f *testing.F) {
	f.Add(must(pack(&pathbendv1.LogRecordList{Records: [][]byte{[]byte("a")}})), uint64(9), int64(0), uint64(5))
	f.Fuzz(func(t *testing.T, packed []byte, end uint64, age int64, from uint64) {
		batch, err := decodeRecordBatch(&pathbendv1.LogRecordBatch{Packed: packed, End: end, AgeMs: age}, &pathbendv1.ReadLogRecords{From: from})
		if err == nil {
			require.GreaterOrEqual(t, batch.EndOffset, from+uint64(len(batch.Records)))
		}
	})
}
