package idempotency

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/pathbend/pathbend/internal/shard"
)

// BenchmarkClaim measures the time of a claim and the heap bytes per bound key.
func BenchmarkClaim(b *testing.B) {
	table := shard.NewTable()
	table.Join(shard.Member{ID: "node-1", Zone: "z"}, 1)
	replica := NewReplica("node-1")
	replica.ApplyRoster(table, time.Now())
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	now := time.Now()
	for i := range b.N {
		key := fmt.Sprintf("teranga\n7f3a4be2-90c1-4d0e-8a55-%012d", i)
		replica.Claim(Claim{
			Shard: shard.Of(key), Generation: 1, Key: key,
			Binding: Binding{Executor: "node-1", RequestID: fmt.Sprintf("node-1.%016x", i)},
		}, now)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "heap-B/key")
	runtime.KeepAlive(replica)
}
