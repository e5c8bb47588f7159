package emulator

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/pathbend/pathbend/internal/engine"
	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/wait"
)

// EngineModel is the performance model of an engine. docs/EMULATOR.md states its
// assumptions.
type EngineModel struct {
	// Capacity is the maximum number of sequences in a batch.
	Capacity int
	// QueueLimit is how many sequences may wait for a place in the batch before
	// the engine rejects new ones as busy.
	QueueLimit int
	// StepTime is the fixed part of the duration of a decode step;
	// StepTimePerSeq is added for each sequence in the batch.
	StepTime       time.Duration
	StepTimePerSeq time.Duration
	// TokensPerStep is how many tokens each sequence generates in one step.
	TokensPerStep int
	// PrefillPerToken is the prefill time of one prompt token that is not in the
	// prefix cache.
	PrefillPerToken time.Duration
	// CacheTokens is the capacity of the prefix cache in tokens.
	CacheTokens int
	// SwitchTime is how long decoding pauses for a weight switch.
	SwitchTime time.Duration
	// ReportLag is the minimum age of the counts in a load report, once reports
	// that old exist.
	ReportLag time.Duration
	// MeanTokens and TailShare define the distribution of response lengths:
	// log-normal with this mean, except for a share of the responses, 0 to 1,
	// whose lengths follow a Pareto distribution.
	MeanTokens float64
	TailShare  float64
}

// DefaultEngineModel returns the model of a small engine, as the demo uses it.
func DefaultEngineModel() EngineModel {
	return EngineModel{
		Capacity: 16, QueueLimit: 64, StepTime: 20 * time.Millisecond, StepTimePerSeq: 500 * time.Microsecond,
		TokensPerStep: 4, PrefillPerToken: 20 * time.Microsecond, CacheTokens: 20_000, SwitchTime: 200 * time.Millisecond,
		ReportLag: 200 * time.Millisecond, MeanTokens: 60, TailShare: 0.02,
	}
}

// EngineFaults are the faults injected into an engine. The zero value injects
// none.
type EngineFaults struct {
	// FailSwitches is how many of the next weight switches fail half-way.
	FailSwitches int
	// FailLoads is how many of the next weight loads fail.
	FailLoads int
	// SlowFactor multiplies step times; values below 1 mean 1.
	SlowFactor float64
	// CutStreamShare is the share of streams, 0 to 1, that break at a random
	// token.
	CutStreamShare float64
	// Leaving makes the engine reject new requests and report that it is leaving.
	Leaving bool
}

// Engine emulates a model engine with continuous batching, a prefix cache and
// fenced weight updates.
type Engine struct {
	ID string
	// Crasher terminates the engine on prompts that contain CrashMarker; nil
	// disables crashes.
	Crasher      *Crasher
	model        EngineModel
	storeClient  *http.Client
	storeAddress string

	mutex         sync.Mutex
	random        *rand.Rand
	faults        EngineFaults
	leaving       bool
	fencingToken  uint64
	models        map[string]*modelState
	running       []*sequence
	waiting       []*sequence
	sequenceCount int
	cache         *prefixCache
	reports       []loadReport
	wake          chan struct{}
	stopped       bool
	pausedUntil   time.Time
	role          string
}

// modelState is the state of a model's weights on the engine. After a switch that
// failed half-way, broken is set and either version may generate tokens.
type modelState struct {
	serving  uint64
	prepared uint64
	broken   bool
	adapters []string
}

// loadReport is a load report with the time when it was made.
type loadReport struct {
	at   time.Time
	load engine.LoadReport
}

// sequence is one response that is being generated. number orders sequences by
// arrival, length is its total length in tokens, and its stream breaks at
// cutAtToken unless that is 0.
type sequence struct {
	number     int
	request    engine.GenerateRequest
	length     int
	produced   int
	cutAtToken int
	chunks     chan engine.Chunk
	done       <-chan struct{}
}

// NewEngine returns an engine without weights. Sequences make no progress until
// the engine is ordered to load a version from the weight store and switch to it.
func NewEngine(id string, model EngineModel, transport network.Network, storeAddress string, random *rand.Rand) *Engine {
	return &Engine{
		ID: id, model: model, storeAddress: storeAddress, random: random,
		storeClient: &http.Client{Transport: network.NewTransport(transport, 1)},
		models:      make(map[string]*modelState), cache: newPrefixCache(model.CacheTokens, random), wake: make(chan struct{}, 1),
	}
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.faults = faults
}

// Leave makes the engine reject new requests and report that it is leaving.
func (e *Engine) Leave() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.leaving = true
}

// Run decodes until ctx is done and then breaks all streams.
func (e *Engine) Run(ctx context.Context) {
	defer e.storeClient.CloseIdleConnections()
	for ctx.Err() == nil {
		pause, idle := e.step()
		if idle {
			select {
			case <-e.wake:
			case <-ctx.Done():
			}
			continue
		}
		wait.For(ctx, pause)
	}
	e.stop()
}

func (e *Engine) stop() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.stopped = true
	for _, running := range append(e.running, e.waiting...) {
		close(running.chunks)
	}
	e.running, e.waiting = nil, nil
}

func (e *Engine) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// step runs one iteration of continuous batching. It returns how long the caller
// waits before the next one, and whether the engine is idle instead.
func (e *Engine) step() (time.Duration, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.removeCancelled()
	prefill := e.admit()
	if len(e.running) == 0 {
		return 0, true
	}
	if pause := time.Until(e.pausedUntil); pause > 0 {
		return pause, false
	}
	for _, running := range slices.Clone(e.running) {
		e.decode(running)
	}
	slowFactor := max(e.faults.SlowFactor, 1)
	decode := e.model.StepTime + time.Duration(len(e.running))*e.model.StepTimePerSeq
	return time.Duration(float64(decode+prefill) * slowFactor), false
}

// removeCancelled removes the sequences whose clients have gone. The caller holds
// e.mutex.
func (e *Engine) removeCancelled() {
	cancelled := func(s *sequence) bool {
		select {
		case <-s.done:
			return true
		default:
			return false
		}
	}
	e.running = slices.DeleteFunc(e.running, cancelled)
	e.waiting = slices.DeleteFunc(e.waiting, cancelled)
}

// admit moves waiting sequences into the batch, by priority and then in order of
// arrival, and returns the total prefill time. The caller holds e.mutex.
func (e *Engine) admit() time.Duration {
	slices.SortStableFunc(e.waiting, func(a, b *sequence) int {
		if a.request.Priority != b.request.Priority {
			return b.request.Priority - a.request.Priority
		}
		return a.number - b.number
	})
	var prefill time.Duration
	for len(e.running) < e.model.Capacity && len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, next)
		// A prompt token is taken to be 4 bytes long.
		tokens := len(next.request.Prompt)/4 + len(next.request.ResumeTokens)
		missing := e.cache.lookupAndStore(xxhash.Sum64String(next.request.Prompt), tokens)
		prefill += time.Duration(missing) * e.model.PrefillPerToken
	}
	return prefill
}

// decode generates the tokens of one step for a sequence. The caller holds
// e.mutex.
func (e *Engine) decode(s *sequence) {
	state := e.models[s.request.Model]
	if state == nil || state.serving == 0 {
		return // No weights are loaded yet.
	}
	chunk := engine.Chunk{
		RequestID: s.request.RequestID, Model: s.request.Model, FirstIndex: s.produced, Version: e.nextTokenVersion(state),
	}
	for range e.model.TokensPerStep {
		if s.produced >= s.length {
			break
		}
		chunk.Tokens = append(chunk.Tokens, tokenText(s.produced, chunk.Version))
		s.produced++
	}
	if s.cutAtToken > 0 && s.produced >= s.cutAtToken {
		e.finish(s)
		return
	}
	if s.produced >= s.length {
		chunk.FinishReason = "stop"
		if s.length == s.request.MaxTokens {
			chunk.FinishReason = "length"
		}
	}
	select {
	case s.chunks <- chunk:
	default:
		e.finish(s) // The reader does not keep up.
		return
	}
	if chunk.FinishReason != "" {
		e.finish(s)
	}
}

// nextTokenVersion returns the weight version that generates the next tokens.
// After a switch that failed half-way it is the old or the new one at random.
func (e *Engine) nextTokenVersion(state *modelState) uint64 {
	if state.broken && e.random.IntN(2) == 0 {
		return state.prepared
	}
	return state.serving
}

// finish removes a sequence from the batch and closes its stream. The caller holds
// e.mutex.
func (e *Engine) finish(s *sequence) {
	e.running = slices.DeleteFunc(e.running, func(other *sequence) bool { return other == s })
	close(s.chunks)
}

// errEngineBusy means that the engine accepts no new sequences.
var errEngineBusy = errors.New("engine is busy, leaving or stopped")

// Generate queues a sequence and returns the channel of its chunks, which is
// closed when the sequence ends or its stream breaks. Closing done cancels the
// sequence, without closing that channel. Generate fails if the queue is full or
// the engine is leaving or stopped.
func (e *Engine) Generate(request engine.GenerateRequest, done <-chan struct{}) (<-chan engine.Chunk, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.leaving || e.faults.Leaving || e.stopped || len(e.waiting) >= e.model.QueueLimit {
		return nil, errEngineBusy
	}
	e.sequenceCount++
	length := e.responseLength(request)
	started := &sequence{
		number: e.sequenceCount, request: request, length: length, produced: len(request.ResumeTokens),
		chunks: make(chan engine.Chunk, 4096), done: done,
	}
	if e.random.Float64() < e.faults.CutStreamShare {
		started.cutAtToken = started.produced + 1 + e.random.IntN(max(length-started.produced, 1))
	}
	e.waiting = append(e.waiting, started)
	e.wakeUp()
	return started.chunks, nil
}

// responseLength returns the length of a response in tokens. It depends on the
// request's prompt, seed and limit alone, so that every attempt at a sample has
// the same length.
func (e *Engine) responseLength(request engine.GenerateRequest) int {
	return ResponseLength(e.model, request.Prompt, request.Seed, request.MaxTokens)
}

// ResponseLength returns the length of a response in tokens, between 1 and
// maxTokens. The lengths over all prompts and seeds follow a log-normal
// distribution with a Pareto tail.
func ResponseLength(model EngineModel, prompt string, seed uint64, maxTokens int) int {
	const sigma, paretoShape, tailFactor = 0.6, 1.5, 4.0
	random := rand.New(rand.NewPCG(xxhash.Sum64String(prompt), seed))
	length := model.MeanTokens * math.Exp(random.NormFloat64()*sigma-sigma*sigma/2)
	if random.Float64() < model.TailShare {
		length = model.MeanTokens * tailFactor / math.Pow(1-random.Float64(), 1/paretoShape)
	}
	return max(1, min(int(length), maxTokens))
}

// ApplyOrder executes a fenced order. It returns engine.ErrStaleFence if the order's
// fencing token is lower than one that the engine has seen.
func (e *Engine) ApplyOrder(ctx context.Context, order engine.Order) error {
	if err := e.acceptFencingToken(order.Fence); err != nil {
		return err
	}
	switch order.Action {
	case engine.ActionLoad:
		return e.load(ctx, order)
	case engine.ActionSwitch:
		return e.switchTo(order)
	case engine.ActionLoadAdapter:
		e.mutex.Lock()
		defer e.mutex.Unlock()
		state := e.modelState(order.Model)
		state.adapters = append(state.adapters, order.Adapter)
		return nil
	case engine.ActionSetRole:
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.role = order.Role
		return nil
	default:
		return fmt.Errorf("unknown action %q", order.Action)
	}
}

// acceptFencingToken records the token of an order, or returns
// engine.ErrStaleFence if the engine has seen a higher one.
func (e *Engine) acceptFencingToken(token uint64) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if token < e.fencingToken {
		return engine.ErrStaleFence
	}
	e.fencingToken = token
	return nil
}

// modelState returns the state of a model, which it creates if needed. The caller
// holds e.mutex.
func (e *Engine) modelState(name string) *modelState {
	state, ok := e.models[name]
	if !ok {
		state = &modelState{}
		e.models[name] = state
	}
	return state
}

// load fetches the weights of a version from the weight store and prepares them.
func (e *Engine) load(ctx context.Context, order engine.Order) error {
	url := fmt.Sprintf("http://%s/v1/weights/%s/%d", e.storeAddress, order.Model, order.Version)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := e.storeClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.faults.FailLoads > 0 {
		e.faults.FailLoads--
		return errors.New("weight load failed by an injected fault")
	}
	if order.Fence < e.fencingToken {
		return engine.ErrStaleFence
	}
	e.modelState(order.Model).prepared = order.Version
	return nil
}

// switchTo makes the prepared version of a model the serving one. It pauses
// decoding for SwitchTime and invalidates the prefix cache.
func (e *Engine) switchTo(order engine.Order) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	state := e.modelState(order.Model)
	if state.prepared != order.Version {
		return fmt.Errorf("cannot switch to version %d: its weights are not loaded", order.Version)
	}
	if e.faults.FailSwitches > 0 {
		e.faults.FailSwitches--
		state.broken = true
		return errors.New("weight switch failed half-way by an injected fault")
	}
	state.serving, state.prepared, state.broken = order.Version, 0, false
	e.pausedUntil = time.Now().Add(e.model.SwitchTime)
	e.cache.clear()
	if order.Restart {
		e.abortSequences(order.Model)
	}
	return nil
}

// abortSequences ends the running sequences of a model after a switch to a new
// version. The caller holds e.mutex.
func (e *Engine) abortSequences(model string) {
	for _, running := range slices.Clone(e.running) {
		if running.request.Model != model {
			continue
		}
		select {
		case running.chunks <- engine.Chunk{
			RequestID: running.request.RequestID, Model: model, FirstIndex: running.produced, FinishReason: engine.FinishAborted,
		}:
		default:
		}
		e.finish(running)
	}
}

// Load returns the load report. Its counts lag behind by ReportLag.
func (e *Engine) Load() engine.LoadReport {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	e.reports = append(e.reports, loadReport{at: now, load: e.currentLoad()})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.model.ReportLag {
		e.reports = e.reports[1:]
	}
	report := e.reports[0].load
	// Versions, fencing token and leaving are current; only the counts lag.
	current := e.currentLoad()
	report.Models, report.Fence, report.Leaving = current.Models, current.Fence, current.Leaving
	return report
}

// currentLoad returns the load without lag. The caller holds e.mutex.
func (e *Engine) currentLoad() engine.LoadReport {
	load := engine.LoadReport{
		EngineID: e.ID, Running: len(e.running), Waiting: len(e.waiting), Capacity: e.model.Capacity,
		KVUsed: e.cache.usedTokens, KVCapacity: e.model.CacheTokens, Leaving: e.leaving || e.faults.Leaving, Fence: e.fencingToken,
	}
	names := make([]string, 0, len(e.models))
	for name := range e.models {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		state := e.models[name]
		load.Models = append(load.Models, engine.ModelState{
			Model: name, Serving: state.serving, Prepared: state.prepared, Broken: state.broken, Adapters: state.adapters,
		})
	}
	return load
}
