package dispatch

import (
	"context"
	"io"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pathbend/pathbend/internal/quarantine"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/routing"
)

// callerIdentityHeaders are the headers by which a back end may distinguish callers.
var callerIdentityHeaders = []string{"Authorization", "Cookie"}

// digest returns a digest of the content that all tries of a request share, also when its
// caller repeats it under another id.
func (r *Request) digest() quarantine.Digest {
	r.digestOnce.Do(func() {
		caller := []string{r.Tenant}
		for _, name := range callerIdentityHeaders {
			caller = append(caller, r.Header[name]...)
		}
		r.cachedDigest = quarantine.Content{
			Caller: caller, Method: r.Method, Host: r.Host, Path: r.Path, Body: r.Buffered, Length: r.Length,
		}.Digest()
	})
	return r.cachedDigest
}

// admit admits an attempt, or returns why it must not start. The caller must call release when
// the attempt has ended.
func (d *Dispatcher) admit(ctx context.Context, request *Request) (release func(), err error) {
	if request.Remaining() == 0 {
		return nil, result.New(result.DeadlineInQueue, "the deadline expired before the attempt: the machine was paused or suspended").WithRetryAfter(minRetryAfter)
	}
	if request.NeverSuspect {
		return func() {}, nil
	}
	return d.guard.Acquire(ctx, request.digest)
}

// abandon records that an attempt was abandoned and may still crash its back end.
func (d *Dispatcher) abandon(request *Request, endpoint *routing.Endpoint) {
	if !request.NeverSuspect {
		d.abandoned.add(endpoint.ID, request.digest(), time.Now())
	}
}

// reportSuccess reports to the guard that a back end ran the request without crashing.
func (d *Dispatcher) reportSuccess(ctx context.Context, request *Request) {
	if !request.NeverSuspect {
		d.guard.ReportSuccess(ctx, request.digest)
	}
}

// observeBackEnd determines whether a back end crashed during an attempt, or earlier during
// abandoned attempts.
func (d *Dispatcher) observeBackEnd(ctx context.Context, request *Request, endpoint *routing.Endpoint, outcome *exchangeOutcome) {
	switch {
	case outcome.ending == Answered || outcome.ending == FailedByBackEnd:
		d.abandoned.backEndAnswered(endpoint.ID, time.Now())
	case outcome.answerInterrupted():
		outcome.crashed = d.detectCrash(ctx, request, endpoint)
	case outcome.ending == Lost:
		d.abandon(request, endpoint)
	case outcome.ending == NotSent && errors.Is(outcome.err, syscall.ECONNREFUSED), outcome.ending == RefusedByBackEnd && outcome.leaving:
		// The address is closed, or another back end listens there.
		d.reportAbandoned(ctx, endpoint)
	}
}

// detectCrash determines whether a back end that dropped a connection has crashed, and if so
// reports that to the guard. Otherwise the attempt counts as abandoned.
func (d *Dispatcher) detectCrash(ctx context.Context, request *Request, endpoint *routing.Endpoint) bool {
	if ctx.Err() != nil || !d.exchanger.ProbeStopped(ctx, endpoint.Address) {
		d.abandon(request, endpoint)
		return false
	}
	if !request.NeverSuspect {
		d.guard.ReportCrash(ctx, request.digest(), endpoint.ID)
	}
	d.reportAbandoned(ctx, endpoint)
	return true
}

// reportAbandoned reports to the guard the abandoned attempts that may have crashed a back end.
func (d *Dispatcher) reportAbandoned(ctx context.Context, endpoint *routing.Endpoint) {
	for _, digest := range d.abandoned.takeSuspects(endpoint.ID, time.Now()) {
		// These are other requests; the current one does not wait for the reports.
		go d.guard.ReportCrash(context.WithoutCancel(ctx), digest, endpoint.ID)
	}
}

// observeStreamEnd handles the end of a streamed answer, which may be complete, cut off by the
// back end, or closed early by the caller.
func (d *Dispatcher) observeStreamEnd(ctx context.Context, request *Request, endpoint *routing.Endpoint, body *errorRecordingBody) {
	switch {
	case errors.Is(body.readErr, io.EOF):
		d.reportSuccess(ctx, request)
	case body.readErr != nil:
		d.detectCrash(ctx, request, endpoint)
	default:
		d.abandon(request, endpoint)
	}
}

// errorRecordingBody records the error with which reading a body ended.
type errorRecordingBody struct {
	io.ReadCloser
	// readErr is the first read error, io.EOF after a complete body, nil before that.
	readErr error
}

// Read implements io.Reader.
func (b *errorRecordingBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if err != nil && b.readErr == nil {
		b.readErr = err
	}
	return n, err
}
