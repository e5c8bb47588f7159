package platformsim

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/wait"
	"github.com/pathbend/pathbend/platform"
)

const (
	stepInterval = 4 * time.Second
	stepPatience = 12 * time.Second
	pollInterval = 300 * time.Millisecond
	callTimeout  = 2 * time.Second
	// requestDeadline is the deadline that clients give their requests.
	requestDeadline = 1500 * time.Millisecond
	retryInterval   = 150 * time.Millisecond
	itemAttempts    = 3
	// wantedShare is the part of the groups that a trainer waits for.
	wantedShare = 0.9
)

// caller is a client of the nodes. Every call goes to another node.
type caller struct {
	world  *World
	client *http.Client
	random *rand.Rand
	host   string
	// tenant is whose keys the caller shows; none if it is empty.
	tenant string
	// prefix is that of the route of the caller's jobs.
	prefix string
	// crashing is the kind of crashing work that the next item brings, crashed that it did.
	crashing FaultKind
	crashed  bool
}

func (w *World) newCaller(name, zone, host string, seed uint64) *caller {
	transport := network.NewTransport(w.network.Network(name, zone), 0)
	transport.DisableKeepAlives = true
	return &caller{
		world: w, client: &http.Client{Transport: transport},
		random: rand.New(rand.NewPCG(seed, 11)), host: host, prefix: rolloutPrefix,
	}
}

// answered is a complete answer.
type answered struct {
	status int
	header http.Header
	body   []byte
	node   string
	began  time.Time
	// local is the address of the connection, if there was one.
	local string
}

// call makes one call to a node that calls itself ready.
func (c *caller) call(ctx context.Context, method, path string, header http.Header, body []byte) (answered, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	node := c.world.pickNode(c.random)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.world.network.Front(node)+path, bytes.NewReader(body))
	if err != nil {
		return answered{}, err
	}
	request.Host = c.host
	for name, values := range header {
		request.Header[name] = values
	}
	key := ""
	if c.tenant != "" {
		key = c.world.tenants.keyFor(c.tenant, c.random)
		request.Header.Set(platform.HeaderAuthorization, authorization(key))
	}
	got := answered{node: node, began: time.Now()}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { got.local = info.Conn.LocalAddr().String() }}
	response, err := c.client.Do(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return got, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	got.status, got.header, got.body = response.StatusCode, response.Header, content
	if err == nil && key != "" {
		c.world.Truth.judgeDenial(got, path, key, c.world.tenants.heldFor(key)-time.Since(got.began))
	}
	return got, err
}

// promisesNotRun reports whether a status promises that nothing ran.
func promisesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// runClient sends requests to the application route and judges their answers.
func (c *caller) runClient(ctx context.Context, interval time.Duration) {
	for number := 0; ctx.Err() == nil; number++ {
		wait.For(ctx, interval/2+time.Duration(c.random.Int64N(int64(interval))))
		id := fmt.Sprintf("c%x", c.random.Uint64())
		path := fmt.Sprintf("%sq/%d?a=%%2F&b", applicationPrefix, number)
		body := []byte("body of " + id)
		header := http.Header{platform.HeaderRequestID: {id}, platform.HeaderDeadline: {strconv.FormatInt(requestDeadline.Milliseconds(), 10)}, platform.HeaderTenant: {"forged"}}
		c.world.Truth.Claims(id, c.tenant)
		c.world.Truth.Bind(id, c.home(""))
		got, err := c.call(ctx, http.MethodPost, path, header, body)
		switch {
		case err != nil && ctx.Err() != nil:
			return
		case err != nil:
			c.world.Truth.judgeLoss(got, id, c.world.classOf(err, got.local))
		case got.status != http.StatusOK:
			c.world.Truth.judgeRefusal(got, id)
			c.world.Truth.judgeOwn(got, id)
		default:
			c.world.Truth.Count("requests served")
			c.world.Truth.judgeAnswer(got, id, answerTo(id, c.host, path, body))
		}
	}
}

func (t *Truth) judgeAnswer(got answered, id, want string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	stamp, known := t.stamps[got.header.Get(platform.HeaderStamp)]
	if string(got.body) != want || !known || stamp.request != id {
		t.broken("MIXED", "request %s got %q with the stamp of %q", id, got.body, stamp.request)
	}
}

// judgeOwn rules on an answer that is not a success.
func (t *Truth) judgeOwn(got answered, id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if got.status == http.StatusNotFound || got.status == http.StatusBadRequest {
		t.broken("DENIED", "request %s got %d %s", id, got.status, got.body)
	}
}

// runTrainer submits a step after another and names versions.
func (c *caller) runTrainer(ctx context.Context, model string, groups, size int) {
	var carried []platform.ItemDocument
	for step := uint64(1); ctx.Err() == nil; step++ {
		began := time.Now()
		job, document := c.newStep(model, step, groups, size, carried)
		complete := false
		if c.submit(ctx, job, document) {
			wanted := int(float64(groups) * wantedShare)
			complete = c.await(ctx, job, document, wanted, began.Add(stepPatience)) >= wanted
			c.end(ctx, job)
			carried = c.unfinished(job, document, wanted/2, size)
		}
		if !complete && ctx.Err() != nil {
			// The end of traffic cut the step off, 2 s after it began.
			return
		}
		if complete {
			c.world.Truth.Count("steps whole")
			c.world.Truth.Count("steps whole of " + model)
		}
		c.world.Truth.Count("steps")
		c.world.Truth.Count("steps of " + model)
		c.world.nameVersion(model, step+1)
		wait.Until(ctx, began.Add(stepInterval))
	}
}

func (c *caller) newStep(model string, step uint64, groups, size int, carried []platform.ItemDocument) (*jobTruth, platform.JobDocument) {
	job := &jobTruth{
		id: fmt.Sprintf("j%x", c.random.Uint64()), minVersion: max(step, 2) - 1, tenant: c.tenant,
		results: make(map[int]platform.ResultDocument),
	}
	document := platform.JobDocument{Step: step, Model: model, MinVersion: job.minVersion, Desired: uint32(float64(groups) * wantedShare)}
	document.Items = append(document.Items, carried...)
	for group := range groups {
		for range size {
			document.Items = append(document.Items, c.newItem(model, fmt.Sprintf("%s-%d-%d", model, step, group)))
		}
	}
	known := make(map[string]*itemTruth)
	for _, item := range document.Items {
		job.items = append(job.items, item.ID)
		_, out, _ := strings.Cut(item.Headers[platform.HeaderTokens], ",")
		events, _ := strconv.Atoi(out)
		c.world.Truth.Claims(item.ID, c.tenant)
		c.world.Truth.Bind(item.ID, c.home(c.prefix))
		c.world.Truth.Bind(item.Scorer.ID, c.home(""))
		known[item.ID] = &itemTruth{events: events, reward: item.Scorer.ID, body: item.Body}
	}
	c.world.Truth.Submitted(job, known)
	return job, document
}

func (c *caller) newItem(model, group string) platform.ItemDocument {
	id := fmt.Sprintf("i%x", c.random.Uint64())
	events := 4 + c.random.IntN(16)
	if c.random.IntN(12) == 0 {
		events *= 4
	}
	return platform.ItemDocument{
		ID: id, Path: c.prefix + "run/" + id, Group: group, Tokens: uint64(events),
		Headers: map[string]string{platform.HeaderModel: model, platform.HeaderTokens: fmt.Sprintf("100,%d", events)},
		Body:    c.crashingBody(CrashingItem, base64.StdEncoding.EncodeToString([]byte(bodyOf+id))),
		Scorer: &platform.ScorerDocument{
			ID: fmt.Sprintf("w%x", c.random.Uint64()), Host: c.host, Path: applicationPrefix + "score",
			Body: c.crashingBody(CrashingReward, base64.StdEncoding.EncodeToString([]byte("score "+id))),
		},
	}
}

// submit sends a job until it is accepted or its time is over.
func (c *caller) submit(ctx context.Context, job *jobTruth, document platform.JobDocument) bool {
	content, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	header := http.Header{platform.HeaderRequestID: {job.id}, "Content-Type": {"application/json"}}
	for limit := time.Now().Add(stepPatience); ctx.Err() == nil && time.Now().Before(limit); wait.For(ctx, retryInterval) {
		c.world.Truth.Update(job, func() { job.asking = true })
		got, err := c.call(ctx, http.MethodPost, c.prefix+job.id, header, content)
		accepted := err == nil && got.status == http.StatusAccepted
		c.world.Truth.Update(job, func() { c.world.Truth.answered(job, accepted, err == nil && promisesNotRun(got.status)) })
		if accepted {
			return true
		}
		c.world.Truth.Count("submissions refused")
	}
	return false
}

// await reads results until enough groups are whole, and returns their number.
func (c *caller) await(ctx context.Context, job *jobTruth, document platform.JobDocument, wanted int, limit time.Time) int {
	from := 0
	for ctx.Err() == nil && time.Now().Before(limit) {
		if page, ok := c.read(ctx, job, from); ok {
			from = page.Next
		}
		if whole := c.wholeGroups(job, document); whole >= wanted {
			return whole
		}
		wait.For(ctx, pollInterval)
	}
	return c.wholeGroups(job, document)
}

// read reads one page and judges it.
func (c *caller) read(ctx context.Context, job *jobTruth, from int) (platform.PageDocument, bool) {
	path := fmt.Sprintf("%s?%s=%d", strings.Replace(platform.PathJob, ":id", job.id, 1), platform.QueryAfter, from)
	c.tenant = job.tenant
	got, err := c.call(ctx, http.MethodGet, path, http.Header{platform.HeaderWait: {"300"}}, nil)
	var page platform.PageDocument
	if err != nil {
		return page, false
	}
	if got.status == http.StatusNotFound {
		c.world.Truth.judgeDenied(job, got)
		return page, false
	}
	if got.status != http.StatusOK || json.Unmarshal(got.body, &page) != nil {
		return page, false
	}
	c.world.Truth.Read(job, from, page)
	return page, true
}

// judgeDenied rules on a node that does not know an accepted job.
func (t *Truth) judgeDenied(job *jobTruth, got answered) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !job.accepted.IsZero() && got.began.Sub(job.accepted) > settleBound {
		t.broken("LOST", "%s denies job %s %v after it was accepted", got.node, job.id, got.began.Sub(job.accepted))
	}
}

func (c *caller) wholeGroups(job *jobTruth, document platform.JobDocument) int {
	listed := make(map[string]bool)
	c.world.Truth.Update(job, func() {
		for _, result := range job.results {
			listed[result.ID] = true
		}
	})
	missing := make(map[string]int)
	for _, item := range document.Items {
		if !listed[item.ID] {
			missing[item.Group]++
		} else {
			missing[item.Group] += 0
		}
	}
	whole := 0
	for _, count := range missing {
		if count == 0 {
			whole++
		}
	}
	return whole
}

// unfinished returns the items of groups that were not whole, for the next step.
func (c *caller) unfinished(job *jobTruth, document platform.JobDocument, groups, size int) []platform.ItemDocument {
	listed := make(map[string]bool)
	c.world.Truth.Update(job, func() {
		for _, result := range job.results {
			listed[result.ID] = true
		}
	})
	broken := make(map[string]bool)
	for _, item := range document.Items {
		if !listed[item.ID] {
			broken[item.Group] = true
		}
	}
	var carried []platform.ItemDocument
	for _, item := range document.Items {
		if broken[item.Group] && len(carried) < groups*size {
			carried = append(carried, item)
		}
	}
	return carried
}

// end ends a job.
func (c *caller) end(ctx context.Context, job *jobTruth) {
	for limit := time.Now().Add(stepPatience); ctx.Err() == nil && time.Now().Before(limit); wait.For(ctx, retryInterval) {
		got, err := c.call(ctx, http.MethodDelete, strings.Replace(platform.PathJob, ":id", job.id, 1), nil, nil)
		if err == nil && got.status == http.StatusOK {
			c.world.Truth.Update(job, func() { job.ended = time.Now() })
			return
		}
		if err == nil && got.status == http.StatusNotFound {
			c.world.Truth.judgeDenied(job, got)
		}
	}
}

// runIntruder shows keys that no tenant holds any more, and reads jobs of others.
func (c *caller) runIntruder(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, time.Second)
		key, taken := c.world.tenants.takenKey()
		id := fmt.Sprintf("x%x", c.random.Uint64())
		c.world.Truth.Intrudes(id, taken)
		header := http.Header{
			platform.HeaderRequestID: {id}, platform.HeaderDeadline: {"1500"}, platform.HeaderAuthorization: {authorization(key)},
		}
		if got, err := c.call(ctx, http.MethodPost, applicationPrefix+"intrude", header, []byte("x")); err == nil {
			c.world.Truth.judgeIntrusion(got, id, key)
		}
		job := c.world.Truth.anyJob(c.random)
		if job == nil {
			continue
		}
		path := strings.Replace(platform.PathJob, ":id", job.id, 1)
		header.Set(platform.HeaderAuthorization, authorization(c.world.tenants.keyFor(c.world.tenants.other(job.tenant), c.random)))
		if got, err := c.call(ctx, http.MethodGet, path, header, nil); err == nil && got.status == http.StatusOK {
			c.world.Truth.Update(job, func() { c.world.Truth.broken("ROUTE", "%s shows job %s to another tenant", got.node, job.id) })
		}
	}
}

// runLooker reads jobs from any position on any node.
func (c *caller) runLooker(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, time.Second)
		if job := c.world.Truth.anyJob(c.random); job != nil {
			c.read(ctx, job, c.random.IntN(10))
		}
	}
}

// anyJob returns a job that was accepted, nil if there is none.
func (t *Truth) anyJob(random *rand.Rand) *jobTruth {
	accepted := t.acceptedJobs()
	if len(accepted) == 0 {
		return nil
	}
	return accepted[random.IntN(len(accepted))]
}
