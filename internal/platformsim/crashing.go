package platformsim

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/pathbend/pathbend/internal/wait"
	"github.com/pathbend/pathbend/platform"
)

const (
	// crashMark stands in the body of a request that crashes whatever runs it.
	crashMark = "crashes its sampler"
	// crashReturn is how long a sampler is away that crashed so.
	crashReturn = 3 * time.Second
	// crashLimit is the number of crashes after which a request is known for it, and
	// crashRetries how often it may still reach samplers, once machines in touch may know.
	crashLimit   = 3
	crashRetries = 3
	// crashInterval is how often such a request comes again, and crashClientTries how often
	// its client asks each time.
	crashInterval    = 1500 * time.Millisecond
	crashClientTries = 2
)

// crashTruth is what is known of a request that crashes its samplers.
type crashTruth struct {
	crashes int
	// thirdAt is when it had crashed as many as the limit.
	thirdAt time.Time
	// late counts how often machines in touch sent it to samplers after that.
	late int
}

// crashes reports whether a request crashes whatever runs it.
func crashes(body []byte) bool { return bytes.Contains(body, []byte(crashMark)) }

// crashRun judges that a request which crashes its samplers reached one, and crashes it.
func (w *World) crashRun(sampler *Sampler, key, node string) {
	w.Truth.judgeCrashing(key, node)
	time.Sleep(sampler.Work)
	w.endProcess(sampler, key)
}

// judgeCrashing rules on a request that reached a sampler.
func (t *Truth) judgeCrashing(key, node string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.crashing[key]
	if known == nil {
		known = &crashTruth{}
		t.crashing[key] = known
	}
	now := time.Now()
	t.counts[countCrashingSends]++
	if known.crashes < crashLimit || now.Sub(known.thirdAt) <= touchTime+t.allowance(now) || !t.inTouch(node, now) {
		return
	}
	known.late++
	if known.late == crashRetries+1 {
		t.broken("BUDGET", "%s reached samplers %d times, sent by machines in touch, %v after it had crashed %d",
			key, known.late, now.Sub(known.thirdAt), crashLimit)
	}
}

// Counts of requests that crash their samplers.
const (
	countCrashingSends = "crashing requests run"
	countCrashes       = "samplers crashed"
)

func (t *Truth) crashed(key string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.crashing[key]
	known.crashes++
	if known.crashes == crashLimit {
		known.thirdAt = time.Now()
	}
	t.counts[countCrashes]++
}

// endProcess ends a sampler's process under a request. Its address refuses connections until
// another start, some seconds later; its entry lapses by itself.
func (w *World) endProcess(sampler *Sampler, key string) {
	w.mutex.Lock()
	var machine *samplerMachine
	for _, candidate := range w.samplers {
		if candidate.sampler == sampler && !candidate.down && !candidate.claimed {
			machine = candidate
			machine.claimed, machine.down = true, true
		}
	}
	w.mutex.Unlock()
	if machine == nil {
		return
	}
	w.Truth.crashed(key)
	over := w.Truth.Trouble(AtSamplers, "crashing request", time.Now().Add(crashReturn), false)
	// Its connections are cut.
	_ = machine.server.Close()
	w.work.Go(func() {
		defer over()
		time.Sleep(crashReturn)
		w.unclaim(machine)
		w.startSampler(machine)
		time.Sleep(silentBeats*heartbeat - crashReturn)
		sampler.Remove()
	})
}

// runCrashing sends one request again and again, under new ids and at any node, that crashes
// whatever runs it.
func (c *caller) runCrashing(ctx context.Context, number uint64) {
	path := fmt.Sprintf("%scrash/%d", applicationPrefix, number)
	body := []byte(crashMark)
	for ctx.Err() == nil {
		for range crashClientTries {
			id := fmt.Sprintf("k%x", c.random.Uint64())
			c.world.Truth.Claims(id, c.tenant)
			c.world.Truth.Bind(id, c.home(""))
			header := http.Header{
				platform.HeaderRequestID: {id},
				platform.HeaderDeadline:  {strconv.FormatInt(requestDeadline.Milliseconds(), 10)},
			}
			got, err := c.call(ctx, http.MethodPost, path, header, body)
			if err == nil && promisesNotRun(got.status) {
				c.world.Truth.Count("crashing requests refused")
			}
		}
		wait.For(ctx, crashInterval)
	}
}

// crashingStep submits a job of which one item, or the reward call of one, crashes whatever
// runs it, and keeps it open for a time.
func (w *World) crashingStep(fault Fault) {
	model := w.options.Models[fault.Target%uint64(len(w.options.Models))]
	w.mutex.Lock()
	step := w.versions[model]
	w.mutex.Unlock()
	// Two that draw from one source would draw the ids of one job.
	trainer := w.newCaller("trainer-crashing", zones[0], host, w.options.Seed+fault.Target+uint64(fault.Kind)*1000)
	trainer.tenant = w.tenants.names[0]
	trainer.crashing = fault.Kind
	ctx, cancel := context.WithTimeout(context.Background(), fault.For)
	defer cancel()
	job, document := trainer.newStep(model, step, 1, 2, nil)
	if trainer.submit(ctx, job, document) {
		trainer.await(ctx, job, document, 1, time.Now().Add(fault.For))
	}
	end, stop := context.WithTimeout(context.Background(), stepPatience)
	defer stop()
	trainer.end(end, job)
}

// crashingBody returns the body that an item, or its reward call, has if it is to crash
// whatever runs it, else the given one.
func (c *caller) crashingBody(kind FaultKind, body string) string {
	if c.crashing != kind || c.crashed {
		return body
	}
	c.crashed = true
	return base64.StdEncoding.EncodeToString([]byte(crashMark))
}
