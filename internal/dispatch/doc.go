// Package dispatch carries one application request to a back end and its whole
// answer back.
//
// A Dispatcher picks a back end, sends the request once per attempt and
// classifies how the attempt ended: answered, provably not run, or unknown.
// Plan, which is pure, decides from that whether another attempt is allowed:
// a request marked at-most-once is sent again only if no byte of it reached a
// back end or the back end said that it did not run it.
//
// Three properties guard the answer. Every attempt carries a fresh request id,
// and an answer that echoes another id closes the connection. A body shorter
// than announced is an error, never a short answer. The HTTP transport cannot
// replay by itself: it is given a body that it cannot rewind.
package dispatch
