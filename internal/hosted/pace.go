package hosted

import "time"

const (
	// leastJobsPause is the minimum pause between two reads of the job log. It lets one read
	// return several records.
	leastJobsPause = 40 * time.Millisecond
	// leastSamplersPause is the minimum pause between two reads of the samplers' entries. It
	// lets one read return several entries: every sampler writes one per heartbeat.
	leastSamplersPause = 300 * time.Millisecond
	// jobsReadShare and samplersReadShare are the fractions of the log's read limit that all
	// nodes together use for following the jobs and the samplers.
	jobsReadShare     = 0.3
	samplersReadShare = 0.15
	// longestPause is the maximum pause for any number of nodes. It bounds the staleness of
	// a node's data.
	longestPause = time.Second
)

// jobsPause returns the pause between two reads of the job log by this node. It is shortest
// on the executor, whose work depends on what it reads.
func (n *Node) jobsPause() time.Duration {
	if n.executor.executing() {
		return leastJobsPause
	}
	return n.readPause(leastJobsPause, jobsReadShare)
}

const (
	// leastSharedPause replaces leastSamplersPause if a few nodes read the entries on behalf
	// of the others, as their pause delays all other nodes.
	leastSharedPause = 100 * time.Millisecond
	// boundParts divides DrainWithin, the time after which a leaving sampler must get no new
	// work. A node that reads the entries from another node uses one such part for its long
	// poll and one for the pause after it; together with the age of a lagging reader, 1.2 s,
	// both stay within that time. Otherwise every entry would cause a call to each node while
	// samplers join: up to 9,000 calls per second from 954 nodes that pause for 0.1 s.
	boundParts = 4
)

// SamplersPause returns the pause between two reads of the samplers' entries by this node.
func (n *Node) SamplersPause() time.Duration {
	plan := n.readers.Plan()
	switch {
	case plan.Shared && plan.Reads:
		return leastSharedPause
	case len(plan.Parents) > 0:
		return max(n.settings.DrainWithin/boundParts, leastSharedPause)
	}
	return n.readPause(leastSamplersPause, samplersReadShare)
}

// SamplersPoll returns the duration of this node's long polls for the samplers' entries, 0
// for the default. The default polls the log often enough to detect that it is
// unreachable.
func (n *Node) SamplersPoll() time.Duration {
	if len(n.readers.Plan().Parents) == 0 {
		return 0
	}
	return n.settings.DrainWithin / boundParts
}

// readPause returns the pause with which all nodes together use the fraction share of the
// log's read limit. It is between least and longestPause, and least if the number of nodes
// or the read limit is unknown.
func (n *Node) readPause(least time.Duration, share float64) time.Duration {
	announced, ok := n.directory.Announced()
	if !ok || n.settings.ReadsPerSecond <= 0 {
		return least
	}
	even := time.Duration(float64(announced.Nodes) / (share * n.settings.ReadsPerSecond) * float64(time.Second))
	return min(max(least, even), longestPause)
}
