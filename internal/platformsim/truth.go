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
	// cancelDeadline, settleBound, drainBound and leaseDuration are required by the users'
	// rules: the time within which runs of an ended job stop, an accepted job is visible at
	// every node, and a draining sampler gets no new requests, and the minimum time between
	// orders of two lease holders.
	cancelDeadline = 3 * time.Second
	settleBound    = time.Second
	drainBound     = 2 * time.Second
	leaseDuration  = 3 * time.Second
	// thawBound is the time after the resumption of a process or a link within which an order
	// may still arrive that was sent before. It is longer than the 300 ms of the users' rules
	// because real processes take time to be scheduled again.
	thawBound = time.Second
	// touchTime is the time for which a machine must have been undisturbed to count as in touch
	// with the store and the other nodes.
	touchTime = 3 * time.Second
	// slack is added to deadlines that are measured at the far end of a link.
	slack = 100 * time.Millisecond
)

// Truth records what clients, samplers and the store observed, checks it against the users'
// rules and collects the violations.
type Truth struct {
	mutex      sync.Mutex
	violations []string
	runCount   int
	items      map[string]*itemTruth
	jobs       map[string]*jobTruth
	stamps     map[string]stampRecord
	lastOrders map[string]orderRecord
	// disturbedUntil is the end of the last disturbance of each machine; "" stands for the
	// store.
	disturbedUntil map[string]time.Time
	// held is the time at which the links of each machine last held back its traffic.
	held map[string]time.Time
	// goneAt is the time at which each sampler was first recorded as draining or removed.
	goneAt map[string]time.Time
	// orderSender is the node that sent the last order.
	orderSender string
	// ordersExcused is the time until which orders are not checked.
	ordersExcused time.Time
	counts        map[string]int
	// evacuatedAt is the time at which the evacuation of each zone was acknowledged, zero once
	// the evacuation is over.
	evacuatedAt map[string]time.Time
	// tenants is the tenant for which each request or item runs, by id.
	tenants map[string]string
	// unauthorized holds the requests with keys that no tenant holds, by id.
	unauthorized map[string]unauthorizedRequest
	// homes is the region to which a request or an item is restricted, by id; regions is the
	// region of each zone.
	homes   map[string]string
	regions map[string]string
	cloud   cloudTruth
	// crashing holds what is known of requests that crash their samplers.
	crashing map[string]*crashTruth
	// troubles are the disruptions of a run in the order of their start. causes counts the
	// causes of lost and refused requests. late holds the recent wake-up delays, each longer
	// than those after it, and latest the longest delay of all.
	troubles []*trouble
	causes   map[string]int
	late     []lateWake
	latest   time.Duration
	// nameless is set where samplers cannot identify the node that a call comes from.
	nameless bool
	// started is the time at which the world was created.
	started time.Time
}

// itemTruth records what a trainer requested, and samplers observed, of an item.
type itemTruth struct {
	events      int
	failures    int
	lastEventAt time.Time
	reward      string
	body        string
}

// jobTruth records what clients observed of a batch job.
type jobTruth struct {
	id         string
	items      []string
	tenant     string
	minVersion uint64
	accepted   time.Time
	// outcomeUnknown is set once a submission got an answer, or none, that leaves open whether
	// the job was accepted.
	outcomeUnknown bool
	refused        bool
	// asking is set while a submission is unanswered. earlyItems are the items that ran
	// meanwhile although all previous submissions were refused; the current submission must
	// then not be refused.
	asking     bool
	earlyItems []string
	ended      time.Time
	results    map[int]platform.ResultDocument
}

type stampRecord struct {
	request string
	at      time.Time
}

type orderRecord struct {
	holder string
	fence  uint64
	at     time.Time
}

// NewTruth returns a Truth without observations.
func NewTruth() *Truth {
	return &Truth{
		items: make(map[string]*itemTruth), jobs: make(map[string]*jobTruth), stamps: make(map[string]stampRecord),
		lastOrders: make(map[string]orderRecord), disturbedUntil: make(map[string]time.Time), goneAt: make(map[string]time.Time),
		counts: make(map[string]int), tenants: make(map[string]string), cloud: newCloudTruth(), homes: make(map[string]string), held: make(map[string]time.Time),
		evacuatedAt: make(map[string]time.Time), unauthorized: make(map[string]unauthorizedRequest),
		causes: make(map[string]int), crashing: make(map[string]*crashTruth),
		started: time.Now(),
	}
}

// broken records a violation of a rule; the caller holds t.mutex.
func (t *Truth) broken(rule, format string, arguments ...any) {
	t.violations = append(t.violations, rule+": "+fmt.Sprintf(format, arguments...))
}

// Violations returns the violations recorded so far, each prefixed with the name of its rule.
func (t *Truth) Violations() []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Clone(t.violations)
}

// Counts returns a copy of all counters by name.
func (t *Truth) Counts() map[string]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return maps.Clone(t.counts)
}

// Count increments the counter of the given name.
func (t *Truth) Count(name string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.counts[name]++
}

// Disturb records that a machine is disturbed until a time; "" stands for the store.
func (t *Truth) Disturb(machine string, until time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if until.After(t.disturbedUntil[machine]) {
		t.disturbedUntil[machine] = until
	}
}

// inTouch reports whether neither a machine nor the store was disturbed within touchTime; the
// caller holds t.mutex.
func (t *Truth) inTouch(machine string, now time.Time) bool {
	return now.Sub(t.disturbedUntil[machine]) > touchTime && now.Sub(t.disturbedUntil[""]) > touchTime
}

// Gone records that the store acknowledged a sampler as draining or removed.
func (t *Truth) Gone(sampler string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if _, known := t.goneAt[sampler]; !known {
		t.goneAt[sampler] = time.Now()
	}
}

// RequestArrived checks a request that reached a sampler against the deadlines for draining
// samplers and evacuated zones.
func (t *Truth) RequestArrived(sampler, zone, node, id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	if since, leaving := t.goneAt[sampler]; leaving && now.Sub(since) > drainBound+t.allowance(now) && t.inTouch(node, now) {
		t.broken("DRAIN", "request %s reached sampler %s from %s %v after it began to drain", id, sampler, node, now.Sub(since))
	}
	t.judgeEvacuation(sampler, zone, node, "request "+id, now)
}

// RunStarted checks that an item that starts to run belongs to an open job that was not
// refused, and returns the number of the run.
func (t *Truth) RunStarted(item, sampler, node string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.runCount++
	now := time.Now()
	if t.items[item] == nil {
		t.broken("UNASKED", "item %s was never submitted", item)
	}
	hasOpenJob, lastEnd := false, time.Time{}
	for _, job := range t.jobs {
		if !slices.Contains(job.items, item) {
			continue
		}
		if job.ended.IsZero() {
			hasOpenJob = true
		}
		lastEnd = maxTime(lastEnd, job.ended)
		switch {
		case !job.refused || job.outcomeUnknown || !job.accepted.IsZero():
		case job.asking:
			job.earlyItems = append(job.earlyItems, item)
		default:
			t.broken("REFUSED", "item %s of refused job %s was run", item, job.id)
		}
	}
	if !hasOpenJob && now.Sub(lastEnd) > cancelDeadline+t.allowance(now) && t.inTouch(node, now) {
		t.broken("UNASKED", "item %s reached %s from %s %v after the end of its job", item, sampler, node, now.Sub(lastEnd))
	}
	return t.runCount
}

// answered records the answer to a submission of a job; notRun is set for a refusal that
// promises that nothing ran. The caller holds t.mutex.
func (t *Truth) answered(job *jobTruth, accepted, notRun bool) {
	switch {
	case accepted:
		job.accepted = time.Now()
	case notRun:
		job.refused = true
		for _, item := range job.earlyItems {
			t.broken("REFUSED", "item %s ran before its job %s was refused", item, job.id)
		}
	default:
		job.outcomeUnknown = true
	}
	job.asking, job.earlyItems = false, nil
}

func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// EventGenerated records that a sampler generated an event of an item.
func (t *Truth) EventGenerated(item string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.items[item]; known != nil {
		known.lastEventAt = time.Now()
	}
}

// RunFailed records a failed run of an item or a failed reward call.
func (t *Truth) RunFailed(item string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.items[item]; known != nil {
		known.failures++
		return
	}
	t.counts[countRewardFailures]++
}

// AnswerSent records the stamp of an answer to a reward call or a client's request.
func (t *Truth) AnswerSent(request, stamp string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.stamps[stamp] = stampRecord{request: request, at: time.Now()}
}

// OrderReceived checks a weight order to a sampler: fencing tokens must be unique to a holder
// and grow, and orders of two holders must lie leaseDuration apart.
func (t *Truth) OrderReceived(sampler, zone, holder string, fence uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	t.orderSender = holder
	if now.Before(t.ordersExcused) {
		return
	}
	t.judgeEvacuation(sampler, zone, holder, "a weight order", now)
	last, known := t.lastOrders[sampler]
	if known && last.holder != holder {
		switch {
		case fence == last.fence:
			t.broken("ONE", "%s and %s used the same fencing token %d at sampler %s", last.holder, holder, fence, sampler)
		case fence < last.fence:
			t.broken("ONE", "%s ordered sampler %s with fencing token %d after %s with %d", holder, sampler, fence, last.holder, last.fence)
		case now.Sub(last.at) < leaseDuration-t.lateness(now):
			t.broken("ONE", "%s ordered sampler %s %v after %s", holder, sampler, now.Sub(last.at), last.holder)
		}
	}
	t.lastOrders[sampler] = orderRecord{holder: holder, fence: fence, at: now}
	t.counts["orders"]++
}

func (t *Truth) lastHolder() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.orderSender
}

// ExcuseOrders suspends the check of orders until a time, because a machine that was resumed,
// or whose link was restored, may send orders from before.
func (t *Truth) ExcuseOrders(until time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.ordersExcused = maxTime(t.ordersExcused, until)
}

// Submitted records a job and its items before the first submission.
func (t *Truth) Submitted(job *jobTruth, items map[string]*itemTruth) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.jobs[job.id] = job
	for id, item := range items {
		if t.items[id] == nil {
			t.items[id] = item
		}
	}
}

// Update runs a change to the record of a job under the lock.
func (t *Truth) Update(job *jobTruth, change func()) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	change()
}

// Read checks a page of a job's results that begins at position from: results never change
// their position or content, and each item is listed once.
func (t *Truth) Read(job *jobTruth, from int, page platform.PageDocument) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if page.Total != len(job.items) {
		t.broken("MIXED", "job %s has a total of %d items, want %d", job.id, page.Total, len(job.items))
	}
	for i, result := range page.Results {
		position := from + i
		if before, known := job.results[position]; known {
			if before.ID != result.ID || textOf(before) != textOf(result) || before.Score != result.Score {
				t.broken("TWICE", "result at position %d of job %s changed (item %s before, item %s now)", position, job.id, before.ID, result.ID)
			}
			continue
		}
		job.results[position] = result
		for other, known := range job.results {
			if other != position && known.ID == result.ID {
				t.broken("TWICE", "item %s is listed at positions %d and %d of job %s", result.ID, other, position, job.id)
			}
		}
		t.checkResult(job, result)
	}
}

func textOf(result platform.ResultDocument) string {
	if result.Text == nil {
		return ""
	}
	return *result.Text
}

func (t *Truth) checkResult(job *jobTruth, result platform.ResultDocument) {
	item := t.items[result.ID]
	if item == nil || !slices.Contains(job.items, result.ID) {
		t.broken("MIXED", "job %s lists item %s of another job", job.id, result.ID)
		return
	}
	t.counts[result.State]++
	if result.State == platform.ResultDead {
		if item.failures < itemAttempts && t.counts[countRewardFailures] == 0 {
			t.broken("MIXED", "item %s was given up after %d failures", result.ID, item.failures)
		}
		return
	}
	lines := strings.Split(textOf(result), "\n")
	if len(lines) != item.events {
		t.broken("MIXED", "item %s has %d events, want %d", result.ID, len(lines), item.events)
	}
	t.checkLines(job, result, lines)
	if stamp, known := t.stamps[result.Score]; !known || stamp.request != item.reward {
		t.broken("MIXED", "item %s has score %q, which belongs to request %q", result.ID, result.Score, stamp.request)
	}
}

// checkLines checks the text of an item. Each line holds the item's id, the event's number, the
// run's number, the event after which the run was asked to continue, and the weight version that
// generated it.
func (t *Truth) checkLines(job *jobTruth, result platform.ResultDocument, lines []string) {
	var versions []uint64
	lastRun := ""
	for i, line := range lines {
		parts := strings.Split(line, "/")
		if len(parts) != eventFieldCount || parts[0] != result.ID || parts[1] != strconv.Itoa(i+1) {
			t.broken("ORDER", "line %d of item %s is %q", i+1, result.ID, line)
			return
		}
		if parts[2] != lastRun && parts[3] != strconv.Itoa(i) {
			t.broken("ORDER", "item %s continues after event %d with a run asked to continue after %s", result.ID, i, parts[3])
		}
		lastRun = parts[2]
		version, _ := strconv.ParseUint(parts[4], 10, 64)
		versions = append(versions, version)
		if version < job.minVersion {
			t.broken("VERSION", "item %s has text of version %d, older than the minimum %d", result.ID, version, job.minVersion)
		}
	}
	slices.Sort(versions)
	if !slices.Equal(slices.Compact(versions), result.Versions) {
		t.broken("VERSION", "item %s lists versions %v, want %v", result.ID, result.Versions, versions)
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
