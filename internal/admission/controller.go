package admission

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/pathbend/pathbend/internal/result"
)

// Priority orders requests; a larger one is more important.
type Priority int

// Priorities by their configuration names.
const (
	Low Priority = iota
	Normal
	High
	Critical
)

// ParsePriority returns the priority of a name and whether it is known.
func ParsePriority(name string) (Priority, bool) {
	index := slices.Index([]string{"low", "normal", "high", "critical"}, name)
	return Priority(index), index >= 0
}

// Limits bounds one tenant on one node.
type Limits struct {
	// RequestsPerSecond and Burst are this node's share of the tenant's rate.
	RequestsPerSecond float64
	Burst             int
	Concurrent        int
	QueueLength       int
}

// Verdict is the answer to a request or to its wait.
type Verdict int

// Verdicts.
const (
	Admitted Verdict = iota + 1
	Queued
	Refused
)

// Ticket is one request in the controller's hands.
type Ticket struct {
	Priority Priority
	Deadline time.Time
	// Decided receives the verdict of a queued ticket, by a call to its Decide.
	Decide func(Verdict, *result.Error)

	sequence uint64
	queued   bool
}

const (
	// minRetryAfter is the shortest retry hint.
	minRetryAfter = 10 * time.Millisecond
	// queueRetryAfter is the hint when the queue is full: about the time in
	// which a busy queue moves on.
	queueRetryAfter = 100 * time.Millisecond
)

// Controller admits one tenant's requests. It is not safe for concurrent use.
type Controller struct {
	limits   Limits
	bucket   *rate.Limiter
	running  int
	queue    []*Ticket // most important first
	sequence uint64
}

// NewController returns an idle controller.
func NewController(limits Limits) *Controller {
	return &Controller{
		limits: limits,
		bucket: rate.NewLimiter(rate.Limit(limits.RequestsPerSecond), max(limits.Burst, 1)),
	}
}

// SetLimits puts other limits in force from a time on.
func (c *Controller) SetLimits(now time.Time, limits Limits) {
	if limits == c.limits {
		return
	}
	c.limits = limits
	c.bucket.SetLimitAt(now, rate.Limit(limits.RequestsPerSecond))
	c.bucket.SetBurstAt(now, max(limits.Burst, 1))
	c.startWaiting(now)
}

// Running returns the requests in progress, Waiting those in the queue.
func (c *Controller) Running() int { return c.running }

// Waiting returns the length of the queue.
func (c *Controller) Waiting() int { return len(c.queue) }

// Arrive decides on a request. If Queued, the ticket's Decide is called later,
// by Finish, Expire, Withdraw's absence, or a displacing Arrive.
func (c *Controller) Arrive(now time.Time, ticket *Ticket) (Verdict, *result.Error) {
	if !now.Before(ticket.Deadline) {
		return Refused, result.New(result.DeadlineInQueue, "the deadline passed on arrival")
	}
	if err := c.takeToken(now); err != nil {
		return Refused, err
	}
	if c.running < c.limits.Concurrent && len(c.queue) == 0 {
		c.running++
		return Admitted, nil
	}
	if len(c.queue) >= c.limits.QueueLength && !c.displace(ticket) {
		return Refused, queueFull()
	}
	c.enqueue(ticket)
	return Queued, nil
}

func queueFull() *result.Error {
	return result.New(result.QueueFull, "the tenant's queue on this node is full").WithRetryAfter(queueRetryAfter)
}

func (c *Controller) takeToken(now time.Time) *result.Error {
	reservation := c.bucket.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if reservation.OK() && delay == 0 {
		return nil
	}
	reservation.CancelAt(now)
	return result.New(result.RateLimited, "over %.4g requests a second on this node", c.limits.RequestsPerSecond).
		WithRetryAfter(max(delay, minRetryAfter))
}

// displace refuses the least important waiting ticket if it is less important
// than the arriving one.
func (c *Controller) displace(arriving *Ticket) bool {
	if len(c.queue) == 0 {
		return false
	}
	last := c.queue[len(c.queue)-1]
	if last.Priority >= arriving.Priority {
		return false
	}
	c.queue = c.queue[:len(c.queue)-1]
	last.queued = false
	last.Decide(Refused, queueFull())
	return true
}

func (c *Controller) enqueue(ticket *Ticket) {
	c.sequence++
	ticket.sequence = c.sequence
	ticket.queued = true
	at, _ := slices.BinarySearchFunc(c.queue, ticket, compareTickets)
	c.queue = slices.Insert(c.queue, at, ticket)
}

func compareTickets(a, b *Ticket) int {
	if a.Priority != b.Priority {
		return int(b.Priority - a.Priority)
	}
	if a.sequence < b.sequence {
		return -1
	}
	return 1
}

// Finish records the end of an admitted request and starts waiting ones.
func (c *Controller) Finish(now time.Time) {
	c.running--
	c.startWaiting(now)
}

func (c *Controller) startWaiting(now time.Time) {
	c.Expire(now)
	for c.running < c.limits.Concurrent && len(c.queue) > 0 {
		next := c.queue[0]
		c.queue = c.queue[1:]
		next.queued = false
		c.running++
		next.Decide(Admitted, nil)
	}
}

// Expire refuses the waiting requests whose deadline has passed.
func (c *Controller) Expire(now time.Time) {
	kept := c.queue[:0]
	for _, ticket := range c.queue {
		if now.Before(ticket.Deadline) {
			kept = append(kept, ticket)
			continue
		}
		ticket.queued = false
		ticket.Decide(Refused, result.New(result.DeadlineInQueue, "the deadline passed in the queue").WithRetryAfter(queueRetryAfter))
	}
	clear(c.queue[len(kept):])
	c.queue = kept
}

// Withdraw takes a waiting request out of the queue. It reports false if a
// verdict was already given, which then stands.
func (c *Controller) Withdraw(ticket *Ticket) bool {
	if !ticket.queued {
		return false
	}
	at := slices.Index(c.queue, ticket)
	c.queue = slices.Delete(c.queue, at, at+1)
	ticket.queued = false
	return true
}

// RefuseAll empties the queue with one error, as when the node drains.
func (c *Controller) RefuseAll(err *result.Error) {
	waiting := c.queue
	c.queue = nil
	for _, ticket := range waiting {
		ticket.queued = false
		ticket.Decide(Refused, err)
	}
}
