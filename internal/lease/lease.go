// Package lease applies claims from the log to a table of leases.
//
// Leases are ordered by the log and do not depend on clocks: a claim names the fencing token
// that it replaces, the first such claim in the log wins, and its offset plus one becomes the
// new token. Heartbeats only decide when a node tries to claim. A holder that was paused and
// acts late carries an old token, so the recipients of its orders reject them.
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
	// Holder is the node id of the claimant, or empty after a release.
	Holder string
	// Token is the fencing token: the offset of the winning claim plus one. 0 means that the
	// lease was never claimed.
	Token uint64
}

// Table holds all leases by name. It is not safe for concurrent use.
type Table struct {
	leases map[string]Lease
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{leases: make(map[string]Lease)} }

// Get returns the lease of a name. Its Token is 0 if it was never claimed.
func (t *Table) Get(name string) Lease {
	lease := t.leases[name]
	lease.Name = name
	return lease
}

// All returns every lease ordered by name.
func (t *Table) All() []Lease {
	all := make([]Lease, 0, len(t.leases))
	for _, name := range slices.Sorted(maps.Keys(t.leases)) {
		all = append(all, t.leases[name])
	}
	return all
}

// Claim applies the claim at a log offset. It returns a LeaseConflict error, and leaves the
// lease unchanged, if the claim does not replace the current token.
func (t *Table) Claim(claim *pathbendv1.LeaseClaim, offset uint64) error {
	current := t.leases[claim.Name]
	if claim.Replaces != current.Token {
		return result.New(result.LeaseConflict, "lease %s: claim by %s replaces token %d, but %s holds token %d",
			claim.Name, claim.Holder, claim.Replaces, current.Holder, current.Token)
	}
	t.leases[claim.Name] = Lease{Name: claim.Name, Holder: claim.Holder, Token: offset + 1}
	return nil
}

// Release ends a lease if the token is current, and otherwise returns a LeaseConflict error.
// The token stays in the table, and the next claim has to name it.
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

// Export returns the table as messages for a snapshot, ordered by name.
func (t *Table) Export() []*pathbendv1.LeaseState {
	var states []*pathbendv1.LeaseState
	for _, lease := range t.All() {
		states = append(states, &pathbendv1.LeaseState{Name: lease.Name, Holder: lease.Holder, Token: lease.Token})
	}
	return states
}

// Import returns the table that a snapshot contains.
func Import(states []*pathbendv1.LeaseState) *Table {
	table := NewTable()
	for _, state := range states {
		table.leases[state.Name] = Lease{Name: state.Name, Holder: state.Holder, Token: state.Token}
	}
	return table
}
