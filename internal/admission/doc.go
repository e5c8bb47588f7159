// Package admission decides which application requests start, wait or are
// refused on one node.
//
// A Controller holds one tenant: a token bucket for its share of the tenant's
// rate, a bound on requests in progress and a bounded queue ordered by
// priority and arrival. A request whose deadline passes in the queue is refused
// as not run at that moment; when the queue is full, a more important request
// displaces the least important one. The package is pure: callers pass the time
// and hold the lock.
package admission
