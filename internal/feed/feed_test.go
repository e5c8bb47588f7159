package feed

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

func (l *topicLog) Newest(context.Context, sharedlog.Partition, string) (sharedlog.KeyedPage, error) {
	l.reads++
	if l.down {
		return sharedlog.KeyedPage{}, result.New(result.LogUnavailable, "down")
	}
	page := sharedlog.KeyedPage{}
	page.Records, page.End = l.records, uint64(len(l.records))
	return page, nil
}

func (l *topicLog) ReadKeyed(_ context.Context, _ sharedlog.Partition, from uint64, _ time.Duration) (sharedlog.KeyedBatch, error) {
	l.reads++
	if l.down {
		return sharedlog.KeyedBatch{}, result.New(result.LogUnavailable, "down")
	}
	end := uint64(len(l.records))
	return sharedlog.KeyedBatch{End: end, Next: end, Records: l.records[min(from, end):]}, nil
}

type noCounts struct{}

func (noCounts) EntriesRead(Source, bool) {}
func (noCounts) EntriesServed(int)        {}

// fleet is nodes that share the readings of one log.
type fleet struct {
	t       *testing.T
	log     *topicLog
	plans   map[string]*fanout.Plan
	feeds   map[string]*Feed
	servers map[string]*Server
	ages    map[string]time.Duration
	asked   []string
	lines   strings.Builder
	wants   fanout.Groups
}

func newFleet(t *testing.T) *fleet {
	return &fleet{
		t: t, log: &topicLog{}, plans: map[string]*fanout.Plan{}, feeds: map[string]*Feed{}, servers: map[string]*Server{},
		ages: map[string]time.Duration{}, wants: fanout.Only("api"),
	}
}

// Call implements Caller: addresses are names.
func (f *fleet) Call(ctx context.Context, address string, call *pathbendv1.Envelope) (*pathbendv1.Envelope, error) {
	f.asked = append(f.asked, address)
	server := f.servers[address]
	if server == nil {
		return nil, result.New(result.PeerUnreached, "nobody at %s", address)
	}
	answer, err := server.Answer(ctx, call.GetReadEntries())
	if err != nil {
		return nil, err
	}
	return &pathbendv1.Envelope{Body: &pathbendv1.Envelope_EntryBatch{EntryBatch: answer}}, nil
}

func (f *fleet) node(name string, plan fanout.Plan) *Feed {
	f.plans[name] = &plan
	made := New(Config{
		Log: f.log, Topic: "t", GroupOf: func(record sharedlog.KeyedRecord) string { return string(record.Value) },
		Plan:   func() fanout.Plan { return *f.plans[name] },
		Wanted: func() fanout.Groups { return f.wants }, Caller: f, Counts: noCounts{},
		Logger: event.NewLogger(&f.lines, slog.LevelDebug),
	})
	f.feeds[name] = made
	made.Watch(func() time.Duration { return f.ages[name] })
	f.servers[name] = NewServer(made)
	return made
}

// reader is a node that reads for others, and has read all there is.
func (f *fleet) reader(name string) *Feed {
	made := f.node(name, fanout.Plan{Shared: true, Reads: true})
	f.readNewest(made)
	return made
}

func (f *fleet) asker(name string, parents ...string) *Feed {
	plan := fanout.Plan{Shared: true}
	for _, parent := range parents {
		plan.Parents = append(plan.Parents, fanout.Node{Name: parent, Address: parent})
	}
	return f.node(name, plan)
}

func (f *fleet) readNewest(of *Feed) []string {
	f.t.Helper()
	page, err := of.Newest(f.t.Context(), sharedlog.Partition{Topic: "t"}, "")
	require.NoError(f.t, err)
	of.Reset(page.Records, page.End)
	return keys(page.Records)
}

func (f *fleet) readOn(of *Feed, from uint64) sharedlog.KeyedBatch {
	f.t.Helper()
	batch, err := of.ReadKeyed(f.t.Context(), sharedlog.Partition{Topic: "t"}, from, 100*time.Millisecond)
	require.NoError(f.t, err)
	of.Apply(batch.Records, batch.Next)
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
		f := newFleet(t)
		f.log.put("a", "api")
		f.log.put("b", "llm")
		reader := f.reader("r")
		reads := f.log.reads
		asker := f.asker("n", "r")
		require.Equal(t, []string{"a"}, f.readNewest(asker), "only what it wants")
		f.log.put("c", "api")
		f.log.put("d", "llm")
		f.readOn(reader, 2)
		f.ages["r"] = 300 * time.Millisecond
		batch := f.readOn(asker, 2)
		require.Equal(t, []string{"c"}, keys(batch.Records))
		require.EqualValues(t, 4, batch.Next)
		require.Equal(t, 300*time.Millisecond, batch.Age, "the reader's age counts")
		require.Equal(t, reads+1, f.log.reads, "the log was read by the reader only")
		require.True(t, reader.Whole())
		require.False(t, asker.Whole())
	})
}

// A reader that is gone, lags, does not read or answers nonsense is passed over; then the
// node reads the log itself.
func TestNodeWhoseReadersFailReadsTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.log.put("a", "api")
		f.reader("lags")
		f.ages["lags"] = fanout.StalestAge + time.Millisecond
		asker := f.asker("n", "gone", "lags")
		_, err := asker.Newest(t.Context(), sharedlog.Partition{Topic: "t"}, "")
		require.True(t, result.Is(err, result.LogUnavailable))
		require.Equal(t, []string{"gone", "lags"}, f.asked)
		time.Sleep(5 * time.Second)
		f.readNewest(asker)
		require.True(t, asker.Whole(), "the log has no part of a list")
		require.Contains(t, f.lines.String(), "reader_unhelpful")
		f.plans["n"].Parents = nil
		f.log.put("b", "api")
		require.Equal(t, []string{"b"}, keys(f.readOn(asker, 1).Records))
	})
}

// When all start at once, nobody has read anything: a node waits a little for its readers,
// and reads the log itself only then.
func TestNodesThatStartTogetherLeaveTheLogToTheReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.log.put("a", "api")
		f.node("r", fanout.Plan{Shared: true, Reads: true})
		asker := f.asker("n", "r")
		_, err := asker.Newest(t.Context(), sharedlog.Partition{Topic: "t"}, "")
		require.True(t, result.Is(err, result.LogUnavailable))
		require.Zero(t, f.log.reads)
		f.readNewest(f.feeds["r"])
		require.Equal(t, []string{"a"}, f.readNewest(asker), "a reader that was not ready is asked again at once")
		require.Equal(t, 1, f.log.reads)
		late := f.asker("late", "gone")
		for range 8 {
			_, err := late.Newest(t.Context(), sharedlog.Partition{Topic: "t"}, "")
			require.True(t, result.Is(err, result.LogUnavailable))
			time.Sleep(250 * time.Millisecond)
		}
		f.readNewest(late)
		require.Equal(t, 2, f.log.reads, "its patience is over")
	})
}

// A node that needs other entries than it has reads them anew: services of a new
// configuration, all of them once it is to execute, and fewer once others read for it.
func TestNodeThatWantsOtherEntriesReadsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.log.put("a", "api")
		f.log.put("b", "llm")
		f.reader("r")
		asker := f.asker("n", "r")
		f.readNewest(asker)
		truncated := func() {
			_, err := asker.ReadKeyed(t.Context(), sharedlog.Partition{Topic: "t"}, 2, 0)
			require.True(t, result.Is(err, result.LogTruncated))
		}
		f.wants = fanout.Only("api", "llm")
		truncated()
		require.Equal(t, []string{"a", "b"}, f.readNewest(asker))
		f.wants = fanout.All()
		truncated()
		f.readNewest(asker)
		require.True(t, asker.Whole())
		f.wants = fanout.Only("api")
		f.readOn(asker, 2)
		time.Sleep(shrinkAfter + time.Second)
		truncated()
		require.Equal(t, []string{"a"}, f.readNewest(asker))
	})
}

func TestQuestionIsAnsweredAsSoonAsThereIsAnEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		reader := f.reader("r")
		question := &pathbendv1.ReadEntries{Topic: "t", Groups: []string{"api"}, HoldMs: 1000}
		began := time.Now()
		go func() {
			time.Sleep(100 * time.Millisecond)
			f.log.put("m", "llm")
			f.readOn(reader, 0)
			time.Sleep(200 * time.Millisecond)
			f.log.put("a", "api")
			f.readOn(reader, 1)
		}()
		answer, err := f.servers["r"].Answer(t.Context(), question)
		require.NoError(t, err)
		require.Equal(t, 300*time.Millisecond, time.Since(began), "what is not wanted wakes nobody")
		require.EqualValues(t, 2, answer.Next)
		question.From = 2
		began = time.Now()
		answer, err = f.servers["r"].Answer(t.Context(), question)
		require.NoError(t, err)
		require.Empty(t, answer.Packed)
		require.Equal(t, time.Second, time.Since(began))
	})
}

func TestQuestionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.reader("r")
		ctx, cancel := context.WithCancel(t.Context())
		for range mostHeld {
			go func() {
				// It ends with ctx.
				_, _ = f.servers["r"].Answer(ctx, &pathbendv1.ReadEntries{Topic: "t", All: true, HoldMs: 1 << 40})
			}()
		}
		synctest.Wait()
		_, err := f.servers["r"].Answer(t.Context(), &pathbendv1.ReadEntries{Topic: "t"})
		require.True(t, result.Is(err, result.PeerUnreached))
		cancel()
		synctest.Wait()
		_, err = f.servers["r"].Answer(t.Context(), &pathbendv1.ReadEntries{Topic: "t"})
		require.NoError(t, err)
		_, err = f.servers["r"].Answer(t.Context(), &pathbendv1.ReadEntries{Topic: "another"})
		require.True(t, result.Is(err, result.FrameMalformed))
	})
}

// Nothing of an answer that makes no sense is applied.
func TestAnswerThatMakesNoSenseIsDropped(t *testing.T) {
	packed, err := pack([]sharedlog.KeyedRecord{{Key: "a", Value: []byte("api"), Offset: 7}})
	require.NoError(t, err)
	question := &pathbendv1.ReadEntries{From: 5}
	good := &pathbendv1.EntryBatch{Packed: packed, Next: 9}
	batch, err := readAnswer(good, question)
	require.NoError(t, err)
	require.Equal(t, []sharedlog.KeyedRecord{{Key: "a", Value: []byte("api"), Offset: 7}}, batch.Records)
	for name, bad := range map[string]*pathbendv1.EntryBatch{
		"none":              nil,
		"backwards":         {Next: 4},
		"no end":            {},
		"beyond its end":    {Packed: packed, Next: 7},
		"not packed":        {Packed: []byte("entries"), Next: 9},
		"cut":               {Packed: packed[:len(packed)-3], Next: 9},
		"from the future":   {Packed: packed, Next: 9, AgeMs: -1},
		"too old":           {Packed: packed, Next: 9, AgeMs: 60_000},
		"before the offset": {Packed: must(pack([]sharedlog.KeyedRecord{{Key: "a", Offset: 3}})), Next: 9},
	} {
		_, err := readAnswer(bad, question)
		require.Error(t, err, name)
	}
	batch, err = readAnswer(&pathbendv1.EntryBatch{Truncated: true}, question)
	require.NoError(t, err)
	require.Zero(t, batch.Next, "the list is read anew")
}

func must(packed []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return packed
}

func TestAnswerThatUnpacksToTooMuchIsDropped(t *testing.T) {
	bomb := must(pack([]sharedlog.KeyedRecord{{Key: "a", Value: make([]byte, mostUnpacked+1)}}))
	require.Less(t, len(bomb), mostUnpacked/100)
	_, err := unpack(bomb)
	require.True(t, result.Is(err, result.FrameTooLarge))
}

// The entries of 2,222 application servers for one node: 0.38 MB before, some 60 kB packed.
func TestEntriesOfAFleetArePackedSmall(t *testing.T) {
	var records []sharedlog.KeyedRecord
	size := 0
	for i := range 2222 {
		value := fmt.Sprintf(`{"service":"wuno96b","address":"10.%d.%d.%d:8080","zone":"plateau","version":"v1","slots":6,"state":"ready","coldLeftMs":0,"stage":"both","models":[],"seq":0,"born":%d}`,
			128+i%5, i/250, i%250, 1764700000123+int64(i)*7919)
		key := fmt.Sprintf("i-%08x", uint32(i)*2654435761)
		records = append(records, sharedlog.KeyedRecord{Key: key, Value: []byte(value), Offset: uint64(i)})
		size += len(key) + len(value)
	}
	packed := must(pack(records))
	require.Greater(t, size, 350_000)
	require.Less(t, len(packed), 100_000)
	unpacked, err := unpack(packed)
	require.NoError(t, err)
	require.Equal(t, records, unpacked)
}

func FuzzAnswer(f *testing.F) {
	f.Add(must(pack([]sharedlog.KeyedRecord{{Key: "a", Value: []byte("api"), Offset: 7}})), uint64(9), int64(0), uint64(5), false)
	f.Fuzz(func(t *testing.T, packed []byte, next uint64, age int64, from uint64, newest bool) {
		batch, err := readAnswer(&pathbendv1.EntryBatch{Packed: packed, Next: next, AgeMs: age}, &pathbendv1.ReadEntries{From: from, Newest: newest})
		if err != nil {
			return
		}
		for _, record := range batch.Records {
			require.True(t, newest || record.Offset >= from && record.Offset < batch.Next)
		}
	})
}

// A node that read for itself alone begins to read for others: it reads the newest of each
// key again, and serves them.
func TestNodeThatBecomesAReaderServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.log.put("a", "api")
		reader := f.node("r", fanout.Plan{Reads: true})
		f.readNewest(reader)
		question := &pathbendv1.ReadEntries{Topic: "t", All: true, Newest: true}
		_, err := f.servers["r"].Answer(t.Context(), question)
		require.True(t, result.Is(err, result.NotReady))
		f.plans["r"].Shared = true
		_, err = reader.ReadKeyed(t.Context(), sharedlog.Partition{Topic: "t"}, 1, 0)
		require.True(t, result.Is(err, result.LogTruncated))
		f.readNewest(reader)
		f.readOn(reader, 1)
		answer, err := f.servers["r"].Answer(t.Context(), question)
		require.NoError(t, err)
		require.NotEmpty(t, answer.Packed)
	})
}
