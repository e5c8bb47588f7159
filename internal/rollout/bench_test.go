package rollout

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/pathbend/pathbend/internal/delivery"
)

// BenchmarkStep runs a step of 2,048 slots with 400 tokens each and reports the
// time and the heap of a finished, undelivered slot.
func BenchmarkStep(b *testing.B) {
	const slots, tokens, chunk = 2048, 400, 8
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		policy := Policy{Bound: delivery.Bound{MaxVersions: 1, MaxAge: time.Hour}, Concurrent: slots, CarryOver: true}
		job := NewJob(specOf(slots), policy, start)
		for _, begun := range job.Starts(start) {
			for first := 0; first < tokens; first += chunk {
				run := make([]string, 0, chunk)
				for i := range chunk {
					run = append(run, fmt.Sprintf("token%d", first+i))
				}
				job.Progress(start, begun.Slot, begun.Attempt, run, 1)
			}
			job.Finished(start, begun.Slot, begun.Attempt, "stop")
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		if job.Ready() != slots {
			b.Fatal("slots are missing")
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/slots, "heap-B/slot")
}
