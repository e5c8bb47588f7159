// Package controlstream follows the control stream (logstore.ControlStream) and keeps a
// node's copy of its state, a controlstate.Machine, up to date.
//
// Follower reads records from a Source, applies them to the machine and notifies a
// listener of the changes. It also serves its records to peers, so that only a few
// designated nodes of a zone poll the platform's log.
//
// A node that starts is not caught up until it has read to the end of the
// stream or, while the log is down, loaded the state of a peer. From then on its
// state only moves forward.
package controlstream
