package simulation

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/client"
	"github.com/pathbend/pathbend/internal/emulator"
	"github.com/pathbend/pathbend/internal/lab"
	netpkg "github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/simnet"
)

const (
	// crashingBackEnds is the number of back ends in the pool that receives the crashing
	// request.
	crashingBackEnds = 6
	// crashingInterval is the time between two sendings of the crashing request or prompt. A
	// client makes a single attempt each time.
	crashingInterval = 500 * time.Millisecond
	// crashingDuration is how long the crashing request or prompt is sent.
	crashingDuration = time.Minute
	// otherRequestInterval is the time between two requests that crash nothing.
	otherRequestInterval = 32 * time.Millisecond
	// maxLateRuns is how often the request may still run later than
	// emulator.CrashPropagationLimit after its third crash.
	maxLateRuns = 3
)

// TestRequestThatCrashesItsBackEndsIsQuarantined sends one request that crashes its back ends
// to three nodes in turn. It guards against a failure in which the request ran 29 times later
// than 3 s after the third crash, and 653 of 1,859 other requests failed.
func TestRequestThatCrashesItsBackEndsIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := simnet.New(1, latency)
		cluster := startCluster(t, network, func(options *lab.Options) {
			for i := range options.Pools {
				if options.Pools[i].Name == "dealer-catalogue" {
					options.Pools[i].Size = crashingBackEnds
				}
			}
			options.Document.FindTenant(lab.Karri).Spec.Capacity.RequestsPerSecond = 1000
		})
		defer time.Sleep(shutdownWait)
		defer cluster.Close()
		ctx, stop := context.WithTimeout(context.Background(), crashingDuration)
		defer stop()
		var callers conc.WaitGroup
		callers.Go(func() { sendCrashingRequests(ctx, cluster, network) })
		failed, sent := 0, 0
		callers.Go(func() { failed, sent = sendOtherRequests(ctx, cluster, network) })
		callers.Wait()
		runs := cluster.Checker.CrashingRuns()
		t.Logf("%d crashing runs, %d late; %d of %d other requests failed", runs.Runs, runs.LateRuns, failed, sent)
		require.GreaterOrEqual(t, runs.Runs, 3)
		require.LessOrEqual(t, runs.LateRuns, maxLateRuns, "%d runs", runs.Runs)
		require.LessOrEqual(t, failed, sent/50, "other requests that failed")
	})
}

// startCluster starts the example cluster with changed options and waits until it is ready.
func startCluster(t *testing.T, network *simnet.Network, change func(*lab.Options)) *lab.Cluster {
	t.Helper()
	options, err := lab.ExampleOptions(network, 1)
	require.NoError(t, err)
	change(&options)
	cluster, err := lab.Start(options)
	require.NoError(t, err)
	ready, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	require.NoError(t, cluster.WaitReady(ready))
	return cluster
}

// sendCrashingRequests sends the crashing request to the nodes in turn until ctx is done.
func sendCrashingRequests(ctx context.Context, cluster *lab.Cluster, network *simnet.Network) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		slot := cluster.Nodes[attempt%len(cluster.Nodes)]
		caller := client.New(client.Options{
			Addresses: []string{slot.HTTPAddress}, Tenant: lab.Karri, MaxAttempts: 1, Network: network.For("crashing-caller", slot.Zone),
		})
		// The call fails or is rejected; the test counts runs, not outcomes.
		_, _ = caller.Call(ctx, client.Request{Route: "lookup", Path: "/crash", Body: []byte(emulator.CrashMarker), Repeatable: true, Timeout: time.Second})
		caller.Close()
		time.Sleep(crashingInterval)
	}
}

// sendOtherRequests sends requests that crash nothing until ctx is done. It returns how many
// failed and how many were sent.
func sendOtherRequests(ctx context.Context, cluster *lab.Cluster, network *simnet.Network) (failed, sent int) {
	caller := client.New(client.Options{
		Addresses: []string{cluster.Nodes[0].HTTPAddress, cluster.Nodes[1].HTTPAddress, cluster.Nodes[2].HTTPAddress},
		Tenant:    lab.Karri, MaxAttempts: 1, Spread: true, Network: network.For("other-caller", cluster.Nodes[0].Zone),
	})
	defer caller.Close()
	for ctx.Err() == nil {
		sent++
		_, err := caller.Call(context.WithoutCancel(ctx), client.Request{
			Route: "lookup", Path: fmt.Sprint("/other/", sent), Body: []byte("other"), Repeatable: true, Timeout: time.Second,
		})
		if err != nil {
			failed++
		}
		time.Sleep(otherRequestInterval)
	}
	return failed, sent
}

// TestPromptThatCrashesItsEnginesIsQuarantined checks the same for the prompt of a caller's
// completions, which crashes engines.
func TestPromptThatCrashesItsEnginesIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := simnet.New(1, latency)
		cluster := startCluster(t, network, func(*lab.Options) {})
		defer time.Sleep(shutdownWait)
		defer cluster.Close()
		ctx, stop := context.WithTimeout(context.Background(), crashingDuration)
		defer stop()
		sendCrashingCompletions(ctx, cluster, network)
		runs := cluster.Checker.CrashingRuns()
		t.Logf("%d runs, %d late", runs.Runs, runs.LateRuns)
		require.GreaterOrEqual(t, runs.Runs, 3)
		require.LessOrEqual(t, runs.LateRuns, maxLateRuns, "%d runs", runs.Runs)
	})
}

// TestSampleDuringCrashesIsDelivered guards against a slot of a trainer's job that is held back
// because engines crashed while they ran it: the work of a job is never the cause.
func TestSampleDuringCrashesIsDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := simnet.New(1, latency)
		cluster := startCluster(t, network, func(*lab.Options) {})
		defer time.Sleep(shutdownWait)
		defer cluster.Close()
		ctx, stop := context.WithTimeout(context.Background(), crashingDuration)
		defer stop()
		sample, err := runJob(ctx, cluster, network, emulator.DuringCrashesMarker)
		require.NoError(t, err)
		require.NotEmpty(t, sample.Tokens)
		require.Equal(t, emulator.CrashesDuringWork, cluster.Checker.CrashingRuns().Runs)
	})
}

// crashingModel is the model that the crashing prompts are sent to.
const crashingModel = "fitment-assistant"

// sendCrashingCompletions sends the crashing prompt to the nodes in turn until ctx is done.
func sendCrashingCompletions(ctx context.Context, cluster *lab.Cluster, network *simnet.Network) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		slot := cluster.Nodes[attempt%len(cluster.Nodes)]
		caller := http.Client{Transport: netpkg.NewTransport(network.For("crashing-caller", slot.Zone), 0)}
		body := strings.NewReader(`{"prompt":"` + emulator.CrashMarker + `","max_tokens":20}`)
		response, err := caller.Post("http://"+slot.HTTPAddress+"/v1/tenants/"+lab.Karri+"/models/"+crashingModel+"/completions", "application/json", body)
		if err == nil {
			response.Body.Close()
		}
		caller.CloseIdleConnections()
		time.Sleep(crashingInterval)
	}
}

// runJob submits a job with one prompt and returns its sample. It fails if there is none when ctx
// is done.
func runJob(ctx context.Context, cluster *lab.Cluster, network *simnet.Network, prompt string) (*client.Sample, error) {
	slot := cluster.Nodes[0]
	caller := client.New(client.Options{Addresses: []string{slot.HTTPAddress}, Tenant: lab.Karri, Network: network.For("trainer-during-crashes", slot.Zone)})
	defer caller.Close()
	const version = 1
	if err := caller.AnnounceVersion(ctx, crashingModel, version); err != nil {
		return nil, err
	}
	spec := client.JobSpec{JobID: "during-crashes", Model: crashingModel, Prompts: []client.Prompt{{Group: "g", Prompt: prompt, Samples: 1, MaxTokens: 20}}}
	job, err := caller.Submit(ctx, spec, func() uint64 { return version }, nil)
	if err != nil {
		return nil, err
	}
	for {
		sample, err := job.Next(ctx)
		if err == nil || ctx.Err() != nil {
			return sample, err
		}
		// A job is kept for as long as its trainer asks for samples.
		time.Sleep(crashingInterval)
	}
}
