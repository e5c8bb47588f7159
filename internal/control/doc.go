// Package control keeps a node's fold of the control stream up to date.
//
// Follower reads records from a Source, applies them to a state.Machine and
// tells listeners what changed. It also serves what it holds to peers, so that
// only a few designated nodes of a zone poll the platform's log.
//
// A node that starts is not caught up until it has seen the end of the stream,
// or, while the log is down, the state of a peer. From then on its state only
// moves forward.
package control
