package explain

import (
	"slices"
	"strings"
	"time"

	"github.com/pathbend/pathbend/internal/event"
)

// evacuatedZones returns the zones, sorted, that a node treated as evacuated at any time
// between from and to. all must be in time order.
func evacuatedZones(node string, from, to time.Time, all []Line) []string {
	var current, found []string
	for _, line := range all {
		if line.Node != node || line.Time.After(to) {
			continue
		}
		if !line.Time.Before(from) {
			found = append(found, current...)
		}
		zone := line.Fields.String("zone")
		switch line.Number {
		case event.ZoneEvacuated:
			current = append(current, zone)
		case event.ZoneTakenBack:
			current = slices.DeleteFunc(current, func(other string) bool { return other == zone })
		case event.NodeStarting:
			current = nil
		}
	}
	found = append(found, current...)
	slices.Sort(found)
	return slices.Compact(found)
}

// evacuationCause lists the zones that the nodes of a trace treated as evacuated in its
// period, empty if there were none.
func evacuationCause(lines, all []Line) string {
	if len(lines) == 0 {
		return ""
	}
	var zones []string
	for _, node := range nodesOf(lines) {
		zones = append(zones, evacuatedZones(node, lines[0].Time, lines[len(lines)-1].Time, all)...)
	}
	if len(zones) == 0 {
		return ""
	}
	slices.Sort(zones)
	return "zones evacuated at the time: " + strings.Join(slices.Compact(zones), ", ")
}
