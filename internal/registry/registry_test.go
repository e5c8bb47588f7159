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
	require.Equal(t, []schedule.Sampler{entry("good", 20, "a")}, list.All(), "the others hold")
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
