package node

import (
	"context"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/pathbend/pathbend/internal/dispatch"
	"github.com/pathbend/pathbend/internal/engine"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/gateway"
	"github.com/pathbend/pathbend/internal/quarantine"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/rollout"
	"github.com/pathbend/pathbend/internal/routing"
)

const (
	// prefixBytes is the length of the prefix of a prompt that determines affinity to
	// an engine.
	prefixBytes = 256
	// maxCompletionAttempts limits the attempts at a caller's completion.
	maxCompletionAttempts = 4
	// maxBusyEngines limits the busy engines that are tried in one attempt.
	maxBusyEngines = 3
	// minRolloutPriority is the engine priority of a new rollout sample. It increases
	// by one for each rolloutPriorityInterval that the sample's slot has been running,
	// up to maxRolloutPriority.
	minRolloutPriority      = 10
	maxRolloutPriority      = 90
	rolloutPriorityInterval = 5 * time.Second
	// generationRetryAfter is the retry-after hint of a failed completion.
	generationRetryAfter = 500 * time.Millisecond
)

var (
	errNotNeeded     = errors.New("the result of the attempt is no longer needed")
	errStaleVersion  = errors.New("the engine serves a version below the minimum")
	errNoEngine      = errors.New("no engine serves the model at the required version")
	errEnginesBusy   = errors.New("all engines that were tried are busy")
	errModelRemoved  = errors.New("the model was removed from the configuration")
	errEngineLeaving = errors.New("the engine aborted the stream")
)

// generator runs generations on engines and streams their tokens. It implements
// rollout.Generator and gateway.Completer.
type generator struct {
	node *Node
}

// attempt is one attempt at a generation. Busy engines are skipped within an attempt.
type attempt struct {
	tenant  string
	route   routing.Request
	request engine.GenerateRequest
	// neverSuspect excludes the prompt from quarantine, for the slots of jobs.
	neverSuspect bool
	// minVersion is the lowest weight version whose tokens are accepted.
	minVersion uint64
	// onEngineSelected is called with the id of each engine that is selected, before the
	// request is sent to it.
	onEngineSelected func(engineID string)
	// onChunk is called with each chunk of the stream. An error ends the attempt.
	onChunk func(chunk engine.Chunk) error
}

// Generate implements rollout.Generator. It makes one attempt and returns the finish reason
// of the last chunk.
func (g *generator) Generate(ctx context.Context, tenantName, modelName string, attemptRequest rollout.AttemptRequest, progress rollout.Progress) (string, error) {
	document, _ := g.node.Current()
	if document == nil {
		return "", errModelRemoved
	}
	tenant := document.FindTenant(tenantName)
	if tenant == nil || tenant.FindModel(modelName) == nil {
		return "", errModelRemoved
	}
	model := tenant.FindModel(modelName)
	reason := ""
	err := g.run(ctx, attempt{
		tenant: tenantName,
		route: routing.Request{
			Pool: model.Pool, Zone: g.node.settings.Zone, Model: model.Name, MinVersion: attemptRequest.MinVersion,
			PrefixHash: prefixHash(attemptRequest.Prompt.Prompt), Excluded: attemptRequest.Exclude,
		},
		request: engine.GenerateRequest{
			RequestID: g.node.NewID(), Model: model.Name, Adapter: model.Adapter, Prompt: attemptRequest.Prompt.Prompt,
			MaxTokens: attemptRequest.Prompt.MaxTokens, Seed: attemptRequest.Seed, ResumeTokens: attemptRequest.Resume,
			Priority: min(minRolloutPriority+int(attemptRequest.Age/rolloutPriorityInterval), maxRolloutPriority),
		},
		neverSuspect:     true,
		minVersion:       attemptRequest.MinVersion,
		onEngineSelected: progress.EngineSelected,
		onChunk: func(chunk engine.Chunk) error {
			reason = chunk.FinishReason
			if !progress.Chunk(chunk.Tokens, chunk.Version) {
				return errNotNeeded
			}
			return nil
		},
	})
	return reason, err
}

// prefixHash returns the hash of a prompt's prefix, by which requests with an equal prefix
// prefer the same engine.
func prefixHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)])
}

// Complete implements gateway.Completer. A generation that fails is resumed on another
// engine after the tokens that were already delivered.
func (g *generator) Complete(ctx context.Context, completion gateway.Completion, onChunk func(engine.Chunk) error) error {
	var delivered []string
	var excluded []string
	var lastErr error
	callerGone := false
	for range maxCompletionAttempts {
		engineID := ""
		lastErr = g.run(ctx, attempt{
			tenant: completion.Tenant,
			route: routing.Request{
				Pool: completion.Model.Pool, Zone: g.node.settings.Zone, Model: completion.Model.Name,
				PrefixHash: prefixHash(completion.Prompt), Excluded: excluded,
			},
			request: engine.GenerateRequest{
				RequestID: g.node.NewID(), Model: completion.Model.Name, Adapter: completion.Model.Adapter,
				Prompt: completion.Prompt, MaxTokens: completion.MaxTokens, Seed: completion.Seed, ResumeTokens: delivered,
				Priority: gateway.EnginePriority(completion.Priority),
			},
			onEngineSelected: func(id string) { engineID = id },
			onChunk: func(chunk engine.Chunk) error {
				delivered = append(delivered, chunk.Tokens...)
				err := onChunk(chunk)
				callerGone = err != nil
				return err
			},
		})
		if lastErr == nil {
			return nil
		}
		if ctx.Err() != nil || callerGone {
			return result.Interrupted(ctx)
		}
		if engineID == "" || result.Is(lastErr, result.RequestQuarantined) {
			break
		}
		excluded = append(excluded, engineID)
	}
	if len(delivered) == 0 && len(excluded) == 0 && result.Is(lastErr, result.RequestQuarantined) {
		return lastErr
	}
	if len(delivered) == 0 && (errors.Is(lastErr, errNoEngine) || errors.Is(lastErr, errEnginesBusy)) {
		return result.Wrap(result.NoBackEnd, lastErr, "start generation").WithRetryAfter(generationRetryAfter)
	}
	return result.Wrap(result.GenerationFailed, lastErr, "generate").WithRetryAfter(generationRetryAfter)
}

// run places an attempt on an engine, skips busy engines, and streams the generation.
func (g *generator) run(ctx context.Context, a attempt) error {
	if !a.neverSuspect {
		release, err := g.node.suspects.guard.Acquire(ctx, a.digest)
		if err != nil {
			return err
		}
		defer release()
	}
	for range maxBusyEngines {
		a.route.Now = time.Now()
		endpoint := g.node.fleet.PickEngine(&a.route)
		if endpoint == nil {
			return errNoEngine
		}
		a.onEngineSelected(endpoint.ID)
		startedAt := time.Now()
		err := g.stream(ctx, endpoint, a)
		g.node.fleet.Report(endpoint, dispatchReport(ctx, err, time.Since(startedAt)))
		g.reportToQuarantine(ctx, endpoint, a, err)
		if !errors.Is(err, engine.ErrBusy) {
			if err != nil {
				g.node.logger.Log(event.SampleResumed, "engine", endpoint.ID, "error", err.Error())
			}
			return err
		}
		a.route.Excluded = append(a.route.Excluded, endpoint.ID)
	}
	return errEnginesBusy
}

// digest identifies the prompt of an attempt for the quarantine. It is equal for all attempts
// at a prompt.
func (a attempt) digest() quarantine.Digest {
	return quarantine.Content{
		Caller: []string{a.tenant, a.route.Pool}, Path: a.request.Model + "/" + a.request.Adapter,
		Body: []byte(a.request.Prompt), Length: int64(len(a.request.Prompt)),
	}.Digest()
}

// reportToQuarantine records whether an attempt succeeded or its engine crashed under it.
// Failures of other kinds say nothing about the prompt, and no crash does about that of a job.
func (g *generator) reportToQuarantine(ctx context.Context, endpoint *routing.Endpoint, a attempt, err error) {
	switch {
	case a.neverSuspect:
	case err == nil:
		g.node.suspects.guard.ReportSuccess(ctx, a.digest)
	case ctx.Err() == nil && !isIntentionalEnd(err) && g.node.exchanger.ProbeStopped(ctx, endpoint.Address):
		g.node.suspects.guard.ReportCrash(ctx, a.digest(), endpoint.ID)
	}
}

// isIntentionalEnd reports whether this node or the engine ended or refused the attempt on
// purpose.
func isIntentionalEnd(err error) bool {
	return errors.IsAny(err, engine.ErrBusy, errNotNeeded, errStaleVersion, errEngineLeaving)
}

// dispatchReport returns the report of an attempt that ended with an error, or with nil.
func dispatchReport(ctx context.Context, err error, latency time.Duration) dispatch.Report {
	if err == nil {
		return dispatch.Report{Ending: dispatch.Answered, Latency: latency}
	}
	neutral := ctx.Err() != nil || isIntentionalEnd(err)
	return dispatch.Report{Ending: dispatch.Lost, Latency: latency, HealthUnknown: neutral}
}

// stream runs an attempt on one engine and delivers its chunks. It records the weight version
// of the tokens whenever it changes.
func (g *generator) stream(ctx context.Context, endpoint *routing.Endpoint, a attempt) error {
	stream, err := g.node.engines.Generate(ctx, endpoint.Address, a.request)
	if err != nil {
		return err
	}
	defer stream.Close()
	var lastVersion uint64
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if chunk.FinishReason == engine.FinishAborted {
			return errEngineLeaving
		}
		if len(chunk.Tokens) > 0 && chunk.Version != lastVersion {
			lastVersion = chunk.Version
			g.node.fleet.RecordVersion(endpoint, a.request.Model, lastVersion)
		}
		if len(chunk.Tokens) > 0 && chunk.Version < a.minVersion {
			return errStaleVersion
		}
		if err := a.onChunk(chunk); err != nil {
			return err
		}
	}
}
