package hosted

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/network"
)

// nodeAmong returns a node that knows of count nodes and has read the log.
func nodeAmong(t *testing.T, count int, readsPerSecond float64) *Node {
	t.Helper()
	settings := Settings{Name: "n", ReadsPerSecond: readsPerSecond}
	node := New(settings, Ports{Network: network.TCP{}, Log: emptyLog{}}, event.Discard())
	require.NoError(t, node.jobs.follower.CatchUp(t.Context()))
	for number := range count {
		entry := &pathbendv1.LedgerEntry{Fact: &pathbendv1.LedgerEntry_Announced{
			Announced: &pathbendv1.NodeCapacity{Node: fmt.Sprint(number), Millicores: 800},
		}}
		const large = 1 << 10
		records, err := ledger.Encode(entry, uint64(number), large)
		require.NoError(t, err)
		node.jobs.withLedger(func(known *ledger.Ledger) {
			_, err = known.Apply(records[0], time.Now())
		})
		require.NoError(t, err)
	}
	return node
}

// 300 nodes asked a store that allows 2,000 reads a second 4,200 times; a job
// could not be read at the end of the day.
func TestNodesShareTheReadsThatTheLogAllows(t *testing.T) {
	for _, fleet := range []struct {
		nodes          int
		reads          float64
		jobs, samplers time.Duration
	}{
		{12, 2000, leastJobsPause, leastSamplersPause},
		{80, 6000, 80 * time.Second / 1800, leastSamplersPause},
		{300, 2000, 500 * time.Millisecond, time.Second},
		{5000, 2000, longestPause, longestPause},
		{300, 0, leastJobsPause, leastSamplersPause},
	} {
		node := nodeAmong(t, fleet.nodes, fleet.reads)
		require.Equal(t, fleet.jobs, node.jobsPause(), "%d nodes", fleet.nodes)
		require.Equal(t, fleet.samplers, node.SamplersPause(), "%d nodes", fleet.nodes)
	}
}
