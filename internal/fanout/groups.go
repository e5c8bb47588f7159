package fanout

import "slices"

// Groups are the kinds of entries that a node wants. The zero value wants none.
type Groups struct {
	all   bool
	names []string
}

// All wants every entry.
func All() Groups { return Groups{all: true} }

// Only wants the entries of some groups.
func Only(names ...string) Groups {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return Groups{names: slices.Compact(sorted)}
}

// Every reports whether all entries are wanted.
func (g Groups) Every() bool { return g.all }

// Has reports whether a group is wanted.
func (g Groups) Has(name string) bool {
	if g.all {
		return true
	}
	_, found := slices.BinarySearch(g.names, name)
	return found
}

// Covers reports whether all is wanted that another wants.
func (g Groups) Covers(other Groups) bool {
	if g.all || other.all {
		return g.all
	}
	return !slices.ContainsFunc(other.names, func(name string) bool { return !g.Has(name) })
}

// Names lists the groups, none if all are wanted.
func (g Groups) Names() []string { return g.names }
