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
	// cancelBound, settleBound, drainBound and leaseBound are the bounds of the
	// users' rules.
	cancelBound = 3 * time.Second
	settleBound = time.Second
	drainBound  = 2 * time.Second
	leaseBound  = 3 * time.Second
	// thawBound is how long after a thaw or heal an order may still be one of before;
	// somewhat longer than the users' 300 ms, which real processes need to be
	// scheduled again.
	thawBound = time.Second
	// touchTime is how long a machine must be undisturbed to be in touch.
	touchTime = 3 * time.Second
	// slack is given to what is measured at the far end of a link.
	slack = 100 * time.Millisecond
)

// Truth records what clients, samplers and the store saw, and what broke a rule.
type Truth struct {
	mutex      sync.Mutex
	violations []string
	runs       int
	items      map[string]*itemTruth
	jobs       map[string]*jobTruth
	stamps     map[string]stampTruth
	orders     map[string]orderTruth
	// disturbed is when a machine was last in trouble; "" stands for the store.
	disturbed map[string]time.Time
	// held is when the links of a machine last held what it sent.
	held map[string]time.Time
	// gone is when a sampler was last acknowledged as draining or gone.
	gone map[string]time.Time
	// orderedBy is who gave the last order.
	orderedBy string
	// ordersExcused is until when orders are not judged.
	ordersExcused time.Time
	counts        map[string]int
	// evacuatedAt is when a zone was acknowledged as evacuated, zero once it was taken
	// back.
	evacuatedAt map[string]time.Time
	// tenants tells for whom a request or an item runs.
	tenants map[string]string
	// intruders are the requests with keys that no tenant holds.
	intruders map[string]intrusion
	// homes tells to which region a request or an item is bound, regions the region of
	// each zone.
	homes   map[string]string
	regions map[string]string
	cloud   cloudTruth
	// crashing is what is known of requests that crash their samplers.
	crashing map[string]*crashTruth
	// troubles are what a run did, in the order of their begin, causes counts why requests
	// were lost or refused, late are late wakes, each later than those after it, and latest
	// the latest of all.
	troubles []*trouble
	causes   map[string]int
	late     []lateWake
	latest   time.Duration
	// nameless is set where nobody can tell from which node a call comes.
	nameless bool
	// started is when the world began.
	started time.Time
}

// itemTruth is what samplers saw of an item.
type itemTruth struct {
	events    int
	failures  int
	lastEvent time.Time
	reward    string
	body      string
}

// jobTruth is what clients saw of a batch job.
type jobTruth struct {
	id         string
	items      []string
	tenant     string
	minVersion uint64
	accepted   time.Time
	// unsure is set once an attempt got no promise.
	unsure  bool
	refused bool
	// asking is set while an attempt has no answer; early are the items that ran meanwhile,
	// though all attempts before were refused: the attempt must not be refused either.
	asking  bool
	early   []string
	ended   time.Time
	results map[int]platform.ResultDocument
}

type stampTruth struct {
	request string
	at      time.Time
}

type orderTruth struct {
	holder string
	fence  uint64
	at     time.Time
}

// NewTruth returns an empty record.
func NewTruth() *Truth {
	return &Truth{
		items: make(map[string]*itemTruth), jobs: make(map[string]*jobTruth), stamps: make(map[string]stampTruth),
		orders: make(map[string]orderTruth), disturbed: make(map[string]time.Time), gone: make(map[string]time.Time),
		counts: make(map[string]int), tenants: make(map[string]string), cloud: newCloudTruth(), homes: make(map[string]string), held: make(map[string]time.Time),
		evacuatedAt: make(map[string]time.Time), intruders: make(map[string]intrusion),
		causes: make(map[string]int), crashing: make(map[string]*crashTruth),
		started: time.Now(),
	}
}

// broken notes a broken rule. It is called under the lock.
func (t *Truth) broken(rule, format string, arguments ...any) {
	t.violations = append(t.violations, rule+": "+fmt.Sprintf(format, arguments...))
}

// Violations returns the broken rules.
func (t *Truth) Violations() []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Clone(t.violations)
}

// Counts returns what was counted, by name.
func (t *Truth) Counts() map[string]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return maps.Clone(t.counts)
}

// Count counts something by name.
func (t *Truth) Count(name string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.counts[name]++
}

// Disturb notes that a machine is in trouble until a time.
func (t *Truth) Disturb(machine string, until time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if until.After(t.disturbed[machine]) {
		t.disturbed[machine] = until
	}
}

// inTouch is called under the lock.
func (t *Truth) inTouch(machine string, now time.Time) bool {
	return now.Sub(t.disturbed[machine]) > touchTime && now.Sub(t.disturbed[""]) > touchTime
}

// Gone notes that a sampler was acknowledged as draining or gone.
func (t *Truth) Gone(sampler string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if _, known := t.gone[sampler]; !known {
		t.gone[sampler] = time.Now()
	}
}

// Arrived judges a request that reached a sampler.
func (t *Truth) Arrived(sampler, zone, node, id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	if since, leaving := t.gone[sampler]; leaving && now.Sub(since) > drainBound+t.allowance(now) && t.inTouch(node, now) {
		t.broken("DRAIN", "request %s reached %s from %s %v after its leave", id, sampler, node, now.Sub(since))
	}
	t.judgeEvacuation(sampler, zone, node, "request "+id, now)
}

// RunStarted judges a run of an item and returns its number.
func (t *Truth) RunStarted(item, sampler, node string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.runs++
	now := time.Now()
	if t.items[item] == nil {
		t.broken("UNASKED", "item %s was never submitted", item)
	}
	wanted, lastEnd := false, time.Time{}
	for _, job := range t.jobs {
		if !slices.Contains(job.items, item) {
			continue
		}
		if job.ended.IsZero() {
			wanted = true
		}
		lastEnd = maxTime(lastEnd, job.ended)
		switch {
		case !job.refused || job.unsure || !job.accepted.IsZero():
		case job.asking:
			job.early = append(job.early, item)
		default:
			t.broken("REFUSED", "item %s of refused job %s runs", item, job.id)
		}
	}
	if !wanted && now.Sub(lastEnd) > cancelBound+t.allowance(now) && t.inTouch(node, now) {
		t.broken("UNASKED", "item %s reached %s from %s %v after the end of its job", item, sampler, node, now.Sub(lastEnd))
	}
	return t.runs
}

// answered notes the answer to an attempt to submit a job. It is called under the lock.
func (t *Truth) answered(job *jobTruth, accepted, notRun bool) {
	switch {
	case accepted:
		job.accepted = time.Now()
	case notRun:
		job.refused = true
		for _, item := range job.early {
			t.broken("REFUSED", "item %s ran before its job %s was refused", item, job.id)
		}
	default:
		job.unsure = true
	}
	job.asking, job.early = false, nil
}

func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// EventMade notes an event of an item.
func (t *Truth) EventMade(item string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.items[item]; known != nil {
		known.lastEvent = time.Now()
	}
}

// ItemFailed notes a failed run of an item or reward call.
func (t *Truth) ItemFailed(item string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.items[item]; known != nil {
		known.failures++
		return
	}
	t.counts[countRewardFailures]++
}

// RewardAnswered notes an answer to a reward call or a client's request.
func (t *Truth) RewardAnswered(request, stamp string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.stamps[stamp] = stampTruth{request: request, at: time.Now()}
}

// Ordered judges an order to a sampler.
func (t *Truth) Ordered(sampler, zone, holder string, fence uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	t.orderedBy = holder
	if now.Before(t.ordersExcused) {
		return
	}
	t.judgeEvacuation(sampler, zone, holder, "an order", now)
	last, known := t.orders[sampler]
	if known && last.holder != holder {
		switch {
		case fence == last.fence:
			t.broken("ONE", "%s and %s share fence %d at %s", last.holder, holder, fence, sampler)
		case fence < last.fence:
			t.broken("ONE", "%s orders %s with fence %d after %s with %d", holder, sampler, fence, last.holder, last.fence)
		case now.Sub(last.at) < leaseBound-t.lateness(now):
			t.broken("ONE", "%s orders %s %v after %s", holder, sampler, now.Sub(last.at), last.holder)
		}
	}
	t.orders[sampler] = orderTruth{holder: holder, fence: fence, at: now}
	t.counts["orders"]++
}

func (t *Truth) lastHolder() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.orderedBy
}

// ExcuseOrders leaves orders out until a time: a machine that was thawed, or whose
// link was healed, may send what it held.
func (t *Truth) ExcuseOrders(until time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.ordersExcused = maxTime(t.ordersExcused, until)
}

// Submitted notes a job before its first send.
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

// Update changes what is known of a job.
func (t *Truth) Update(job *jobTruth, change func()) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	change()
}

// Read judges a page of a job's results.
func (t *Truth) Read(job *jobTruth, from int, page platform.PageDocument) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if page.Total != len(job.items) {
		t.broken("MIXED", "job %s has total %d, not %d", job.id, page.Total, len(job.items))
	}
	for i, listed := range page.Results {
		position := from + i
		if before, known := job.results[position]; known {
			if before.ID != listed.ID || textOf(before) != textOf(listed) || before.Score != listed.Score {
				t.broken("TWICE", "position %d of job %s held %s and now holds %s", position, job.id, before.ID, listed.ID)
			}
			continue
		}
		job.results[position] = listed
		for other, known := range job.results {
			if other != position && known.ID == listed.ID {
				t.broken("TWICE", "item %s stands at %d and %d of job %s", listed.ID, other, position, job.id)
			}
		}
		t.judgeResult(job, listed)
	}
}

func textOf(listed platform.ResultDocument) string {
	if listed.Text == nil {
		return ""
	}
	return *listed.Text
}

func (t *Truth) judgeResult(job *jobTruth, listed platform.ResultDocument) {
	item := t.items[listed.ID]
	if item == nil || !slices.Contains(job.items, listed.ID) {
		t.broken("MIXED", "job %s lists item %s of another job", job.id, listed.ID)
		return
	}
	t.counts[listed.State]++
	if listed.State == platform.ResultDead {
		if item.failures < itemAttempts && t.counts[countRewardFailures] == 0 {
			t.broken("MIXED", "item %s is dead after %d failures", listed.ID, item.failures)
		}
		return
	}
	lines := strings.Split(textOf(listed), "\n")
	if len(lines) != item.events {
		t.broken("MIXED", "item %s has %d of %d events", listed.ID, len(lines), item.events)
	}
	t.judgeLines(job, listed, lines)
	if stamp, known := t.stamps[listed.Score]; !known || stamp.request != item.reward {
		t.broken("MIXED", "item %s has score %q of request %q", listed.ID, listed.Score, stamp.request)
	}
}

// judgeLines rules on the text of an item: each line names the item, its
// number, its run, the event that the run was asked to continue after, and the
// version that made it.
func (t *Truth) judgeLines(job *jobTruth, listed platform.ResultDocument, lines []string) {
	var versions []uint64
	lastRun := ""
	for i, line := range lines {
		parts := strings.Split(line, "/")
		if len(parts) != eventParts || parts[0] != listed.ID || parts[1] != strconv.Itoa(i+1) {
			t.broken("ORDER", "line %d of item %s is %q", i+1, listed.ID, line)
			return
		}
		if parts[2] != lastRun && parts[3] != strconv.Itoa(i) {
			t.broken("ORDER", "item %s goes on after event %d with a run asked to begin after %s", listed.ID, i, parts[3])
		}
		lastRun = parts[2]
		version, _ := strconv.ParseUint(parts[4], 10, 64)
		versions = append(versions, version)
		if version < job.minVersion {
			t.broken("VERSION", "item %s has text of version %d, under %d", listed.ID, version, job.minVersion)
		}
	}
	slices.Sort(versions)
	if !slices.Equal(slices.Compact(versions), listed.Versions) {
		t.broken("VERSION", "item %s names versions %v, not %v", listed.ID, listed.Versions, versions)
	}
}

// countRewardFailures counts the failed reward calls.
const countRewardFailures = "reward failures"

// eventParts is the number of parts of an event's data.
const eventParts = 5

// eventData is the data of one event.
func eventData(item string, event, run, from int, version uint64) string {
	return fmt.Sprintf("%s/%d/%d/%d/%d", item, event, run, from, version)
}
