package fanout

import "slices"

// Groups is the set of groups whose entries a node requires. The zero value is empty.
type Groups struct {
	all   bool
	names []string // sorted, without duplicates; empty if all is set
}

// All returns the set of all groups, which also includes entries without a group.
func All() Groups { return Groups{all: true} }

// Only returns the set of the named groups. Without names it is empty.
func Only(names ...string) Groups {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return Groups{names: slices.Compact(sorted)}
}

// IncludesAll reports whether the set includes all groups.
func (g Groups) IncludesAll() bool { return g.all }

// Includes reports whether the set includes a group.
func (g Groups) Includes(name string) bool {
	if g.all {
		return true
	}
	_, found := slices.BinarySearch(g.names, name)
	return found
}

// Covers reports whether the set includes every group of another set.
func (g Groups) Covers(other Groups) bool {
	if g.all || other.all {
		return g.all
	}
	return !slices.ContainsFunc(other.names, func(name string) bool { return !g.Includes(name) })
}

// Names returns the names of the groups, sorted. It is empty if the set includes all groups.
func (g Groups) Names() []string { return g.names }
