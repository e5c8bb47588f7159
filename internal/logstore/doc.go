// Package logstore reads from and appends to the streams of the platform's log.
//
// A stream is an append-only sequence of byte records with consecutive offsets
// from 0. Client implements the interfaces Reader and Appender over the
// platform's HTTP protocol (docs/PLATFORM.md). A node that is not a designated
// reader reads through a peer, which satisfies Reader as well.
//
// AppendRecord retries an append until the log confirms it. Repeating an append
// whose answer was lost is safe, since readers skip a record whose id they have
// already applied.
package logstore
