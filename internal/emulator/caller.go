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

// RouteMix is one kind of request of a caller.
type RouteMix struct {
	Route string
	// Weight is the share of the requests relative to the other routes.
	Weight float64
	// AtMostOnce requests carry an idempotency key.
	AtMostOnce bool
	BodyBytes  int
	Timeout    time.Duration
}

// Caller sends application requests open-loop: at their due times, however long
// earlier ones take, so that latencies include waiting that a stalled service
// causes.
type Caller struct {
	Name    string
	Client  *client.Client
	Rate    float64
	Mix     []RouteMix
	Truth   *Truth
	Random  *rand.Rand
	mutex   sync.Mutex
	latency *hdrhistogram.Histogram
	lastOK  map[string]time.Time
	longest map[string]time.Duration
	sent    int
}

const (
	// Latencies are recorded in microseconds up to a minute.
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3
)

// Run sends requests until ctx ends and waits for their answers.
func (c *Caller) Run(ctx context.Context) {
	c.latency = hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
	c.lastOK = make(map[string]time.Time)
	c.longest = make(map[string]time.Duration)
	var requests conc.WaitGroup
	defer requests.Wait()
	due := time.Now()
	for {
		due = due.Add(time.Duration(c.Random.ExpFloat64() / c.Rate * float64(time.Second)))
		if !wait.Until(ctx, due) {
			return
		}
		mix := c.chooseRoute()
		c.sent++
		id := fmt.Sprintf("%s-%d", c.Name, c.sent)
		sentAt := due
		requests.Go(func() { c.send(mix, id, sentAt) })
	}
}

func (c *Caller) chooseRoute() RouteMix {
	total := 0.0
	for _, mix := range c.Mix {
		total += mix.Weight
	}
	at := c.Random.Float64() * total
	for _, mix := range c.Mix {
		if at -= mix.Weight; at < 0 {
			return mix
		}
	}
	return c.Mix[len(c.Mix)-1]
}

func (c *Caller) send(mix RouteMix, id string, due time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), mix.Timeout+time.Second)
	defer cancel()
	body := make([]byte, mix.BodyBytes)
	request := client.Request{
		Route: mix.Route, Path: "/" + id, Body: body, Timeout: mix.Timeout,
		Header: http.Header{AnswerHeader: []string{id}}, Repeatable: !mix.AtMostOnce,
	}
	if mix.AtMostOnce {
		request.IdempotencyKey = id
	}
	outcome := Outcome{Caller: id, AtMostOnce: mix.AtMostOnce, Want: answerTo(id, "/"+mix.Route+"/"+id, body)}
	response, err := c.Client.Call(ctx, request)
	if err != nil && !errors.As(err, &outcome.Err) {
		outcome.Err = &client.Error{Name: "client_error", Run: client.Unknown, Detail: err.Error()}
	}
	if err == nil {
		outcome.Body = string(response.Body)
	}
	c.Truth.Answered(outcome)
	c.record(mix.Route, due, err == nil)
}

func (c *Caller) record(route string, due time.Time, answered bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	micros := min(max(now.Sub(due).Microseconds(), 1), maxLatencyMicros)
	// The value is within the histogram's range.
	_ = c.latency.RecordValue(micros)
	if !answered {
		return
	}
	if last, ok := c.lastOK[route]; ok {
		c.longest[route] = max(c.longest[route], now.Sub(last))
	}
	c.lastOK[route] = now
}

// Latency returns a percentile of the time from due to answer.
func (c *Caller) Latency(percentile float64) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return time.Duration(c.latency.ValueAtQuantile(percentile)) * time.Microsecond
}

// Count returns the number of requests that ended.
func (c *Caller) Count() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.latency.TotalCount()
}

// Histogram returns a copy of the latencies in microseconds.
func (c *Caller) Histogram() *hdrhistogram.Histogram {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return hdrhistogram.Import(c.latency.Export())
}

// LongestGap returns the longest time between two answers of a route.
func (c *Caller) LongestGap(route string) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.longest[route]
}
