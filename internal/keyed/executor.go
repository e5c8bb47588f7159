package keyed

import (
	"bytes"
	"context"
	"io"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"github.com/pathbend/pathbend/internal/dispatch"
	"github.com/pathbend/pathbend/internal/idempotency"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/shard"
	"github.com/pathbend/pathbend/internal/wait"
)

// Replicas reaches the replicas of the key space, this node's included.
type Replicas interface {
	// Group returns the present replica group of a shard.
	Group(shard int) shard.Group
	// Claim asks one member. An error means that no answer came.
	Claim(ctx context.Context, member string, claim idempotency.Claim) (idempotency.Grant, error)
	// FetchAnswer asks an executor for a stored outcome.
	FetchAnswer(ctx context.Context, executor, key string) (Stored, bool, error)
}

// Runner sends a request to a back end.
type Runner interface {
	Do(ctx context.Context, request *dispatch.Request) (*dispatch.Answer, error)
}

const (
	// claimTimeout bounds one round of claims.
	claimTimeout = 300 * time.Millisecond
	// claimPatience is how long rounds are repeated while a group changes.
	claimPatience = 1500 * time.Millisecond
	claimPause    = 50 * time.Millisecond
	// keyRetryHint is the hint after a key could not be bound.
	keyRetryHint = 500 * time.Millisecond
)

// Executor runs keyed requests of one node. It is safe for concurrent use.
type Executor struct {
	selfID   string
	replicas Replicas
	runner   Runner
	newID    func() string
	answers  *answers
	// group holds executions that outlive their caller and late claims.
	group conc.WaitGroup
}

// NewExecutor returns an executor. newID returns unique request ids.
func NewExecutor(selfID string, replicas Replicas, runner Runner, newID func() string) *Executor {
	return &Executor{selfID: selfID, replicas: replicas, runner: runner, newID: newID, answers: newAnswers()}
}

// Wait returns when no execution is in progress any more.
func (e *Executor) Wait() { e.group.Wait() }

// Do runs a request under its key, or returns the answer of the execution that
// has the key already.
func (e *Executor) Do(ctx context.Context, request *dispatch.Request) (*dispatch.Answer, error) {
	key := request.Tenant + "\n" + request.IdempotencyKey
	outcome := e.claim(ctx, key, request.Deadline)
	switch {
	case outcome.verdict == idempotency.Won:
		return e.execute(ctx, key, outcome.binding, request)
	case outcome.held:
		// Another request holds the key at some replica at least, so it may
		// have run, and this one must not be reported as not run.
		return e.repeat(ctx, key, outcome.holder, request.Deadline)
	default:
		return nil, result.New(result.KeyUnavailable, "no majority of the key's replicas answered").
			WithRetryAfter(keyRetryHint)
	}
}

// claimOutcome is the end of a request's rounds of claims.
type claimOutcome struct {
	verdict idempotency.Verdict
	binding idempotency.Binding
	// holder is another request that was seen to hold the key, if held.
	holder idempotency.Binding
	held   bool
}

// claim repeats rounds until one decides, or until a change of the group or a
// split between concurrent requests has lasted too long. A round that decided
// nothing is released before the next, which runs under a new request id: a
// release that overtakes or is overtaken by a claim can then not undo a claim
// that counts. A claim of an earlier round that its release overtook is released
// again: only a round that won runs, so it never did.
func (e *Executor) claim(ctx context.Context, key string, deadline time.Time) claimOutcome {
	patience := time.Now().Add(min(claimPatience, time.Until(deadline)/2))
	var earlier []idempotency.Binding
	for {
		binding := idempotency.Binding{Executor: e.selfID, RequestID: e.newID()}
		outcome := e.claimRound(ctx, key, binding)
		if outcome.held && slices.Contains(earlier, outcome.holder) {
			e.release(key, outcome.holder)
			outcome = claimOutcome{verdict: idempotency.Unavailable, binding: binding}
		}
		earlier = append(earlier, binding)
		if outcome.verdict == idempotency.Won || outcome.verdict == idempotency.Taken {
			return outcome
		}
		e.release(key, binding)
		rest := claimPause + time.Duration(xxhash.Sum64String(binding.RequestID)%uint64(claimPause))
		if !time.Now().Add(rest).Before(patience) || !wait.For(ctx, rest) {
			outcome.verdict = idempotency.Unavailable
			return outcome
		}
	}
}

type claimAnswer struct {
	grant idempotency.Grant
	err   error
}

// claimRound asks all members at once and returns as soon as it is decided.
func (e *Executor) claimRound(ctx context.Context, key string, binding idempotency.Binding) claimOutcome {
	outcome := claimOutcome{verdict: idempotency.Unavailable, binding: binding}
	index := shard.Of(key)
	group := e.replicas.Group(index)
	round := idempotency.NewRound(binding, len(group.Members), shard.Quorum(group.Members))
	if len(group.Members) == 0 {
		return outcome
	}
	claim := idempotency.Claim{Shard: index, Generation: group.Generation, Key: key, Binding: binding}
	answers := make(chan claimAnswer, len(group.Members))
	claimCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	var claims conc.WaitGroup
	for _, member := range group.Members {
		claims.Go(func() {
			grant, err := e.replicas.Claim(claimCtx, member, claim)
			answers <- claimAnswer{grant, err}
		})
	}
	e.group.Go(func() {
		claims.Wait()
		cancel()
	})
	for range group.Members {
		answer := <-answers
		if answer.err != nil {
			round.AddFailure()
		} else {
			round.Add(answer.grant)
		}
		outcome.holder, outcome.held = round.Holder()
		if outcome.verdict = round.Verdict(); outcome.verdict != idempotency.Undecided {
			return outcome
		}
	}
	return outcome
}

// release withdraws the claims of a request that will not run.
func (e *Executor) release(key string, binding idempotency.Binding) {
	index := shard.Of(key)
	claim := idempotency.Claim{Shard: index, Key: key, Binding: binding, Release: true}
	for _, member := range e.replicas.Group(index).Members {
		e.group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
			defer cancel()
			// A lost release leaves the key bound until it expires, which
			// costs availability of this key only.
			_, _ = e.replicas.Claim(ctx, member, claim)
		})
	}
}

// execute runs the request. It goes on when the caller goes away, so that the
// caller finds the answer under its key when it comes back.
func (e *Executor) execute(ctx context.Context, key string, binding idempotency.Binding, request *dispatch.Request) (*dispatch.Answer, error) {
	current := e.answers.begin(key, binding.RequestID)
	type outcome struct {
		answer *dispatch.Answer
		err    error
	}
	done := make(chan outcome, 1)
	e.group.Go(func() {
		runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), request.Deadline)
		defer cancel()
		answer, err := e.runner.Do(runCtx, request)
		if err == nil {
			err = e.bufferAnswer(answer)
		}
		e.store(key, binding, current, answer, err)
		done <- outcome{answer, err}
	})
	select {
	case finished := <-done:
		return finished.answer, finished.err
	case <-ctx.Done():
		return nil, result.New(result.CallerGone, "the caller went away; the answer is kept under its key")
	}
}

// bufferAnswer buffers a streamed answer, as it has to outlive the exchange.
func (e *Executor) bufferAnswer(answer *dispatch.Answer) error {
	if answer.Buffered != nil {
		return nil
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxStoreBytes+1))
	if err != nil {
		return result.Wrap(result.AnswerTruncated, err, "read answer")
	}
	if len(content) > maxStoreBytes {
		return result.New(result.AnswerTooLarge, "answer to a keyed request is over %d bytes", maxStoreBytes)
	}
	answer.Buffered = content
	answer.Length = int64(len(content))
	answer.Body = io.NopCloser(bytes.NewReader(content))
	return nil
}

func (e *Executor) store(key string, binding idempotency.Binding, current *execution, answer *dispatch.Answer, err error) {
	switch {
	case err != nil && result.From(err).Run() == result.NotRun:
		e.answers.forget(key, current, Stored{Err: err})
		e.release(key, binding)
	case err != nil:
		e.answers.finish(current, Stored{Err: err})
	case len(answer.Buffered) > maxStoredBytes:
		e.answers.finish(current, Stored{Status: answer.Status, TooLarge: true})
	default:
		e.answers.finish(current, Stored{Status: answer.Status, Header: answer.Header, Body: answer.Buffered})
	}
}

// Stored returns this node's outcome under a key, waiting while it runs.
func (e *Executor) Stored(ctx context.Context, key string) (Stored, bool) {
	return e.answers.await(ctx, key)
}

// repeat answers a request whose key another request holds.
func (e *Executor) repeat(ctx context.Context, key string, holder idempotency.Binding, deadline time.Time) (*dispatch.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	stored, found, err := e.fetch(ctx, key, holder)
	switch {
	case err != nil:
		return nil, result.Wrap(result.KeyOutcomeLost, err, "the key ran at node "+holder.Executor+", which cannot be asked")
	case !found:
		return nil, result.New(result.KeyOutcomeLost, "the key ran at node %s, which no longer has the outcome", holder.Executor)
	case stored.Err != nil:
		return nil, stored.Err
	case stored.TooLarge:
		return nil, result.New(result.KeyOutcomeLost, "the key was answered with status %d and a body too large to keep", stored.Status)
	}
	return &dispatch.Answer{
		Status: stored.Status, Header: stored.Header, Length: int64(len(stored.Body)), Buffered: stored.Body,
		Body: io.NopCloser(bytes.NewReader(stored.Body)), Replayed: true,
	}, nil
}

func (e *Executor) fetch(ctx context.Context, key string, holder idempotency.Binding) (Stored, bool, error) {
	if holder.Executor == e.selfID {
		stored, found := e.Stored(ctx, key)
		return stored, found, nil
	}
	return e.replicas.FetchAnswer(ctx, holder.Executor, key)
}
