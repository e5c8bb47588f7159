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

// OverheadOptions size the overhead experiment.
type OverheadOptions struct {
	// Rate is the requests a second over all nodes, open-loop.
	Rate float64
	// Window is the length of one measurement; direct and routed windows
	// alternate Rounds times.
	Window time.Duration
	Rounds int
	Route  string
	// Keyed gives every request an idempotency key of its own.
	Keyed bool
}

// OverheadResult compares direct calls with calls through nodes.
type OverheadResult struct {
	Direct, Routed *hdrhistogram.Histogram
	Failures       int64
	// CPUPerRequest is the processor time of the process per routed request,
	// callers and back ends included.
	CPUPerRequest time.Duration
	// AllocsPerRequest counts heap allocations likewise.
	AllocsPerRequest float64
}

// MeasureOverhead runs both kinds of call against the same back ends in one run.
func MeasureOverhead(ctx context.Context, options OverheadOptions) (*OverheadResult, error) {
	described, err := ExampleOptions(NewLoopback(), 1)
	if err != nil {
		return nil, err
	}
	described.Pools = []Pool{{Name: "dealer-catalogue", Role: fleet.RoleBackEnd, Size: 4}}
	described.Document = withoutLimits(described.Document)
	cluster, err := Start(described)
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	if err := cluster.WaitReady(ctx); err != nil {
		return nil, err
	}
	measured := &OverheadResult{Direct: newLatencies(), Routed: newLatencies()}
	var direct, routed []string
	for _, machine := range cluster.BackEnds {
		direct = append(direct, "http://"+machine.Address+"/"+options.Route)
	}
	for _, slot := range cluster.Nodes {
		routed = append(routed, "http://"+slot.HTTPAddress+"/v1/tenants/"+Karri+"/routes/"+options.Route)
	}
	warmUp := options
	warmUp.Window = time.Second
	runOpenLoop(ctx, warmUp, routed, newLatencies())
	for range options.Rounds {
		measured.Failures += runOpenLoop(ctx, options, direct, measured.Direct)
		cpu, allocs := resources()
		before := measured.Routed.TotalCount()
		measured.Failures += runOpenLoop(ctx, options, routed, measured.Routed)
		cpuAfter, allocsAfter := resources()
		requests := measured.Routed.TotalCount() - before
		measured.CPUPerRequest += (cpuAfter - cpu) / time.Duration(max(requests, 1)) / time.Duration(options.Rounds)
		measured.AllocsPerRequest += float64(allocsAfter-allocs) / float64(max(requests, 1)) / float64(options.Rounds)
	}
	return measured, nil
}

// withoutLimits raises the tenants' rates out of the way of a measurement.
func withoutLimits(document *config.Document) *config.Document {
	for i := range document.Tenants {
		document.Tenants[i].Spec.Capacity.RequestsPerSecond = 1e6
		document.Tenants[i].Spec.Capacity.Burst = 1e6
		document.Tenants[i].Spec.Capacity.ConcurrentRequests = 1e4
	}
	return document
}

func newLatencies() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

// resources returns the processor time and heap allocations of the process.
func resources() (time.Duration, uint64) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, 0
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), memory.Mallocs
}

// runOpenLoop sends requests at random times to targets in turn, whether or not
// earlier ones have ended, and records the time from the launch to the end of
// the answer in microseconds. The launch may be later than due by the
// granularity of the operating system's timers, which belongs to neither side.
func runOpenLoop(ctx context.Context, options OverheadOptions, targets []string, latencies *hdrhistogram.Histogram) int64 {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}}
	defer client.CloseIdleConnections()
	random := rand.New(rand.NewPCG(1, 5))
	body := bytes.Repeat([]byte("x"), 100)
	var mutex sync.Mutex
	var failures atomic.Int64
	var requests conc.WaitGroup
	began := time.Now()
	due := began
	for number := 0; ; number++ {
		due = due.Add(time.Duration(random.ExpFloat64() / options.Rate * float64(time.Second)))
		if due.Sub(began) > options.Window || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(due))
		target := targets[number%len(targets)]
		launched := time.Now()
		requests.Go(func() {
			if err := post(client, target, body, keyFor(options, number)); err != nil {
				failures.Add(1)
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			// The value is within the histogram's range.
			_ = latencies.RecordValue(max(time.Since(launched).Microseconds(), 1))
		})
	}
	requests.Wait()
	return failures.Load()
}

func keyFor(options OverheadOptions, number int) string {
	if !options.Keyed {
		return ""
	}
	return fmt.Sprintf("key-%d-%d", time.Now().UnixNano(), number)
}

func post(client *http.Client, target string, body []byte, key string) error {
	request, err := http.NewRequest(http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set(emulator.AnswerHeader, "load")
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
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}
