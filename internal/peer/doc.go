// Package peer carries calls between pathbend nodes: one protobuf Envelope per
// length-delimited frame (protodelim) over TCP, many calls at once on one
// connection, matched by call id.
//
// A Server answers calls with a Handler; a Pool keeps one connection per peer
// address and dials lazily. The first frame of a connection is a Hello that
// states the protocol version.
//
// Failures are typed: result.PeerUnreached promises that the call was not
// sent, result.PeerLost says that it was sent and the reply is missing.
package peer
