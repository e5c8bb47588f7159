// Package peer sends calls between pathbend nodes over TCP. Every frame is one
// length-delimited protobuf Envelope (protodelim). A connection carries many
// concurrent calls; replies are matched to calls by call id.
//
// A Server answers calls with a Handler. A Pool keeps one connection per peer address
// and dials it at the first call. The first frame of a connection is a Hello with the
// protocol version.
//
// Errors are typed: result.PeerUnreached guarantees that the call was not sent;
// result.PeerLost means that the call may have been sent and the reply is missing.
package peer
