package dispatch

import (
	"time"

	"github.com/pathbend/pathbend/internal/result"
)

// Ending is how an attempt ended.
type Ending int

// Endings of an attempt.
const (
	// Answered means that a complete answer arrived, or began to be passed on.
	Answered Ending = iota + 1
	// NotSent means that no byte of the request left this node.
	NotSent
	// RefusedByBackEnd means that the back end said that it did not run it.
	RefusedByBackEnd
	// Lost means that the request was sent and no usable answer came.
	Lost
	// FailedByBackEnd means that the back end ran the request and answered with
	// a failure of its own.
	FailedByBackEnd
)

var endingNames = [...]string{
	Answered: "answered", NotSent: "not_sent", RefusedByBackEnd: "refused", Lost: "lost", FailedByBackEnd: "failed",
}

// String implements fmt.Stringer.
func (e Ending) String() string { return endingNames[e] }

// Plan decides about the attempts of one request. It is a pure state machine.
type Plan struct {
	// AtMostOnce forbids a further attempt after Lost.
	AtMostOnce bool
	// Replayable is set if the body can be sent again.
	Replayable  bool
	MaxAttempts int
	Deadline    time.Time

	attempts int
}

// Step is what to do after an attempt.
type Step int

// Steps.
const (
	// Stop gives the caller the result of the attempt.
	Stop Step = iota + 1
	// TryAnother sends the request to another back end.
	TryAnother
)

// backoffBase is the pause before the second attempt; it doubles afterwards.
const backoffBase = 5 * time.Millisecond

// Next decides after an attempt that ended at a time. pause is how long to wait
// before the next attempt. bodyRead tells that the attempt consumed part of a
// body that cannot be replayed.
func (p *Plan) Next(now time.Time, ending Ending, bodyRead bool) (step Step, pause time.Duration) {
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
	pause = backoffBase << (p.attempts - 1)
	if !now.Add(pause).Before(p.Deadline) {
		return Stop, 0
	}
	return TryAnother, pause
}

// Attempts counts the attempts so far.
func (p *Plan) Attempts() int { return p.attempts }

// Budget bounds retries over all requests of a node: each request earns a
// fraction of a retry, so that an outage of the back ends cannot multiply the
// load on them. It is not safe for concurrent use.
type Budget struct {
	tokens float64
}

const (
	// budgetRatio is the retries earned by one request.
	budgetRatio = 0.2
	// budgetMax bounds the retries saved up.
	budgetMax = 100
)

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: budgetMax} }

// Earn records a request.
func (b *Budget) Earn() { b.tokens = min(budgetMax, b.tokens+budgetRatio) }

// Spend takes one retry if there is one.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// retryHint is the hint given with refusals that depend on back ends.
const retryHint = 250 * time.Millisecond

// notRunError is the caller's error when no attempt ran. A caller whose key was taken
// away is not asked to come back.
func notRunError(last error) error {
	typed := result.From(last)
	if typed.Code == result.Unauthenticated {
		return typed
	}
	return typed.WithRetryAfter(max(typed.RetryAfter, retryHint))
}
