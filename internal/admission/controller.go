package admission

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/pathbend/pathbend/internal/result"
)

// Priority orders requests in the queue; a higher value is served first and
// displaces lower ones.
type Priority int

// The priorities, named as in the configuration.
const (
	Low Priority = iota
	Normal
	High
	Critical
)

// ParsePriority returns the priority that a configuration name stands for. It
// reports false if the name is unknown.
func ParsePriority(name string) (Priority, bool) {
	index := slices.Index([]string{"low", "normal", "high", "critical"}, name)
	return Priority(index), index >= 0
}

// Limits are the admission limits of one tenant on one node.
type Limits struct {
	// RequestsPerSecond is this node's share of the tenant's rate.
	RequestsPerSecond float64
	// Burst is the capacity of the token bucket; values below 1 count as 1.
	Burst int
	// Concurrent is the maximum number of requests in progress.
	Concurrent int
	// QueueLength is the maximum number of waiting requests.
	QueueLength int
}

// Decision is the outcome of the admission of a request.
type Decision int

// The admission decisions. Queued is provisional: Admitted or Refused follows
// unless the request is withdrawn.
const (
	Admitted Decision = iota + 1
	Queued
	Refused
)

// Request is a request that asks for admission.
type Request struct {
	Priority Priority
	Deadline time.Time
	// Notify is called once with the final decision on a queued request. The
	// error is nil if the request is admitted.
	Notify func(Decision, *result.Error)

	sequence uint64
	queued   bool
}

const (
	// minRetryAfter is the shortest retry delay suggested to a caller over its rate.
	minRetryAfter = 10 * time.Millisecond
	// queueRetryAfter is the retry delay suggested when the queue is full or a
	// request expires in it: about the time in which a busy queue advances.
	queueRetryAfter = 100 * time.Millisecond
)

// Controller decides on one tenant's requests. It is not safe for concurrent use.
type Controller struct {
	limits   Limits
	bucket   *rate.Limiter
	running  int
	queue    []*Request // ordered by compareRequests, highest priority first
	sequence uint64     // of the newest queued request
}

// NewController returns a controller with a full token bucket and no requests.
func NewController(limits Limits) *Controller {
	return &Controller{
		limits: limits,
		bucket: rate.NewLimiter(rate.Limit(limits.RequestsPerSecond), max(limits.Burst, 1)),
	}
}

// SetLimits replaces the limits at the time now and starts the waiting requests
// that the new concurrency limit allows. Requests already in the queue stay even
// if it is longer than the new limit.
func (c *Controller) SetLimits(now time.Time, limits Limits) {
	if limits == c.limits {
		return
	}
	c.limits = limits
	c.bucket.SetLimitAt(now, rate.Limit(limits.RequestsPerSecond))
	c.bucket.SetBurstAt(now, max(limits.Burst, 1))
	c.startQueued(now)
}

// Running returns the number of requests in progress.
func (c *Controller) Running() int { return c.running }

// Waiting returns the number of requests in the queue.
func (c *Controller) Waiting() int { return len(c.queue) }

// Submit decides on a request that arrives. If the decision is Queued, the
// request's Notify is called later, by SetLimits, Finish, Expire, RefuseAll or
// the Submit of a request that displaces it, unless Withdraw removes it first.
func (c *Controller) Submit(now time.Time, request *Request) (Decision, *result.Error) {
	if !now.Before(request.Deadline) {
		return Refused, result.New(result.DeadlineInQueue, "the deadline had passed when the request arrived")
	}
	if err := c.acquireToken(now); err != nil {
		return Refused, err
	}
	if c.running < c.limits.Concurrent && len(c.queue) == 0 {
		c.running++
		return Admitted, nil
	}
	if len(c.queue) >= c.limits.QueueLength && !c.displace(request) {
		return Refused, queueFullError()
	}
	c.enqueue(request)
	return Queued, nil
}

func queueFullError() *result.Error {
	return result.New(result.QueueFull, "the tenant's queue on this node is full").WithRetryAfter(queueRetryAfter)
}

// acquireToken takes a token from the bucket, or returns a RateLimited error that
// says when the next token is available.
func (c *Controller) acquireToken(now time.Time) *result.Error {
	reservation := c.bucket.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if reservation.OK() && delay == 0 {
		return nil
	}
	reservation.CancelAt(now)
	return result.New(result.RateLimited, "rate limit of %.4g requests per second on this node exceeded", c.limits.RequestsPerSecond).
		WithRetryAfter(max(delay, minRetryAfter))
}

// displace refuses the last request in the queue if its priority is lower than
// that of the arriving one, and reports whether it did.
func (c *Controller) displace(arriving *Request) bool {
	if len(c.queue) == 0 {
		return false
	}
	last := c.queue[len(c.queue)-1]
	if last.Priority >= arriving.Priority {
		return false
	}
	c.queue = c.queue[:len(c.queue)-1]
	last.queued = false
	last.Notify(Refused, queueFullError())
	return true
}

func (c *Controller) enqueue(request *Request) {
	c.sequence++
	request.sequence = c.sequence
	request.queued = true
	index, _ := slices.BinarySearchFunc(c.queue, request, compareRequests)
	c.queue = slices.Insert(c.queue, index, request)
}

// compareRequests orders requests by descending priority, then by arrival.
func compareRequests(a, b *Request) int {
	if a.Priority != b.Priority {
		return int(b.Priority - a.Priority)
	}
	if a.sequence < b.sequence {
		return -1
	}
	return 1
}

// Finish records the end of an admitted request and starts waiting requests in
// its place.
func (c *Controller) Finish(now time.Time) {
	c.running--
	c.startQueued(now)
}

// startQueued refuses the expired requests in the queue and admits others up to
// the concurrency limit.
func (c *Controller) startQueued(now time.Time) {
	c.Expire(now)
	for c.running < c.limits.Concurrent && len(c.queue) > 0 {
		next := c.queue[0]
		c.queue = c.queue[1:]
		next.queued = false
		c.running++
		next.Notify(Admitted, nil)
	}
}

// Expire refuses the waiting requests whose deadline is now or earlier.
func (c *Controller) Expire(now time.Time) {
	kept := c.queue[:0]
	for _, request := range c.queue {
		if now.Before(request.Deadline) {
			kept = append(kept, request)
			continue
		}
		request.queued = false
		request.Notify(Refused, result.New(result.DeadlineInQueue, "the deadline passed while the request was queued").WithRetryAfter(queueRetryAfter))
	}
	clear(c.queue[len(kept):])
	c.queue = kept
}

// Withdraw removes a waiting request from the queue without a call of its
// Notify. It reports false if the request is not queued, in which case a
// decision already made stands.
func (c *Controller) Withdraw(request *Request) bool {
	if !request.queued {
		return false
	}
	index := slices.Index(c.queue, request)
	c.queue = slices.Delete(c.queue, index, index+1)
	request.queued = false
	return true
}

// RefuseAll refuses every waiting request with the same error, for example when
// the node drains.
func (c *Controller) RefuseAll(err *result.Error) {
	waiting := c.queue
	c.queue = nil
	for _, request := range waiting {
		request.queued = false
		request.Notify(Refused, err)
	}
}
