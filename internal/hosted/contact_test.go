package hosted

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

// silentGroup answers nobody.
type silentGroup struct{ sharedlog.Group }

func (silentGroup) Owners(ctx context.Context, _ string) ([]sharedlog.Owner, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// informedNode knows routes, samplers and the ledger as of now.
func informedNode(t *testing.T, group sharedlog.Group) *Node {
	t.Helper()
	node := New(Settings{Name: "n"}, Ports{Network: network.TCP{}, Log: emptyLog{}, Group: group}, event.Discard())
	node.TakeCatalog(catalogOf(t, 1))
	node.TakeSamplers([]schedule.Sampler{})
	node.jobs.followed.Store(true)
	require.NoError(t, node.jobs.follower.CatchUp(t.Context()))
	return node
}

// A zone was cut off, and the entry sent clients to its nodes for some three seconds: each
// called itself ready for 1.3 s.
func TestNodeThatTheLogDoesNotAnswerIsNotReadyWhenItIsAskedNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := informedNode(t, silentGroup{})
		require.True(t, node.Ready(t.Context()), "the log answered just now")
		time.Sleep(maxLogSilence)
		began := time.Now()
		require.False(t, node.Ready(t.Context()))
		require.Equal(t, logProbeTimeout, time.Since(began))
	})
}

func TestQuietLogThatAnswersLeavesANodeReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := &ownershiptest.Group{}
		node := informedNode(t, group)
		time.Sleep(maxLogReadAge - time.Millisecond)
		require.True(t, node.Ready(t.Context()))
		group.Set(func() { group.Down = true })
		require.True(t, node.Ready(t.Context()), "it answered just now")
		time.Sleep(time.Millisecond)
		require.False(t, node.Ready(t.Context()), "the ledger was not read of late")
	})
}
