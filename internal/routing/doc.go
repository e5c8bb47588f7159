// Package routing chooses the engine or back end that serves an attempt.
//
// A Table holds the endpoints of every pool with what is known of each: its
// state in the machine list, the lagging load report and the node's own work
// in flight. A Profile is a pipeline of small plugins over a bounded subset of
// a pool: filters drop endpoints that must not serve, scorers rate the rest
// from 0 to 1, a picker takes one. The subset keeps the cost of a decision flat
// as pools grow: a few random endpoints plus the endpoints that prefix affinity
// prefers.
//
// The package is pure: callers pass the time and hold the lock.
package routing
