package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
)

// carrying returns a bench whose scheduler has seen that jobs of its model bring
// groups again, and knows the usual length of a text.
func carrying(t *testing.T, usual uint64, samplers ...Sampler) *bench {
	t.Helper()
	b := newBench(t, samplers...)
	b.s.Named("m", 2)
	b.s.carries["m"] = true
	b.s.noteLength(usual)
	return b
}

// longAt adds a job of version 1 with one item, which makes events at the sampler of
// that version, then names version 3.
func longAt(b *bench, events uint64) Start {
	b.t.Helper()
	b.addJob(b.jobOf("k", 1, "g:1"), policy(9*time.Second), kept{})
	starts := b.starts()
	require.Len(b.t, starts, 1)
	require.True(b.t, b.feed(starts[0], 1, events, 1))
	b.s.Named("m", 3)
	return starts[0]
}

// Items that a trainer left out came again two steps later under newer weights and
// began anew, and the whole step waited 7.2 s for them.
func TestLongItemRunsAheadAndGoesOnInTheJobThatBringsIt(t *testing.T) {
	b := carrying(t, 4, sampler("old", 4, 1))
	longAt(b, 10)
	require.Empty(t, b.starts(), "no sampler has a version that the later job accepts")
	b.s.Samplers([]Sampler{sampler("old", 8, 1), sampler("new", 8, 3)}, b.now)
	ahead := b.starts()
	require.Len(t, ahead, 1)
	require.True(t, ahead[0].Key.Ahead)
	require.Equal(t, "tenant", ahead[0].Job.Tenant, "a run ahead is the tenant's too")
	require.Equal(t, "new", ahead[0].Sampler.ID)
	require.Zero(t, ahead[0].AfterEvent)
	require.True(t, b.feed(ahead[0], 1, 6, 3))

	require.Len(t, b.s.DropJob("k", b.now), 1, "the run for the job itself")
	again := b.jobOf("l", 3, "g:1")
	again.items[0].Id = "k-0"
	_, stopped := b.s.AddJob(again.open, again.items, policy(9*time.Second), kept{})
	require.Equal(t, []Key{ahead[0].Key}, stopped)
	resumed := b.starts()
	require.Len(t, resumed, 1)
	require.EqualValues(t, 6, resumed[0].AfterEvent)
	require.False(t, resumed[0].Key.Ahead)
	require.Equal(t, 1, b.s.Loads()[0].Running, "the run ahead is over")
}

func TestTextMadeWholeAheadNeedsOnlyItsScore(t *testing.T) {
	b := carrying(t, 4, sampler("old", 8, 1), sampler("new", 8, 3))
	longAt(b, 10)
	ahead := b.starts()[0]
	require.True(t, b.feed(ahead, 1, 3, 3))
	require.Nil(t, b.s.RunEnded(ahead.Key, ahead.Run, Complete, b.now).Finished, "no result of the job that is open")
	b.s.DropJob("k", b.now)
	again := b.jobOf("l", 3, "g:1")
	again.items[0].Id = "k-0"
	finished := b.addJob(again, policy(9*time.Second), kept{})
	require.Len(t, finished, 1)
	require.Equal(t, "1\n2\n3", string(finished[0].Text))
	require.Equal(t, []uint64{3}, finished[0].Versions)
	require.Empty(t, b.starts())
}

func TestTextAheadOfTooOldAVersionIsNotUsed(t *testing.T) {
	b := carrying(t, 4, sampler("old", 8, 1), sampler("new", 8, 3))
	longAt(b, 10)
	require.True(t, b.feed(b.starts()[0], 1, 6, 3))
	b.s.DropJob("k", b.now)
	again := b.jobOf("l", 4, "g:1")
	again.items[0].Id = "k-0"
	b.addJob(again, policy(9*time.Second), kept{})
	b.s.Samplers([]Sampler{sampler("new", 8, 4)}, b.now)
	starts := b.starts()
	require.Len(t, starts, 1)
	require.Zero(t, starts[0].AfterEvent)
}

func TestOnlyLongItemsOfModelsThatCarryRunAhead(t *testing.T) {
	samplers := []Sampler{sampler("old", 8, 1), sampler("new", 8, 3)}
	short := carrying(t, 8, samplers...)
	longAt(short, 10)
	require.Empty(t, short.starts())
	strict := carrying(t, 4, samplers...)
	delete(strict.s.carries, "m")
	longAt(strict, 10)
	require.Empty(t, strict.starts())
}

func TestRunsAheadTakeAPartOfTheSlots(t *testing.T) {
	b := carrying(t, 1, sampler("old", 8, 1), sampler("new", 8, 3))
	b.addJob(b.jobOf("k", 1, "g:1", "g:1", "g:1", "g:1"), policy(9*time.Second), kept{})
	for _, start := range b.starts() {
		require.True(t, b.feed(start, 1, 3, 1))
	}
	b.s.Named("m", 3)
	require.Len(t, b.starts(), 16/aheadPart)
}

// Nothing begins after the end of its job, and what runs stops soon.
func TestRunAheadEndsSoonAfterItsJob(t *testing.T) {
	b := carrying(t, 4, sampler("old", 8, 1), sampler("new", 8, 3))
	longAt(b, 10)
	ahead := b.starts()[0]
	require.True(t, b.feed(ahead, 1, 2, 3))
	b.s.DropJob("k", b.now)
	require.Empty(t, b.starts())
	for passed := time.Duration(0); passed < AheadPatience; passed += time.Second {
		require.Empty(t, b.s.Moves(b.now))
		b.now = b.now.Add(time.Second)
		require.True(t, b.feed(ahead, uint64(3+passed/time.Second), uint64(3+passed/time.Second), 3))
	}
	moves := b.s.Moves(b.now)
	require.Len(t, moves, 1)
	require.Equal(t, ahead.Key, moves[0].Key)
	require.Zero(t, b.s.Loads()[0].Running)
}

func TestListedItemEndsItsRunAhead(t *testing.T) {
	b := carrying(t, 4, sampler("old", 8, 1), sampler("new", 8, 3))
	first := longAt(b, 10)
	ahead := b.starts()[0]
	_, stopped := b.s.Settled(first.Key)
	require.Equal(t, []Key{first.Key, ahead.Key}, stopped)
	require.False(t, b.feed(ahead, 1, 1, 3))
}

func TestSlackOfTheLatestStepCounts(t *testing.T) {
	b := newBench(t, sampler("s", 1, 1))
	b.s.Named("m", 4)
	for _, step := range []struct{ number, least uint64 }{{4, 3}, {3, 2}} {
		spec := &pathbendv1.BatchJob{Model: "m", MinVersion: step.least, Step: step.number}
		b.s.noteSlack(&job{spec: spec})
	}
	require.EqualValues(t, 1, b.s.slack["m"].versions)
}
