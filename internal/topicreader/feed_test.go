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
	// silent holds the nodes that do not answer.
	silent map[string]bool
}

func newTestCluster(t *testing.T) *testCluster {
	return &testCluster{
		t: t, log: &topicLog{}, plans: map[string]*fanout.Plan{}, feeds: map[string]*Feed{}, servers: map[string]*Server{},
		ages: map[string]time.Duration{}, required: fanout.Only("api"),
	}
}

// Call implements Caller. The address of a node is its name.
func (c *testCluster) Call(ctx context.Context, address string, call *pathbendv1.Envelope) (*pathbendv1.Envelope, error) {
	c.called = append(c.called, address)
	if c.silent[address] {
		<-ctx.Done()
		return nil, result.New(result.PeerUnreached, "no answer from %s", address)
	}
	server := c.servers[address]
	if server == nil {
		return nil, result.New(result.PeerUnreached, "no node at %s", address)
	}
	response, err := server.Serve(ctx, call.GetReadEntries())
	if err != nil {
		return nil, err
	}
	return &pathbendv1.Envelope{Body: &pathbendv1.Envelope_EntryBatch{EntryBatch: response}}, nil
}

func (c *testCluster) node(name string, plan fanout.Plan) *Feed {
	c.plans[name] = &plan
	feed := New(Config{
		Log: c.log, Topic: "t", GroupOf: func(record sharedlog.KeyedRecord) string { return string(record.Value) },
		Plan:           func() fanout.Plan { return *c.plans[name] },
		RequiredGroups: func() fanout.Groups { return c.required }, Caller: c, Counter: noCounts{},
		Logger: event.NewLogger(&c.logs, slog.LevelDebug),
	})
	c.feeds[name] = feed
	feed.SetAgeFunc(func() time.Duration { return c.ages[name] })
	c.servers[name] = NewServer(feed)
	return feed
}

// reader adds a node that reads the log for others and has loaded all entries.
func (c *testCluster) reader(name string) *Feed {
	feed := c.node(name, fanout.Plan{Shared: true, ReadsLog: true})
	c.readNewest(feed)
	return feed
}

func (c *testCluster) client(name string, parents ...string) *Feed {
	plan := fanout.Plan{Shared: true}
	for _, parent := range parents {
		plan.Parents = append(plan.Parents, fanout.Node{Name: parent, Address: parent})
	}
	return c.node(name, plan)
}

func (c *testCluster) readNewest(feed *Feed) []string {
	c.t.Helper()
	page, err := feed.ReadNewest(c.t.Context(), sharedlog.Partition{Topic: "t"}, "")
	require.NoError(c.t, err)
	feed.Reset(page.Records, page.EndOffset)
	return keys(page.Records)
}

func (c *testCluster) readFrom(feed *Feed, from uint64) sharedlog.KeyedBatch {
	c.t.Helper()
	batch, err := feed.ReadKeyed(c.t.Context(), sharedlog.Partition{Topic: "t"}, from, 100*time.Millisecond)
	require.NoError(c.t, err)
	feed.Apply(batch.Records, batch.NextOffset)
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
		cluster := newTestCluster(t)
		cluster.log.put("a", "api")
		cluster.log.put("b", "llm")
		reader := cluster.reader("r")
		reads := cluster.log.reads
		client := cluster.client("n", "r")
		require.Equal(t, []string{"a"}, cluster.readNewest(client), "only the entries of the required group")
		cluster.log.put("c", "api")
		cluster.log.put("d", "llm")
		cluster.readFrom(reader, 2)
		cluster.ages["r"] = 300 * time.Millisecond
		batch := cluster.readFrom(client, 2)
		require.Equal(t, []string{"c"}, keys(batch.Records))
		require.EqualValues(t, 4, batch.NextOffset)
		require.Equal(t, 300*time.Millisecond, batch.Age, "the age is that of the reader's data")
		require.Equal(t, reads+1, cluster.log.reads, "only the reader reads the log")
		require.True(t, reader.Complete())
		require.False(t, client.Complete())
	})
}

// A reader that is unreachable is not called again for a while, and the node reads the log itself
// once no reader is left.
func TestNodeWhoseReadersFailReadsTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		cluster.log.put("a", "api")
		client := cluster.client("n", "gone", "gone too")
		_, err := client.ReadNewest(t.Context(), sharedlog.Partition{Topic: "t"}, "")
		require.True(t, result.Is(err, result.LogUnavailable))
		require.Equal(t, []string{"gone", "gone too"}, cluster.called)
		_, err = client.ReadNewest(t.Context(), sharedlog.Partition{Topic: "t"}, "")
		require.True(t, result.Is(err, result.LogUnavailable))
		require.Len(t, cluster.called, 2, "failed readers are avoided")
		time.Sleep(5 * time.Second)
		cluster.readNewest(client)
		require.True(t, client.Complete(), "a read of the log loads all groups")
		require.Contains(t, cluster.logs.String(), "reader_unhelpful")
		cluster.plans["n"].Parents = nil
		cluster.log.put("b", "api")
		require.Equal(t, []string{"b"}, keys(cluster.readFrom(client, 1).Records))
	})
}

// Late entries are used with their age, and the log is not read because of it. A late reader is
// avoided only if another one is fresher.
func TestLateAnswersAreUsedWithTheirAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		cluster.log.put("a", "api")
		behind, ahead := cluster.reader("behind"), cluster.reader("ahead")
		client := cluster.client("n", "behind", "ahead")
		cluster.ages["behind"], cluster.ages["ahead"] = time.Hour, 2*time.Second
		require.Equal(t, []string{"a"}, cluster.readNewest(client))
		require.Equal(t, []string{"behind", "ahead"}, cluster.called)
		cluster.log.put("b", "api")
		cluster.readFrom(behind, 1)
		cluster.log.put("c", "api")
		cluster.readFrom(ahead, 1)
		reads := cluster.log.reads
		cluster.called = nil
		batch := cluster.readFrom(client, 1)
		require.Equal(t, []string{"ahead"}, cluster.called, "the reader that was later is avoided")
		require.Equal(t, []string{"b", "c"}, keys(batch.Records))
		require.Equal(t, 2*time.Second, batch.Age)
		time.Sleep(5 * time.Second)
		batch = cluster.readFrom(client, 1)
		require.Equal(t, []string{"b", "c"}, keys(batch.Records), "the answer that reaches farthest is used")
		require.Equal(t, 2*time.Second, batch.Age)
		cluster.ages["ahead"] = time.Hour
		cluster.plans["n"].Parents = cluster.plans["n"].Parents[1:]
		for range 3 {
			batch = cluster.readFrom(client, 3)
			require.Equal(t, time.Hour, batch.Age, "a late reader is asked again if none is fresher")
			require.LessOrEqual(t, batch.Waited, 100*time.Millisecond)
		}
		require.Equal(t, reads, cluster.log.reads, "the log is not read for age")
	})
}

// The readers that are asked in turn hold a request no longer than one of them would.
func TestReadersTogetherHoldARequestOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		cluster.log.put("a", "api")
		cluster.reader("late")
		cluster.reader("late too")
		cluster.node("starting", fanout.Plan{Shared: true, ReadsLog: true})
		client := cluster.client("n", "late", "late too")
		cluster.readNewest(client)
		cluster.ages["late"], cluster.ages["late too"] = 2*time.Second, 2*time.Second
		began := time.Now()
		require.Equal(t, 100*time.Millisecond, cluster.readFrom(client, 1).Waited)
		require.Equal(t, 100*time.Millisecond, time.Since(began))
		cluster.plans["n"].Parents[0] = fanout.Node{Name: "starting", Address: "starting"}
		began = time.Now()
		require.Equal(t, 100*time.Millisecond, cluster.readFrom(client, 1).Waited)
		require.Equal(t, 100*time.Millisecond, time.Since(began), "a reader that is not ready takes no part of the hold")
	})
}

// A reader that no longer keeps the requested entries leads to the next one, and counts as one that
// answers. The newest entries are read again only if no reader keeps them.
func TestTruncatedAnswerLeadsToTheNextReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		cluster.log.put("a", "api")
		keeps, restarted := cluster.reader("keeps"), cluster.node("restarted", fanout.Plan{Shared: true, ReadsLog: true})
		client := cluster.client("n", "restarted", "keeps")
		counts := readCounts{}
		client.config.Counter = counts
		cluster.readNewest(client)
		cluster.log.put("b", "api")
		cluster.readNewest(restarted)
		cluster.readFrom(keeps, 1)
		clear(counts)
		require.Equal(t, []string{"b"}, keys(cluster.readFrom(client, 1).Records))
		require.Equal(t, readCounts{FromReader: 2}, counts)
		cluster.readNewest(keeps)
		_, err := client.ReadKeyed(t.Context(), sharedlog.Partition{Topic: "t"}, 1, 0)
		require.True(t, result.Is(err, result.LogTruncated))
	})
}

// readCounts counts the successful reads by source.
type readCounts map[Source]int

func (c readCounts) EntriesRead(source Source, succeeded bool) {
	if succeeded {
		c[source]++
	}
}
func (readCounts) EntriesServed(int) {}

// A reader that does not answer before the request ends is avoided like an unreachable one.
func TestSilentReaderIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		cluster.log.put("a", "api")
		cluster.reader("r")
		client := cluster.client("n", "r")
		cluster.readNewest(client)
		cluster.silent = map[string]bool{"s": true}
		cluster.plans["n"].Parents = []fanout.Node{{Name: "s", Address: "s"}, {Name: "r", Address: "r"}}
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		// Whether the log is read afterwards does not matter here.
		_, _ = client.ReadKeyed(ctx, sharedlog.Partition{Topic: "t"}, 1, 100*time.Millisecond)
		cluster.called = nil
		cluster.readFrom(client, 1)
		require.Equal(t, []string{"r"}, cluster.called)
	})
}

// A reader holds a request for a limited time, and no longer wait is claimed.
func TestWaitIsNoLongerThanAReaderHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		cluster.log.put("a", "api")
		cluster.reader("r")
		client := cluster.client("n", "r")
		cluster.readNewest(client)
		began := time.Now()
		batch, err := client.ReadKeyed(t.Context(), sharedlog.Partition{Topic: "t"}, 1, 2*maxHoldTime)
		require.NoError(t, err)
		require.Equal(t, time.Since(began), batch.Waited)
	})
}

// The age in a response is not lower than that of the entries in it, even if the reader reads
// the log at the same time.
func TestAgeIsThatOfTheEntriesInTheResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		cluster.log.put("a", "api")
		reader := cluster.reader("r")
		reader.SetAgeFunc(func() time.Duration {
			cluster.log.put(fmt.Sprint("later-", len(cluster.log.records)), "api")
			cluster.readFrom(reader, uint64(len(cluster.log.records)-1))
			return 0
		})
		for _, request := range []*pathbendv1.ReadEntries{
			{Topic: "t", All: true, Newest: true}, {Topic: "t", All: true, From: 1},
		} {
			response, err := cluster.servers["r"].Serve(t.Context(), request)
			require.NoError(t, err)
			require.EqualValues(t, len(cluster.log.records), response.Next, "everything read up to the time of the age is included")
		}
	})
}

// When all nodes start at once, no reader has loaded entries yet. Other nodes wait for their
// readers for a limited time before they read the log themselves.
func TestNodesThatStartTogetherWaitForTheirReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		cluster.log.put("a", "api")
		cluster.node("r", fanout.Plan{Shared: true, ReadsLog: true})
		client := cluster.client("n", "r")
		_, err := client.ReadNewest(t.Context(), sharedlog.Partition{Topic: "t"}, "")
		require.True(t, result.Is(err, result.LogUnavailable))
		require.Zero(t, cluster.log.reads)
		cluster.readNewest(cluster.feeds["r"])
		require.Equal(t, []string{"a"}, cluster.readNewest(client), "a reader that was not ready is not avoided")
		require.Equal(t, 1, cluster.log.reads)
		waiting := cluster.client("late", "gone")
		for range 8 {
			_, err := waiting.ReadNewest(t.Context(), sharedlog.Partition{Topic: "t"}, "")
			require.True(t, result.Is(err, result.LogUnavailable))
			time.Sleep(250 * time.Millisecond)
		}
		cluster.readNewest(waiting)
		require.Equal(t, 2, cluster.log.reads, "the node reads the log once its wait for the readers has ended")
	})
}

// A node reads the newest entries again when it needs other groups than it has loaded: those of
// services in a new configuration, all of them once it becomes an executor, and fewer once
// other nodes read the log for it.
func TestNodeThatNeedsOtherGroupsReadsTheNewestEntriesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		cluster.log.put("a", "api")
		cluster.log.put("b", "llm")
		cluster.reader("r")
		client := cluster.client("n", "r")
		cluster.readNewest(client)
		truncated := func() {
			_, err := client.ReadKeyed(t.Context(), sharedlog.Partition{Topic: "t"}, 2, 0)
			require.True(t, result.Is(err, result.LogTruncated))
		}
		cluster.required = fanout.Only("api", "llm")
		truncated()
		require.Equal(t, []string{"a", "b"}, cluster.readNewest(client))
		cluster.required = fanout.All()
		truncated()
		cluster.readNewest(client)
		require.True(t, client.Complete())
		cluster.required = fanout.Only("api")
		cluster.readFrom(client, 2)
		time.Sleep(shrinkDelay + time.Second)
		truncated()
		require.Equal(t, []string{"a"}, cluster.readNewest(client))
	})
}

// A node that read all entries from the log because no reader answered keeps them until a reader
// answers: reading the newest ones again would read the log once more.
func TestNodeKeepsAllEntriesWhileNoReaderAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		cluster.log.put("a", "api")
		cluster.log.put("b", "llm")
		client := cluster.client("n", "r")
		for range 8 {
			_, err := client.ReadNewest(t.Context(), sharedlog.Partition{Topic: "t"}, "")
			require.True(t, result.Is(err, result.LogUnavailable))
			time.Sleep(250 * time.Millisecond)
		}
		cluster.readNewest(client)
		require.True(t, client.Complete())
		time.Sleep(shrinkDelay + time.Second)
		cluster.readFrom(client, 2)
		cluster.reader("r")
		time.Sleep(4 * time.Second)
		cluster.readFrom(client, 2)
		_, err := client.ReadKeyed(t.Context(), sharedlog.Partition{Topic: "t"}, 2, 0)
		require.True(t, result.Is(err, result.LogTruncated))
		require.Equal(t, []string{"a"}, cluster.readNewest(client))
	})
}

func TestHeldRequestReturnsAtTheFirstRequestedEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		reader := cluster.reader("r")
		request := &pathbendv1.ReadEntries{Topic: "t", Groups: []string{"api"}, HoldMs: 1000}
		began := time.Now()
		go func() {
			time.Sleep(100 * time.Millisecond)
			cluster.log.put("m", "llm")
			cluster.readFrom(reader, 0)
			time.Sleep(200 * time.Millisecond)
			cluster.log.put("a", "api")
			cluster.readFrom(reader, 1)
		}()
		response, err := cluster.servers["r"].Serve(t.Context(), request)
		require.NoError(t, err)
		require.Equal(t, 300*time.Millisecond, time.Since(began), "entries of other groups do not end the hold")
		require.EqualValues(t, 2, response.Next)
		request.From = 2
		began = time.Now()
		response, err = cluster.servers["r"].Serve(t.Context(), request)
		require.NoError(t, err)
		require.Empty(t, response.Packed)
		require.Equal(t, time.Second, time.Since(began))
	})
}

func TestHeldRequestsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		cluster.reader("r")
		ctx, cancel := context.WithCancel(t.Context())
		for range maxHeldRequests {
			go func() {
				// The request is held until ctx ends.
				_, _ = cluster.servers["r"].Serve(ctx, &pathbendv1.ReadEntries{Topic: "t", All: true, HoldMs: 1 << 40})
			}()
		}
		synctest.Wait()
		_, err := cluster.servers["r"].Serve(t.Context(), &pathbendv1.ReadEntries{Topic: "t"})
		require.True(t, result.Is(err, result.PeerUnreached))
		cancel()
		synctest.Wait()
		_, err = cluster.servers["r"].Serve(t.Context(), &pathbendv1.ReadEntries{Topic: "t"})
		require.NoError(t, err)
		_, err = cluster.servers["r"].Serve(t.Context(), &pathbendv1.ReadEntries{Topic: "another"})
		require.True(t, result.Is(err, result.FrameMalformed))
	})
}

// No part of an invalid response is applied.
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
		"impossible age":                       {Packed: packed, Next: 9, AgeMs: 1 << 62},
		"entry before the requested offset":    {Packed: must(compress([]sharedlog.KeyedRecord{{Key: "a", Offset: 3}})), Next: 9},
	} {
		_, err := decodeResponse(bad, request)
		require.Error(t, err, name)
	}
	late, err := decodeResponse(&pathbendv1.EntryBatch{Packed: packed, Next: 9, AgeMs: 60_000}, request)
	require.NoError(t, err)
	require.Equal(t, time.Minute, late.Age, "late entries are valid")
	_, err = decodeResponse(&pathbendv1.EntryBatch{Truncated: true}, request)
	require.True(t, result.Is(err, result.LogTruncated), "the newest entries are read again")
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
		cluster := newTestCluster(t)
		cluster.log.put("a", "api")
		reader := cluster.node("r", fanout.Plan{ReadsLog: true})
		cluster.readNewest(reader)
		request := &pathbendv1.ReadEntries{Topic: "t", All: true, Newest: true}
		_, err := cluster.servers["r"].Serve(t.Context(), request)
		require.True(t, result.Is(err, result.NotReady))
		cluster.plans["r"].Shared = true
		_, err = reader.ReadKeyed(t.Context(), sharedlog.Partition{Topic: "t"}, 1, 0)
		require.True(t, result.Is(err, result.LogTruncated))
		cluster.readNewest(reader)
		cluster.readFrom(reader, 1)
		response, err := cluster.servers["r"].Serve(t.Context(), request)
		require.NoError(t, err)
		require.NotEmpty(t, response.Packed)
	})
}
