package platformnode

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/fanout"
	"github.com/pathbend/pathbend/internal/network"
)

// nodeAmong returns a node whose directory has entries of count nodes.
func nodeAmong(t *testing.T, count int, readsPerSecond float64) *Node {
	t.Helper()
	settings := Settings{Name: "n", ReadsPerSecond: readsPerSecond}
	node := New(settings, Ports{Network: network.TCP{}, Log: emptyLog{}}, event.Discard())
	readDirectory(t, node.directory)
	for number := range count {
		announceAs(t, node.directory, fmt.Sprint(number), 800)
	}
	return node
}

// Guards against exceeding the read limit of the log: 300 nodes made 4,200 reads per second
// of a log that allows 2,000, and a job could not be read in the end.
func TestNodesShareTheReadLimitOfTheLog(t *testing.T) {
	for _, fleet := range []struct {
		nodes          int
		reads          float64
		jobs, samplers time.Duration
	}{
		{12, 2000, minJobsPause, minSamplersPause},
		{80, 6000, 80 * time.Second / 1800, minSamplersPause},
		{300, 2000, 500 * time.Millisecond, time.Second},
		{5000, 2000, maxReadPause, maxReadPause},
		{300, 0, minJobsPause, minSamplersPause},
	} {
		node := nodeAmong(t, fleet.nodes, fleet.reads)
		require.Equal(t, fleet.jobs, node.jobsPause(), "%d nodes", fleet.nodes)
		require.Equal(t, fleet.samplers, node.SamplersPause(), "%d nodes", fleet.nodes)
	}
}

// Where nodes share readers, the pause of a reader depends on the number of readers, and that of
// the others does not depend on the fleet, as they do not read the log.
func TestNodesThatShareReadersPauseBriefly(t *testing.T) {
	node := nodeAmong(t, 300, 2000)
	require.Equal(t, 500*time.Millisecond, node.jobsPause())
	setPlan := func(plan fanout.Plan) {
		node.readers.Plan()
		node.readers.plan = plan
	}
	setPlan(fanout.Plan{Shared: true, ReadsLog: true, Readers: 12})
	require.Equal(t, minJobsPause, node.jobsPause())
	setPlan(fanout.Plan{Shared: true, ReadsLog: true, Readers: 60})
	require.Equal(t, 100*time.Millisecond, node.jobsPause())
	setPlan(fanout.Plan{Shared: true, Parents: []fanout.Node{{Name: "r"}}})
	require.Equal(t, askerJobsPause, node.jobsPause())
}

// Guards against retries at a fixed rate: 985 nodes repeated their failed reads of four topics
// ten times a second each, which is 2.5 times the read limit of the log.
func TestRepeatedReadsOfAllNodesStayWithinTheirShareOfTheReadLimit(t *testing.T) {
	for _, fleet := range []struct {
		nodes int
		reads float64
		limit time.Duration
	}{
		{1, 16000, minRetryPauseLimit},
		{400, 16000, time.Second},
		{985, 16000, 985 * time.Second / 400},
		{5000, 16000, maxRetryPauseLimit},
		{300, 0, minRetryPauseLimit},
	} {
		require.Equal(t, fleet.limit, nodeAmong(t, fleet.nodes, fleet.reads).RetryPauseLimit(), "%d nodes", fleet.nodes)
	}
}
