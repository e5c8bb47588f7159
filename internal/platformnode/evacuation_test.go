package platformnode

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/catalog"
	"github.com/pathbend/pathbend/internal/dispatch"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/schedule"
)

// startRefusingBackEnd starts a back end that refuses every request without running it, and
// calls asked for each. It returns the back end's address.
func startRefusingBackEnd(t *testing.T, asked func()) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		asked()
		writer.Header().Set(dispatch.HeaderRun, string(result.NotRun))
		writer.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestRetryAvoidsAnEvacuatedZone(t *testing.T) {
	node := New(Settings{Name: "n", Zone: "a"}, Ports{Network: network.TCP{}, Protocol: dispatch.NativeProtocol{}}, event.Discard())
	node.ApplyCatalog(catalogOf(t, 1))
	var askedThere atomic.Int64
	here := startRefusingBackEnd(t, func() { node.ApplyEvacuations([]string{"b"}) })
	there := startRefusingBackEnd(t, func() { askedThere.Add(1) })
	node.ApplySamplers([]schedule.Sampler{
		{ID: "here", Service: "s", Zone: "a", Address: here, Slots: 1}, {ID: "there", Service: "s", Zone: "b", Address: there, Slots: 1},
	})
	admitted := Admitted{Route: &catalog.Route{
		Name: "r", Kind: catalog.Repeatable, MaxAttempts: 3, TrafficShares: []catalog.TrafficShare{{Service: "s", Weight: 1}},
	}}
	_, err := node.Forward(t.Context(), admitted, &Inbound{Method: http.MethodPost, Path: "/", Wait: time.Minute})
	require.Error(t, err)
	require.Zero(t, askedThere.Load())
	node.ApplyEvacuations([]string{"a", "b"})
	_, err = node.Forward(t.Context(), admitted, &Inbound{Method: http.MethodPost, Path: "/", Wait: time.Minute})
	require.True(t, result.Is(err, result.ZoneEvacuated), "%v", err)
}

func TestEvacuatedSamplersGetNoWeightOrders(t *testing.T) {
	e := newHolder("n", 1, emptyLog{})
	e.scheduler = schedule.New(func() uint64 { return 1 })
	versions := map[string]uint64{"m": 1}
	var listed []schedule.Sampler
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		listed = append(listed, schedule.Sampler{ID: id, Zone: id[:1], Service: "s", Slots: 2, Versions: versions})
	}
	e.scheduler.SetSamplers(listed, time.Now())
	e.node.ApplyVersion("m", 2)
	e.node.ApplyEvacuations([]string{"a"})
	e.applyEvacuations()
	var ordered []string
	for _, member := range (samplerFleet{executor: e, now: time.Now()}).Members() {
		ordered = append(ordered, member.ID)
	}
	require.Equal(t, []string{"b1", "b2"}, ordered)
}

func TestNoSamplersAreOrderedInAnEvacuatedZone(t *testing.T) {
	node := newTestNode()
	service := catalog.Service{Name: "s", Scaling: &catalog.Scaling{ZonePrices: map[string]float64{"a": 1, "b": 1}}}
	node.ApplySamplers([]schedule.Sampler{
		{ID: "a1", Zone: "a", Service: "s"}, {ID: "a2", Zone: "a", Service: "s", Spot: true}, {ID: "b1", Zone: "b", Service: "s"},
	})
	node.ApplyEvacuations([]string{"a"})
	zones, evacuated := node.scaler.countByZone(service)
	require.Len(t, zones, 1)
	require.Equal(t, "b", zones[0].Name)
	require.Equal(t, 1, evacuated, "spot samplers are not counted")
}
