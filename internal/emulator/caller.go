package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/pathbend/pathbend/client"
	"github.com/pathbend/pathbend/internal/wait"
)

// RouteTraffic describes the requests that a caller sends to one route.
type RouteTraffic struct {
	Route string
	// Weight is the route's share of the requests, relative to the weights of
	// the other routes.
	Weight float64
	// AtMostOnce adds an idempotency key to each request and marks it as not
	// repeatable.
	AtMostOnce bool
	BodyBytes  int
	Timeout    time.Duration
}

// Caller sends application requests in an open loop: each at its scheduled time,
// regardless of how long earlier requests take, so that latencies include the
// queueing delay caused by a stalled service.
type Caller struct {
	Name   string
	Client *client.Client
	// Rate is the number of requests per second.
	Rate float64
	// Mix is the traffic of all routes that the caller uses.
	Mix     []RouteTraffic
	Checker *Checker
	Random  *rand.Rand

	mutex        sync.Mutex
	latency      *hdrhistogram.Histogram
	lastAnswerAt map[string]time.Time
	longestGap   map[string]time.Duration
	sent         int
}

const (
	// Latencies are recorded in microseconds, up to one minute.
	maxLatencyMicros         = 60_000_000
	latencySignificantDigits = 3
)

// Run sends requests until ctx is done and then waits for the outstanding
// answers. The intervals between requests are exponentially distributed.
func (c *Caller) Run(ctx context.Context) {
	c.latency = hdrhistogram.New(1, maxLatencyMicros, latencySignificantDigits)
	c.lastAnswerAt = make(map[string]time.Time)
	c.longestGap = make(map[string]time.Duration)
	var requests conc.WaitGroup
	defer requests.Wait()
	due := time.Now()
	for {
		due = due.Add(time.Duration(c.Random.ExpFloat64() / c.Rate * float64(time.Second)))
		if !wait.Until(ctx, due) {
			return
		}
		traffic := c.chooseRoute()
		c.sent++
		id := fmt.Sprintf("%s-%d", c.Name, c.sent)
		scheduledAt := due
		requests.Go(func() { c.send(traffic, id, scheduledAt) })
	}
}

// chooseRoute draws a route with a probability in proportion to its weight.
func (c *Caller) chooseRoute() RouteTraffic {
	total := 0.0
	for _, traffic := range c.Mix {
		total += traffic.Weight
	}
	remaining := c.Random.Float64() * total
	for _, traffic := range c.Mix {
		if remaining -= traffic.Weight; remaining < 0 {
			return traffic
		}
	}
	return c.Mix[len(c.Mix)-1]
}

func (c *Caller) send(traffic RouteTraffic, id string, due time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), traffic.Timeout+time.Second)
	defer cancel()
	body := make([]byte, traffic.BodyBytes)
	request := client.Request{
		Route: traffic.Route, Path: "/" + id, Body: body, Timeout: traffic.Timeout,
		Header: http.Header{CallerRequestIDHeader: []string{id}}, Repeatable: !traffic.AtMostOnce,
	}
	if traffic.AtMostOnce {
		request.IdempotencyKey = id
	}
	outcome := Outcome{RequestID: id, AtMostOnce: traffic.AtMostOnce, WantBody: expectedAnswer(id, "/"+traffic.Route+"/"+id, body)}
	response, err := c.Client.Call(ctx, request)
	if err != nil && !errors.As(err, &outcome.Err) {
		outcome.Err = &client.Error{Name: "client_error", Run: client.Unknown, Detail: err.Error()}
	}
	if err == nil {
		outcome.Body = string(response.Body)
	}
	c.Checker.RecordOutcome(outcome)
	c.recordLatency(traffic.Route, due, err == nil)
}

// recordLatency records the end of a request that was due at a given time.
func (c *Caller) recordLatency(route string, due time.Time, answered bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	micros := min(max(now.Sub(due).Microseconds(), 1), maxLatencyMicros)
	// RecordValue fails only for values outside the histogram's range.
	_ = c.latency.RecordValue(micros)
	if !answered {
		return
	}
	if last, ok := c.lastAnswerAt[route]; ok {
		c.longestGap[route] = max(c.longestGap[route], now.Sub(last))
	}
	c.lastAnswerAt[route] = now
}

// Latency returns a percentile, 0 to 100, of the time from a request's scheduled
// sending to its end.
func (c *Caller) Latency(percentile float64) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return time.Duration(c.latency.ValueAtQuantile(percentile)) * time.Microsecond
}

// Count returns the number of completed requests, failed ones included.
func (c *Caller) Count() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.latency.TotalCount()
}

// Histogram returns a copy of the latency histogram, in microseconds.
func (c *Caller) Histogram() *hdrhistogram.Histogram {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return hdrhistogram.Import(c.latency.Export())
}

// LongestGap returns the longest time between two consecutive successful answers
// on a route; 0 if there were fewer than two.
func (c *Caller) LongestGap(route string) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.longestGap[route]
}
