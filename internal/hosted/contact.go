package hosted

import (
	"context"
	"time"
)

const (
	// contactLimit is how long a node may be without the log and call itself ready.
	contactLimit = 1300 * time.Millisecond
	// quietLimit is how long the log may be quiet before a node that is asked whether it
	// is ready asks the log: followers are answered every 600 ms while nothing happens, and
	// a service next door in some 5 ms (chosen; as long as two calls that get no answer go
	// out beside each other).
	quietLimit = 200 * time.Millisecond
	// questionTimeout bounds that question at a log next door. After 150 ms without an
	// answer it goes to a peer too, after as long again to a second one.
	questionTimeout = 400 * time.Millisecond
)

// Ready reports whether the node takes new work. A node that is cut off from
// the log can neither take nor show batch jobs, so it sends clients elsewhere;
// if the log is down for all, all say so and the entry uses them all the same.
func (n *Node) Ready(ctx context.Context) bool {
	if n.draining.Load() || n.catalog.Load() == nil || n.samplers.Load() == nil {
		return false
	}
	return !n.jobs.followed.Load() || n.jobs.inTouch() && n.reachesLog(ctx)
}

// reachesLog reports whether the log answers this node, directly or through a peer. It
// asks the log if that was quiet: a follower notices only after the time for which it asked
// the log to hold its read, and the entry sends clients here for two of its questions more.
func (n *Node) reachesLog(ctx context.Context) bool {
	if n.log.Quiet() < quietLimit {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, questionTimeout+n.log.Beyond())
	defer cancel()
	_, err := n.log.Owners(ctx, jobGroup)
	return err == nil
}
