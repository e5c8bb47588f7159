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

// admitted offers requests of one tenant at a steady pace to each node and
// counts, by node, those that were answered after a warm-up.
func admitted(t *testing.T, limit float64, offered []float64, period time.Duration) []int {
	t.Helper()
	answered := make([]int, len(offered))
	synctest.Test(t, func(t *testing.T) {
		network := simnet.New(1, latency)
		options, err := lab.ExampleOptions(network, 1)
		require.NoError(t, err)
		capacity := &options.Document.FindTenant(lab.Karri).Spec.Capacity
		capacity.RequestsPerSecond, capacity.Burst = limit, int(limit/10)
		cluster, err := lab.Start(options)
		require.NoError(t, err)
		defer time.Sleep(closeTime)
		defer cluster.Close()
		ready, cancel := context.WithTimeout(context.Background(), startTimeout)
		defer cancel()
		require.NoError(t, cluster.WaitReady(ready))
		var callers conc.WaitGroup
		for i, rate := range offered {
			if rate > 0 {
				callers.Go(func() { answered[i] = offer(cluster.Nodes[i], network, rate, period) })
			}
		}
		callers.Wait()
	})
	return answered
}

// warmUp is the time in which shares find their place.
const warmUp = 10 * time.Second

func offer(slot *lab.NodeSlot, network *simnet.Network, rate float64, period time.Duration) int {
	caller := client.New(client.Options{
		Addresses: []string{slot.HTTPAddress}, Tenant: lab.Karri, MaxAttempts: 1, Network: network.For("caller-of-"+slot.Name, slot.Zone),
	})
	defer caller.Close()
	var count atomic.Int64
	var calls conc.WaitGroup
	began := time.Now()
	for due := began; due.Sub(began) < warmUp+period; due = due.Add(time.Duration(float64(time.Second) / rate)) {
		time.Sleep(time.Until(due))
		counts := due.Sub(began) >= warmUp
		calls.Go(func() {
			_, err := caller.Call(context.Background(), client.Request{Route: "lookup", Repeatable: true})
			if err == nil && counts {
				count.Add(1)
			}
		})
	}
	calls.Wait()
	return int(count.Load())
}

// TestTenantRateHoldsOverTheCluster offers twice the rate, evenly and at one
// node only: what is admitted is within a tenth of the rate in either case.
func TestTenantRateHoldsOverTheCluster(t *testing.T) {
	const limit, period = 40.0, 30 * time.Second
	for name, offered := range map[string][]float64{
		"evenly": {27, 27, 27}, "at one node": {80, 0, 0}, "unevenly": {60, 15, 5},
	} {
		t.Run(name, func(t *testing.T) {
			total := 0
			for _, count := range admitted(t, limit, offered, period) {
				total += count
			}
			t.Logf("admitted %.1f a second of %.0f", float64(total)/period.Seconds(), limit)
			require.InEpsilon(t, limit*period.Seconds(), float64(total), 0.1)
		})
	}
}

// TestDemandBelowTheRateIsNeverRefused lets all callers use one node, at most of
// the whole rate.
func TestDemandBelowTheRateIsNeverRefused(t *testing.T) {
	const period = 30 * time.Second
	counts := admitted(t, 40, []float64{30, 0, 0}, period)
	require.InEpsilon(t, 30*period.Seconds(), float64(counts[0]), 0.1)
}
