package dispatch

import (
	"time"

	"github.com/pathbend/pathbend/internal/result"
)

// Ending is how an attempt ended.
type Ending int

// Ways in which an attempt ends.
const (
	// Answered means that a complete answer arrived, or that the head of a streamed one did.
	Answered Ending = iota + 1
	// NotSent means that no byte of the request was sent.
	NotSent
	// RefusedByBackEnd means that the back end reported that it did not run the request.
	RefusedByBackEnd
	// Lost means that the request was sent and no usable answer arrived, so that it is unknown
	// whether the back end ran it.
	Lost
	// FailedByBackEnd means that the back end ran the request and answered with a failure.
	FailedByBackEnd
)

var endingNames = [...]string{
	Answered: "answered", NotSent: "not_sent", RefusedByBackEnd: "refused", Lost: "lost", FailedByBackEnd: "failed",
}

// String implements fmt.Stringer.
func (e Ending) String() string { return endingNames[e] }

// RetryPlan decides whether a request may be attempted again. It performs no I/O and reads no
// clock.
type RetryPlan struct {
	// AtMostOnce forbids another attempt after Lost or FailedByBackEnd.
	AtMostOnce bool
	// Replayable is set if the body can be sent again.
	Replayable bool
	// MaxAttempts limits the attempts, including the first.
	MaxAttempts int
	// Deadline is the time before which the next attempt must begin.
	Deadline time.Time

	// attempts is the number of attempts that have ended.
	attempts int
}

// Decision is what to do after an attempt.
type Decision int

// Decisions after an attempt.
const (
	// Stop ends the request with the result of its attempts.
	Stop Decision = iota + 1
	// RetryElsewhere sends the request to another back end after a pause.
	RetryElsewhere
)

// initialBackoff is the pause before the second attempt. It doubles with each further attempt.
const initialBackoff = 5 * time.Millisecond

// Next records an attempt that ended now and decides whether another one follows, after a
// pause. bodyRead is set if the attempt consumed part of a streamed body, which can be sent
// again only if the body is replayable.
func (p *RetryPlan) Next(now time.Time, ending Ending, bodyRead bool) (decision Decision, pause time.Duration) {
	p.attempts++
	if ending == Answered || p.attempts >= p.MaxAttempts {
		return Stop, 0
	}
	if (ending == Lost || ending == FailedByBackEnd) && p.AtMostOnce {
		return Stop, 0
	}
	if bodyRead && !p.Replayable {
		return Stop, 0
	}
	pause = initialBackoff << (p.attempts - 1)
	if !now.Add(pause).Before(p.Deadline) {
		return Stop, 0
	}
	return RetryElsewhere, pause
}

// Attempts returns the number of attempts that have ended.
func (p *RetryPlan) Attempts() int { return p.attempts }

// RetryBudget limits the retries of all requests of a node with a token bucket: each request
// adds a fraction of a retry, so that an outage of the back ends cannot multiply the load on
// them. It is not safe for concurrent use.
type RetryBudget struct {
	tokens float64
}

const (
	// retriesPerRequest is the number of retries that each request adds.
	retriesPerRequest = 0.2
	// maxAccumulatedRetries limits the retries that accumulate.
	maxAccumulatedRetries = 100
)

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: maxAccumulatedRetries} }

// Earn adds the fraction of a retry that a request contributes.
func (b *RetryBudget) Earn() { b.tokens = min(maxAccumulatedRetries, b.tokens+retriesPerRequest) }

// Spend takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// minRetryAfter is the minimum retry-after hint of refusals that depend on the state of back
// ends.
const minRetryAfter = 250 * time.Millisecond

// notRunError returns the caller's error for a request that no back end ran. It carries a
// retry-after hint unless the caller's key was revoked.
func notRunError(last error) error {
	typed := result.From(last)
	if typed.Code == result.Unauthenticated {
		return typed
	}
	return typed.WithRetryAfter(max(typed.RetryAfter, minRetryAfter))
}
