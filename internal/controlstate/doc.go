// Package controlstate implements the replicated state machine of the control stream
// (logstore.ControlStream), the log of cluster-wide changes. Its state, which all nodes
// share, is the configuration revisions, the roster of nodes and their replica groups,
// the leases, and the requests suspected of crashing back ends.
//
// Machine.Apply is deterministic: every node that applies the same records in
// offset order accepts and rejects the same ones and reaches the same state, so
// no node needs to ask another whether an append took effect. Preconditions are
// part of the records: a publish names the revision that it replaces, a lease
// claim the claim that it ends. Of conflicting records, the first in the log wins.
//
// Invariants:
//   - the configuration revision and every fencing token only increase;
//   - a record id takes effect at most once;
//   - restoring a snapshot and applying the records after it gives the same state
//     as applying all records.
package controlstate
