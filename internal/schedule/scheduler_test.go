package schedule

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/evacuation"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/locality"
)

var began = time.Unix(1_000_000, 0)

// kept is text of earlier runs.
type kept struct {
	partial  map[string]Partial
	finished map[string]ledger.Result
}

func (k kept) Partial(id string) (Partial, bool)        { p, ok := k.partial[id]; return p, ok }
func (k kept) Finished(id string) (ledger.Result, bool) { r, ok := k.finished[id]; return r, ok }

// saved tells which part of an item's text the log holds last.
type saved map[string]ledger.Progress

func (s saved) Progress(id string) (ledger.Progress, bool) { p, ok := s[id]; return p, ok }

// bench is a scheduler with the means to drive it.
type bench struct {
	t   *testing.T
	s   *Scheduler
	now time.Time
	ids uint64
}

func newBench(t *testing.T, samplers ...Sampler) *bench {
	b := &bench{t: t, now: began}
	b.s = New(func() uint64 { b.ids++; return b.ids })
	b.s.Samplers(samplers, b.now)
	return b
}

func sampler(id string, slots int, version uint64) Sampler {
	return Sampler{ID: id, Service: "llm", Slots: slots, Versions: map[string]uint64{"m": version}}
}

// jobOf makes a job with one item per word "group:tokens".
func (b *bench) jobOf(id string, minVersion uint64, words ...string) testJob {
	b.t.Helper()
	var items []*pathbendv1.BatchItem
	spec := &pathbendv1.BatchJob{Model: "m", MinVersion: minVersion, Tenant: "tenant"}
	for i, word := range words {
		group, tokens, _ := strings.Cut(word, ":")
		expected := uint64(0)
		_, err := fmt.Sscan(tokens, &expected)
		require.NoError(b.t, err)
		items = append(items, &pathbendv1.BatchItem{
			Id: fmt.Sprintf("%s-%d", id, i), Group: group, ExpectedTokens: expected, Reward: &pathbendv1.RewardCall{Id: "w"},
		})
		spec.ItemIds = append(spec.ItemIds, items[i].Id)
	}
	l := ledger.New()
	entry := &pathbendv1.LedgerEntry{JobId: id, Fact: &pathbendv1.LedgerEntry_Submitted{Submitted: spec}}
	const large = 1 << 20
	records, err := ledger.Encode(entry, 1, large)
	require.NoError(b.t, err)
	_, err = l.Apply(records[0], b.now)
	require.NoError(b.t, err)
	return testJob{open: l.Job(id), items: items}
}

// testJob is a job with its items.
type testJob struct {
	open  *ledger.Job
	items []*pathbendv1.BatchItem
}

func (b *bench) addJob(job testJob, policy Policy, kept Kept) []Finished {
	finished, _ := b.s.AddJob(job.open, job.items, policy, kept)
	return finished
}

func policy(due time.Duration) Policy {
	return Policy{Services: []string{"llm"}, MaxFailures: 3, Due: began.Add(due)}
}

func (b *bench) starts() []Start { return b.s.Starts(b.now) }

// feed makes events of a run.
func (b *bench) feed(start Start, from, to, version uint64) bool {
	for id := from; id <= to; id++ {
		b.now = b.now.Add(10 * time.Millisecond)
		if !b.s.Progress(start.Key, start.Run, Event{ID: id, Version: version, Data: fmt.Append(nil, id)}, b.now) {
			return false
		}
	}
	return true
}

func itemsOf(starts []Start) []string {
	var items []string
	for _, start := range starts {
		items = append(items, start.Key.Item)
	}
	return items
}

// Items of the longest group began first, and the long ones of other groups waited
// behind its short ones: the last of a step began when they should have been half
// done.
func TestLongestItemFirstAndOldestJobFirst(t *testing.T) {
	b := newBench(t, sampler("s", 10, 1))
	b.addJob(b.jobOf("late", 1, "g:900"), policy(9*time.Second), kept{})
	b.addJob(b.jobOf("soon", 1, "g1:10", "g2:50", "g1:99", "g2:20"), policy(5*time.Second), kept{})
	require.Equal(t, []string{"soon-2", "soon-1", "soon-0", "soon-3", "late-0"}, itemsOf(b.starts()))
}

func TestGroupsThatCameBeforeStandFirst(t *testing.T) {
	b := newBench(t, sampler("s", 0, 1))
	b.s.Samplers([]Sampler{sampler("s", 10, 1)}, b.now)
	b.addJob(b.jobOf("a", 1, "old:5"), policy(time.Second), kept{})
	b.s.DropJob("a", b.now)
	b.addJob(b.jobOf("b", 1, "new:500", "old:5"), policy(time.Second), kept{})
	require.Equal(t, []string{"b-1", "b-0"}, itemsOf(b.starts()))
}

func TestSlotsServiceVersionAndLoadingAreHeeded(t *testing.T) {
	old, leaving, other := sampler("old", 8, 1), sampler("leaving", 8, 2), sampler("other", 8, 2)
	leaving.Leaving, other.Service = true, "api"
	b := newBench(t, old, leaving, other, sampler("fit", 2, 2), sampler("loading", 8, 2))
	b.s.SetLoading(Incarnation{ID: "loading"}, "m", true)
	b.addJob(b.jobOf("j", 2, "g:1", "g:1", "g:1", "g:1"), policy(time.Second), kept{})
	starts := b.starts()
	require.Len(t, starts, 2)
	for _, start := range starts {
		require.Equal(t, "fit", start.Sampler.ID)
	}
	b.s.SetLoading(Incarnation{ID: "loading"}, "m", false)
	require.Len(t, b.starts(), 2)
	require.Empty(t, b.starts())
}

func TestLoadingOneModelDoesNotBlockAnother(t *testing.T) {
	b := newBench(t, sampler("s", 8, 2))
	b.s.SetLoading(Incarnation{ID: "s"}, "another", true)
	b.addJob(b.jobOf("j", 2, "g:1"), policy(time.Second), kept{})
	require.Len(t, b.starts(), 1)
}

func TestBrokenRunGoesOnAfterItsLastEvent(t *testing.T) {
	b := newBench(t, sampler("s", 1, 3), sampler("t", 1, 3))
	b.addJob(b.jobOf("j", 2, "g:100"), policy(time.Second), kept{})
	first := b.starts()[0]
	require.True(t, b.feed(first, 1, 3, 3))
	require.False(t, b.feed(first, 5, 5, 3), "a gap is no event")
	b.s.RunEnded(first.Key, first.Run, Broken, b.now)
	b.now = b.now.Add(time.Second)
	second := b.starts()[0]
	require.EqualValues(t, 3, second.AfterEvent)
	require.NotEqual(t, first.Sampler.ID, second.Sampler.ID)
	require.False(t, b.feed(first, 4, 4, 3), "the former run is over")
	require.True(t, b.feed(second, 4, 4, 4))
	verdict := b.s.RunEnded(second.Key, second.Run, Complete, b.now)
	require.Equal(t, "1\n2\n3\n4", string(verdict.Finished.Text))
	require.Equal(t, []uint64{3, 4}, verdict.Finished.Versions)
}

func TestOldWeightsAreNoEventAndTheSamplerIsKnown(t *testing.T) {
	b := newBench(t, sampler("s", 1, 5))
	b.addJob(b.jobOf("j", 4, "g:100"), policy(time.Second), kept{})
	start := b.starts()[0]
	require.False(t, b.feed(start, 1, 1, 3))
	b.s.RunEnded(start.Key, start.Run, Stopped, b.now)
	b.now = b.now.Add(time.Second)
	require.Empty(t, b.starts(), "its weights are older than was listed")
}

func TestSingleVersionTextIsMadeByOne(t *testing.T) {
	b := newBench(t, sampler("s", 1, 5))
	single := policy(time.Second)
	single.SingleVersion = true
	require.False(t, b.s.SingleVersion("m"))
	b.addJob(b.jobOf("j", 4, "g:100"), single, kept{})
	require.True(t, b.s.SingleVersion("m"))
	require.False(t, b.s.SingleVersion("another"))
	start := b.starts()[0]
	require.True(t, b.feed(start, 1, 2, 5))
	require.False(t, b.feed(start, 3, 3, 6))
	b.s.RunEnded(start.Key, start.Run, Stopped, b.now)
	b.now = b.now.Add(time.Second)
	require.Zero(t, b.starts()[0].AfterEvent)
}

func TestFailuresEndAnItemOnlyAfterTheirNumber(t *testing.T) {
	b := newBench(t, sampler("s", 1, 1))
	b.addJob(b.jobOf("j", 1, "g:1"), policy(time.Second), kept{})
	for failure := 1; failure <= 3; failure++ {
		b.now = b.now.Add(time.Minute)
		start := b.starts()[0]
		verdict := b.s.RunEnded(start.Key, start.Run, Failed, b.now)
		require.Equal(t, failure == 3, verdict.Dead)
	}
	b.now = b.now.Add(time.Minute)
	require.Empty(t, b.starts())
}

func TestSilentRunsMove(t *testing.T) {
	b := newBench(t, sampler("dark", 1, 1))
	b.addJob(b.jobOf("j", 1, "g:100"), policy(time.Second), kept{})
	start := b.starts()[0]
	b.s.Samplers([]Sampler{sampler("dark", 1, 1), sampler("fit", 1, 1)}, b.now)
	b.now = b.now.Add(silenceLimit)
	require.Empty(t, b.s.Moves(b.now))
	b.now = b.now.Add(time.Millisecond)
	moves := b.s.Moves(b.now)
	require.Len(t, moves, 1)
	require.Equal(t, "silent", moves[0].Reason)
	require.Equal(t, "fit", b.starts()[0].Sampler.ID)
	require.Equal(t, Verdict{}, b.s.RunEnded(start.Key, start.Run, Stopped, b.now), "the former run has no say")
}

func TestRunsOnASlowSamplerMoveWhereThereIsRoom(t *testing.T) {
	b := newBench(t, sampler("slow", 1, 1))
	b.addJob(b.jobOf("j", 1, "g:9000"), policy(time.Second), kept{})
	start := b.starts()[0]
	for id := uint64(1); id < 20; id++ {
		b.now = b.now.Add(200 * time.Millisecond)
		require.True(t, b.s.Progress(start.Key, start.Run, Event{ID: id, Version: 1, Data: []byte("x")}, b.now))
	}
	require.Empty(t, b.s.Moves(b.now), "there is no other sampler")
	b.s.Samplers([]Sampler{sampler("slow", 1, 1), sampler("fit", 1, 1)}, b.now)
	moves := b.s.Moves(b.now)
	require.Len(t, moves, 1)
	require.Equal(t, "slow", moves[0].Reason)
	next := b.starts()[0]
	require.Equal(t, "fit", next.Sampler.ID)
	require.EqualValues(t, 19, next.AfterEvent)
}

var wholeText = &pathbendv1.Blob{Offset: 3, Records: 1, Bytes: 5}

func TestKeptTextIsUsedIfItsVersionsFit(t *testing.T) {
	earlier := kept{
		partial: map[string]Partial{
			"j-0": {ID: 9, Events: 2, Text: []byte("1\n2"), Versions: []uint64{4}},
			"j-1": {ID: 8, Events: 2, Text: []byte("1\n2"), Versions: []uint64{2}},
		},
		finished: map[string]ledger.Result{
			"j-2": {ItemID: "j-2", Text: wholeText, Versions: []uint64{4, 5}, Score: "stamp", RewardID: "w"},
			"j-3": {ItemID: "j-3", Text: wholeText, Versions: []uint64{4}, Score: "stamp", RewardID: "another"},
			"j-4": {ItemID: "j-4", Text: wholeText, Versions: []uint64{1}, Score: "stamp", RewardID: "w"},
		},
	}
	b := newBench(t, sampler("s", 8, 5))
	finished := b.addJob(b.jobOf("j", 4, "a:1", "a:1", "a:1", "a:1", "a:1"), policy(time.Second), earlier)
	require.Len(t, finished, 2)
	require.Equal(t, "stamp", finished[0].Score)
	require.Same(t, wholeText, finished[0].Kept, "the text need not be read to be listed again")
	require.Empty(t, finished[1].Score, "it needs its own reward call")
	after := make(map[string]uint64)
	for _, start := range b.starts() {
		after[start.Key.Item] = start.AfterEvent
	}
	require.Equal(t, map[string]uint64{"j-0": 2, "j-1": 0, "j-4": 0}, after)
}

func TestSavedPartsFormAChainAndAreSentAgainIfLost(t *testing.T) {
	b := newBench(t, sampler("s", 1, 1))
	b.addJob(b.jobOf("j", 1, "g:100"), policy(time.Second), kept{})
	start := b.starts()[0]
	b.feed(start, 1, 2, 1)
	first := b.s.Unsaved(2, saved{}, b.now)["j"][0]
	require.Zero(t, first.Progress.Previous)
	require.Equal(t, "1\n2", string(first.Text))
	b.feed(start, 3, 4, 1)
	require.Empty(t, b.s.Unsaved(2, saved{}, b.now), "the first part was not read back yet")
	read := saved{"j-0": {ID: first.Progress.Id, Events: 2}}
	second := b.s.Unsaved(2, read, b.now)["j"][0]
	require.Equal(t, first.Progress.Id, second.Progress.Previous)
	require.Equal(t, "3\n4", string(second.Text))
	b.now = b.now.Add(confirmTimeout)
	lost := b.s.Unsaved(2, read, b.now)["j"][0]
	require.Zero(t, lost.Progress.Previous)
	require.Equal(t, "1\n2\n3\n4", string(lost.Text))
}

func TestDroppedJobFreesItsSlots(t *testing.T) {
	b := newBench(t, sampler("s", 2, 1))
	b.addJob(b.jobOf("j", 1, "g:1", "g:1"), policy(time.Second), kept{})
	require.Len(t, b.starts(), 2)
	require.Len(t, b.s.DropJob("j", b.now), 2)
	b.addJob(b.jobOf("k", 1, "g:1", "g:1"), policy(time.Second), kept{})
	require.Len(t, b.starts(), 2)
	passed, stopped := b.s.Settled(Key{Job: "k", Item: "k-0"})
	require.Len(t, stopped, 1)
	require.Equal(t, 1, passed.Runs)
	require.NotZero(t, passed.Started)
	_, stopped = b.s.Settled(Key{Job: "k", Item: "k-0"})
	require.Empty(t, stopped)
	require.Equal(t, 1, b.s.Loads()[0].Running)
}

func TestGoneSamplerIsForgottenOnceItsRunsEnd(t *testing.T) {
	b := newBench(t, sampler("s", 1, 1))
	b.addJob(b.jobOf("j", 1, "g:1"), policy(time.Second), kept{})
	start := b.starts()[0]
	b.s.Samplers(nil, b.now)
	require.Len(t, b.s.Loads(), 1)
	b.s.RunEnded(start.Key, start.Run, Broken, b.now)
	b.s.Samplers(nil, b.now)
	require.Empty(t, b.s.Loads())
}

// A long-lived executor kept the name of every group that it had ever seen.
func TestGroupsAreForgottenOnceTheyCannotComeAgain(t *testing.T) {
	b := newBench(t, sampler("s", 1, 1))
	for number := range 100 {
		id := fmt.Sprint("j", number)
		b.addJob(b.jobOf(id, 1, fmt.Sprintf("g%d:1", number)), policy(time.Second), kept{})
		b.s.DropJob(id, b.now)
		b.now = b.now.Add(4 * time.Second)
	}
	require.LessOrEqual(t, len(b.s.seenGroups), int(carryTime/(4*time.Second))+1)
}

// Every free place at a slow sampler was filled and left again 400 ms later: 745
// of 4,009 runs of a day were moved.
func TestSlowSamplerGetsOneItemAtATime(t *testing.T) {
	b := newBench(t, sampler("fast", 4, 1), sampler("slow", 4, 1))
	b.s.fleetPace = 20 * time.Millisecond
	b.s.samplers["fast"].observe(20*time.Millisecond, b.s.fleetPace)
	for range 30 {
		b.s.samplers["slow"].observe(100*time.Millisecond, b.s.fleetPace)
	}
	b.addJob(b.jobOf("j", 1, "g:1", "g:1", "g:1", "g:1", "g:1", "g:1", "g:1"), policy(time.Second), kept{})
	counts := make(map[string]int)
	for _, start := range b.starts() {
		counts[start.Sampler.ID]++
	}
	require.Equal(t, map[string]int{"fast": 4, "slow": 1}, counts)
}

// A sampler that had made no event yet was taken for faster than any that had,
// and drew the runs of all others.
func TestUnknownSamplerCountsAsTheFleetDoes(t *testing.T) {
	b := newBench(t, sampler("known", 8, 1))
	b.addJob(b.jobOf("j", 1, "g:9000", "g:9000"), policy(time.Second), kept{})
	starts := b.starts()
	b.s.fleetPace = 70 * time.Millisecond
	for range 30 {
		b.s.samplers["known"].observe(70*time.Millisecond, b.s.fleetPace)
	}
	b.s.Samplers([]Sampler{sampler("known", 8, 1), sampler("unknown", 8, 1)}, b.now)
	for _, start := range starts {
		require.True(t, b.s.Progress(start.Key, start.Run, Event{ID: 1, Version: 1, Data: []byte("x")}, b.now.Add(time.Second)))
	}
	require.Empty(t, b.s.Moves(b.now.Add(time.Second+moveAfter)))
}

// A short item of the job that is due next would be complete in time either way.
func TestLongItemOfALaterJobGoesBeforeAShortOneOfAnEarlier(t *testing.T) {
	b := newBench(t, sampler("s", 10, 1))
	b.addJob(b.jobOf("soon", 1, "g:45"), policy(5*time.Second), kept{})
	b.addJob(b.jobOf("late", 1, "g:9000", "g:45"), policy(9*time.Second), kept{})
	require.Equal(t, []string{"late-0", "soon-0", "late-1"}, itemsOf(b.starts()))
}

func TestItemsOfACarriedGroupLeadThoseAsLong(t *testing.T) {
	b := newBench(t, sampler("s", 10, 1))
	b.addJob(b.jobOf("a", 1, "old:450"), policy(time.Second), kept{})
	b.s.DropJob("a", b.now)
	b.addJob(b.jobOf("b", 1, "new:450", "new:9000", "old:450"), policy(9*time.Second), kept{})
	require.Equal(t, []string{"b-1", "b-2", "b-0"}, itemsOf(b.starts()))
}

// A job of the first rank was served less than one of the second that shared its
// samplers.
func TestItemsOfTheFirstRankLeadThoseAsLong(t *testing.T) {
	b := newBench(t, sampler("s", 10, 1))
	second := policy(5 * time.Second)
	second.Priority = 1
	b.addJob(b.jobOf("a-second", 1, "g:450"), second, kept{})
	b.addJob(b.jobOf("b-first", 1, "g:450"), policy(5*time.Second), kept{})
	require.Equal(t, []string{"b-first-0", "a-second-0"}, itemsOf(b.starts()))
}

// Among 2,400 samplers some pace was always estimated far too low, so nearly every
// run counted as slow beside it and was moved, again and again.
func TestOneLowEstimateMakesNoOtherSamplerSlow(t *testing.T) {
	const pace = 20 * time.Millisecond
	var samplers []Sampler
	for i := range 40 {
		samplers = append(samplers, sampler(fmt.Sprintf("s%02d", i), 2, 1))
	}
	b := newBench(t, samplers...)
	var words []string
	for i := range 40 {
		words = append(words, fmt.Sprintf("g%d:9000", i))
	}
	b.addJob(b.jobOf("j", 1, words...), policy(time.Second), kept{})
	b.starts()
	for i, state := range b.s.ordered {
		state.pace, state.observed = pace, true
		if i < 3 {
			state.pace = pace / 3
		}
	}
	b.s.fleetPace = pace
	b.now = b.now.Add(time.Second)
	require.Empty(t, b.s.Moves(b.now))
	b.s.ordered[20].pace = 3 * pace
	moves := b.s.Moves(b.now)
	require.NotEmpty(t, moves, "one is slow indeed")
	for _, move := range moves {
		require.Equal(t, b.s.ordered[20].ID, move.From)
	}
}

func TestChoiceLooksAtABoundedNumberOfSamplers(t *testing.T) {
	var samplers []Sampler
	for i := range 10 * mostCandidates {
		samplers = append(samplers, sampler(fmt.Sprintf("s%04d", i), 2, 1))
	}
	b := newBench(t, samplers...)
	var words []string
	for i := range 200 {
		words = append(words, fmt.Sprintf("g%d:9000", i))
	}
	b.addJob(b.jobOf("j", 1, words...), policy(time.Second), kept{})
	starts := b.starts()
	require.Len(t, starts, 200)
	used := make(map[string]int)
	for _, start := range starts {
		require.LessOrEqual(t, start.Candidates, mostCandidates)
		used[start.Sampler.ID]++
	}
	require.Len(t, used, 200, "each finds an idle sampler")
}

func TestChoiceFindsTheOnlySamplerThatFits(t *testing.T) {
	var samplers []Sampler
	for i := range 10 * mostCandidates {
		samplers = append(samplers, sampler(fmt.Sprintf("s%04d", i), 2, 1))
	}
	samplers[700].Versions["m"] = 2
	b := newBench(t, samplers...)
	b.addJob(b.jobOf("j", 2, "g:9000", "g:9000", "g:9000"), policy(time.Second), kept{})
	starts := b.starts()
	require.Len(t, starts, 2)
	require.Equal(t, "s0700", starts[0].Sampler.ID)
}

func evacuated(zones ...string) evacuation.Zones {
	next, _ := evacuation.Zones{}.Take(evacuation.SourceOperator, zones, began)
	return next
}

func inZone(zone string, listed Sampler) Sampler {
	listed.Zone = zone
	return listed
}

func TestEvacuatedSamplerGetsNothingNewAndFinishesWhatItHas(t *testing.T) {
	b := newBench(t, inZone("a", sampler("a1", 2, 1)), inZone("b", sampler("b1", 1, 1)))
	b.addJob(b.jobOf("j", 1, "g:900", "g:800", "g:700"), policy(time.Second), kept{})
	running := b.starts()
	require.Len(t, running, 3)
	b.s.Evacuate(evacuated("a"), b.now)
	b.addJob(b.jobOf("k", 1, "g:900", "g:800"), policy(time.Second), kept{})
	for _, start := range running {
		require.True(t, b.feed(start, 1, 5, 1))
		require.NotNil(t, b.s.RunEnded(start.Key, start.Run, Complete, b.now).Finished)
	}
	require.Empty(t, b.s.Moves(b.now))
	starts := b.starts()
	require.Len(t, starts, 1)
	require.Equal(t, "b1", starts[0].Sampler.ID)
	b.s.Samplers([]Sampler{inZone("a", sampler("a1", 2, 1)), inZone("a", sampler("a2", 2, 1)), inZone("b", sampler("b1", 1, 1))}, b.now)
	require.Empty(t, b.starts(), "also samplers that came since get nothing")
	b.s.Evacuate(evacuated(), b.now)
	require.Len(t, b.starts(), 1, "the zone is taken back")
}

func TestSlowRunsDoNotMoveIntoAnEvacuatedZone(t *testing.T) {
	b := newBench(t, sampler("slow", 1, 1))
	b.addJob(b.jobOf("j", 1, "g:9000"), policy(time.Second), kept{})
	start := b.starts()[0]
	for id := uint64(1); id < 20; id++ {
		b.now = b.now.Add(200 * time.Millisecond)
		require.True(t, b.s.Progress(start.Key, start.Run, Event{ID: id, Version: 1, Data: []byte("x")}, b.now))
	}
	b.s.Evacuate(evacuated("a"), b.now)
	b.s.Samplers([]Sampler{sampler("slow", 1, 1), inZone("a", sampler("fit", 1, 1))}, b.now)
	require.Empty(t, b.s.Moves(b.now))
}

// A job that regions bind never goes to a sampler elsewhere, also if all others are taken.
func TestItemsStayInTheirRegions(t *testing.T) {
	b := newBench(t)
	b.s.Samplers([]Sampler{
		{ID: "north", Service: "llm", Zone: "n", Slots: 8, Versions: map[string]uint64{"m": 1}},
		{ID: "south", Service: "llm", Zone: "s", Slots: 2, Versions: map[string]uint64{"m": 1}},
		{ID: "nowhere", Service: "llm", Slots: 8, Versions: map[string]uint64{"m": 1}},
	}, b.now)
	bound := policy(time.Minute)
	bound.Topology = locality.NewTopology(map[string]string{"n": "north", "s": "south"})
	bound.Regions = locality.Only("south")
	b.addJob(b.jobOf("j", 1, "a:1", "a:1", "b:1", "b:1"), bound, kept{})
	starts := b.starts()
	require.Len(t, starts, 2)
	for _, start := range starts {
		require.Equal(t, "south", start.Sampler.ID)
	}
}
