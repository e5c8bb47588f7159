package platformnode

import (
	"context"
	"time"
)

const (
	// maxLogReadAge is how long a node stays ready without having read the log.
	maxLogReadAge = 1300 * time.Millisecond
	// maxLogSilence is how long the log may have been silent before a readiness check probes
	// it. Without new records, long polls are answered every 600 ms, while a nearby log answers
	// a call in some 5 ms. The limit leaves time for two parallel calls to go unanswered.
	maxLogSilence = 200 * time.Millisecond
	// logProbeTimeout is the timeout of that probe for a nearby log. After 150 ms without an
	// answer the probe is also sent through a peer, and after another 150 ms through a second
	// one.
	logProbeTimeout = 400 * time.Millisecond
)

// Ready reports whether the node accepts new work. A node that cannot reach the log can
// neither accept batch jobs nor return their results, so clients should use other nodes.
// If the log is down for all nodes, none is ready and the load balancer uses them anyway.
func (n *Node) Ready(ctx context.Context) bool {
	if n.draining.Load() || n.catalog.Load() == nil || n.samplers.Load() == nil {
		return false
	}
	return !n.jobs.following.Load() || n.jobs.hasCurrentLog() && n.reachesLog(ctx)
}

// reachesLog reports whether the log answers this node, directly or through a peer. It
// probes the log if it has been silent for maxLogSilence: a follower notices a lost connection
// only after its long poll expires, and the load balancer sends clients here for two more of its
// readiness checks.
func (n *Node) reachesLog(ctx context.Context) bool {
	if n.log.SinceLastResponse() < maxLogSilence {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, logProbeTimeout+n.log.ExtraLatency())
	defer cancel()
	_, err := n.log.Owners(ctx, jobGroup)
	return err == nil
}
