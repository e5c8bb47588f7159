// Package state folds the records of the control stream into the state that
// all nodes share: configuration revisions, the roster of nodes and leases.
//
// Machine.Apply is pure: every reader that applies the same records in offset
// order accepts and rejects the same ones and reaches the same state, so no
// node needs to ask another whether an append took effect. Preconditions are
// part of the records: a publish names the revision it replaces, a lease claim
// names the claim it ends. The first in the log wins.
//
// Invariants:
//   - the configuration revision and every fencing token only grow;
//   - a record id takes effect at most once;
//   - restoring a snapshot and applying what follows equals applying all.
package state
