package hosted

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/dispatch"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/schedule"
)

func startingRequest() *dispatch.Request {
	return &dispatch.Request{Pool: "s", Deadline: time.Now().Add(time.Second)}
}

// Nodes of a zone that came back refused requests for two seconds, each until the last of
// 3,000 entries was read, though the entry sent clients to all of them.
func TestRequestIsServedOnceOneSamplerOfItsServiceIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newTestNode()
		node.TakeCatalog(catalogOf(t, 1))
		began := time.Now()
		time.AfterFunc(100*time.Millisecond, func() { node.TakeEarlySamplers([]schedule.Sampler{{ID: "1", Service: "other"}}) })
		time.AfterFunc(200*time.Millisecond, func() {
			node.TakeEarlySamplers([]schedule.Sampler{{ID: "1", Service: "other"}, {ID: "2", Service: "s", Address: "a"}})
		})
		require.NoError(t, node.awaitSampler(t.Context(), startingRequest()))
		require.Equal(t, 200*time.Millisecond, time.Since(began))
		require.Len(t, node.fleet.Status(), 2)
		require.False(t, node.Ready(t.Context()), "others know more")
	})
}

func TestNodeThatKnowsNoSamplerYetDoesNotSayThatThereIsNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newTestNode()
		began := time.Now()
		err := node.awaitSampler(t.Context(), startingRequest())
		require.True(t, result.Is(err, result.NotReady))
		require.Equal(t, startPatience, time.Since(began))
		node.TakeSamplers([]schedule.Sampler{})
		require.NoError(t, node.awaitSampler(t.Context(), startingRequest()), "the entire list has none: the dispatcher says so")
	})
}

func TestRequestsDoNotGoByAnOldPartOfAList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newTestNode()
		node.TakeEarlySamplers([]schedule.Sampler{{ID: "2", Service: "s", Address: "a"}})
		time.Sleep(maxPartialListAge)
		node.TakeEarlySamplers([]schedule.Sampler{{ID: "2", Service: "s", Address: "a"}, {ID: "3", Service: "s", Address: "b"}})
		require.True(t, result.Is(node.awaitSampler(t.Context(), startingRequest()), result.NotReady), "one may have begun to leave since")
	})
}

func TestPartOfAListNeverReplacesAnEntireOne(t *testing.T) {
	node := newTestNode()
	node.TakeSamplers([]schedule.Sampler{{ID: "1", Service: "s"}, {ID: "2", Service: "s"}})
	node.TakeEarlySamplers([]schedule.Sampler{{ID: "1", Service: "s"}})
	require.Len(t, node.fleet.Status(), 2)
}
