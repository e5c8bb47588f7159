// Package dispatch sends application requests to back ends and returns their complete
// answers.
//
// A Dispatcher picks a back end, sends the request once per attempt and classifies how the
// attempt ended: answered, failed, provably not run, or unknown. RetryPlan, which performs no
// I/O, decides from that whether another attempt is allowed. A request marked at-most-once is sent
// again only if no byte of it was sent to a back end or the back end reported that it did
// not run it.
//
// Three measures protect the integrity of answers. Every attempt carries a request id, and
// an answer that echoes another id closes the connection. A body shorter than announced is
// an error, never a short answer. The HTTP transport cannot retry on its own, because it is
// given bodies that it cannot rewind.
package dispatch
