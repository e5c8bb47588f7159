package platformsim

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pathbend/pathbend/platform"
)

const (
	// cancelDeadline, jobVisibilityDeadline, drainDeadline and leaseDuration are required by the
	// users' rules: the time within which runs of an ended job stop, an accepted job is visible at
	// every node, and a draining sampler gets no new requests, and the minimum time between
	// orders of two lease holders.
	cancelDeadline        = 3 * time.Second
	jobVisibilityDeadline = time.Second
	drainDeadline         = 2 * time.Second
	leaseDuration         = 3 * time.Second
	// resumedOrderGracePeriod is the time after the resumption of a process or a link within which
	// an order may still arrive that was sent before. It is longer than the 300 ms of the users'
	// rules because real processes take time to be scheduled again.
	resumedOrderGracePeriod = time.Second
	// minUndisturbedTime is the time for which a machine must have been undisturbed to count as in
	// touch with the store and the other nodes.
	minUndisturbedTime = 3 * time.Second
	// linkTolerance is added to deadlines that are measured at the far end of a link.
	linkTolerance = 100 * time.Millisecond
)

// Checker records what clients, samplers and the store observed, checks it against the users'
// rules and collects the violations.
type Checker struct {
	mutex      sync.Mutex
	violations []string
	runCount   int
	items      map[string]*itemHistory
	jobs       map[string]*jobHistory
	stamps     map[string]stampRecord
	lastOrders map[string]orderRecord
	// disturbedUntil is the end of the last disturbance of each machine; "" stands for the
	// store. Rules that hold only for undisturbed machines use it through inTouch.
	disturbedUntil map[string]time.Time
	// heldTrafficAt is the time at which the links of each machine last held back its traffic.
	heldTrafficAt map[string]time.Time
	// goneAt is the time at which each sampler was first recorded as draining or removed.
	goneAt map[string]time.Time
	// orderSender is the node that sent the last order.
	orderSender string
	// ordersIgnoredUntil is the time until which orders are not checked.
	ordersIgnoredUntil time.Time
	counts             map[string]int
	// evacuatedAt is the time at which the evacuation of each zone was acknowledged, zero once
	// the evacuation is over.
	evacuatedAt map[string]time.Time
	// tenants is the tenant for which each request or item runs, by id.
	tenants map[string]string
	// unauthorized holds the requests with keys that no tenant holds, by id.
	unauthorized map[string]unauthorizedRequest
	// boundRegions is the region to which a request or an item is restricted, by id; regions is
	// the region of each zone.
	boundRegions map[string]string
	regions      map[string]string
	cloud        cloudHistory
	// crashing holds the crashes of samplers that ran a request; longestPauseAfterCrash is the
	// longest time from such a crash to the next run of the item or reward call.
	crashing               map[string]*crashHistory
	longestPauseAfterCrash time.Duration
	// disruptions are the disruptions of a run in the order of their start, to which lost and
	// refused requests are attributed; causes counts these requests by cause. wakeDelays holds
	// the recent wake-up delays, each longer than those after it, and maxWakeDelay the longest
	// of the run.
	disruptions  []*disruption
	causes       map[string]int
	wakeDelays   []wakeDelaySample
	maxWakeDelay time.Duration
	// nodesUnidentified is set where samplers cannot identify the node that a call comes from.
	nodesUnidentified bool
	// startedAt is the time at which the world was created.
	startedAt time.Time
}

// itemHistory records what a trainer requested, and samplers observed, of an item.
type itemHistory struct {
	events      int
	failures    int
	lastEventAt time.Time
	reward      string
	body        string
}

// jobHistory records what clients observed of a batch job.
type jobHistory struct {
	id         string
	items      []string
	tenant     string
	minVersion uint64
	accepted   time.Time
	// outcomeUnknown is set once a submission got an answer, or none, that leaves open whether
	// the job was accepted.
	outcomeUnknown bool
	refused        bool
	// submitting is set while a submission is unanswered. earlyItems are the items that ran
	// meanwhile although all previous submissions were refused; the current submission must
	// then not be refused.
	submitting bool
	earlyItems []string
	ended      time.Time
	results    map[int]platform.ResultDocument
}

type stampRecord struct {
	request string
	at      time.Time
}

type orderRecord struct {
	holder       string
	fencingToken uint64
	at           time.Time
}

// NewChecker returns a Checker without observations.
func NewChecker() *Checker {
	return &Checker{
		items: make(map[string]*itemHistory), jobs: make(map[string]*jobHistory), stamps: make(map[string]stampRecord),
		lastOrders: make(map[string]orderRecord), disturbedUntil: make(map[string]time.Time), goneAt: make(map[string]time.Time),
		counts: make(map[string]int), tenants: make(map[string]string), cloud: newCloudHistory(), boundRegions: make(map[string]string), heldTrafficAt: make(map[string]time.Time),
		evacuatedAt: make(map[string]time.Time), unauthorized: make(map[string]unauthorizedRequest),
		causes: make(map[string]int), crashing: make(map[string]*crashHistory),
		startedAt: time.Now(),
	}
}

// recordViolation records a violation of a rule; the caller holds c.mutex.
func (c *Checker) recordViolation(rule, format string, arguments ...any) {
	c.violations = append(c.violations, rule+": "+fmt.Sprintf(format, arguments...))
}

// Violations returns the violations recorded so far, each prefixed with the name of its rule.
func (c *Checker) Violations() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.violations)
}

// Counts returns a copy of all counters by name.
func (c *Checker) Counts() map[string]int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return maps.Clone(c.counts)
}

// Count increments the counter of the given name.
func (c *Checker) Count(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts[name]++
}

// RecordDisturbance records that a machine is disturbed until a time; "" stands for the store.
func (c *Checker) RecordDisturbance(machine string, until time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if until.After(c.disturbedUntil[machine]) {
		c.disturbedUntil[machine] = until
	}
}

// inTouch reports whether neither a machine nor the store was disturbed within minUndisturbedTime.
// The caller holds c.mutex.
func (c *Checker) inTouch(machine string, now time.Time) bool {
	return now.Sub(c.disturbedUntil[machine]) > minUndisturbedTime && now.Sub(c.disturbedUntil[""]) > minUndisturbedTime
}

// RecordSamplerGone records that the store acknowledged a sampler as draining or removed.
func (c *Checker) RecordSamplerGone(sampler string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, known := c.goneAt[sampler]; !known {
		c.goneAt[sampler] = time.Now()
	}
}

// RequestArrived checks a request that reached a sampler against the deadlines for draining
// samplers and evacuated zones.
func (c *Checker) RequestArrived(sampler, zone, node, id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	if since, leaving := c.goneAt[sampler]; leaving && now.Sub(since) > drainDeadline+c.tolerance(now) && c.inTouch(node, now) {
		c.recordViolation("DRAIN", "request %s reached sampler %s from %s %v after it began to drain", id, sampler, node, now.Sub(since))
	}
	c.checkEvacuation(sampler, zone, node, "request "+id, now)
}

// RunStarted checks that an item that starts to run belongs to an open job that was not
// refused, and returns the number of the run.
func (c *Checker) RunStarted(item, sampler, node string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.runCount++
	now := time.Now()
	if c.items[item] == nil {
		c.recordViolation("UNASKED", "item %s was never submitted", item)
	}
	hasOpenJob, lastEnd := false, time.Time{}
	for _, job := range c.jobs {
		if !slices.Contains(job.items, item) {
			continue
		}
		if job.ended.IsZero() {
			hasOpenJob = true
		}
		lastEnd = laterTime(lastEnd, job.ended)
		switch {
		case !job.refused || job.outcomeUnknown || !job.accepted.IsZero():
		case job.submitting:
			job.earlyItems = append(job.earlyItems, item)
		default:
			c.recordViolation("REFUSED", "item %s of refused job %s was run", item, job.id)
		}
	}
	if !hasOpenJob && now.Sub(lastEnd) > cancelDeadline+c.tolerance(now) && c.inTouch(node, now) {
		c.recordViolation("UNASKED", "item %s reached %s from %s %v after the end of its job", item, sampler, node, now.Sub(lastEnd))
	}
	return c.runCount
}

// recordSubmissionAnswer records the answer to a submission of a job; notRun is set for a refusal
// that promises that nothing ran. The caller holds c.mutex.
func (c *Checker) recordSubmissionAnswer(job *jobHistory, accepted, notRun bool) {
	switch {
	case accepted:
		job.accepted = time.Now()
	case notRun:
		job.refused = true
		for _, item := range job.earlyItems {
			c.recordViolation("REFUSED", "item %s ran before its job %s was refused", item, job.id)
		}
	default:
		job.outcomeUnknown = true
	}
	job.submitting, job.earlyItems = false, nil
}

func laterTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// EventGenerated records that a sampler generated an event of an item.
func (c *Checker) EventGenerated(item string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if known := c.items[item]; known != nil {
		known.lastEventAt = time.Now()
	}
}

// RunFailed records a failed run of an item or a failed reward call.
func (c *Checker) RunFailed(item string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if known := c.items[item]; known != nil {
		known.failures++
		return
	}
	c.counts[countRewardFailures]++
}

// AnswerSent records the stamp of an answer to a reward call or a client's request.
func (c *Checker) AnswerSent(request, stamp string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stamps[stamp] = stampRecord{request: request, at: time.Now()}
}

// OrderReceived checks a weight order to a sampler: fencing tokens must be unique to a holder
// and grow, and orders of two holders must lie leaseDuration apart.
func (c *Checker) OrderReceived(sampler, zone, holder string, fencingToken uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	c.orderSender = holder
	if now.Before(c.ordersIgnoredUntil) {
		return
	}
	c.checkEvacuation(sampler, zone, holder, "a weight order", now)
	last, known := c.lastOrders[sampler]
	if known && last.holder != holder {
		switch {
		case fencingToken == last.fencingToken:
			c.recordViolation("ONE", "%s and %s used the same fencing token %d at sampler %s", last.holder, holder, fencingToken, sampler)
		case fencingToken < last.fencingToken:
			c.recordViolation("ONE", "%s ordered sampler %s with fencing token %d after %s with %d", holder, sampler, fencingToken, last.holder, last.fencingToken)
		case now.Sub(last.at) < leaseDuration-c.recentWakeDelay(now):
			c.recordViolation("ONE", "%s ordered sampler %s %v after %s", holder, sampler, now.Sub(last.at), last.holder)
		}
	}
	c.lastOrders[sampler] = orderRecord{holder: holder, fencingToken: fencingToken, at: now}
	c.counts["orders"]++
}

func (c *Checker) lastOrderSender() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.orderSender
}

// IgnoreOrdersUntil suspends the check of orders until a time, because a machine that was resumed,
// or whose link was restored, may send orders from before.
func (c *Checker) IgnoreOrdersUntil(until time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ordersIgnoredUntil = laterTime(c.ordersIgnoredUntil, until)
}

// RecordJob records a job and its items before the first submission.
func (c *Checker) RecordJob(job *jobHistory, items map[string]*itemHistory) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.jobs[job.id] = job
	for id, item := range items {
		if c.items[id] == nil {
			c.items[id] = item
		}
	}
}

// UpdateJob runs a change to the record of a job under the lock.
func (c *Checker) UpdateJob(job *jobHistory, change func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	change()
}

// CheckPage checks a page of a job's results that begins at position from: results never change
// their position or content, and each item is listed once.
func (c *Checker) CheckPage(job *jobHistory, from int, page platform.ResultPageDocument) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if page.Total != len(job.items) {
		c.recordViolation("MIXED", "job %s has a total of %d items, want %d", job.id, page.Total, len(job.items))
	}
	for i, result := range page.Results {
		position := from + i
		if before, known := job.results[position]; known {
			if before.ID != result.ID || textOf(before) != textOf(result) || before.Score != result.Score {
				c.recordViolation("TWICE", "result at position %d of job %s changed (item %s before, item %s now)", position, job.id, before.ID, result.ID)
			}
			continue
		}
		job.results[position] = result
		for other, known := range job.results {
			if other != position && known.ID == result.ID {
				c.recordViolation("TWICE", "item %s is listed at positions %d and %d of job %s", result.ID, other, position, job.id)
			}
		}
		c.checkResult(job, result)
	}
}

func textOf(result platform.ResultDocument) string {
	if result.Text == nil {
		return ""
	}
	return *result.Text
}

func (c *Checker) checkResult(job *jobHistory, result platform.ResultDocument) {
	item := c.items[result.ID]
	if item == nil || !slices.Contains(job.items, result.ID) {
		c.recordViolation("MIXED", "job %s lists item %s of another job", job.id, result.ID)
		return
	}
	c.counts[result.State]++
	if result.State == platform.ResultDead {
		if item.failures < maxItemAttempts && c.counts[countRewardFailures] == 0 {
			c.recordViolation("MIXED", "item %s was given up after %d failures", result.ID, item.failures)
		}
		return
	}
	lines := strings.Split(textOf(result), "\n")
	if len(lines) != item.events {
		c.recordViolation("MIXED", "item %s has %d events, want %d", result.ID, len(lines), item.events)
	}
	c.checkLines(job, result, lines)
	if stamp, known := c.stamps[result.Score]; !known || stamp.request != item.reward {
		c.recordViolation("MIXED", "item %s has score %q, which belongs to request %q", result.ID, result.Score, stamp.request)
	}
}

// checkLines checks the text of an item. Each line holds the item's id, the event's number, the
// run's number, the event after which the run was asked to continue, and the weight version that
// generated it.
func (c *Checker) checkLines(job *jobHistory, result platform.ResultDocument, lines []string) {
	var versions []uint64
	lastRun := ""
	for i, line := range lines {
		parts := strings.Split(line, "/")
		if len(parts) != eventFieldCount || parts[0] != result.ID || parts[1] != strconv.Itoa(i+1) {
			c.recordViolation("ORDER", "line %d of item %s is %q", i+1, result.ID, line)
			return
		}
		if parts[2] != lastRun && parts[3] != strconv.Itoa(i) {
			c.recordViolation("ORDER", "item %s continues after event %d with a run asked to continue after %s", result.ID, i, parts[3])
		}
		lastRun = parts[2]
		version, _ := strconv.ParseUint(parts[4], 10, 64)
		versions = append(versions, version)
		if version < job.minVersion {
			c.recordViolation("VERSION", "item %s has text of version %d, older than the minimum %d", result.ID, version, job.minVersion)
		}
	}
	slices.Sort(versions)
	if !slices.Equal(slices.Compact(versions), result.Versions) {
		c.recordViolation("VERSION", "item %s lists versions %v, want %v", result.ID, result.Versions, versions)
	}
}

// countRewardFailures is the name of the counter of failed reward calls.
const countRewardFailures = "reward failures"

// eventFieldCount is the number of fields that eventData joins.
const eventFieldCount = 5

// eventData returns the data of one event.
func eventData(item string, event, run, from int, version uint64) string {
	return fmt.Sprintf("%s/%d/%d/%d/%d", item, event, run, from, version)
}
