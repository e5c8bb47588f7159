package rollout

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/pathbend/pathbend/internal/delivery"
)

// BenchmarkStep runs a training step of 2,048 slots with 400 tokens each. It reports
// the time per step and the heap bytes per finished, undelivered slot.
func BenchmarkStep(b *testing.B) {
	const slots, tokens, chunkSize = 2048, 400, 8
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		policy := Policy{Freshness: delivery.FreshnessLimit{MaxVersions: 1, MaxAge: time.Hour}, MaxConcurrentAttempts: slots, CarryOver: true}
		job := NewJob(testSpec(slots), policy, baseTime)
		for _, request := range job.StartAttempts(baseTime) {
			for first := 0; first < tokens; first += chunkSize {
				chunkTokens := make([]string, 0, chunkSize)
				for i := range chunkSize {
					chunkTokens = append(chunkTokens, fmt.Sprintf("token%d", first+i))
				}
				job.AddTokens(baseTime, request.Slot, request.Attempt, chunkTokens, 1)
			}
			job.CompleteAttempt(baseTime, request.Slot, request.Attempt, "stop")
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		if job.Ready() != slots {
			b.Fatal("not all slots have a sample")
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/slots, "heap-B/slot")
}
