package longpoll

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/ledger"
)

var began = time.Unix(1_000_000, 0)

// book is a ledger with the job "j" of three groups of two items, of which the caller
// wants two.
type book struct {
	t      *testing.T
	ledger *ledger.Ledger
	now    time.Time
	id     uint64
}

func newBook(t *testing.T, groups ...uint32) *book {
	t.Helper()
	b := &book{t: t, ledger: ledger.New(), now: began}
	b.apply(&pathbendv1.LedgerEntry{JobId: "j", Fact: &pathbendv1.LedgerEntry_Submitted{Submitted: &pathbendv1.BatchJob{
		SubmittedUnixMs: began.UnixMilli(), WantedGroups: 2, ItemIds: []string{"a", "b", "c", "d", "e", "f"}, ItemGroups: groups,
	}}})
	return b
}

func (b *book) apply(entry *pathbendv1.LedgerEntry) {
	b.t.Helper()
	const large = 1 << 20
	b.id++
	records, err := ledger.Encode(entry, b.id, large)
	require.NoError(b.t, err)
	_, err = b.ledger.Apply(records[0], b.now)
	require.NoError(b.t, err)
}

func (b *book) list(items ...string) {
	b.t.Helper()
	for _, item := range items {
		b.apply(&pathbendv1.LedgerEntry{JobId: "j", Fact: &pathbendv1.LedgerEntry_Listed{Listed: &pathbendv1.BatchResults{
			Results: []*pathbendv1.BatchResult{{ItemId: item, Dead: true}},
		}}})
	}
}

func (b *book) read(from int) Read {
	return Read{From: from, Asked: b.now, Hold: time.Second, Due: began.Add(7 * time.Second)}
}

func (b *book) holds(read Read) bool { return read.Holds(b.ledger.Job("j"), b.now) }

var pairs = []uint32{0, 0, 1, 1, 2, 2}

func TestReadIsHeldUntilTheWantedGroupsAreWhole(t *testing.T) {
	b := newBook(t, pairs...)
	b.list("a", "c", "e")
	read := b.read(0)
	require.True(t, b.holds(read))
	b.list("a", "b", "f")
	require.False(t, b.holds(read), "two groups are whole")
}

func TestReadIsHeldNoLongerThanItsCallerAllows(t *testing.T) {
	b := newBook(t, pairs...)
	b.list("a")
	read := b.read(0)
	b.now = b.now.Add(999 * time.Millisecond)
	require.True(t, b.holds(read))
	b.now = b.now.Add(time.Millisecond)
	require.False(t, b.holds(read))
	read = b.read(0)
	read.Hold = 0
	require.False(t, b.holds(read))
}

func TestReadIsNotHeldPastTheDueTime(t *testing.T) {
	b := newBook(t, pairs...)
	b.now = began.Add(6500 * time.Millisecond)
	b.list("a")
	read := b.read(0)
	require.True(t, b.holds(read))
	b.now = began.Add(7 * time.Second)
	require.False(t, b.holds(read))
}

func TestReadFromAnEarlierPositionIsAnsweredAtOnce(t *testing.T) {
	b := newBook(t, pairs...)
	b.list("a")
	b.now = b.now.Add(1100 * time.Millisecond)
	b.list("c")
	require.False(t, b.holds(b.read(0)))
	require.True(t, b.holds(b.read(1)))
}

func TestReadIsNotHeldWhereNothingTellsWhatTheCallerWaitsFor(t *testing.T) {
	b := newBook(t)
	b.list("a")
	require.False(t, b.holds(b.read(0)), "a release before kept the job, without its groups")

	b = newBook(t, pairs...)
	b.list("a")
	b.apply(&pathbendv1.LedgerEntry{JobId: "j", Fact: &pathbendv1.LedgerEntry_Ended{Ended: &pathbendv1.BatchEnd{}}})
	require.False(t, b.holds(b.read(0)), "the job is over")
}
