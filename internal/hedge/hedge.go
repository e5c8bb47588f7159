// Package hedge implements hedged calls: a call is repeated while its answer is
// outstanding. It is meant for idempotent calls whose answers may be lost.
package hedge

import (
	"context"
	"time"
)

// Policy is the policy of one hedged operation: how many calls it makes and when.
type Policy struct {
	// MaxCalls is the maximum number of calls.
	MaxCalls int
	// Delay returns how long to wait after the newest call before the next one is sent.
	Delay func() time.Duration
}

// outcome is the result of one call.
type outcome[Answer any] struct {
	answer Answer
	err    error
}

// First makes a call, and further ones concurrently while none has succeeded; the
// argument of call numbers them from 0. It returns the first successful answer, or the
// error of the last call to fail once all calls sent so far have failed. Calls still
// running when it returns are not stopped: they must end with ctx.
func First[Answer any](ctx context.Context, policy Policy, call func(number int) (Answer, error)) (Answer, error) {
	outcomes := make(chan outcome[Answer], policy.MaxCalls)
	send := func(number int) {
		answer, err := call(number)
		outcomes <- outcome[Answer]{answer: answer, err: err}
	}
	go send(0)
	sent, failed := 1, 0
	timer := time.NewTimer(policy.Delay())
	defer timer.Stop()
	for {
		select {
		case ended := <-outcomes:
			if failed++; ended.err == nil || failed == sent {
				return ended.answer, ended.err
			}
		case <-timer.C:
			if sent < policy.MaxCalls && ctx.Err() == nil {
				go send(sent)
				sent++
				timer.Reset(policy.Delay())
			}
		}
	}
}
