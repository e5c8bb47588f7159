package platformnode

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/catalog"
	"github.com/pathbend/pathbend/internal/credential"
	"github.com/pathbend/pathbend/internal/dispatch"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/locality"
	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/schedule"
)

var twoRegions = locality.NewTopology(map[string]string{"a": "north", "b": "south"})

// boundNode returns a node in region north with the allowed regions of route "r" at host "h",
// of its only tenant T, which holds the key "of-t", and of the reward route "w" at host "w".
func boundNode(t *testing.T, route, tenant, rewards locality.Regions) *Node {
	t.Helper()
	node := New(Settings{Name: "n", Zone: "a", Topology: twoRegions}, Ports{Network: network.TCP{}, Protocol: dispatch.NativeProtocol{}}, event.Discard())
	shares := []catalog.TrafficShare{{Service: "s", Weight: 1}}
	built, err := catalog.New(1, []catalog.Route{
		{Name: "r", Host: "h", Prefix: "/", Kind: catalog.Repeatable, TrafficShares: shares, Regions: route, MaxAttempts: 2},
		{Name: "w", Host: "w", Prefix: "/", Kind: catalog.Repeatable, TrafficShares: shares, Regions: rewards},
	}, nil, catalog.Limits{}, nil)
	require.NoError(t, err)
	built.Keys = credential.NewKeyring([]credential.Grant{
		{Tenant: credential.Tenant{Name: "T", Regions: tenant}, Keys: []string{"of-t"}},
	})
	node.ApplyCatalog(built)
	node.ApplySamplers([]schedule.Sampler{{ID: "s-north", Service: "s", Zone: "a", Address: "127.0.0.1:1"}})
	return node
}

func forward(t *testing.T, node *Node) *result.Error {
	t.Helper()
	admitted, err := node.Admit(t.Context(), "h", "/x", "of-t")
	require.NoError(t, err)
	_, err = node.Forward(t.Context(), admitted, &Inbound{ID: "1", Method: "GET", Host: "h", Path: "/x", Key: "of-t", Wait: time.Second})
	require.Error(t, err)
	return result.From(err)
}

func TestRequestWithoutAPossibleRegionIsRefusedWithoutARetryHint(t *testing.T) {
	for name, node := range map[string]*Node{
		"both bind":      boundNode(t, locality.Only("north"), locality.Only("south"), locality.Regions{}),
		"unknown region": boundNode(t, locality.Only("west"), locality.Regions{}, locality.Regions{}),
	} {
		refusal := forward(t, node)
		require.Equal(t, result.RegionUnavailable, refusal.Code, name)
		require.Zero(t, refusal.RetryAfter, name)
	}
}

func TestRequestIsRetriedWhileItsRegionHasNoSampler(t *testing.T) {
	for name, node := range map[string]*Node{
		"route":  boundNode(t, locality.Only("south"), locality.Regions{}, locality.Regions{}),
		"tenant": boundNode(t, locality.Regions{}, locality.Only("south"), locality.Regions{}),
	} {
		refusal := forward(t, node)
		require.Equal(t, result.RegionUnavailable, refusal.Code, name)
		require.Positive(t, refusal.RetryAfter, "a sampler may be added there")
	}
	unbound := boundNode(t, locality.Regions{}, locality.Regions{}, locality.Regions{})
	require.Equal(t, result.NoBackEnd, forward(t, unbound).Code)
}

func TestJobThatCanNeverBeServedIsRefusedAtSubmission(t *testing.T) {
	anywhere, north, south := locality.Regions{}, locality.Only("north"), locality.Only("south")
	items := []*pathbendv1.BatchItem{{Id: "1"}, {Id: "2", Reward: &pathbendv1.RewardCall{Id: "c", Host: "w", Path: "/"}}}
	for name, node := range map[string]*Node{
		"its route":   boundNode(t, north, south, anywhere),
		"its rewards": boundNode(t, anywhere, south, north),
	} {
		err := node.Submit(t.Context(), "j", &pathbendv1.BatchJob{Host: "h", Path: "/", Tenant: "T"}, items)
		require.True(t, result.Is(err, result.RegionUnavailable), "%s: %v", name, err)
		require.Zero(t, result.From(err).RetryAfter)
	}
	served := boundNode(t, south, south, south)
	require.NoError(t, served.checkJobServable(&pathbendv1.BatchJob{Host: "h", Path: "/", Tenant: "T"}, items))
}
