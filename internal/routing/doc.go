// Package routing chooses the engine or back end that serves an attempt.
//
// A Table holds the endpoints of every pool with their state in the machine list, their
// latest load report, which lags, and the requests that this node has in flight there. A
// Profile is a pipeline of plugins: a subset selector bounds the endpoints that a decision
// examines, filters drop those that must not serve, scorers rate the rest from 0 to 1, and
// a picker chooses one. The subset, for example a few random endpoints and those with prefix
// affinity, keeps the cost of a decision flat as pools grow.
//
// The package does no I/O, reads no clock and takes no locks: callers pass the current time
// and synchronize access.
package routing
