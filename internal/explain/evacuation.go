package explain

import (
	"slices"
	"strings"
	"time"

	"github.com/pathbend/pathbend/internal/event"
)

// evacuated names the zones that a node held for evacuated at some time from one moment
// to another, ordered. all is in time order.
func evacuated(node string, from, to time.Time, all []Line) []string {
	var out, found []string
	for _, line := range all {
		if line.Node != node || line.Time.After(to) {
			continue
		}
		if !line.Time.Before(from) {
			found = append(found, out...)
		}
		zone := line.Fields.Text("zone")
		switch line.Number {
		case event.ZoneEvacuated:
			out = append(out, zone)
		case event.ZoneTakenBack:
			out = slices.DeleteFunc(out, func(other string) bool { return other == zone })
		case event.NodeStarting:
			out = nil
		}
	}
	found = append(found, out...)
	slices.Sort(found)
	return slices.Compact(found)
}

// evacuations says which zones were evacuated for the nodes of a story meanwhile, empty
// if none was.
func evacuations(lines, all []Line) string {
	if len(lines) == 0 {
		return ""
	}
	var zones []string
	for _, node := range nodesOf(lines) {
		zones = append(zones, evacuated(node, lines[0].Time, lines[len(lines)-1].Time, all)...)
	}
	if len(zones) == 0 {
		return ""
	}
	slices.Sort(zones)
	return "evacuated meanwhile: " + strings.Join(slices.Compact(zones), ", ")
}
