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

// callerHeaders are those by which a back end may tell callers apart.
var callerHeaders = []string{"Authorization", "Cookie"}

// digest returns the digest of what all tries of the request have in common.
func (r *Request) digest() quarantine.Digest {
	r.digestOnce.Do(func() {
		caller := []string{r.Tenant}
		for _, name := range callerHeaders {
			caller = append(caller, r.Header[name]...)
		}
		r.digested = quarantine.Content{
			Caller: caller, Method: r.Method, Host: r.Host, Path: r.Path, Body: r.Buffered, Length: r.Length,
		}.Digest()
	})
	return r.digested
}

// enter lets an attempt begin, or returns why none may.
func (d *Dispatcher) enter(ctx context.Context, request *Request) (leave func(), err error) {
	if request.Remaining() == 0 {
		return nil, result.New(result.DeadlineInQueue, "the caller no longer waits: the machine was held up or suspended").WithRetryAfter(retryHint)
	}
	return d.guard.Enter(ctx, request.digest)
}

// watch finds out whether a back end ended under an attempt, or before it under others.
func (d *Dispatcher) watch(ctx context.Context, request *Request, endpoint *routing.Endpoint, outcome *incoming) {
	switch {
	case outcome.ending == Answered || outcome.ending == FailedByBackEnd:
		d.departures.answered(endpoint.ID, time.Now())
	case outcome.wasCut():
		outcome.ended = d.endedUnder(ctx, request, endpoint)
	case outcome.ending == Lost:
		d.departures.note(endpoint.ID, request.digest(), time.Now())
	case outcome.ending == NotSent && errors.Is(outcome.err, syscall.ECONNREFUSED), outcome.ending == RefusedByBackEnd && outcome.leaving:
		// Nothing listens there any more, or another back end does.
		d.endedBefore(ctx, endpoint)
	}
}

// endedUnder finds out whether a back end that cut a connection has ended, and tells of it.
func (d *Dispatcher) endedUnder(ctx context.Context, request *Request, endpoint *routing.Endpoint) bool {
	if ctx.Err() != nil || !d.exchanger.BackEndEnded(ctx, endpoint.Address) {
		d.departures.note(endpoint.ID, request.digest(), time.Now())
		return false
	}
	d.guard.Ended(ctx, request.digest(), endpoint.ID)
	d.endedBefore(ctx, endpoint)
	return true
}

// endedBefore tells of a back end that was found to have ended, after requests at it had been
// given up.
func (d *Dispatcher) endedBefore(ctx context.Context, endpoint *routing.Endpoint) {
	for _, digest := range d.departures.ended(endpoint.ID, time.Now()) {
		// They are other requests, which this one does not wait for.
		go d.guard.Ended(context.WithoutCancel(ctx), digest, endpoint.ID)
	}
}

// streamEnded tells what the end of a streamed answer says of its request.
func (d *Dispatcher) streamEnded(ctx context.Context, request *Request, endpoint *routing.Endpoint, body *watchedBody) {
	switch {
	case errors.Is(body.ended, io.EOF):
		d.guard.Served(ctx, request.digest)
	case body.ended != nil:
		d.endedUnder(ctx, request, endpoint)
	default:
		d.departures.note(endpoint.ID, request.digest(), time.Now())
	}
}

// watchedBody keeps how the reading of a body ended.
type watchedBody struct {
	io.ReadCloser
	// ended is the first error of a read, nil while there was none.
	ended error
}

// Read implements io.Reader.
func (b *watchedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if err != nil && b.ended == nil {
		b.ended = err
	}
	return n, err
}
