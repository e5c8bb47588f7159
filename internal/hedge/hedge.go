// Package hedge makes a call again while its answer is outstanding. It serves calls that
// may be made more than once and whose answers are lost now and then.
package hedge

import (
	"context"
	"time"
)

// Call bounds the calls of one attempt.
type Call struct {
	// Most is the number of calls that may be under way.
	Most int
	// After returns how long the newest call is waited for before the next goes out.
	After func() time.Duration
}

// ended is how one call ended.
type ended[Answer any] struct {
	answer Answer
	err    error
}

// First makes a call, numbered from 0, and further ones beside it while none has ended
// well. It returns the first answer without an error, or the error of the last call once
// all have failed. Calls that are under way then must end with ctx.
func First[Answer any](ctx context.Context, bounds Call, call func(number int) (Answer, error)) (Answer, error) {
	ends := make(chan ended[Answer], bounds.Most)
	send := func(number int) {
		answer, err := call(number)
		ends <- ended[Answer]{answer: answer, err: err}
	}
	go send(0)
	sent, failed := 1, 0
	timer := time.NewTimer(bounds.After())
	defer timer.Stop()
	for {
		select {
		case end := <-ends:
			if failed++; end.err == nil || failed == sent {
				return end.answer, end.err
			}
		case <-timer.C:
			if sent < bounds.Most && ctx.Err() == nil {
				go send(sent)
				sent++
				timer.Reset(bounds.After())
			}
		}
	}
}
