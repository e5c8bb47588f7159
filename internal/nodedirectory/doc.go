// Package nodedirectory is the directory of nodes: the zones, capacities and addresses that
// nodes announce in a keyed topic of the log.
//
// The state is the newest entry of each node and the time at which it was read. One
// goroutine, in Run, follows the topic, with short pauses while the directory grows; other
// goroutines read the state under a mutex. The directory tells which capacity a node has in
// an election, which nodes relay calls to the log, execute runs or answer requests for other
// nodes, and whether it is likely to be complete. Announce writes the node's own entry.
package nodedirectory
