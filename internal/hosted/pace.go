package hosted

import "time"

const (
	// leastJobsPause lets several records of the jobs join one read.
	leastJobsPause = 40 * time.Millisecond
	// leastSamplersPause lets several entries of samplers join one read: there is
	// one a heartbeat and sampler.
	leastSamplersPause = 300 * time.Millisecond
	// jobsReadShare and samplersReadShare are the parts of the reads that the log
	// allows which all nodes together spend on following each.
	jobsReadShare     = 0.3
	samplersReadShare = 0.15
	// longestPause bounds the pauses however many nodes there are: what a node
	// holds to be true must not grow old.
	longestPause = time.Second
)

// jobsPause is how long this node rests between two reads of the jobs. The
// executor rests least, since its work waits for what it reads.
func (n *Node) jobsPause() time.Duration {
	if n.executor.executing() {
		return leastJobsPause
	}
	return n.readPause(leastJobsPause, jobsReadShare)
}

// leastSharedPause is leastSamplersPause where few nodes read the entries for the others:
// what they rest, all others wait.
const leastSharedPause = 100 * time.Millisecond

// SamplersPause is how long this node rests between two reads of the samplers'
// entries.
func (n *Node) SamplersPause() time.Duration {
	if plan := n.readers.Plan(); plan.Shared && (plan.Reads || len(plan.Parents) > 0) {
		return leastSharedPause
	}
	return n.readPause(leastSamplersPause, samplersReadShare)
}

// readPause spreads a share of the reads that the log allows over all nodes.
func (n *Node) readPause(least time.Duration, share float64) time.Duration {
	announced, ok := n.directory.Announced()
	if !ok || n.settings.ReadsPerSecond <= 0 {
		return least
	}
	even := time.Duration(float64(announced.Nodes) / (share * n.settings.ReadsPerSecond) * float64(time.Second))
	return min(max(least, even), longestPause)
}
