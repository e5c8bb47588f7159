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
	stepTimeout  = 12 * time.Second
	pollInterval = 300 * time.Millisecond
	callTimeout  = 2 * time.Second
	// requestDeadline is the deadline, relative to its start, of a client's request.
	requestDeadline = 1500 * time.Millisecond
	retryInterval   = 150 * time.Millisecond
	itemAttempts    = 3
	// requiredGroupRatio is the share of a step's groups that a trainer waits for.
	requiredGroupRatio = 0.9
)

// caller is a client of the nodes. Each call goes to a randomly chosen node.
type caller struct {
	world  *World
	client *http.Client
	random *rand.Rand
	host   string
	// tenant is the tenant whose API keys the caller sends; no key is sent if it is empty.
	tenant string
	// prefix is the path prefix of the route to which the caller submits jobs.
	prefix string
	// crashKind selects whether the next item or its reward call crashes its back end;
	// crashSent is set once such a body was produced.
	crashKind FaultKind
	crashSent bool
}

func (w *World) newCaller(name, zone, host string, seed uint64) *caller {
	transport := network.NewTransport(w.network.Network(name, zone), 0)
	transport.DisableKeepAlives = true
	return &caller{
		world: w, client: &http.Client{Transport: transport},
		random: rand.New(rand.NewPCG(seed, 11)), host: host, prefix: rolloutPrefix,
	}
}

// answered is the outcome of a call: the response, if there was one, and how it was obtained.
type answered struct {
	status int
	header http.Header
	body   []byte
	node   string
	began  time.Time
	// localAddress is the caller's address of the connection, empty if none was made.
	localAddress string
}

// call sends one request to a node that reports itself ready, or to any node if none does.
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
	result := answered{node: node, began: time.Now()}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { result.localAddress = info.Conn.LocalAddr().String() }}
	response, err := c.client.Do(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return result, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	result.status, result.header, result.body = response.StatusCode, response.Header, content
	if err == nil && key != "" {
		c.world.Truth.judgeDenial(result, path, key, c.world.tenants.heldFor(key)-time.Since(result.began))
	}
	return result, err
}

// guaranteesNotRun reports whether a response status guarantees that the request was not
// executed.
func guaranteesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// runClient sends requests to the application route until ctx ends and checks the responses.
func (c *caller) runClient(ctx context.Context, interval time.Duration) {
	for number := 0; ctx.Err() == nil; number++ {
		wait.For(ctx, interval/2+time.Duration(c.random.Int64N(int64(interval))))
		id := fmt.Sprintf("c%x", c.random.Uint64())
		path := fmt.Sprintf("%sq/%d?a=%%2F&b", applicationPrefix, number)
		body := []byte("body of " + id)
		header := http.Header{platform.HeaderRequestID: {id}, platform.HeaderDeadline: {strconv.FormatInt(requestDeadline.Milliseconds(), 10)}, platform.HeaderTenant: {"forged"}}
		c.world.Truth.Claims(id, c.tenant)
		c.world.Truth.BindRegion(id, c.boundRegion(""))
		result, err := c.call(ctx, http.MethodPost, path, header, body)
		switch {
		case err != nil && ctx.Err() != nil:
			return
		case err != nil:
			c.world.Truth.checkLostRequest(result, id, c.world.failureClassOf(err, result.localAddress))
		case result.status != http.StatusOK:
			c.world.Truth.checkRefusedRequest(result, id)
			c.world.Truth.checkErrorStatus(result, id)
		default:
			c.world.Truth.Count("requests served")
			c.world.Truth.checkAnswer(result, id, answerTo(id, c.host, path, body))
		}
	}
}

// checkAnswer checks that a response has the expected body and was produced by a back end for
// this request.
func (t *Truth) checkAnswer(result answered, id, want string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	stamp, known := t.stamps[result.header.Get(platform.HeaderStamp)]
	if string(result.body) != want || !known || stamp.request != id {
		t.broken("MIXED", "request %s got response %q with the stamp of request %q", id, result.body, stamp.request)
	}
}

// checkErrorStatus reports a violation if a valid request was answered with 404 or 400.
func (t *Truth) checkErrorStatus(result answered, id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if result.status == http.StatusNotFound || result.status == http.StatusBadRequest {
		t.broken("DENIED", "valid request %s was answered with status %d: %s", id, result.status, result.body)
	}
}

// runTrainer runs training steps until ctx ends: it submits a job, waits for enough complete
// groups, ends the job and announces the next weight version.
func (c *caller) runTrainer(ctx context.Context, model string, groups, size int) {
	var carriedOver []platform.ItemDocument
	for step := uint64(1); ctx.Err() == nil; step++ {
		began := time.Now()
		job, document := c.newStep(model, step, groups, size, carriedOver)
		complete := false
		if c.submit(ctx, job, document) {
			wanted := int(float64(groups) * requiredGroupRatio)
			complete = c.awaitGroups(ctx, job, document, wanted, began.Add(stepTimeout)) >= wanted
			c.endJob(ctx, job)
			carriedOver = c.incompleteItems(job, document, wanted/2, size)
		}
		if !complete && ctx.Err() != nil {
			// The step does not count: traffic may end as little as 2 s after the step began.
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

// newStep creates the job of a training step: groups of size new items each, after the items
// carried over from the previous step.
func (c *caller) newStep(model string, step uint64, groups, size int, carriedOver []platform.ItemDocument) (*jobTruth, platform.JobDocument) {
	job := &jobTruth{
		id: fmt.Sprintf("j%x", c.random.Uint64()), minVersion: max(step, 2) - 1, tenant: c.tenant,
		results: make(map[int]platform.ResultDocument),
	}
	document := platform.JobDocument{Step: step, Model: model, MinVersion: job.minVersion, Desired: uint32(float64(groups) * requiredGroupRatio)}
	document.Items = append(document.Items, carriedOver...)
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
		c.world.Truth.BindRegion(item.ID, c.boundRegion(c.prefix))
		c.world.Truth.BindRegion(item.Scorer.ID, c.boundRegion(""))
		known[item.ID] = &itemTruth{events: events, reward: item.Scorer.ID, body: item.Body}
	}
	c.world.Truth.Submitted(job, known)
	return job, document
}

// newItem returns an item that generates 4 to 19 events, or four times as many for one item in
// twelve.
func (c *caller) newItem(model, group string) platform.ItemDocument {
	id := fmt.Sprintf("i%x", c.random.Uint64())
	events := 4 + c.random.IntN(16)
	if c.random.IntN(12) == 0 {
		events *= 4
	}
	return platform.ItemDocument{
		ID: id, Path: c.prefix + "run/" + id, Group: group, Tokens: uint64(events),
		Headers: map[string]string{platform.HeaderModel: model, platform.HeaderTokens: fmt.Sprintf("100,%d", events)},
		Body:    c.crashingBody(CrashingItem, base64.StdEncoding.EncodeToString([]byte(itemBodyPrefix+id))),
		Scorer: &platform.ScorerDocument{
			ID: fmt.Sprintf("w%x", c.random.Uint64()), Host: c.host, Path: applicationPrefix + "score",
			Body: c.crashingBody(CrashingReward, base64.StdEncoding.EncodeToString([]byte("score "+id))),
		},
	}
}

// submit sends a job until it is accepted, and reports false if it is not within stepTimeout.
func (c *caller) submit(ctx context.Context, job *jobTruth, document platform.JobDocument) bool {
	content, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	header := http.Header{platform.HeaderRequestID: {job.id}, "Content-Type": {"application/json"}}
	for deadline := time.Now().Add(stepTimeout); ctx.Err() == nil && time.Now().Before(deadline); wait.For(ctx, retryInterval) {
		c.world.Truth.Update(job, func() { job.asking = true })
		result, err := c.call(ctx, http.MethodPost, c.prefix+job.id, header, content)
		accepted := err == nil && result.status == http.StatusAccepted
		c.world.Truth.Update(job, func() { c.world.Truth.answered(job, accepted, err == nil && guaranteesNotRun(result.status)) })
		if accepted {
			return true
		}
		c.world.Truth.Count("submissions refused")
	}
	return false
}

// awaitGroups reads results until the wanted number of groups is complete or the deadline
// passes, and returns the number of complete groups.
func (c *caller) awaitGroups(ctx context.Context, job *jobTruth, document platform.JobDocument, wanted int, deadline time.Time) int {
	from := 0
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if page, ok := c.read(ctx, job, from); ok {
			from = page.Next
		}
		if complete := c.completeGroups(job, document); complete >= wanted {
			return complete
		}
		wait.For(ctx, pollInterval)
	}
	return c.completeGroups(job, document)
}

// read reads one page of results with the key of the job's tenant and checks it.
func (c *caller) read(ctx context.Context, job *jobTruth, from int) (platform.PageDocument, bool) {
	path := fmt.Sprintf("%s?%s=%d", strings.Replace(platform.PathJob, ":id", job.id, 1), platform.QueryAfter, from)
	c.tenant = job.tenant
	result, err := c.call(ctx, http.MethodGet, path, http.Header{platform.HeaderWait: {"300"}}, nil)
	var page platform.PageDocument
	if err != nil {
		return page, false
	}
	if result.status == http.StatusNotFound {
		c.world.Truth.checkJobNotFound(job, result)
		return page, false
	}
	if result.status != http.StatusOK || json.Unmarshal(result.body, &page) != nil {
		return page, false
	}
	c.world.Truth.Read(job, from, page)
	return page, true
}

// checkJobNotFound reports a violation if a node answers 404 for a job later than settleBound
// after the job was accepted.
func (t *Truth) checkJobNotFound(job *jobTruth, result answered) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !job.accepted.IsZero() && result.began.Sub(job.accepted) > settleBound {
		t.broken("LOST", "%s answers 404 for job %s %v after it was accepted", result.node, job.id, result.began.Sub(job.accepted))
	}
}

// completeGroups returns the number of groups whose items all have results.
func (c *caller) completeGroups(job *jobTruth, document platform.JobDocument) int {
	delivered := make(map[string]bool)
	c.world.Truth.Update(job, func() {
		for _, result := range job.results {
			delivered[result.ID] = true
		}
	})
	missing := make(map[string]int)
	for _, item := range document.Items {
		if !delivered[item.ID] {
			missing[item.Group]++
		} else {
			missing[item.Group] += 0
		}
	}
	complete := 0
	for _, count := range missing {
		if count == 0 {
			complete++
		}
	}
	return complete
}

// incompleteItems returns items of groups that are not complete, at most groups*size of them,
// to be carried over to the next step.
func (c *caller) incompleteItems(job *jobTruth, document platform.JobDocument, groups, size int) []platform.ItemDocument {
	delivered := make(map[string]bool)
	c.world.Truth.Update(job, func() {
		for _, result := range job.results {
			delivered[result.ID] = true
		}
	})
	broken := make(map[string]bool)
	for _, item := range document.Items {
		if !delivered[item.ID] {
			broken[item.Group] = true
		}
	}
	var carriedOver []platform.ItemDocument
	for _, item := range document.Items {
		if broken[item.Group] && len(carriedOver) < groups*size {
			carriedOver = append(carriedOver, item)
		}
	}
	return carriedOver
}

// endJob ends a job, and retries until a node confirms it or stepTimeout passes.
func (c *caller) endJob(ctx context.Context, job *jobTruth) {
	for deadline := time.Now().Add(stepTimeout); ctx.Err() == nil && time.Now().Before(deadline); wait.For(ctx, retryInterval) {
		result, err := c.call(ctx, http.MethodDelete, strings.Replace(platform.PathJob, ":id", job.id, 1), nil, nil)
		if err == nil && result.status == http.StatusOK {
			c.world.Truth.Update(job, func() { job.ended = time.Now() })
			return
		}
		if err == nil && result.status == http.StatusNotFound {
			c.world.Truth.checkJobNotFound(job, result)
		}
	}
}

// runIntruder sends requests with revoked or invalid keys, and reads jobs with the key of
// another tenant, until ctx ends.
func (c *caller) runIntruder(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, time.Second)
		key, taken := c.world.tenants.takenKey()
		id := fmt.Sprintf("x%x", c.random.Uint64())
		c.world.Truth.Intrudes(id, taken)
		header := http.Header{
			platform.HeaderRequestID: {id}, platform.HeaderDeadline: {"1500"}, platform.HeaderAuthorization: {authorization(key)},
		}
		if result, err := c.call(ctx, http.MethodPost, applicationPrefix+"intrude", header, []byte("x")); err == nil {
			c.world.Truth.judgeIntrusion(result, id, key)
		}
		job := c.world.Truth.randomJob(c.random)
		if job == nil {
			continue
		}
		path := strings.Replace(platform.PathJob, ":id", job.id, 1)
		header.Set(platform.HeaderAuthorization, authorization(c.world.tenants.keyFor(c.world.tenants.other(job.tenant), c.random)))
		if result, err := c.call(ctx, http.MethodGet, path, header, nil); err == nil && result.status == http.StatusOK {
			c.world.Truth.Update(job, func() { c.world.Truth.broken("ROUTE", "%s returns job %s to another tenant", result.node, job.id) })
		}
	}
}

// runLooker reads random jobs from random positions at random nodes until ctx ends.
func (c *caller) runLooker(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, time.Second)
		if job := c.world.Truth.randomJob(c.random); job != nil {
			c.read(ctx, job, c.random.IntN(10))
		}
	}
}

// randomJob returns a random recently accepted job, nil if there is none.
func (t *Truth) randomJob(random *rand.Rand) *jobTruth {
	accepted := t.acceptedJobs()
	if len(accepted) == 0 {
		return nil
	}
	return accepted[random.IntN(len(accepted))]
}
