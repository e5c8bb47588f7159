// Package directory is what nodes announced of their machines, in a keyed topic of the log.
//
// State: the newest entry of each node, and when it was read. One goroutine, in Run, follows
// the topic, often while it grows; all else reads the state under a lock: who votes with which
// capacity, who calls the log for others, carries runs or answers questions, and whether the
// directory is likely to be whole. It writes the node's own entry when it is told to.
package directory
