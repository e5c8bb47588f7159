package metering

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
)

const windowLength = 5 * time.Second

// at returns the moment at an offset from the start of window 1000.
func at(offset time.Duration) time.Time { return time.Unix(0, 1000*int64(windowLength)).Add(offset) }

func TestWindowsCountFromTheUnixEpoch(t *testing.T) {
	require.EqualValues(t, 353445120, WindowAt(time.Unix(1767225600, 0), windowLength))
	require.EqualValues(t, 1000, WindowAt(at(0), windowLength))
	require.EqualValues(t, 1000, WindowAt(at(windowLength-1), windowLength))
	require.EqualValues(t, 1001, WindowAt(at(windowLength), windowLength))
	require.True(t, Window(1000).End(windowLength).Equal(at(windowLength)))
}

func apply(t require.TestingT, aggregator *Aggregator, entry *pathbendv1.UsageEntry) {
	record, err := proto.Marshal(entry)
	require.NoError(t, err)
	require.NoError(t, aggregator.Apply(record))
}

func applyCounts(t require.TestingT, aggregator *Aggregator, counts []*pathbendv1.UsageCounts) {
	for _, entry := range countedEntries(counts) {
		apply(t, aggregator, entry)
	}
}

func countsOf(report *pathbendv1.UsageReport) map[string]uint64 {
	counts := make(map[string]uint64)
	for _, row := range report.Counts {
		counts[row.Tenant] = row.Requests
	}
	return counts
}

// Guards against requests that are counted twice or dropped from the sum. An append whose
// response is lost is repeated and may be applied late, and a killed process does not append
// its remaining counts; only the newest entry of each process and window counts.
func TestSumIsThatOfTheNewestEntriesWhateverIsRepeated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		aggregator := NewAggregator()
		expected := make(map[Window]map[string]uint64)
		var appended []*pathbendv1.UsageCounts
		for process := range rapid.IntRange(1, 4).Draw(t, "processes") {
			counter := NewCounter("n", uint64(process), windowLength, at(0))
			for range rapid.IntRange(0, 30).Draw(t, "steps") {
				switch rapid.IntRange(0, 3).Draw(t, "step") {
				case 0, 1:
					tenant := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "tenant")
					moment := at(time.Duration(rapid.IntRange(0, 14).Draw(t, "second")) * time.Second)
					counter.Count(tenant, moment)
					number := WindowAt(moment, windowLength)
					if expected[number] == nil {
						expected[number] = make(map[string]uint64)
					}
					expected[number][tenant]++
				case 2:
					entries := counter.UnsavedEntries()
					applyCounts(t, aggregator, entries)
					appended = append(appended, entries...)
					if rapid.Bool().Draw(t, "answered") {
						counter.MarkSaved(entries)
					}
				case 3:
					if len(appended) > 0 {
						applyCounts(t, aggregator, []*pathbendv1.UsageCounts{rapid.SampledFrom(appended).Draw(t, "late")})
					}
				}
			}
			entries := counter.UnsavedEntries()
			applyCounts(t, aggregator, entries)
			counter.MarkSaved(entries)
			require.Empty(t, counter.UnsavedEntries(), "saved counts are not returned again")
		}
		for number, counts := range expected {
			require.Equal(t, counts, countsOf(aggregator.SumCounts(number)))
		}
	})
}

func TestFirstDecisionOfAWindowStands(t *testing.T) {
	aggregator := NewAggregator()
	decide := func(requests uint64) {
		apply(t, aggregator, &pathbendv1.UsageEntry{Fact: &pathbendv1.UsageEntry_Decided{Decided: &pathbendv1.UsageReport{
			Window: 1000, Counts: []*pathbendv1.TenantCount{{Tenant: "a", Requests: requests}},
		}}})
	}
	require.Nil(t, aggregator.DecidedReport(1000))
	decide(3)
	decide(4)
	require.Equal(t, map[string]uint64{"a": 3}, countsOf(aggregator.DecidedReport(1000)))
}

func TestWindowsAreDueOldestFirstUntilAccepted(t *testing.T) {
	aggregator := NewAggregator()
	require.Empty(t, aggregator.DueWindows(at(time.Hour), windowLength, 0), "no entries")
	counter := NewCounter("n", 1, windowLength, at(0))
	counter.Count("a", at(time.Second))
	applyCounts(t, aggregator, counter.UnsavedEntries())
	require.Empty(t, aggregator.DueWindows(at(windowLength), windowLength, 0), "window has not ended")
	require.Equal(t, []Window{1000, 1001, 1002}, aggregator.DueWindows(at(3*windowLength+1), windowLength, 0), "windows without entries are due too")
	require.Equal(t, []Window{1002}, aggregator.DueWindows(at(3*windowLength+1), windowLength, 1002))
	apply(t, aggregator, &pathbendv1.UsageEntry{Fact: &pathbendv1.UsageEntry_Accepted{Accepted: &pathbendv1.UsageAccepted{Window: 1001}}})
	require.Equal(t, []Window{1000, 1002}, aggregator.DueWindows(at(3*windowLength+1), windowLength, 0))
	aggregator.DropBefore(1002)
	require.Equal(t, []Window{1002}, aggregator.DueWindows(at(3*windowLength+1), windowLength, 0))
}

func TestWindowIsCompleteOnceEveryRecentCloserClosedIt(t *testing.T) {
	aggregator := NewAggregator()
	first, second := NewCounter("one", 1, windowLength, at(0)), NewCounter("two", 2, windowLength, at(0))
	write := func(counter *Counter, now time.Time) {
		counter.Advance(now)
		entries := counter.UnsavedEntries()
		applyCounts(t, aggregator, entries)
		counter.MarkSaved(entries)
	}
	require.False(t, aggregator.Complete(1000), "no node closed the window")
	write(first, at(windowLength+closeDelay))
	write(second, at(windowLength+closeDelay))
	require.True(t, aggregator.Complete(1000))
	write(first, at(2*windowLength+closeDelay))
	require.False(t, aggregator.Complete(1001), "the second node may hold unsaved counts")
	restarted := NewCounter("two", 3, windowLength, at(windowLength+time.Second))
	write(restarted, at(2*windowLength+closeDelay))
	require.True(t, aggregator.Complete(1001), "the next process of the node closed the window")
}

func TestWindowIsClosedAfterTheCloseDelay(t *testing.T) {
	counter := NewCounter("n", 1, windowLength, at(0))
	counter.Advance(at(windowLength + closeDelay - 1))
	earlier := counter.UnsavedEntries()
	require.Len(t, earlier, predecessorWindows, "windows before the start of the process")
	for _, entry := range earlier {
		require.Less(t, entry.Window, int64(1000))
	}
	counter.MarkSaved(earlier)
	counter.Advance(at(windowLength + closeDelay))
	entries := counter.UnsavedEntries()
	require.Len(t, entries, 1)
	require.True(t, entries[0].Closed)
	counter.MarkSaved(entries)
	counter.Count("a", at(windowLength-1))
	entries = counter.UnsavedEntries()
	require.Len(t, entries, 1, "later counts are still returned")
	require.True(t, entries[0].Closed)
}

func TestCountsThatChangeDuringAnAppendStayUnsaved(t *testing.T) {
	counter := NewCounter("n", 1, windowLength, at(0))
	counter.Count("a", at(0))
	entries := counter.UnsavedEntries()
	counter.Count("a", at(1))
	counter.MarkSaved(entries)
	again := counter.UnsavedEntries()
	require.Len(t, again, 1)
	require.EqualValues(t, 2, again[0].Counts[0].Requests)
	require.Greater(t, again[0].Sequence, entries[0].Sequence)
}

func TestMalformedEntriesAreRejected(t *testing.T) {
	aggregator := NewAggregator()
	require.Error(t, aggregator.Apply([]byte{0xff}))
	require.Error(t, aggregator.Apply(nil), "an entry without content")
}

func FuzzBook(f *testing.F) {
	record, err := proto.Marshal(&pathbendv1.UsageEntry{Fact: &pathbendv1.UsageEntry_Counted{Counted: &pathbendv1.UsageCounts{Window: 3}}})
	require.NoError(f, err)
	f.Add(record)
	f.Fuzz(func(_ *testing.T, record []byte) {
		// Apply must not panic; the tests above check what it reads.
		_ = NewAggregator().Apply(record)
	})
}

// Guards against windows that no process of a node closes: during a rolling restart, neither
// the process that ends soon after a window nor its successor closed it. Each report then
// waited until its last moment, and was late if the duty holder changed at that time.
func TestProcessClosesTheWindowsThatItsPredecessorMayHaveLeftOpen(t *testing.T) {
	aggregator := NewAggregator()
	write := func(counter *Counter, now time.Time) {
		counter.Advance(now)
		entries := counter.UnsavedEntries()
		applyCounts(t, aggregator, entries)
		counter.MarkSaved(entries)
	}
	previous := NewCounter("n", 1, windowLength, at(0))
	write(previous, at(windowLength+closeDelay))
	previous.Count("a", at(windowLength+time.Second))
	write(previous, at(2*windowLength+time.Second))
	require.False(t, aggregator.Complete(1001))
	next := NewCounter("n", 2, windowLength, at(2*windowLength+closeDelay+time.Second))
	write(next, at(2*windowLength+closeDelay+time.Second))
	require.True(t, aggregator.Complete(1001))
	require.Equal(t, map[string]uint64{"a": 1}, countsOf(aggregator.SumCounts(1001)), "the counts of the previous process are included")
}
