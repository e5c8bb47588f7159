package platformnode

import "time"

const (
	// minJobsPause is the minimum pause between two reads of the job log. It lets one read
	// return several records.
	minJobsPause = 40 * time.Millisecond
	// askerJobsPause is the pause between two requests for the jobs' records to a node that
	// reads them. It lets one request return several records.
	askerJobsPause = 100 * time.Millisecond
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
	switch plan := n.readers.Plan(); {
	case plan.Shared && plan.ReadsLog:
		return n.readPauseOf(plan.Readers, minJobsPause, jobsReadShare)
	case len(plan.Parents) > 0:
		return askerJobsPause
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
	// reader's entries count as current, 1.2 s, both stay within that time. With a shorter pause
	// every entry would cause a call of each node while samplers join: up to 9,000 calls per
	// second from 954 nodes that pause for 0.1 s.
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
	if !ok {
		return minPause
	}
	return n.readPauseOf(announced.NodeCount, minPause, share)
}

// readPauseOf is readPause for a given number of nodes that read the log.
func (n *Node) readPauseOf(nodes int, minPause time.Duration, share float64) time.Duration {
	if n.settings.ReadsPerSecond <= 0 {
		return minPause
	}
	pause := time.Duration(float64(nodes) / (share * n.settings.ReadsPerSecond) * float64(time.Second))
	return min(max(minPause, pause), maxReadPause)
}

const (
	// minRetryPauseLimit is the minimum of the upper limit of the pause after a failed read.
	minRetryPauseLimit = 500 * time.Millisecond
	// maxRetryPauseLimit is the maximum of that limit for any number of nodes. It bounds the
	// time until a node notices that the log is back.
	maxRetryPauseLimit = 2500 * time.Millisecond
	// retryReadShare is the fraction of the log's read limit that all nodes together use for
	// repeating failed reads, followedTopics the number of topics that each node follows.
	retryReadShare = 0.2
	followedTopics = 4
)

// RetryPauseLimit returns the upper limit of the pause after a failed read of one topic, with
// which the repeated reads of all nodes stay within their share of the log's read limit. A
// pause is half its limit on average. The limit is lowest on the executor, whose work depends
// on what it reads.
func (n *Node) RetryPauseLimit() time.Duration {
	announced, ok := n.directory.Announced()
	if !ok || n.settings.ReadsPerSecond <= 0 || n.executor.executing() {
		return minRetryPauseLimit
	}
	const meanPauses = 2
	limit := time.Duration(meanPauses * followedTopics * float64(announced.NodeCount) / (retryReadShare * n.settings.ReadsPerSecond) * float64(time.Second))
	return min(max(minRetryPauseLimit, limit), maxRetryPauseLimit)
}
