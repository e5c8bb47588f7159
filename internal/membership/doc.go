// Package membership keeps each node's view of the other nodes.
//
// Machine is a pure state machine: the driver calls Tick at every interval and
// sends the heartbeats it returns; it hands in heartbeats, acknowledgements and
// misses with the time at which they happened. No goroutine, socket or clock
// is inside.
//
// Every node watches a few successors on a hash ring of all live nodes, so the
// cost of a node does not grow with the cluster, and each node is watched by as
// many. Statements about members spread by gossip: they ride on heartbeats, and
// a fresh statement is also sent to a few random members at the next tick.
//
// Invariants:
//   - a statement about a member replaces another only with a higher version,
//     or with the same version and a graver status;
//   - only the member itself raises its version, to refute a suspicion;
//   - a node that was paused itself suspects nobody for what it missed.
package membership
