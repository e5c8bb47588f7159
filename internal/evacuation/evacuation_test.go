package evacuation

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// Two sources replace their requests at random: a zone is evacuated exactly while at least one
// of them requests it, and is reported as a change only when that begins or ends.
func TestZoneIsEvacuatedWhileAnySourceRequestsIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var zones Zones
		requested := make(map[Source][]string)
		for step := range rapid.IntRange(1, 20).Draw(t, "steps") {
			source := Source(rapid.SampledFrom([]string{"operator", "other"}).Draw(t, "source"))
			names := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.ID[string]).Draw(t, "names")
			before := zones
			next, changes := zones.ReplaceSource(source, names, start.Add(time.Duration(step)*time.Second))
			zones, requested[source] = next, names
			for _, zone := range []string{"a", "b", "c"} {
				expected := slices.Contains(requested["operator"], zone) || slices.Contains(requested["other"], zone)
				require.Equal(t, expected, zones.Contains(zone))
				require.Equal(t, expected, slices.Contains(zones.Names(), zone))
				isZone := func(changed Zone) bool { return changed.Name == zone }
				require.Equal(t, expected && !before.Contains(zone), slices.ContainsFunc(changes.Evacuated, isZone))
				require.Equal(t, !expected && before.Contains(zone), slices.ContainsFunc(changes.Restored, isZone))
			}
		}
	})
}

func TestZoneKeepsItsEvacuationTime(t *testing.T) {
	zones, _ := Zones{}.ReplaceSource(SourceOperator, []string{"b"}, start)
	later, changes := zones.ReplaceSource(SourceOperator, []string{"a", "b"}, start.Add(time.Minute))
	require.Equal(t, []Zone{{Name: "a", Source: SourceOperator, Since: start.Add(time.Minute)}}, changes.Evacuated)
	_, changes = later.ReplaceSource(SourceOperator, nil, start.Add(time.Hour))
	require.Equal(t, start, changes.Restored[1].Since)
	require.Equal(t, []string{"b"}, zones.Names(), "the former snapshot is unchanged")
}
