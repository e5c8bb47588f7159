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

// Replicas gives access to the replicas of the key space, including this node's.
type Replicas interface {
	// Group returns the current replica group of a shard.
	Group(shard int) shard.Group
	// Claim sends a claim to one member. An error means that no answer was received.
	Claim(ctx context.Context, member string, claim idempotency.Claim) (idempotency.Grant, error)
	// FetchAnswer fetches the outcome under a key from an executor. The bool is false
	// if the executor has none.
	FetchAnswer(ctx context.Context, executor, key string) (Outcome, bool, error)
}

// Runner runs requests.
type Runner interface {
	// Do sends a request to a back end and returns its answer.
	Do(ctx context.Context, request *dispatch.Request) (*dispatch.Answer, error)
}

const (
	// claimTimeout bounds one round of claims.
	claimTimeout = 300 * time.Millisecond
	// claimRetryTimeout bounds the rounds of claims of one request while a group changes
	// or concurrent requests split the claims.
	claimRetryTimeout = 1500 * time.Millisecond
	// claimRetryDelay is the minimum delay between two rounds. Up to as much again is
	// added as jitter.
	claimRetryDelay = 50 * time.Millisecond
	// keyRetryAfter is the retry-after hint when a key could not be bound.
	keyRetryAfter = 500 * time.Millisecond
)

// Executor runs the keyed requests of one node. It is safe for concurrent use.
type Executor struct {
	selfID     string
	replicas   Replicas
	runner     Runner
	newID      func() string
	executions *executionStore
	// background tracks executions that outlive their callers, and claims and releases
	// that are still in flight.
	background conc.WaitGroup
}

// NewExecutor returns an executor for the node selfID. newID must return unique
// request ids.
func NewExecutor(selfID string, replicas Replicas, runner Runner, newID func() string) *Executor {
	return &Executor{selfID: selfID, replicas: replicas, runner: runner, newID: newID, executions: newExecutionStore()}
}

// Wait blocks until no execution and no claim is in progress.
func (e *Executor) Wait() { e.background.Wait() }

// Do runs a request under its key, or returns the answer of the execution that
// already holds the key.
func (e *Executor) Do(ctx context.Context, request *dispatch.Request) (*dispatch.Answer, error) {
	key := request.Tenant + "\n" + request.IdempotencyKey
	claimed := e.claim(ctx, key, request.Deadline)
	switch {
	case claimed.verdict == idempotency.Won:
		return e.execute(ctx, key, claimed.binding, request)
	case claimed.hasHolder:
		// Another request holds the key at one replica at least. It may have run,
		// so this request must not be reported as not run.
		return e.replay(ctx, key, claimed.holder, request.Deadline)
	default:
		return nil, result.New(result.KeyUnavailable, "no majority of the replicas bound the key").
			WithRetryAfter(keyRetryAfter)
	}
}

// claimResult is the result of one or more rounds of claims.
type claimResult struct {
	verdict idempotency.Verdict
	binding idempotency.Binding
	// holder is another request that holds the key at some replica. It is valid only
	// if hasHolder is set.
	holder    idempotency.Binding
	hasHolder bool
}

// claim runs rounds of claims until one is decided, or until a change of the group
// or a split between concurrent requests has lasted for claimRetryTimeout or half the
// time to the deadline. The claims of an undecided round are released before the
// next round, which uses a new request id, so that a release and a claim that arrive
// out of order cannot undo a claim that counts. If the release of an earlier round
// arrived before its claim, the claim is still held and is released again; this is
// safe because a request runs only under the id of a round that won.
func (e *Executor) claim(ctx context.Context, key string, deadline time.Time) claimResult {
	retryUntil := time.Now().Add(min(claimRetryTimeout, time.Until(deadline)/2))
	var previous []idempotency.Binding
	for {
		binding := idempotency.Binding{Executor: e.selfID, RequestID: e.newID()}
		claimed := e.claimRound(ctx, key, binding)
		if claimed.hasHolder && slices.Contains(previous, claimed.holder) {
			e.release(key, claimed.holder)
			claimed = claimResult{verdict: idempotency.Unavailable, binding: binding}
		}
		previous = append(previous, binding)
		if claimed.verdict == idempotency.Won || claimed.verdict == idempotency.Taken {
			return claimed
		}
		e.release(key, binding)
		delay := claimRetryDelay + time.Duration(xxhash.Sum64String(binding.RequestID)%uint64(claimRetryDelay))
		if !time.Now().Add(delay).Before(retryUntil) || !wait.For(ctx, delay) {
			claimed.verdict = idempotency.Unavailable
			return claimed
		}
	}
}

type claimAnswer struct {
	grant idempotency.Grant
	err   error
}

// claimRound sends a claim to all members of the group at once and returns as soon as
// the round is decided.
func (e *Executor) claimRound(ctx context.Context, key string, binding idempotency.Binding) claimResult {
	claimed := claimResult{verdict: idempotency.Unavailable, binding: binding}
	index := shard.Of(key)
	group := e.replicas.Group(index)
	round := idempotency.NewRound(binding, len(group.Members), shard.Quorum(group.Members))
	if len(group.Members) == 0 {
		return claimed
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
	e.background.Go(func() {
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
		claimed.holder, claimed.hasHolder = round.Holder()
		if claimed.verdict = round.Verdict(); claimed.verdict != idempotency.Undecided {
			return claimed
		}
	}
	return claimed
}

// release withdraws the claims of a request that did not and will not run. It does
// not wait for the members.
func (e *Executor) release(key string, binding idempotency.Binding) {
	index := shard.Of(key)
	claim := idempotency.Claim{Shard: index, Key: key, Binding: binding, Release: true}
	for _, member := range e.replicas.Group(index).Members {
		e.background.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
			defer cancel()
			// If the release is lost, the key stays bound until it expires. Only
			// this key is unavailable until then.
			_, _ = e.replicas.Claim(ctx, member, claim)
		})
	}
}

// execute runs the request and stores its outcome. The execution continues when the
// caller disconnects, so that a retry with the same key gets the answer.
func (e *Executor) execute(ctx context.Context, key string, binding idempotency.Binding, request *dispatch.Request) (*dispatch.Answer, error) {
	run := e.executions.start(key, binding.RequestID)
	type outcome struct {
		answer *dispatch.Answer
		err    error
	}
	done := make(chan outcome, 1)
	e.background.Go(func() {
		runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), request.Deadline)
		defer cancel()
		answer, err := e.runner.Do(runCtx, request)
		if err == nil {
			err = e.bufferAnswer(answer)
		}
		e.storeOutcome(key, binding, run, answer, err)
		done <- outcome{answer, err}
	})
	select {
	case finished := <-done:
		return finished.answer, finished.err
	case <-ctx.Done():
		// The answer is stored under its key.
		return nil, result.Interrupted(ctx)
	}
}

// bufferAnswer reads a streamed answer into memory, as it must outlive the exchange
// with the back end.
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
		return result.New(result.AnswerTooLarge, "answer to a keyed request exceeds %d bytes", maxStoreBytes)
	}
	answer.Buffered = content
	answer.Length = int64(len(content))
	answer.Body = io.NopCloser(bytes.NewReader(content))
	return nil
}

// storeOutcome records the outcome of an execution. If the request did not run, the key is
// freed instead.
func (e *Executor) storeOutcome(key string, binding idempotency.Binding, run *execution, answer *dispatch.Answer, err error) {
	switch {
	case err != nil && result.From(err).Execution() == result.NotRun:
		e.executions.discard(key, run, Outcome{Err: err})
		e.release(key, binding)
	case err != nil:
		e.executions.finish(run, Outcome{Err: err})
	case len(answer.Buffered) > maxStoredBytes:
		e.executions.finish(run, Outcome{Status: answer.Status, TooLarge: true})
	default:
		e.executions.finish(run, Outcome{Status: answer.Status, Header: answer.Header, Body: answer.Buffered})
	}
}

// AwaitOutcome returns the outcome under a key at this node, waiting while the request runs.
// It returns false if there is none or ctx ends first.
func (e *Executor) AwaitOutcome(ctx context.Context, key string) (Outcome, bool) {
	return e.executions.await(ctx, key)
}

// replay answers a duplicate, a request whose key another request holds, with the
// outcome of the holder.
func (e *Executor) replay(ctx context.Context, key string, holder idempotency.Binding, deadline time.Time) (*dispatch.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	outcome, found, err := e.fetchOutcome(ctx, key, holder)
	switch {
	case err != nil:
		return nil, result.Wrap(result.KeyOutcomeLost, err, "the request with this key ran at node "+holder.Executor+", which did not return its outcome")
	case !found:
		return nil, result.New(result.KeyOutcomeLost, "the request with this key ran at node %s, which no longer stores its outcome", holder.Executor)
	case outcome.Err != nil:
		return nil, outcome.Err
	case outcome.TooLarge:
		return nil, result.New(result.KeyOutcomeLost, "the request with this key was answered with status %d and a body too large to store", outcome.Status)
	}
	return &dispatch.Answer{
		Status: outcome.Status, Header: outcome.Header, Length: int64(len(outcome.Body)), Buffered: outcome.Body,
		Body: io.NopCloser(bytes.NewReader(outcome.Body)), Replayed: true,
	}, nil
}

// fetchOutcome gets the outcome under a key from its holder, which may be this node.
func (e *Executor) fetchOutcome(ctx context.Context, key string, holder idempotency.Binding) (Outcome, bool, error) {
	if holder.Executor == e.selfID {
		outcome, found := e.AwaitOutcome(ctx, key)
		return outcome, found, nil
	}
	return e.replicas.FetchAnswer(ctx, holder.Executor, key)
}
