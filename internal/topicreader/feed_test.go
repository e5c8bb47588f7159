package topicreader

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
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

// topicLog is a log with one keyed topic, which counts its reads.
type topicLog struct {
	sharedlog.Log
	records []sharedlog.KeyedRecord
	reads   int
	down    bool
}

func (l *topicLog) put(key, group string) {
	l.records = append(l.records, sharedlog.KeyedRecord{Key: key, Value: []byte(group), Offset: uint64(len(l.records))})
}

func (l *topicLog) ReadNewest(context.Context, sharedlog.Partition, string) (sharedlog.KeyedPage, error) {
	l.reads++
	if l.down {
		return sharedlog.KeyedPage{}, result.New(result.LogUnavailable, "down")
	}
	page := sharedlog.KeyedPage{}
	page.Records, page.EndOffset = l.records, uint64(len(l.records))
	return page, nil
}

func (l *topicLog) ReadKeyed(_ context.Context, _ sharedlog.Partition, from uint64, _ time.Duration) (sharedlog.KeyedBatch, error) {
	l.reads++
	if l.down {
		return sharedlog.KeyedBatch{}, result.New(result.LogUnavailable, "down")
	}
	end := uint64(len(l.records))
	return sharedlog.KeyedBatch{EndOffset: end, NextOffset: end, Records: l.records[min(from, end):]}, nil
}

type noCounts struct{}

func (noCounts) EntriesRead(Source, bool) {}
func (noCounts) EntriesServed(int)        {}

// testCluster is a set of nodes that read one log through each other.
type testCluster struct {
	t        *testing.T
	log      *topicLog
	plans    map[string]*fanout.Plan
	feeds    map[string]*Feed
	servers  map[string]*Server
	ages     map[string]time.Duration
	called   []string
	logs     strings.Builder
	required fanout.Groups
}

func newTestCluster(t *testing.T) *testCluster {
	return &testCluster{
		t: t, log: &topicLog{}, plans: map[string]*fanout.Plan{}, feeds: map[string]*Feed{}, servers: map[string]*Server{},
		ages: map[string]time.Duration{}, required: fanout.Only("api"),
	}
}

// Call implements Caller. The address of a node is its name.
func (f *testCluster) Call(ctx context.Context, address string, call *pathbendv1.Envelope) (*pathbendv1.Envelope, error) {
	f.called = append(f.called, address)
	server := f.servers[address]
	if server == nil {
		return nil, result.New(result.PeerUnreached, "no node at %s", address)
	}
	response, err := server.Serve(ctx, call.GetReadEntries())
	if err != nil {
		return nil, err
	}
	return &pathbendv1.Envelope{Body: &pathbendv1.Envelope_EntryBatch{EntryBatch: response}}, nil
}

func (f *testCluster) node(name string, plan fanout.Plan) *Feed {
	f.plans[name] = &plan
	feed := New(Config{
		Log: f.log, Topic: "t", GroupOf: func(record sharedlog.KeyedRecord) string { return string(record.Value) },
		Plan:           func() fanout.Plan { return *f.plans[name] },
		RequiredGroups: func() fanout.Groups { return f.required }, Caller: f, Counter: noCounts{},
		Logger: event.NewLogger(&f.logs, slog.LevelDebug),
	})
	f.feeds[name] = feed
	feed.SetAgeFunc(func() time.Duration { return f.ages[name] })
	f.servers[name] = NewServer(feed)
	return feed
}

// reader adds a node that reads the log for others and has loaded all entries.
func (f *testCluster) reader(name string) *Feed {
	feed := f.node(name, fanout.Plan{Shared: true, ReadsLog: true})
	f.readNewest(feed)
	return feed
}

func (f *testCluster) client(name string, parents ...string) *Feed {
	plan := fanout.Plan{Shared: true}
	for _, parent := range parents {
		plan.Parents = append(plan.Parents, fanout.Node{Name: parent, Address: parent})
	}
	return f.node(name, plan)
}

func (f *testCluster) readNewest(of *Feed) []string {
	f.t.Helper()
	page, err := of.ReadNewest(f.t.Context(), sharedlog.Partition{Topic: "t"}, "")
	require.NoError(f.t, err)
	of.Reset(page.Records, page.EndOffset)
	return keys(page.Records)
}

func (f *testCluster) readFrom(of *Feed, from uint64) sharedlog.KeyedBatch {
	f.t.Helper()
	batch, err := of.ReadKeyed(f.t.Context(), sharedlog.Partition{Topic: "t"}, from, 100*time.Millisecond)
	require.NoError(f.t, err)
	of.Apply(batch.Records, batch.NextOffset)
	return batch
}

func keys(records []sharedlog.KeyedRecord) []string {
	var found []string
	for _, record := range records {
		found = append(found, record.Key)
	}
	return found
}

func TestNodeReadsThroughItsReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t)
		f.log.put("a", "api")
		f.log.put("b", "llm")
		reader := f.reader("r")
		reads := f.log.reads
		client := f.client("n", "r")
		require.Equal(t, []string{"a"}, f.readNewest(client), "only the entries of the required group")
		f.log.put("c", "api")
		f.log.put("d", "llm")
		f.readFrom(reader, 2)
		f.ages["r"] = 300 * time.Millisecond
		batch := f.readFrom(client, 2)
		require.Equal(t, []string{"c"}, keys(batch.Records))
		require.EqualValues(t, 4, batch.NextOffset)
		require.Equal(t, 300*time.Millisecond, batch.Age, "the age is that of the reader's data")
		require.Equal(t, reads+1, f.log.reads, "only the reader reads the log")
		require.True(t, reader.Complete())
		require.False(t, client.Complete())
	})
}

// A reader that is unreachable or lags is not called again for a while, and the node reads the
// log itself once no reader is left.
func TestNodeWhoseReadersFailReadsTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t)
		f.log.put("a", "api")
		f.reader("lags")
		f.ages["lags"] = fanout.MaxReaderAge + time.Millisecond
		client := f.client("n", "gone", "lags")
		_, err := client.ReadNewest(t.Context(), sharedlog.Partition{Topic: "t"}, "")
		require.True(t, result.Is(err, result.LogUnavailable))
		require.Equal(t, []string{"gone", "lags"}, f.called)
		time.Sleep(5 * time.Second)
		f.readNewest(client)
		require.True(t, client.Complete(), "a read of the log loads all groups")
		require.Contains(t, f.logs.String(), "reader_unhelpful")
		f.plans["n"].Parents = nil
		f.log.put("b", "api")
		require.Equal(t, []string{"b"}, keys(f.readFrom(client, 1).Records))
	})
}

// When all nodes start at once, no reader has loaded entries yet. Other nodes wait for their
// readers for a limited time before they read the log themselves.
func TestNodesThatStartTogetherWaitForTheirReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t)
		f.log.put("a", "api")
		f.node("r", fanout.Plan{Shared: true, ReadsLog: true})
		client := f.client("n", "r")
		_, err := client.ReadNewest(t.Context(), sharedlog.Partition{Topic: "t"}, "")
		require.True(t, result.Is(err, result.LogUnavailable))
		require.Zero(t, f.log.reads)
		f.readNewest(f.feeds["r"])
		require.Equal(t, []string{"a"}, f.readNewest(client), "a reader that was not ready is not avoided")
		require.Equal(t, 1, f.log.reads)
		waiting := f.client("late", "gone")
		for range 8 {
			_, err := waiting.ReadNewest(t.Context(), sharedlog.Partition{Topic: "t"}, "")
			require.True(t, result.Is(err, result.LogUnavailable))
			time.Sleep(250 * time.Millisecond)
		}
		f.readNewest(waiting)
		require.Equal(t, 2, f.log.reads, "the node reads the log once its wait for the readers has ended")
	})
}

// A node reads the newest entries again when it needs other groups than it has loaded: those of
// services in a new configuration, all of them once it becomes an executor, and fewer once
// other nodes read the log for it.
func TestNodeThatNeedsOtherGroupsReadsTheNewestEntriesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t)
		f.log.put("a", "api")
		f.log.put("b", "llm")
		f.reader("r")
		client := f.client("n", "r")
		f.readNewest(client)
		truncated := func() {
			_, err := client.ReadKeyed(t.Context(), sharedlog.Partition{Topic: "t"}, 2, 0)
			require.True(t, result.Is(err, result.LogTruncated))
		}
		f.required = fanout.Only("api", "llm")
		truncated()
		require.Equal(t, []string{"a", "b"}, f.readNewest(client))
		f.required = fanout.All()
		truncated()
		f.readNewest(client)
		require.True(t, client.Complete())
		f.required = fanout.Only("api")
		f.readFrom(client, 2)
		time.Sleep(shrinkDelay + time.Second)
		truncated()
		require.Equal(t, []string{"a"}, f.readNewest(client))
	})
}

func TestHeldRequestReturnsAtTheFirstRequestedEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t)
		reader := f.reader("r")
		request := &pathbendv1.ReadEntries{Topic: "t", Groups: []string{"api"}, HoldMs: 1000}
		began := time.Now()
		go func() {
			time.Sleep(100 * time.Millisecond)
			f.log.put("m", "llm")
			f.readFrom(reader, 0)
			time.Sleep(200 * time.Millisecond)
			f.log.put("a", "api")
			f.readFrom(reader, 1)
		}()
		response, err := f.servers["r"].Serve(t.Context(), request)
		require.NoError(t, err)
		require.Equal(t, 300*time.Millisecond, time.Since(began), "entries of other groups do not end the hold")
		require.EqualValues(t, 2, response.Next)
		request.From = 2
		began = time.Now()
		response, err = f.servers["r"].Serve(t.Context(), request)
		require.NoError(t, err)
		require.Empty(t, response.Packed)
		require.Equal(t, time.Second, time.Since(began))
	})
}

func TestHeldRequestsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t)
		f.reader("r")
		ctx, cancel := context.WithCancel(t.Context())
		for range maxHeldRequests {
			go func() {
				// The request is held until ctx ends.
				_, _ = f.servers["r"].Serve(ctx, &pathbendv1.ReadEntries{Topic: "t", All: true, HoldMs: 1 << 40})
			}()
		}
		synctest.Wait()
		_, err := f.servers["r"].Serve(t.Context(), &pathbendv1.ReadEntries{Topic: "t"})
		require.True(t, result.Is(err, result.PeerUnreached))
		cancel()
		synctest.Wait()
		_, err = f.servers["r"].Serve(t.Context(), &pathbendv1.ReadEntries{Topic: "t"})
		require.NoError(t, err)
		_, err = f.servers["r"].Serve(t.Context(), &pathbendv1.ReadEntries{Topic: "another"})
		require.True(t, result.Is(err, result.FrameMalformed))
	})
}

// Nothing of an invalid response is applied.
func TestInvalidResponseIsRejected(t *testing.T) {
	packed, err := compress([]sharedlog.KeyedRecord{{Key: "a", Value: []byte("api"), Offset: 7}})
	require.NoError(t, err)
	request := &pathbendv1.ReadEntries{From: 5}
	good := &pathbendv1.EntryBatch{Packed: packed, Next: 9}
	batch, err := decodeResponse(good, request)
	require.NoError(t, err)
	require.Equal(t, []sharedlog.KeyedRecord{{Key: "a", Value: []byte("api"), Offset: 7}}, batch.Records)
	for name, bad := range map[string]*pathbendv1.EntryBatch{
		"no entry batch":                       nil,
		"next offset before the requested one": {Next: 4},
		"no next offset":                       {},
		"entry at the next offset":             {Packed: packed, Next: 7},
		"not compressed":                       {Packed: []byte("entries"), Next: 9},
		"compressed data cut short":            {Packed: packed[:len(packed)-3], Next: 9},
		"negative age":                         {Packed: packed, Next: 9, AgeMs: -1},
		"too old":                              {Packed: packed, Next: 9, AgeMs: 60_000},
		"entry before the requested offset":    {Packed: must(compress([]sharedlog.KeyedRecord{{Key: "a", Offset: 3}})), Next: 9},
	} {
		_, err := decodeResponse(bad, request)
		require.Error(t, err, name)
	}
	batch, err = decodeResponse(&pathbendv1.EntryBatch{Truncated: true}, request)
	require.NoError(t, err)
	require.Zero(t, batch.NextOffset, "a truncated response has no next offset, so that the newest entries are read again")
}

func must(packed []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return packed
}

func TestOversizedResponseIsRejected(t *testing.T) {
	bomb := must(compress([]sharedlog.KeyedRecord{{Key: "a", Value: make([]byte, maxDecompressedBytes+1)}}))
	require.Less(t, len(bomb), maxDecompressedBytes/100)
	_, err := decompress(bomb)
	require.True(t, result.Is(err, result.FrameTooLarge))
}

// The entries of 2,222 application servers are 0.38 MB, and about 60 kB compressed.
func TestEntriesOfManyServersCompressWell(t *testing.T) {
	var records []sharedlog.KeyedRecord
	size := 0
	for i := range 2222 {
		value := fmt.Sprintf(`{"service":"wuno96b","address":"10.%d.%d.%d:8080","zone":"plateau","version":"v1","slots":6,"state":"ready","coldLeftMs":0,"stage":"both","models":[],"seq":0,"born":%d}`,
			128+i%5, i/250, i%250, 1764700000123+int64(i)*7919)
		key := fmt.Sprintf("i-%08x", uint32(i)*2654435761)
		records = append(records, sharedlog.KeyedRecord{Key: key, Value: []byte(value), Offset: uint64(i)})
		size += len(key) + len(value)
	}
	packed := must(compress(records))
	require.Greater(t, size, 350_000)
	require.Less(t, len(packed), 100_000)
	decoded, err := decompress(packed)
	require.NoError(t, err)
	require.Equal(t, records, decoded)
}

func FuzzAnswer(f *testing.F) {
	f.Add(must(compress([]sharedlog.KeyedRecord{{Key: "a", Value: []byte("api"), Offset: 7}})), uint64(9), int64(0), uint64(5), false)
	f.Fuzz(func(t *testing.T, packed []byte, next uint64, age int64, from uint64, newest bool) {
		batch, err := decodeResponse(&pathbendv1.EntryBatch{Packed: packed, Next: next, AgeMs: age}, &pathbendv1.ReadEntries{From: from, Newest: newest})
		if err != nil {
			return
		}
		for _, record := range batch.Records {
			require.True(t, newest || record.Offset >= from && record.Offset < batch.NextOffset)
		}
	})
}

// A node that has read the log only for itself becomes a reader: it reads the newest entries
// again, which fills its cache, and serves them.
func TestNodeThatBecomesAReaderServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t)
		f.log.put("a", "api")
		reader := f.node("r", fanout.Plan{ReadsLog: true})
		f.readNewest(reader)
		request := &pathbendv1.ReadEntries{Topic: "t", All: true, Newest: true}
		_, err := f.servers["r"].Serve(t.Context(), request)
		require.True(t, result.Is(err, result.NotReady))
		f.plans["r"].Shared = true
		_, err = reader.ReadKeyed(t.Context(), sharedlog.Partition{Topic: "t"}, 1, 0)
		require.True(t, result.Is(err, result.LogTruncated))
		f.readNewest(reader)
		f.readFrom(reader, 1)
		response, err := f.servers["r"].Serve(t.Context(), request)
		require.NoError(t, err)
		require.NotEmpty(t, response.Packed)
	})
}
