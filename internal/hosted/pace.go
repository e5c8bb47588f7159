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

const (
	// leastSharedPause is leastSamplersPause where few nodes read the entries for the others:
	// what they rest, all others wait.
	leastSharedPause = 100 * time.Millisecond
	// boundParts is the part of the time within which a sampler that leaves must get nothing
	// new for which a node that hears of it from another lets its question be held, and rests
	// after an answer: the age of a reader that lags, 1.2 s, and both stay within the time.
	// While samplers come, each entry would be a call to each node otherwise, up to 9,000 a
	// second by 954 nodes that rest for 0.1 s (worked out).
	boundParts = 4
)

// SamplersPause is how long this node rests between two reads of the samplers'
// entries.
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

// SamplersPoll is how long this node lets a question for the samplers' entries be held, 0 for
// as long as usual. Without one the log is asked as often as a node must know that it reaches it.
func (n *Node) SamplersPoll() time.Duration {
	if len(n.readers.Plan().Parents) == 0 {
		return 0
	}
	return n.settings.DrainWithin / boundParts
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
