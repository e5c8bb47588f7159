package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/schedule"
)

var now = time.Unix(1_000, 0)

func entry(id string, born int64, address string) schedule.Sampler {
	return schedule.Sampler{ID: id, Born: born, Address: address}
}

func TestEntryOfAFormerIncarnationNeverReplacesANewer(t *testing.T) {
	list := New()
	require.True(t, list.Put(entry("s", 20, "new")))
	require.False(t, list.Put(entry("s", 10, "former")))
	require.Equal(t, "new", list.All()[0].Address)
	require.True(t, list.Put(entry("s", 20, "changed")), "the same incarnation may change")
	require.True(t, list.Put(entry("s", 30, "reborn")))
	require.Equal(t, "reborn", list.All()[0].Address)
}

func TestFormerIncarnationStaysFormerAfterTheEntryWent(t *testing.T) {
	list := New()
	list.Put(entry("s", 20, "new"))
	list.Drop("s", now)
	require.False(t, list.Put(entry("s", 10, "former")))
	require.Empty(t, list.All())
	list.Put(entry("s", 20, "back"))
	list.Clear(now)
	require.False(t, list.Put(entry("s", 10, "former")), "also when all entries are read anew")
	list.Expire(now.Add(formerMemory + time.Second))
	require.True(t, list.Put(entry("s", 10, "long ago")), "ids that went are not remembered forever")
}

func TestEntryThatCannotBeReadNamesNoSampler(t *testing.T) {
	list := New()
	list.Put(entry("good", 20, "a"))
	list.Put(entry("turns", 20, "b"))
	require.True(t, list.Reject("turns", now))
	require.False(t, list.Reject("turns", now), "told once")
	require.True(t, list.Reject("never good", now))
	require.Equal(t, 2, list.Unusable())
	require.Len(t, list.All(), 1, "the others hold")
	require.Equal(t, "good", list.All()[0].ID)
	require.False(t, list.Put(entry("turns", 10, "former")))
	require.True(t, list.Put(entry("turns", 20, "b")))
	require.Len(t, list.All(), 2)
	list.Drop("never good", now)
	require.Zero(t, list.Unusable())
}

func TestSamplersThatTellNoStartAreOneIncarnation(t *testing.T) {
	list := New()
	require.True(t, list.Put(entry("s", 0, "a")))
	require.False(t, list.TellsStart("s"))
	require.True(t, list.Put(entry("s", 0, "b")))
	list.Drop("s", now)
	require.True(t, list.Put(entry("s", 0, "c")))
}

// The list is ordered, and an entry that is written again has another revision.
func TestListIsOrderedAndTellsRevisions(t *testing.T) {
	list := New()
	for _, id := range []string{"c", "a", "b", "a"} {
		list.Put(entry(id, 1, "x"))
	}
	before := list.All()
	require.Equal(t, []string{"a", "b", "c"}, []string{before[0].ID, before[1].ID, before[2].ID})
	list.Put(entry("b", 1, "y"))
	after := list.All()
	require.Equal(t, before[0].Revision, after[0].Revision)
	require.NotEqual(t, before[1].Revision, after[1].Revision)
	list.Drop("a", now)
	require.Equal(t, "b", list.All()[0].ID)
	list.Clear(now)
	require.Empty(t, list.All())
}
