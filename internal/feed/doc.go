// Package feed brings a keyed topic of the log to a node the way that package fanout
// decides: from the log itself, or from another node that reads it.
//
// Feed is a sharedlog.Log whose keyed reads go either way, so that the follower of the topic
// is the same for both. State: the reader's cache, the groups that the follower's list is
// whole for, and which readers did not help of late. It has no goroutines of its own; it
// calls the log, and other nodes through a Caller, and answers their questions.
package feed
