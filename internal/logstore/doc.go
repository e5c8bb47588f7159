// Package logstore reads and appends the streams of the platform's log.
//
// A stream is an append-only list of byte records with consecutive offsets
// from 0. Reader and Appender are the seams: Client speaks the platform's HTTP
// protocol (docs/PLATFORM.md); a node that is not a designated reader reads
// through a peer, which satisfies Reader as well.
//
// AppendRecord appends a Record until an answer arrives. Repeating an append
// whose answer was lost is safe, since readers drop a record id seen before.
package logstore
