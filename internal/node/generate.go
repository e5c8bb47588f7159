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
	// prefixBytes is how much of a prompt decides affinity.
	prefixBytes = 256
	// maxCompletionAttempts bounds the engines tried for a caller's completion.
	maxCompletionAttempts = 4
	// maxBusyEngines bounds the engines asked that take no more work.
	maxBusyEngines = 3
	// rolloutPriority is the engine priority of a new rollout sample; it grows
	// by one for each agePerPriority that its slot has been running.
	rolloutPriority    = 10
	maxRolloutPriority = 90
	agePerPriority     = 5 * time.Second
	generationHint     = 500 * time.Millisecond
)

var (
	errNotWanted     = errors.New("the attempt is no longer wanted")
	errStaleVersion  = errors.New("the engine serves a version below the bound")
	errNoEngine      = errors.New("no engine serves the model at the wanted version")
	errEnginesBusy   = errors.New("every engine tried takes no more work")
	errModelRemoved  = errors.New("the model was removed from the configuration")
	errEngineLeaving = errors.New("the engine ended the stream")
)

// generator runs generations on engines. It implements rollout.Generator and
// gateway.Completer.
type generator struct {
	node *Node
}

// attempt is one generation on one engine.
type attempt struct {
	tenant  string
	route   routing.Request
	request engine.GenerateRequest
	// minVersion is the lowest version of which tokens are taken.
	minVersion uint64
	placed     func(engineID string)
	deliver    func(chunk engine.Chunk) error
}

// Generate implements rollout.Generator.
func (g *generator) Generate(ctx context.Context, tenantName, modelName string, start rollout.Start, progress rollout.Progress) (string, error) {
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
			Pool: model.Pool, Zone: g.node.settings.Zone, Model: model.Name, MinVersion: start.MinVersion,
			PrefixHash: prefixHash(start.Prompt.Prompt), Excluded: start.Exclude,
		},
		request: engine.GenerateRequest{
			RequestID: g.node.NewID(), Model: model.Name, Adapter: model.Adapter, Prompt: start.Prompt.Prompt,
			MaxTokens: start.Prompt.MaxTokens, Seed: start.Seed, ResumeTokens: start.Resume,
			Priority: min(rolloutPriority+int(start.Age/agePerPriority), maxRolloutPriority),
		},
		minVersion: start.MinVersion,
		placed:     progress.Placed,
		deliver: func(chunk engine.Chunk) error {
			reason = chunk.FinishReason
			if !progress.Chunk(chunk.Tokens, chunk.Version) {
				return errNotWanted
			}
			return nil
		},
	})
	return reason, err
}

func prefixHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)])
}

// Complete implements gateway.Completer. A generation that breaks goes on at
// another engine after the tokens that were delivered.
func (g *generator) Complete(ctx context.Context, completion gateway.Completion, deliver func(engine.Chunk) error) error {
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
				Priority: gateway.PriorityAtEngine(completion.Priority),
			},
			placed: func(id string) { engineID = id },
			deliver: func(chunk engine.Chunk) error {
				delivered = append(delivered, chunk.Tokens...)
				err := deliver(chunk)
				callerGone = err != nil
				return err
			},
		})
		if lastErr == nil {
			return nil
		}
		if ctx.Err() != nil || callerGone {
			return result.New(result.CallerGone, "the caller went away")
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
		return result.Wrap(result.NoBackEnd, lastErr, "start generation").WithRetryAfter(generationHint)
	}
	return result.Wrap(result.GenerationFailed, lastErr, "generate").WithRetryAfter(generationHint)
}

// run places an attempt on an engine, passing over busy ones, and streams it.
func (g *generator) run(ctx context.Context, a attempt) error {
	leave, err := g.node.suspects.guard.Enter(ctx, a.digest)
	if err != nil {
		return err
	}
	defer leave()
	for range maxBusyEngines {
		a.route.Now = time.Now()
		endpoint := g.node.fleet.PickEngine(&a.route)
		if endpoint == nil {
			return errNoEngine
		}
		a.placed(endpoint.ID)
		began := time.Now()
		err := g.stream(ctx, endpoint, a)
		g.node.fleet.Report(endpoint, reportOf(ctx, err, time.Since(began)))
		g.noteEnd(ctx, endpoint, a, err)
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

// digest names what all attempts at a prompt have in common.
func (a attempt) digest() quarantine.Digest {
	return quarantine.Content{
		Caller: []string{a.tenant, a.route.Pool}, Path: a.request.Model + "/" + a.request.Adapter,
		Body: []byte(a.request.Prompt), Length: int64(len(a.request.Prompt)),
	}.Digest()
}

// noteEnd tells what the end of a stream says of its prompt.
func (g *generator) noteEnd(ctx context.Context, endpoint *routing.Endpoint, a attempt, err error) {
	switch {
	case err == nil:
		g.node.suspects.guard.Served(ctx, a.digest)
	case ctx.Err() == nil && !isOwnEnd(err) && g.node.exchange.BackEndEnded(ctx, endpoint.Address):
		g.node.suspects.guard.Ended(ctx, a.digest(), endpoint.ID)
	}
}

// isOwnEnd reports whether an attempt ended because this node or the engine wanted it so.
func isOwnEnd(err error) bool {
	return errors.IsAny(err, engine.ErrBusy, errNotWanted, errStaleVersion, errEngineLeaving)
}

func reportOf(ctx context.Context, err error, latency time.Duration) dispatch.Report {
	if err == nil {
		return dispatch.Report{Ending: dispatch.Answered, Latency: latency}
	}
	neutral := ctx.Err() != nil || isOwnEnd(err)
	return dispatch.Report{Ending: dispatch.Lost, Latency: latency, Neutral: neutral}
}

func (g *generator) stream(ctx context.Context, endpoint *routing.Endpoint, a attempt) error {
	stream, err := g.node.engines.Generate(ctx, endpoint.Address, a.request)
	if err != nil {
		return err
	}
	defer stream.Close()
	var seen uint64
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
		if len(chunk.Tokens) > 0 && chunk.Version != seen {
			seen = chunk.Version
			g.node.fleet.NoteVersion(endpoint, a.request.Model, seen)
		}
		if len(chunk.Tokens) > 0 && chunk.Version < a.minVersion {
			return errStaleVersion
		}
		if err := a.deliver(chunk); err != nil {
			return err
		}
	}
}
