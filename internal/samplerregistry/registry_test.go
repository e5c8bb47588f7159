package samplerregistry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/schedule"
)

var now = time.Unix(1_000, 0)

func entry(id string, startedAtMs int64, address string) schedule.Sampler {
	return schedule.Sampler{ID: id, StartedAtMs: startedAtMs, Address: address}
}

func TestEntryOfAFormerIncarnationNeverReplacesANewer(t *testing.T) {
	registry := New()
	require.True(t, registry.Put(entry("s", 20, "new")))
	require.False(t, registry.Put(entry("s", 10, "earlier")))
	require.Equal(t, "new", registry.All()[0].Address)
	require.True(t, registry.Put(entry("s", 20, "changed")), "the same incarnation may change")
	require.True(t, registry.Put(entry("s", 30, "restarted")))
	require.Equal(t, "restarted", registry.All()[0].Address)
}

func TestStartTimeIsRetainedAfterTheEntryIsRemoved(t *testing.T) {
	registry := New()
	registry.Put(entry("s", 20, "new"))
	registry.Remove("s", now)
	require.False(t, registry.Put(entry("s", 10, "earlier")))
	require.Empty(t, registry.All())
	registry.Put(entry("s", 20, "returned"))
	registry.Clear(now)
	require.False(t, registry.Put(entry("s", 10, "earlier")), "the start time is retained when all entries are read again")
	registry.Expire(now.Add(startTimeRetention + time.Second))
	require.True(t, registry.Put(entry("s", 10, "long ago")), "start times of removed entries must expire")
}

func TestMalformedEntryMakesTheIDUnusable(t *testing.T) {
	registry := New()
	registry.Put(entry("valid", 20, "a"))
	registry.Put(entry("turns malformed", 20, "b"))
	require.True(t, registry.Reject("turns malformed", now))
	require.False(t, registry.Reject("turns malformed", now), "a further malformed entry is not the first")
	require.True(t, registry.Reject("never valid", now))
	require.Equal(t, 2, registry.UnusableCount())
	require.Len(t, registry.All(), 1, "other entries are not affected")
	require.Equal(t, "valid", registry.All()[0].ID)
	require.False(t, registry.Put(entry("turns malformed", 10, "earlier")))
	require.True(t, registry.Put(entry("turns malformed", 20, "b")))
	require.Len(t, registry.All(), 2)
	registry.Remove("never valid", now)
	require.Zero(t, registry.UnusableCount())
}

func TestEntriesWithoutStartTimeAreOneIncarnation(t *testing.T) {
	registry := New()
	require.True(t, registry.Put(entry("s", 0, "a")))
	require.False(t, registry.HasStartTime("s"))
	require.True(t, registry.Put(entry("s", 0, "b")))
	registry.Remove("s", now)
	require.True(t, registry.Put(entry("s", 0, "c")))
}

// Guards the order of All, and that an entry that is written again gets a new revision.
func TestAllIsOrderedAndEntriesHaveRevisions(t *testing.T) {
	registry := New()
	for _, id := range []string{"c", "a", "b", "a"} {
		registry.Put(entry(id, 1, "x"))
	}
	before := registry.All()
	require.Equal(t, []string{"a", "b", "c"}, []string{before[0].ID, before[1].ID, before[2].ID})
	registry.Put(entry("b", 1, "y"))
	after := registry.All()
	require.Equal(t, before[0].Revision, after[0].Revision)
	require.NotEqual(t, before[1].Revision, after[1].Revision)
	registry.Remove("a", now)
	require.Equal(t, "b", registry.All()[0].ID)
	registry.Clear(now)
	require.Empty(t, registry.All())
}
