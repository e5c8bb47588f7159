// Package admission decides which application requests start, wait or are
// refused on one node.
//
// A Controller holds one tenant's state: a token bucket for the node's share of
// the tenant's rate, a limit on concurrent requests, and a bounded queue ordered
// by priority and then by arrival. A request whose deadline passes in the queue
// is refused at that moment, before it runs. When the queue is full, a request
// of higher priority displaces the last one in it. Controller reads no clock and
// takes no lock: callers pass the time and serialize calls. Gate adds the locking
// and the waiting.
package admission
