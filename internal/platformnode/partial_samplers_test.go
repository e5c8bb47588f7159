package platformnode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/dispatch"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/schedule"
)

func newRequest() *dispatch.Request {
	return &dispatch.Request{Pool: "s", Deadline: time.Now().Add(time.Second)}
}

// Guards against nodes of a recovered zone that refuse requests for two seconds, until they
// have read the last of 3,000 sampler entries, while the load balancer sends clients to them.
func TestRequestIsServedOnceOneSamplerOfItsServiceIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newTestNode()
		node.ApplyCatalog(catalogOf(t, 1))
		began := time.Now()
		time.AfterFunc(100*time.Millisecond, func() { node.ApplyPartialSamplers([]schedule.Sampler{{ID: "1", Service: "other"}}) })
		time.AfterFunc(200*time.Millisecond, func() {
			node.ApplyPartialSamplers([]schedule.Sampler{{ID: "1", Service: "other"}, {ID: "2", Service: "s", Address: "a"}})
		})
		require.NoError(t, node.awaitSampler(t.Context(), newRequest()))
		require.Equal(t, 200*time.Millisecond, time.Since(began))
		require.Len(t, node.fleet.Status(), 2)
		require.False(t, node.Ready(t.Context()), "only a complete list makes a node ready")
	})
}

func TestNodeWithoutASamplerListIsNotReadyInsteadOfHavingNoBackEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newTestNode()
		began := time.Now()
		err := node.awaitSampler(t.Context(), newRequest())
		require.True(t, result.Is(err, result.NotReady))
		require.Equal(t, startupTimeout, time.Since(began))
		node.ApplySamplers([]schedule.Sampler{})
		require.NoError(t, node.awaitSampler(t.Context(), newRequest()), "the complete list has none: the dispatcher reports it")
	})
}

func TestExpiredPartialListIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newTestNode()
		node.ApplyPartialSamplers([]schedule.Sampler{{ID: "2", Service: "s", Address: "a"}})
		time.Sleep(maxPartialListAge)
		node.ApplyPartialSamplers([]schedule.Sampler{{ID: "2", Service: "s", Address: "a"}, {ID: "3", Service: "s", Address: "b"}})
		require.True(t, result.Is(node.awaitSampler(t.Context(), newRequest()), result.NotReady), "a sampler may be leaving by now")
	})
}

func TestPartialListNeverReplacesACompleteOne(t *testing.T) {
	node := newTestNode()
	node.ApplySamplers([]schedule.Sampler{{ID: "1", Service: "s"}, {ID: "2", Service: "s"}})
	node.ApplyPartialSamplers([]schedule.Sampler{{ID: "1", Service: "s"}})
	require.Len(t, node.fleet.Status(), 2)
}
