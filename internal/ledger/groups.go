package ledger

import (
	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
)

// groups counts which groups of a job's items are whole: all of their items listed.
type groups struct {
	// wanted is the number that the caller waits for, 0 if it is not known.
	wanted int
	whole  int
	// of is the number of an item's group, open how many items of a group have no result.
	of   map[string]uint32
	open map[uint32]int
}

func newGroups(spec *pathbendv1.BatchJob) groups {
	if len(spec.ItemGroups) != len(spec.ItemIds) {
		return groups{}
	}
	g := groups{of: make(map[string]uint32, len(spec.ItemIds)), open: make(map[uint32]int)}
	for i, itemID := range spec.ItemIds {
		if _, again := g.of[itemID]; again {
			continue
		}
		g.of[itemID] = spec.ItemGroups[i]
		g.open[spec.ItemGroups[i]]++
	}
	g.wanted = min(int(spec.WantedGroups), len(g.open))
	return g
}

// list records the first result of an item.
func (g *groups) list(itemID string) {
	group, known := g.of[itemID]
	if !known {
		return
	}
	if g.open[group]--; g.open[group] == 0 {
		g.whole++
	}
}
