package platformnode

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/ownership/ownershiptest"
	"github.com/pathbend/pathbend/internal/schedule"
	"github.com/pathbend/pathbend/internal/sharedlog"
)

// silentGroup never answers.
type silentGroup struct{ sharedlog.Group }

func (silentGroup) Owners(ctx context.Context, _ string) ([]sharedlog.Owner, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// readyNode returns a node with a configuration, a sampler list and an up-to-date ledger.
func readyNode(t *testing.T, group sharedlog.Group) *Node {
	t.Helper()
	node := New(Settings{Name: "n"}, Ports{Network: network.TCP{}, Log: emptyLog{}, Group: group}, event.Discard())
	node.ApplyCatalog(catalogOf(t, 1))
	node.ApplySamplers([]schedule.Sampler{})
	node.jobs.following.Store(true)
	require.NoError(t, node.jobs.follower.CatchUp(t.Context()))
	return node
}

// Guards against nodes that stay ready without the log: when a zone was cut off, its nodes
// stayed ready for 1.3 s, and the load balancer sent clients to them for some three seconds.
func TestNodeIsNotReadyAtTheNextCheckAfterTheLogStopsAnswering(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := readyNode(t, silentGroup{})
		require.True(t, node.Ready(t.Context()), "the log has just answered")
		time.Sleep(maxLogSilence)
		began := time.Now()
		require.False(t, node.Ready(t.Context()))
		require.Equal(t, logProbeTimeout, time.Since(began))
	})
}

func TestNodeStaysReadyWithAQuietLogThatAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := &ownershiptest.Group{}
		node := readyNode(t, group)
		time.Sleep(maxLogReadAge - time.Millisecond)
		require.True(t, node.Ready(t.Context()))
		group.Set(func() { group.Down = true })
		require.True(t, node.Ready(t.Context()), "the log has just answered")
		time.Sleep(time.Millisecond)
		require.False(t, node.Ready(t.Context()), "the ledger was not read within the limit")
	})
}
