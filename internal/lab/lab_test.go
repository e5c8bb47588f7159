package lab

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestExampleClusterOverLoopback runs the traffic of both tenants against real nodes on loopback
// TCP and checks the invariants on what callers and trainers observed.
func TestExampleClusterOverLoopback(t *testing.T) {
	options, err := ExampleOptions(NewLoopback(), 1)
	require.NoError(t, err)
	cluster, err := Start(options)
	require.NoError(t, err)
	defer cluster.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	require.NoError(t, cluster.WaitReady(ctx))

	load := cluster.NewLoad(LoadOptions{
		TerangaRate: 50, KarriRate: 50, Groups: 2, SamplesPerGroup: 4, TrainTime: 200 * time.Millisecond, StepsPerVersion: 1,
	})
	trafficCtx, stop := context.WithTimeout(ctx, 4*time.Second)
	defer stop()
	load.Run(trafficCtx)

	require.Empty(t, cluster.Checker.CheckInvariants())
	summary := cluster.Checker.Summary()
	require.Positive(t, summary.Samples)
	require.Positive(t, summary.Answered)
	require.Empty(t, summary.Refusals)
}
