package platformnode

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/catalog"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/ownership/ownershiptest"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/schedule"
	"github.com/pathbend/pathbend/internal/sharedlog"
)

func newTestNode() *Node {
	return New(Settings{Name: "n", Zone: "a"}, Ports{Network: network.TCP{}}, event.Discard())
}

func catalogOf(t *testing.T, version uint64) *catalog.Catalog {
	t.Helper()
	built, err := catalog.New(version, []catalog.Route{{
		Name: "r", Host: "h", Prefix: "/", Kind: catalog.Repeatable, TrafficShares: []catalog.TrafficShare{{Service: "s", Weight: 1}},
	}}, nil, catalog.Limits{}, nil)
	require.NoError(t, err)
	return built
}

// A node that has just started must not refuse requests at once: its configuration arrives
// within about 100 ms, and a client may retry only once. One node refused a request 6 ms after
// its start.
func TestRequestWaitsForTheFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newTestNode()
		time.AfterFunc(100*time.Millisecond, func() {
			node.ApplyCatalog(catalogOf(t, 1))
			node.ApplySamplers([]schedule.Sampler{})
		})
		admitted, err := node.Admit(t.Context(), "h", "/x", "")
		require.NoError(t, err)
		require.Equal(t, "r", admitted.Route.Name)
		_, err = node.Admit(t.Context(), "other", "/x", "")
		require.True(t, result.Is(err, result.UnknownRoute))
	})
}

func TestRequestIsRefusedAfterTheStartTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newTestNode()
		began := time.Now()
		_, err := node.Admit(t.Context(), "h", "/x", "")
		require.True(t, result.Is(err, result.NotReady), "a node without a configuration cannot know that the route does not exist")
		require.InDelta(t, notReadyRetryAfter, result.From(err).RetryAfter, float64(notReadyRetryAfter)*0.4)
		require.Equal(t, startupTimeout, time.Since(began))
	})
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	node := newTestNode()
	node.ApplyCatalog(catalogOf(t, 5))
	node.ApplyCatalog(catalogOf(t, 3))
	require.EqualValues(t, 5, node.Catalog().Version)
	node.ApplyVersion("m", 4)
	node.ApplyVersion("m", 2)
	require.EqualValues(t, 4, node.targets()["m"])
}

func TestRetryAfterIsJittered(t *testing.T) {
	times := make(map[time.Duration]struct{})
	for range 50 {
		err := jitterRetryAfter(result.New(result.NoBackEnd, "none").WithRetryAfter(time.Second))
		after := result.From(err).RetryAfter
		require.GreaterOrEqual(t, after, 600*time.Millisecond)
		require.LessOrEqual(t, after, 1400*time.Millisecond)
		times[after] = struct{}{}
	}
	require.Greater(t, len(times), 40)
	require.NoError(t, jitterRetryAfter(nil))
}

// emptyLog has no records.
type emptyLog struct{ sharedlog.Log }

func (emptyLog) Read(_ context.Context, _ sharedlog.Partition, _ uint64, wait time.Duration) (sharedlog.Batch, error) {
	time.Sleep(wait)
	return sharedlog.Batch{}, nil
}

func (emptyLog) ReadKeyed(_ context.Context, _ sharedlog.Partition, _ uint64, wait time.Duration) (sharedlog.KeyedBatch, error) {
	time.Sleep(wait)
	return sharedlog.KeyedBatch{}, nil
}

func (emptyLog) ReadNewest(context.Context, sharedlog.Partition, string) (sharedlog.KeyedPage, error) {
	return sharedlog.KeyedPage{}, nil
}

// A node without the list of samplers cannot execute jobs. If it joined the group it could
// hold the jobs although other nodes have the list: a restarted executor held them for 4 s.
func TestNodeWithoutSamplersDoesNotJoinTheGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := &ownershiptest.Group{Assignment: ownershiptest.NewAssignment(4, 0)}
		settings := Settings{Name: "n", Zone: "a", MinAssignmentTTL: time.Second, OrderGrace: time.Second, JobRetention: time.Minute}
		node := New(settings, Ports{Network: network.TCP{}, Log: emptyLog{}, Group: group}, event.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		node.Start(ctx)
		node.ApplyCatalog(catalogOf(t, 1))
		time.Sleep(5 * time.Second)
		require.Zero(t, group.Joins())
		node.ApplySamplers([]schedule.Sampler{})
		time.Sleep(time.Second)
		require.Positive(t, group.Joins())
		cancel()
		node.Stop()
	})
}
