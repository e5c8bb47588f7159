package delivery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestCursorContainsExactlyTheAddedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 24
		var cursor Cursor
		held := map[int]bool{}
		for _, slot := range rapid.SliceOf(rapid.IntRange(0, slots-1)).Draw(t, "slots") {
			cursor = cursor.Add(slot)
			held[slot] = true
			require.NoError(t, cursor.Validate(slots))
		}
		require.Equal(t, len(held), cursor.Count())
		for slot := range slots {
			require.Equal(t, held[slot], cursor.Has(slot))
		}
		for i := 1; i < len(cursor); i++ {
			require.Greater(t, cursor[i].From, cursor[i-1].To, "adjacent ranges must merge")
		}
	})
}

func TestCursorErrorNamesTheInvalidRange(t *testing.T) {
	for _, cursor := range []Cursor{{{0, 0}}, {{0, 5}}, {{-1, 1}}, {{2, 3}, {1, 2}}, {{0, 2}, {1, 3}}} {
		require.ErrorContains(t, cursor.Validate(4), "held[")
	}
}

func TestSegmentsCarryTheVersionsOfTheStream(t *testing.T) {
	var segments []Segment
	for _, version := range []uint64{3, 3, 4, 3} {
		segments = AppendTokens(segments, 2, version)
	}
	require.Equal(t, []Segment{{0, 4, 3}, {4, 6, 4}, {6, 8, 3}}, segments)
	require.Equal(t, uint64(3), OldestVersion(segments))
}

func TestFreshnessAtTheLimits(t *testing.T) {
	limit := FreshnessLimit{MaxVersions: 2, MaxAge: time.Minute}
	startedAt := time.Unix(100, 0)
	require.True(t, limit.Fresh(5, startedAt, startedAt.Add(59*time.Second), 7))
	require.False(t, limit.Fresh(5, startedAt, startedAt, 8))
	require.False(t, limit.Fresh(5, startedAt, startedAt.Add(time.Minute), 5))
	require.Equal(t, uint64(5), limit.MinVersion(7))
	require.Zero(t, limit.MinVersion(1))
}
