// Package lease folds claims from the log into a table of leases.
//
// A lease is safe by order, not by clock: a claim names the claim that it
// replaces, the first such claim in the log wins, and its offset becomes the
// fencing token. Heartbeats only decide when a node tries to claim. A paused
// holder that acts late carries an old token and is refused by whoever it
// orders.
package lease

import (
	"maps"
	"slices"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/result"
)

// Lease is the current claim on a name.
type Lease struct {
	Name string
	// Holder is the node id of the claimant; empty after a release.
	Holder string
	// Token is the fencing token: the offset of the winning claim plus one, so
	// that 0 means that nobody ever claimed.
	Token uint64
}

// Table holds all leases.
type Table struct {
	leases map[string]Lease
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{leases: make(map[string]Lease)} }

// Get returns the lease of a name; its Token is 0 if there is none.
func (t *Table) Get(name string) Lease {
	found := t.leases[name]
	found.Name = name
	return found
}

// All returns every lease ordered by name.
func (t *Table) All() []Lease {
	all := make([]Lease, 0, len(t.leases))
	for _, name := range slices.Sorted(maps.Keys(t.leases)) {
		all = append(all, t.leases[name])
	}
	return all
}

// Claim applies a claim found at a log offset.
func (t *Table) Claim(claim *pathbendv1.LeaseClaim, offset uint64) error {
	current := t.leases[claim.Name]
	if claim.Replaces != current.Token {
		return result.New(result.LeaseConflict, "lease %s: claim by %s replaces token %d, but %s holds token %d",
			claim.Name, claim.Holder, claim.Replaces, current.Holder, current.Token)
	}
	t.leases[claim.Name] = Lease{Name: claim.Name, Holder: claim.Holder, Token: offset + 1}
	return nil
}

// Release ends a lease if the token is current. The token stays in the table,
// so that the next claim has to name it.
func (t *Table) Release(release *pathbendv1.LeaseRelease) error {
	current := t.leases[release.Name]
	if release.Token != current.Token {
		return result.New(result.LeaseConflict, "lease %s: release of token %d, but token %d is current",
			release.Name, release.Token, current.Token)
	}
	current.Holder = ""
	t.leases[release.Name] = current
	return nil
}

// Export encodes the table for a snapshot.
func (t *Table) Export() []*pathbendv1.LeaseState {
	var exported []*pathbendv1.LeaseState
	for _, current := range t.All() {
		exported = append(exported, &pathbendv1.LeaseState{Name: current.Name, Holder: current.Holder, Token: current.Token})
	}
	return exported
}

// Import decodes a table from a snapshot.
func Import(exported []*pathbendv1.LeaseState) *Table {
	table := NewTable()
	for _, state := range exported {
		table.leases[state.Name] = Lease{Name: state.Name, Holder: state.Holder, Token: state.Token}
	}
	return table
}
