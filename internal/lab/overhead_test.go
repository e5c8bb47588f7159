package lab

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/fleet"
)

// startBenchmarkCluster starts three nodes and one pool of back ends that answer without delay.
func startBenchmarkCluster(b *testing.B) *Cluster {
	b.Helper()
	options, err := ExampleOptions(NewLoopback(), 1)
	require.NoError(b, err)
	options.Pools = []Pool{{Name: "dealer-catalogue", Role: fleet.RoleBackEnd, Size: 4}}
	options.Document = withoutLimits(options.Document)
	cluster, err := Start(options)
	require.NoError(b, err)
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	require.NoError(b, cluster.WaitReady(ctx))
	return cluster
}

// BenchmarkApplicationRequest compares direct calls to a back end with calls through a node,
// over loopback TCP.
func BenchmarkApplicationRequest(b *testing.B) {
	cluster := startBenchmarkCluster(b)
	defer cluster.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}, Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	for name, url := range map[string]string{
		"direct": "http://" + cluster.BackEnds[0].Address + "/lookup",
		"routed": "http://" + cluster.Nodes[0].HTTPAddress + "/v1/tenants/karri/routes/lookup",
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(parallel *testing.PB) {
				body := bytes.Repeat([]byte("x"), 100)
				for parallel.Next() {
					response, err := client.Post(url, "application/octet-stream", bytes.NewReader(body))
					if err != nil {
						b.Error(err)
						return
					}
					if response.StatusCode != http.StatusOK {
						b.Error(response.Status)
					}
					_, _ = io.Copy(io.Discard, response.Body)
					response.Body.Close()
				}
			})
		})
	}
}
