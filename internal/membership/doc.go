// Package membership maintains each node's view of the other nodes with a gossip protocol.
//
// StateMachine uses no goroutines, sockets or clocks. The driver calls Tick at every interval
// and sends the heartbeats it returns. It passes in heartbeats, acknowledgements and misses
// along with the time of each.
//
// Every node monitors a few successors on a hash ring of all live nodes and is monitored by
// as many, so the cost per node does not grow with the cluster. Updates about members
// spread by gossip: heartbeats carry them, and a new update is also sent to a few random
// members at the next tick.
//
// Invariants:
//   - an update about a member replaces another only if it has a higher version, or the
//     same version and a more severe status;
//   - only the member itself raises its version, to refute a suspicion;
//   - a node that was paused does not suspect others for heartbeats missed meanwhile.
package membership
