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

	"github.com/cockroachdb/errors"

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
	maxItemAttempts = 3
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
	// routePrefix is the path prefix of the route to which the caller submits jobs.
	routePrefix string
	// crashKind selects whether samplers crash during the next item or its reward call;
	// crashSent is set once such a body was produced.
	crashKind FaultKind
	crashSent bool
}

// newCaller returns a caller on a machine of its own. The machine's name is an input of the
// simulated latencies, so another name changes the course of every seed.
func (w *World) newCaller(name, zone, host string, seed uint64) *caller {
	transport := network.NewTransport(w.environment.Network(name, zone), 0)
	transport.DisableKeepAlives = true
	return &caller{
		world: w, client: &http.Client{Transport: transport},
		random: rand.New(rand.NewPCG(seed, 11)), host: host, routePrefix: rolloutPrefix,
	}
}

// callResult is the outcome of a call: the response, if there was one, and how it was obtained.
type callResult struct {
	status    int
	header    http.Header
	body      []byte
	node      string
	startedAt time.Time
	// localAddress is the caller's address of the connection, empty if none was made.
	localAddress string
}

// call sends one request to a node that reports itself ready, or to any node if none does.
func (c *caller) call(ctx context.Context, method, path string, header http.Header, body []byte) (callResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.callNode(ctx, c.world.pickNode(c.random), method, path, header, body)
}

// callNode sends one request to a node.
func (c *caller) callNode(ctx context.Context, node, method, path string, header http.Header, body []byte) (callResult, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.world.environment.Front(node)+path, bytes.NewReader(body))
	if err != nil {
		return callResult{}, err
	}
	request.Host = c.host
	for name, values := range header {
		request.Header[name] = values
	}
	key := ""
	if c.tenant != "" {
		key = c.world.tenants.randomKey(c.tenant, c.random)
		request.Header.Set(platform.HeaderAuthorization, authorizationHeader(key))
	}
	result := callResult{node: node, startedAt: time.Now()}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { result.localAddress = info.Conn.LocalAddr().String() }}
	response, err := c.client.Do(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return result, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	result.status, result.header, result.body = response.StatusCode, response.Header, content
	if err == nil && key != "" {
		c.world.Checker.checkDenial(result, path, key, c.world.tenants.keyAge(key)-time.Since(result.startedAt))
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
		header := http.Header{platform.HeaderRequestID: {id}, platform.HeaderDeadlineMs: {strconv.FormatInt(requestDeadline.Milliseconds(), 10)}, platform.HeaderTenant: {"forged"}}
		c.world.Checker.RecordTenant(id, c.tenant)
		c.world.Checker.BindRegion(id, c.boundRegion(""))
		result, err := c.call(ctx, http.MethodPost, path, header, body)
		switch {
		case err != nil && ctx.Err() != nil:
			return
		case errors.Is(err, network.ErrMalformedResponse):
			c.world.Checker.reportMalformed(result, id, err)
		case err != nil:
			c.world.Checker.checkLostRequest(result, id, c.world.failureClassOf(err, result.localAddress))
		case result.status != http.StatusOK:
			c.world.Checker.checkRefusedRequest(result, id)
			c.world.Checker.checkErrorStatus(result, id)
		default:
			c.world.Checker.Count("requests served")
			c.world.Checker.checkAnswer(result, id, expectedAnswer(id, c.host, path, body))
		}
	}
}

// checkAnswer checks that a response has the expected body and was produced by a back end for
// this request.
func (c *Checker) checkAnswer(result callResult, id, want string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	stamp, known := c.stamps[result.header.Get(platform.HeaderServerStamp)]
	if string(result.body) != want || !known || stamp.request != id {
		c.recordViolation("MIXED", "request %s got response %q with the stamp of request %q", id, result.body, stamp.request)
	}
}

// checkErrorStatus reports a violation if a valid request was answered with 404 or 400.
func (c *Checker) checkErrorStatus(result callResult, id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if result.status == http.StatusNotFound || result.status == http.StatusBadRequest {
		c.recordViolation("DENIED", "valid request %s was answered with status %d: %s", id, result.status, result.body)
	}
}

// runTrainer runs training steps until ctx ends: it submits a job, waits for enough complete
// groups, ends the job and announces the next weight version.
func (c *caller) runTrainer(ctx context.Context, model string, groups, size int) {
	var carriedOver []platform.ItemDocument
	for step := uint64(1); ctx.Err() == nil; step++ {
		startedAt := time.Now()
		job, document := c.newStep(model, step, groups, size, carriedOver)
		complete := false
		if c.submit(ctx, job, document) {
			wanted := int(float64(groups) * requiredGroupRatio)
			complete = c.awaitGroups(ctx, job, document, wanted, startedAt.Add(stepTimeout)) >= wanted
			c.endJob(ctx, job)
			carriedOver = c.incompleteItems(job, document, wanted/2, size)
		}
		if !complete && ctx.Err() != nil {
			// The step does not count: traffic may end as little as 2 s after the step began.
			return
		}
		if complete {
			c.world.Checker.Count("steps whole")
			c.world.Checker.Count("steps whole of " + model)
		}
		c.world.Checker.Count("steps")
		c.world.Checker.Count("steps of " + model)
		c.world.publishVersion(model, step+1)
		wait.Until(ctx, startedAt.Add(stepInterval))
	}
}

// newStep creates the job of a training step: groups of size new items each, after the items
// carried over from the previous step.
func (c *caller) newStep(model string, step uint64, groups, size int, carriedOver []platform.ItemDocument) (*jobHistory, platform.JobDocument) {
	job := &jobHistory{
		id: fmt.Sprintf("j%x", c.random.Uint64()), minVersion: max(step, 2) - 1, tenant: c.tenant,
		results: make(map[int]platform.ResultDocument),
	}
	document := platform.JobDocument{Step: step, Model: model, MinVersion: job.minVersion, DesiredGroups: uint32(float64(groups) * requiredGroupRatio)}
	document.Items = append(document.Items, carriedOver...)
	for group := range groups {
		for range size {
			document.Items = append(document.Items, c.newItem(model, fmt.Sprintf("%s-%d-%d", model, step, group)))
		}
	}
	known := make(map[string]*itemHistory)
	for _, item := range document.Items {
		job.items = append(job.items, item.ID)
		_, out, _ := strings.Cut(item.Headers[platform.HeaderTokenCounts], ",")
		events, _ := strconv.Atoi(out)
		c.world.Checker.RecordTenant(item.ID, c.tenant)
		c.world.Checker.BindRegion(item.ID, c.boundRegion(c.routePrefix))
		c.world.Checker.BindRegion(item.Scorer.ID, c.boundRegion(""))
		known[item.ID] = &itemHistory{events: events, reward: item.Scorer.ID, body: item.Body}
	}
	c.world.Checker.RecordJob(job, known)
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
		ID: id, Path: c.routePrefix + "run/" + id, Group: group, Tokens: uint64(events),
		Headers: map[string]string{platform.HeaderModel: model, platform.HeaderTokenCounts: fmt.Sprintf("100,%d", events)},
		Body:    c.bodyDuringCrashes(ItemDuringCrashes, base64.StdEncoding.EncodeToString([]byte(itemBodyPrefix+id))),
		Scorer: &platform.ScorerDocument{
			ID: fmt.Sprintf("w%x", c.random.Uint64()), Host: c.host, Path: applicationPrefix + "score",
			Body: c.bodyDuringCrashes(RewardDuringCrashes, base64.StdEncoding.EncodeToString([]byte("score "+id))),
		},
	}
}

// submit sends a job until it is accepted, and reports false if it is not within stepTimeout.
func (c *caller) submit(ctx context.Context, job *jobHistory, document platform.JobDocument) bool {
	content, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	header := http.Header{platform.HeaderRequestID: {job.id}, "Content-Type": {"application/json"}}
	for deadline := time.Now().Add(stepTimeout); ctx.Err() == nil && time.Now().Before(deadline); wait.For(ctx, retryInterval) {
		c.world.Checker.UpdateJob(job, func() { job.submitting = true })
		result, err := c.call(ctx, http.MethodPost, c.routePrefix+job.id, header, content)
		accepted := err == nil && result.status == http.StatusAccepted
		c.world.Checker.UpdateJob(job, func() {
			c.world.Checker.recordSubmissionAnswer(job, accepted, err == nil && guaranteesNotRun(result.status))
		})
		if accepted {
			return true
		}
		c.world.Checker.Count("submissions refused")
	}
	return false
}

// awaitGroups reads results until the wanted number of groups is complete or the deadline
// passes, and returns the number of complete groups.
func (c *caller) awaitGroups(ctx context.Context, job *jobHistory, document platform.JobDocument, wanted int, deadline time.Time) int {
	from := 0
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if page, ok := c.readPage(ctx, job, from); ok {
			from = page.NextToken
		}
		if complete := c.completeGroups(job, document); complete >= wanted {
			return complete
		}
		wait.For(ctx, pollInterval)
	}
	return c.completeGroups(job, document)
}

// readPage reads one page of results with the key of the job's tenant and checks it.
func (c *caller) readPage(ctx context.Context, job *jobHistory, from int) (platform.ResultPageDocument, bool) {
	path := fmt.Sprintf("%s?%s=%d", strings.Replace(platform.PathJob, ":id", job.id, 1), platform.QueryAfter, from)
	c.tenant = job.tenant
	result, err := c.call(ctx, http.MethodGet, path, http.Header{platform.HeaderWaitMs: {"300"}}, nil)
	var page platform.ResultPageDocument
	if err != nil {
		return page, false
	}
	if result.status == http.StatusNotFound {
		c.world.Checker.checkJobNotFound(job, result)
		return page, false
	}
	if result.status != http.StatusOK || json.Unmarshal(result.body, &page) != nil {
		return page, false
	}
	c.world.Checker.CheckPage(job, from, page)
	return page, true
}

// checkJobNotFound reports a violation if a node answers 404 for a job later than
// jobVisibilityDeadline after the job was accepted.
func (c *Checker) checkJobNotFound(job *jobHistory, result callResult) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !job.accepted.IsZero() && result.startedAt.Sub(job.accepted) > jobVisibilityDeadline {
		c.recordViolation("LOST", "%s answers 404 for job %s %v after it was accepted", result.node, job.id, result.startedAt.Sub(job.accepted))
	}
}

// completeGroups returns the number of groups whose items all have results.
func (c *caller) completeGroups(job *jobHistory, document platform.JobDocument) int {
	delivered := make(map[string]bool)
	c.world.Checker.UpdateJob(job, func() {
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
func (c *caller) incompleteItems(job *jobHistory, document platform.JobDocument, groups, size int) []platform.ItemDocument {
	delivered := make(map[string]bool)
	c.world.Checker.UpdateJob(job, func() {
		for _, result := range job.results {
			delivered[result.ID] = true
		}
	})
	incomplete := make(map[string]bool)
	for _, item := range document.Items {
		if !delivered[item.ID] {
			incomplete[item.Group] = true
		}
	}
	var carriedOver []platform.ItemDocument
	for _, item := range document.Items {
		if incomplete[item.Group] && len(carriedOver) < groups*size {
			carriedOver = append(carriedOver, item)
		}
	}
	return carriedOver
}

// endJob ends a job, and retries until a node confirms it or stepTimeout passes.
func (c *caller) endJob(ctx context.Context, job *jobHistory) {
	for deadline := time.Now().Add(stepTimeout); ctx.Err() == nil && time.Now().Before(deadline); wait.For(ctx, retryInterval) {
		result, err := c.call(ctx, http.MethodDelete, strings.Replace(platform.PathJob, ":id", job.id, 1), nil, nil)
		if err == nil && result.status == http.StatusOK {
			c.world.Checker.UpdateJob(job, func() { job.ended = time.Now() })
			return
		}
		if err == nil && result.status == http.StatusNotFound {
			c.world.Checker.checkJobNotFound(job, result)
		}
	}
}

// runUnauthorizedCaller sends requests with revoked or invalid keys, and reads jobs with the key
// of another tenant, until ctx ends.
func (c *caller) runUnauthorizedCaller(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, time.Second)
		key, history := c.world.tenants.revokedKey()
		id := fmt.Sprintf("x%x", c.random.Uint64())
		c.world.Checker.RecordUnauthorizedRequest(id, history)
		header := http.Header{
			platform.HeaderRequestID: {id}, platform.HeaderDeadlineMs: {"1500"}, platform.HeaderAuthorization: {authorizationHeader(key)},
		}
		if result, err := c.call(ctx, http.MethodPost, applicationPrefix+"intrude", header, []byte("x")); err == nil {
			c.world.Checker.checkUnauthorizedAccess(result, id, key)
		}
		job := c.world.Checker.randomJob(c.random)
		if job == nil {
			continue
		}
		path := strings.Replace(platform.PathJob, ":id", job.id, 1)
		header.Set(platform.HeaderAuthorization, authorizationHeader(c.world.tenants.randomKey(c.world.tenants.otherTenant(job.tenant), c.random)))
		if result, err := c.call(ctx, http.MethodGet, path, header, nil); err == nil && result.status == http.StatusOK {
			c.world.Checker.UpdateJob(job, func() {
				c.world.Checker.recordViolation("ROUTE", "%s returns job %s to another tenant", result.node, job.id)
			})
		}
	}
}

// runJobReader reads random jobs from random positions at random nodes until ctx ends.
func (c *caller) runJobReader(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, time.Second)
		if job := c.world.Checker.randomJob(c.random); job != nil {
			c.readPage(ctx, job, c.random.IntN(10))
		}
	}
}

// randomJob returns a random recently accepted job, nil if there is none.
func (c *Checker) randomJob(random *rand.Rand) *jobHistory {
	accepted := c.acceptedJobs()
	if len(accepted) == 0 {
		return nil
	}
	return accepted[random.IntN(len(accepted))]
}
