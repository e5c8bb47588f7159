package weights

import (
	"cmp"
	"maps"
	"slices"
)

// ModelKey identifies a model of a tenant.
type ModelKey struct {
	Tenant string
	Model  string
}

// Versions holds the highest announced version of each model. It is not safe for concurrent
// use.
type Versions struct {
	highest map[ModelKey]uint64
}

// NewVersions returns an empty register.
func NewVersions() *Versions { return &Versions{highest: make(map[ModelKey]uint64)} }

// Raise records a version and reports whether it is the highest so far.
func (v *Versions) Raise(key ModelKey, version uint64) bool {
	if version <= v.highest[key] {
		return false
	}
	v.highest[key] = version
	return true
}

// Get returns the highest version of a model, or 0 if none was announced.
func (v *Versions) Get(key ModelKey) uint64 { return v.highest[key] }

// AnnouncedVersion is one entry of the register.
type AnnouncedVersion struct {
	ModelKey
	Version uint64
}

// All returns every entry, ordered by tenant and model.
func (v *Versions) All() []AnnouncedVersion {
	all := make([]AnnouncedVersion, 0, len(v.highest))
	for _, key := range slices.SortedFunc(maps.Keys(v.highest), compareKeys) {
		all = append(all, AnnouncedVersion{ModelKey: key, Version: v.highest[key]})
	}
	return all
}

func compareKeys(a, b ModelKey) int {
	return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Model, b.Model))
}
