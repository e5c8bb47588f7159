package lab

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"

	"github.com/pathbend/pathbend/internal/config"
	"github.com/pathbend/pathbend/internal/dispatch"
	"github.com/pathbend/pathbend/internal/emulator"
	"github.com/pathbend/pathbend/internal/fleet"
)

// OverheadOptions configure the overhead experiment.
type OverheadOptions struct {
	// Rate is the number of requests per second over all nodes, open-loop.
	Rate float64
	// Window is the duration of one measurement. Windows of direct and of routed calls
	// alternate, Rounds of each.
	Window time.Duration
	Rounds int
	Route  string
	// Keyed gives every request a unique idempotency key.
	Keyed bool
}

// OverheadResult compares direct calls with calls through nodes.
type OverheadResult struct {
	// Direct and Routed are latencies in microseconds.
	Direct, Routed *hdrhistogram.Histogram
	// Failures counts the requests of both kinds that failed, which have no latency.
	Failures int64
	// CPUPerRequest is the processor time of the process per routed request,
	// callers and back ends included.
	CPUPerRequest time.Duration
	// AllocsPerRequest is the number of heap allocations per routed request, callers and back
	// ends included.
	AllocsPerRequest float64
}

// MeasureOverhead measures direct calls and calls through nodes against the same back ends, in
// one process and in alternating windows.
func MeasureOverhead(ctx context.Context, options OverheadOptions) (*OverheadResult, error) {
	clusterOptions, err := ExampleOptions(NewLoopback(), 1)
	if err != nil {
		return nil, err
	}
	clusterOptions.Pools = []Pool{{Name: "dealer-catalogue", Role: fleet.RoleBackEnd, Size: 4}}
	clusterOptions.Document = withoutLimits(clusterOptions.Document)
	cluster, err := Start(clusterOptions)
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	if err := cluster.WaitReady(ctx); err != nil {
		return nil, err
	}
	result := &OverheadResult{Direct: newLatencyHistogram(), Routed: newLatencyHistogram()}
	var directURLs, routedURLs []string
	for _, machine := range cluster.BackEnds {
		directURLs = append(directURLs, "http://"+machine.Address+"/"+options.Route)
	}
	for _, slot := range cluster.Nodes {
		routedURLs = append(routedURLs, "http://"+slot.HTTPAddress+"/v1/tenants/"+Karri+"/routes/"+options.Route)
	}
	warmUp := options
	warmUp.Window = time.Second
	runOpenLoop(ctx, warmUp, routedURLs, newLatencyHistogram())
	for range options.Rounds {
		result.Failures += runOpenLoop(ctx, options, directURLs, result.Direct)
		cpuBefore, allocsBefore := resourceUsage()
		requestsBefore := result.Routed.TotalCount()
		result.Failures += runOpenLoop(ctx, options, routedURLs, result.Routed)
		cpuAfter, allocsAfter := resourceUsage()
		requests := result.Routed.TotalCount() - requestsBefore
		result.CPUPerRequest += (cpuAfter - cpuBefore) / time.Duration(max(requests, 1)) / time.Duration(options.Rounds)
		result.AllocsPerRequest += float64(allocsAfter-allocsBefore) / float64(max(requests, 1)) / float64(options.Rounds)
	}
	return result, nil
}

// withoutLimits raises the tenants' request limits so that they do not affect a measurement.
func withoutLimits(document *config.Document) *config.Document {
	for i := range document.Tenants {
		document.Tenants[i].Spec.Capacity.RequestsPerSecond = 1e6
		document.Tenants[i].Spec.Capacity.Burst = 1e6
		document.Tenants[i].Spec.Capacity.ConcurrentRequests = 1e4
	}
	return document
}

// newLatencyHistogram returns a histogram of 1 microsecond to 1 minute with three significant
// digits.
func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

// resourceUsage returns the processor time and the number of heap allocations of the process so
// far, or zeros if they are unavailable.
func resourceUsage() (time.Duration, uint64) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, 0
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), memory.Mallocs
}

// runOpenLoop sends requests to targets in turn as a Poisson process, whether or not earlier
// requests have ended, and records latencies in microseconds. It returns the number of failed
// requests. A latency is counted from the actual start of a request, not from its scheduled
// time, since the delay of the operating system's timers is not caused by the target.
func runOpenLoop(ctx context.Context, options OverheadOptions, targets []string, latencies *hdrhistogram.Histogram) int64 {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}}
	defer client.CloseIdleConnections()
	random := rand.New(rand.NewPCG(1, 5))
	body := bytes.Repeat([]byte("x"), 100)
	var mutex sync.Mutex
	var failures atomic.Int64
	var requests conc.WaitGroup
	startedAt := time.Now()
	scheduledAt := startedAt
	for number := 0; ; number++ {
		scheduledAt = scheduledAt.Add(time.Duration(random.ExpFloat64() / options.Rate * float64(time.Second)))
		if scheduledAt.Sub(startedAt) > options.Window || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(scheduledAt))
		target := targets[number%len(targets)]
		sentAt := time.Now()
		requests.Go(func() {
			if err := post(client, target, body, idempotencyKey(options, number)); err != nil {
				failures.Add(1)
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			// RecordValue fails only for values outside the histogram's range.
			_ = latencies.RecordValue(max(time.Since(sentAt).Microseconds(), 1))
		})
	}
	requests.Wait()
	return failures.Load()
}

// idempotencyKey returns a unique key, or an empty string if requests have none.
func idempotencyKey(options OverheadOptions, number int) string {
	if !options.Keyed {
		return ""
	}
	return fmt.Sprintf("key-%d-%d", time.Now().UnixNano(), number)
}

// post sends a request and reads the whole response. It returns an error unless the status is
// 200.
func post(client *http.Client, target string, body []byte, key string) error {
	request, err := http.NewRequest(http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set(emulator.CallerRequestIDHeader, "load")
	if key != "" {
		request.Header.Set(dispatch.HeaderIdempotencyKey, key)
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("unexpected status %d", response.StatusCode)
	}
	return nil
}
