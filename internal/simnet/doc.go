// Package simnet is an in-memory network for simulations on a virtual clock.
//
// Hosts in zones listen and dial as over TCP. Every segment is delivered after
// the latency between the zones plus a jitter that depends only on the seed,
// the connection and the segment's number, so that a run can be repeated and
// no two deliveries share an instant. Faults act on hosts and directions: a
// crashed host loses its connections, a blocked direction delivers nothing until
// it is unblocked, and a connection can be reset in the middle of its stream.
package simnet
