package node

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/emulator"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/fleet"
	"github.com/pathbend/pathbend/internal/logstore"
	"github.com/pathbend/pathbend/internal/membership"
	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/rollout"
	"github.com/pathbend/pathbend/internal/weights"
)

const document = `tenants:
  - name: shop
    spec:
      capacity: {requests_per_second: 1000, burst: 1000, concurrent_requests: 10, queue_length: 10, concurrent_samples: 4}
      models:
        - {name: m, pool: p, max_tokens: 100, version: {follow: trainer}, freshness: {max_versions: 1, max_age: 1m}, stragglers: {policy: carry_over}, switch: {policy: continue, min_serving_percent: 50}}
      routes:
        - {name: look, pool: b, deadline: 2s, priority: normal, max_attempts: 2, max_body_bytes: 1000}
`

// reserve returns an address with a free port.
func reserve(t *testing.T, reservingNetwork *network.ReservingNetwork) string {
	t.Helper()
	address, err := reservingNetwork.Reserve()
	require.NoError(t, err)
	return address
}

// startNode starts a node with an emulated platform and one back end, and waits until it is
// ready. At the end of the test it checks that no goroutine is left.
func startNode(t *testing.T) *Node {
	t.Helper()
	return startNodeWith(t, 0, DefaultSettings())
}

// startNodeWith does the same with a service time of the back end and settings for the node.
func startNodeWith(t *testing.T, serviceTime time.Duration, settings Settings) *Node {
	t.Helper()
	platform := emulator.NewPlatform(0, 0, 1)
	server := httptest.NewServer(platform.Handler())
	address := strings.TrimPrefix(server.URL, "http://")
	backEnd := httptest.NewServer(emulator.NewBackEnd("b-1", serviceTime, emulator.NewChecker(), rand.New(rand.NewPCG(1, 1))))
	platform.SetMachine(fleet.Machine{ID: "b-1", Role: fleet.RoleBackEnd, Pool: "b", Address: strings.TrimPrefix(backEnd.URL, "http://")})
	log := logstore.NewClient(network.TCP{}, address)
	_, err := logstore.AppendRecord(context.Background(), log, &pathbendv1.Record{Id: "first", Body: &pathbendv1.Record_ConfigPublish{
		ConfigPublish: &pathbendv1.ConfigPublish{Document: []byte(document), Author: "test"},
	}})
	require.NoError(t, err)
	settings.Name, settings.Zone = "n", "z"
	reservingNetwork := network.NewReservingNetwork()
	settings.HTTPAddress, settings.PeerAddress, settings.AdminAddress = reserve(t, reservingNetwork), reserve(t, reservingNetwork), reserve(t, reservingNetwork)
	settings.LogAddress, settings.MachinesAddress = address, address
	node, err := New(settings, reservingNetwork, event.Discard())
	require.NoError(t, err)
	require.NoError(t, node.Start())
	t.Cleanup(func() {
		node.Stop()
		log.Close()
		backEnd.Close()
		server.Close()
		http.DefaultClient.CloseIdleConnections()
		goleak.VerifyNone(t)
	})
	require.Eventually(t, func() bool { return node.Ready() && len(node.fleet.Status()) == 1 }, 20*time.Second, 5*time.Millisecond)
	return node
}

func get(t *testing.T, url, accept string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, url, nil)
	require.NoError(t, err)
	request.Header.Set("Accept", accept)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(content)
}

func TestNodeServesOperatorsAndStopsAllGoroutines(t *testing.T) {
	n := startNode(t)
	callers, admin := "http://"+n.settings.HTTPAddress, "http://"+n.settings.AdminAddress
	status, body := get(t, callers+"/v1/tenants/shop/routes/look", "")
	require.Equal(t, http.StatusOK, status, body)

	_, content := get(t, admin+"/status", "application/json")
	var parsed Status
	require.NoError(t, json.Unmarshal([]byte(content), &parsed))
	require.Equal(t, uint64(1), parsed.Revision)
	require.Equal(t, "b-1", parsed.Endpoints[0].ID)
	_, html := get(t, admin+"/status", "text/html")
	require.Contains(t, html, "<h2>Engines and back ends</h2>")
	// Metrics are recorded after the answer was sent.
	require.Eventually(t, func() bool {
		_, metrics := get(t, admin+"/metrics", "")
		return strings.Contains(metrics, `pathbend_requests_total{code="0",route="look",tenant="shop"} 1`)
	}, 10*time.Second, time.Millisecond)
	status, _ = get(t, admin+"/readyz", "")
	require.Equal(t, http.StatusOK, status)

	n.Drain()
	status, _ = get(t, admin+"/readyz", "")
	require.Equal(t, http.StatusServiceUnavailable, status)
	status, body = get(t, callers+"/v1/tenants/shop/routes/look", "")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, body, `"run":"not_run"`)
}

// Guards against requests that are cut without an answer because they outlast a drain.
func TestRequestThatOutlastsADrainIsAnswered(t *testing.T) {
	settings := DefaultSettings()
	settings.DrainTimeout = 100 * time.Millisecond
	n := startNodeWith(t, time.Second, settings)
	var requests conc.WaitGroup
	var status int
	var body string
	requests.Go(func() { status, body = get(t, "http://"+n.settings.HTTPAddress+"/v1/tenants/shop/routes/look", "") })
	require.Eventually(t, func() bool { return n.gateway.ActiveRequests() == 1 }, time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	n.Drain()
	n.Stop()
	requests.Wait()
	require.Equal(t, http.StatusGatewayTimeout, status, body)
	require.Contains(t, body, `"run":"unknown"`)
}

func TestSubmittedJobBringsBackTheVersion(t *testing.T) {
	n := startNode(t)
	spec := rollout.Spec{JobID: "j", Model: "m", TrainerVersion: 7, Prompts: []rollout.Prompt{{Prompt: "p", Samples: 1, MaxTokens: 5}}}
	require.NoError(t, n.jobs.Submit(context.Background(), "shop", spec))
	require.Equal(t, uint64(7), n.members.version(weights.ModelKey{Tenant: "shop", Model: "m"}))
	require.Error(t, n.jobs.AnnounceVersion(context.Background(), "shop", "m", 6), "announced versions must not decrease")
}

func TestRankMovesJobToSecondMemberWhenFirstLeaves(t *testing.T) {
	var members []membership.Member
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		members = append(members, membership.Member{ID: id})
	}
	for _, job := range []string{"j1", "j2", "j3", "j4", "j5", "j6"} {
		before := rank(job, members)
		first, ok := highestRanked(job, members)
		require.True(t, ok)
		require.Equal(t, before[0], first)
		var remaining []membership.Member
		for _, member := range members {
			if member.ID != before[0].ID {
				remaining = append(remaining, member)
			}
		}
		require.Equal(t, before[1].ID, rank(job, remaining)[0].ID)
	}
}

func TestInvalidSettingsErrorNamesFieldAndFix(t *testing.T) {
	settings := DefaultSettings()
	settings.Zone, settings.LogAddress, settings.MachinesAddress = "z", "here", "127.0.0.1:1"
	err := settings.Validate()
	require.ErrorContains(t, err, "name: ")
	require.ErrorContains(t, err, "--name")
	require.ErrorContains(t, err, `log_address: value "here" is not allowed; write host:port`)
}
