package evacuation

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var began = time.Unix(1000, 0)

func TestZoneIsEvacuatedWhileAnySourceNamesIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var zones Zones
		named := make(map[Source][]string)
		for step := range rapid.IntRange(1, 20).Draw(t, "steps") {
			source := Source(rapid.SampledFrom([]string{"operator", "other"}).Draw(t, "source"))
			names := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.ID[string]).Draw(t, "names")
			before := zones
			next, changes := zones.Take(source, names, began.Add(time.Duration(step)*time.Second))
			zones, named[source] = next, names
			for _, zone := range []string{"a", "b", "c"} {
				wanted := slices.Contains(named["operator"], zone) || slices.Contains(named["other"], zone)
				require.Equal(t, wanted, zones.Has(zone))
				require.Equal(t, wanted, slices.Contains(zones.Names(), zone))
				isNamed := func(changed Zone) bool { return changed.Name == zone }
				require.Equal(t, wanted && !before.Has(zone), slices.ContainsFunc(changes.Evacuated, isNamed))
				require.Equal(t, !wanted && before.Has(zone), slices.ContainsFunc(changes.TakenBack, isNamed))
			}
		}
	})
}

func TestZoneKeepsTheTimeAtWhichItWasEvacuated(t *testing.T) {
	zones, _ := Zones{}.Take(SourceOperator, []string{"b"}, began)
	later, changes := zones.Take(SourceOperator, []string{"a", "b"}, began.Add(time.Minute))
	require.Equal(t, []Zone{{Name: "a", Source: SourceOperator, Since: began.Add(time.Minute)}}, changes.Evacuated)
	_, changes = later.Take(SourceOperator, nil, began.Add(time.Hour))
	require.Equal(t, began, changes.TakenBack[1].Since)
	require.Equal(t, []string{"b"}, zones.Names(), "a value does not change")
}
