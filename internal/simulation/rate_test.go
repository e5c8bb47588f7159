package simulation

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/client"
	"github.com/pathbend/pathbend/internal/lab"
	"github.com/pathbend/pathbend/internal/simnet"
)

// measureAdmitted sends requests of one tenant to each node at a constant rate and
// returns, by node, how many of those sent after the warm-up were answered.
func measureAdmitted(t *testing.T, limit float64, offeredRates []float64, period time.Duration) []int {
	t.Helper()
	answered := make([]int, len(offeredRates))
	synctest.Test(t, func(t *testing.T) {
		network := simnet.New(1, latency)
		options, err := lab.ExampleOptions(network, 1)
		require.NoError(t, err)
		capacity := &options.Document.FindTenant(lab.Karri).Spec.Capacity
		capacity.RequestsPerSecond, capacity.Burst = limit, int(limit/10)
		cluster, err := lab.Start(options)
		require.NoError(t, err)
		defer time.Sleep(shutdownWait)
		defer cluster.Close()
		ready, cancel := context.WithTimeout(context.Background(), startTimeout)
		defer cancel()
		require.NoError(t, cluster.WaitReady(ready))
		var callers conc.WaitGroup
		for i, rate := range offeredRates {
			if rate > 0 {
				callers.Go(func() { answered[i] = sendAtRate(cluster.Nodes[i], network, rate, period) })
			}
		}
		callers.Wait()
	})
	return answered
}

// warmUpTime is how long the tenant's rate shares may take to adapt to the demand
// at each node.
const warmUpTime = 10 * time.Second

// sendAtRate sends requests to a node at a constant rate per second, in an open
// loop, and returns how many of those sent after the warm-up were answered.
func sendAtRate(slot *lab.NodeSlot, network *simnet.Network, rate float64, period time.Duration) int {
	caller := client.New(client.Options{
		Addresses: []string{slot.HTTPAddress}, Tenant: lab.Karri, MaxAttempts: 1, Network: network.For("caller-of-"+slot.Name, slot.Zone),
	})
	defer caller.Close()
	var count atomic.Int64
	var calls conc.WaitGroup
	startedAt := time.Now()
	for due := startedAt; due.Sub(startedAt) < warmUpTime+period; due = due.Add(time.Duration(float64(time.Second) / rate)) {
		time.Sleep(time.Until(due))
		measured := due.Sub(startedAt) >= warmUpTime
		calls.Go(func() {
			_, err := caller.Call(context.Background(), client.Request{Route: "lookup", Repeatable: true})
			if err == nil && measured {
				count.Add(1)
			}
		})
	}
	calls.Wait()
	return int(count.Load())
}

// TestTenantRateIsEnforcedOverTheCluster sends twice the tenant's rate, spread
// evenly, unevenly or to one node only. In each case the admitted rate must be
// within a tenth of the limit.
func TestTenantRateIsEnforcedOverTheCluster(t *testing.T) {
	const limit, period = 40.0, 30 * time.Second
	for name, offeredRates := range map[string][]float64{
		"evenly": {27, 27, 27}, "at one node": {80, 0, 0}, "unevenly": {60, 15, 5},
	} {
		t.Run(name, func(t *testing.T) {
			total := 0
			for _, count := range measureAdmitted(t, limit, offeredRates, period) {
				total += count
			}
			t.Logf("admitted %.1f a second of %.0f", float64(total)/period.Seconds(), limit)
			require.InEpsilon(t, limit*period.Seconds(), float64(total), 0.1)
		})
	}
}

// TestDemandBelowTheRateIsNeverRefused sends three quarters of the tenant's rate to
// a single node.
func TestDemandBelowTheRateIsNeverRefused(t *testing.T) {
	const period = 30 * time.Second
	counts := measureAdmitted(t, 40, []float64{30, 0, 0}, period)
	require.InEpsilon(t, 30*period.Seconds(), float64(counts[0]), 0.1)
}
