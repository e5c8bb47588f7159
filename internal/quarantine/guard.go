package quarantine

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/result"
)

// Publisher publishes this node's records to the other nodes through a log. Records read back
// from the log, including this node's own, are applied with Guard.Merge in log order.
type Publisher interface {
	// Publish publishes a record. It returns once this node has read the record back from
	// the log, along with all earlier ones, or when the time that a request may wait is over.
	// In the latter case publishing continues in the background.
	Publish(ctx context.Context, record Record)
}

// RunWithin runs task and returns when it is done or the timeout has expired. After a
// timeout task keeps running in the background; it must return when its node shuts down.
func RunWithin(ctx context.Context, timeout time.Duration, task func()) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		task()
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Guard keeps requests of one node away from back ends that they would crash. It is safe
// for concurrent use.
type Guard struct {
	policy    Policy
	publisher Publisher
	logger    *event.Logger

	// nonEmpty is set while the registry holds any record. While it is unset, requests are
	// not hashed.
	nonEmpty atomic.Bool

	mutex    sync.Mutex
	registry Registry
	// running counts this node's requests in progress at back ends by digest, as far as they
	// were admitted while the registry held a record.
	running map[Digest]int
	counts  Counts
}

// Counts are the counters of a guard since the start of the node.
type Counts struct {
	// Crashes counts back ends that crashed while running requests of this node, and Refused
	// the requests that were not let through. Quarantined is the number of digests that are
	// quarantined now.
	Crashes     int
	Refused     int
	Quarantined int
}

// NewGuard returns a guard with an empty registry. SetPublisher must be called before the
// guard is used.
func NewGuard(policy Policy, logger *event.Logger) *Guard {
	return &Guard{policy: policy, logger: logger, running: make(map[Digest]int)}
}

// SetPublisher sets the publisher of this node's records.
func (g *Guard) SetPublisher(publisher Publisher) { g.publisher = publisher }

// suspectRetryAfter is the retry delay for a suspect request that is already running at a
// back end: roughly the duration of one run.
const suspectRetryAfter = 250 * time.Millisecond

// Acquire admits a request to a back end, or returns a *result.Error with a retry delay. The
// caller must call release when the attempt is over. digestOf is called only if the
// registry holds any record.
func (g *Guard) Acquire(ctx context.Context, digestOf func() Digest) (release func(), err error) {
	if !g.nonEmpty.Load() {
		return func() {}, nil
	}
	digest := digestOf()
	status, until := g.status(digest)
	switch status {
	case Quarantined:
		return nil, g.refuse(digest, time.Until(until))
	case TrialDue:
		if !g.claimTrial(ctx, digest) {
			return nil, g.refuse(digest, g.policy.TrialTimeout)
		}
	}
	return g.acquire(digest, status)
}

func (g *Guard) status(digest Digest) (Status, time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.registry.Status(digest, g.policy, time.Now())
}

// acquire counts a request as running. It refuses a suspect request that is already
// running, since one more crash would quarantine it.
func (g *Guard) acquire(digest Digest, status Status) (release func(), err error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if status == Suspect && g.running[digest] > 0 {
		g.counts.Refused++
		return nil, result.New(result.RequestQuarantined, "back ends crashed while running this request, and it is already running at another one").
			WithRetryAfter(suspectRetryAfter)
	}
	g.running[digest]++
	return func() { g.release(digest) }, nil
}

func (g *Guard) release(digest Digest) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.running[digest]--
	if g.running[digest] <= 0 {
		delete(g.running, digest)
	}
}

// refuse counts a refused request and returns its error. The retry delay is at least
// suspectRetryAfter.
func (g *Guard) refuse(digest Digest, retryAfter time.Duration) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.counts.Refused++
	return result.New(result.RequestQuarantined, "%d back ends crashed while running this request", g.registry.CrashCount(digest)).
		WithRetryAfter(max(retryAfter, suspectRetryAfter))
}

// claimTrial publishes a claim on a trial and reports whether this node won it.
func (g *Guard) claimTrial(ctx context.Context, digest Digest) bool {
	claimant := rand.Uint64()
	g.mutex.Lock()
	claimed, due := g.registry.ClaimTrial(digest, g.policy, claimant, time.Now())
	g.mutex.Unlock()
	if !due {
		return false
	}
	g.publisher.Publish(ctx, claimed)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	won := g.registry.OwnsTrial(digest, claimant)
	if won {
		g.logger.Log(event.QuarantineTried, "digest", digest.String(), "ends", g.registry.CrashCount(digest), "trial", claimed.Trials)
	}
	return won
}

// Suspected reports whether a request has crashed a back end and none has run it
// successfully since. Callers run such a request at one back end at a time and wait to see
// whether that back end crashes.
func (g *Guard) Suspected(digestOf func() Digest) bool {
	if !g.nonEmpty.Load() {
		return false
	}
	digest := digestOf()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.registry.CrashCount(digest) > 0
}

// ReportCrash records that a back end crashed while running a request, and publishes the
// record before it returns.
func (g *Guard) ReportCrash(ctx context.Context, digest Digest, backEnd string) {
	if record, changed := g.addCrash(digest, backEnd); changed {
		g.publisher.Publish(ctx, record)
	}
}

func (g *Guard) addCrash(digest Digest, backEnd string) (Record, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	before, _ := g.registry.Status(digest, g.policy, time.Now())
	record, changed := g.registry.AddCrash(digest, backEnd, time.Now())
	g.updateNonEmpty()
	if changed {
		g.counts.Crashes++
		g.logger.Log(event.BackEndEnded, "digest", digest.String(), "back_end", backEnd, "ends", len(record.CrashedBackEnds))
		g.logQuarantined(digest, before)
	}
	return record, changed
}

// ReportSuccess records that a back end ran a request without crashing, which lifts the
// quarantine.
func (g *Guard) ReportSuccess(ctx context.Context, digestOf func() Digest) {
	if !g.nonEmpty.Load() {
		return
	}
	digest := digestOf()
	g.mutex.Lock()
	crashes := g.registry.CrashCount(digest)
	record, cleared := g.registry.Clear(digest, time.Now())
	g.mutex.Unlock()
	if !cleared {
		return
	}
	g.logger.Log(event.QuarantineCleared, "digest", digest.String(), "ends", crashes)
	// The response is not delayed until the record is published.
	go g.publisher.Publish(context.WithoutCancel(ctx), record)
}

// Merge applies a record that was read from the log, whether from another node or from this
// one.
func (g *Guard) Merge(received Record) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	before, _ := g.registry.Status(received.Digest, g.policy, time.Now())
	if g.registry.Merge(received, time.Now()) {
		g.logQuarantined(received.Digest, before)
	}
	g.updateNonEmpty()
}

// logQuarantined logs that a digest is quarantined, unless it already was. The caller must
// hold the mutex.
func (g *Guard) logQuarantined(digest Digest, before Status) {
	after, until := g.registry.Status(digest, g.policy, time.Now())
	if before == Quarantined || before == TrialDue || after != Quarantined {
		return
	}
	g.logger.Log(event.RequestQuarantined, "digest", digest.String(), "ends", g.registry.CrashCount(digest), "retry_after_ms", time.Until(until).Milliseconds())
}

// Quarantined returns the records of all quarantined digests.
func (g *Guard) Quarantined() []Record {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.registry.Quarantined(g.policy)
}

// Expire deletes the records that have not changed within their retention period.
func (g *Guard) Expire() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.registry.Expire(time.Now())
	g.updateNonEmpty()
}

// Counts returns the guard's counters.
func (g *Guard) Counts() Counts {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	counts := g.counts
	counts.Quarantined = len(g.registry.Quarantined(g.policy))
	return counts
}

// updateNonEmpty sets nonEmpty from the registry. The caller must hold the mutex.
func (g *Guard) updateNonEmpty() { g.nonEmpty.Store(!g.registry.Empty()) }
