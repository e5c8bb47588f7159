package platformnode

import "time"

const (
	// minJobsPause is the minimum pause between two reads of the job log. It lets one read
	// return several records.
	minJobsPause = 40 * time.Millisecond
	// minSamplersPause is the minimum pause between two reads of the samplers' entries. It
	// lets one read return several entries: every sampler writes one per heartbeat.
	minSamplersPause = 300 * time.Millisecond
	// jobsReadShare and samplersReadShare are the fractions of the log's read limit that all
	// nodes together use for following the jobs and the samplers.
	jobsReadShare     = 0.3
	samplersReadShare = 0.15
	// maxReadPause is the maximum pause for any number of nodes. It bounds the staleness of
	// a node's data.
	maxReadPause = time.Second
)

// jobsPause returns the pause between two reads of the job log by this node. It is shortest
// on the executor, whose work depends on what it reads.
func (n *Node) jobsPause() time.Duration {
	if n.executor.executing() {
		return minJobsPause
	}
	return n.readPause(minJobsPause, jobsReadShare)
}

const (
	// minSharedPause replaces minSamplersPause if a few nodes read the entries on behalf
	// of the others, as their pause delays all other nodes.
	minSharedPause = 100 * time.Millisecond
	// drainDeadlineParts divides Settings.DrainDeadline, the time after which a leaving sampler
	// must get no new work. A node that reads the entries from another node uses one such part
	// for its long poll and one for the pause after it; together with the age up to which a
	// reader's entries count as current, 1.2 s, both stay within that time. With a shorter pause every entry
	// would cause a call of each node while samplers join: up to 9,000 calls per second from
	// 954 nodes that pause for 0.1 s.
	drainDeadlineParts = 4
)

// SamplersPause returns the pause between two reads of the samplers' entries by this node.
func (n *Node) SamplersPause() time.Duration {
	plan := n.readers.Plan()
	switch {
	case plan.Shared && plan.ReadsLog:
		return minSharedPause
	case len(plan.Parents) > 0:
		return max(n.settings.DrainDeadline/drainDeadlineParts, minSharedPause)
	}
	return n.readPause(minSamplersPause, samplersReadShare)
}

// SamplersPoll returns the duration of this node's long polls for the samplers' entries, 0
// for the default, which is short enough to detect that the log has become unreachable.
func (n *Node) SamplersPoll() time.Duration {
	if len(n.readers.Plan().Parents) == 0 {
		return 0
	}
	return n.settings.DrainDeadline / drainDeadlineParts
}

// readPause returns the pause with which all nodes together use the fraction share of the
// log's read limit. It is between minPause and maxReadPause, and minPause if the number of
// nodes or the read limit is unknown.
func (n *Node) readPause(minPause time.Duration, share float64) time.Duration {
	announced, ok := n.directory.Announced()
	if !ok || n.settings.ReadsPerSecond <= 0 {
		return minPause
	}
	pause := time.Duration(float64(announced.NodeCount) / (share * n.settings.ReadsPerSecond) * float64(time.Second))
	return min(max(minPause, pause), maxReadPause)
}
