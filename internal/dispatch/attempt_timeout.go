package dispatch

import (
	"context"
	"time"
)

// attemptTimeout limits the time until the answer of an attempt.
type attemptTimeout struct {
	// timer is nil if there is no limit.
	timer *time.Timer
	end   context.CancelCauseFunc
}

// startAttemptTimeout returns a context that ends at the attempt timeout if another attempt may
// follow. The caller must call cancel once the answer is closed.
func startAttemptTimeout(ctx context.Context, request *Request, last bool) (context.Context, attemptTimeout) {
	ctx, end := context.WithCancelCause(ctx)
	timeout := attemptTimeout{end: end}
	if !last && request.AttemptTimeout > 0 && !request.AtMostOnce {
		timeout.timer = time.AfterFunc(request.AttemptTimeout, func() { end(context.DeadlineExceeded) })
	}
	return ctx, timeout
}

// lift removes the limit. It returns false if the context has already ended.
func (t attemptTimeout) lift() bool { return t.timer == nil || t.timer.Stop() }

// cancel ends the context.
func (t attemptTimeout) cancel() {
	if t.timer != nil {
		t.timer.Stop()
	}
	t.end(nil)
}
