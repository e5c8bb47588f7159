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

// EngineModel is the performance model of an engine (docs/EMULATOR.md gives
// the assumptions).
type EngineModel struct {
	// Capacity is how many sequences a batch holds.
	Capacity int
	// QueueLimit is how many may wait before the engine says that it is busy.
	QueueLimit int
	// StepTime is the time of a decode step with one sequence, StepTimePerSeq
	// what each further sequence adds.
	StepTime       time.Duration
	StepTimePerSeq time.Duration
	// TokensPerStep is how many tokens a sequence gains in one step.
	TokensPerStep int
	// PrefillPerToken is the time to read one prompt token that is not cached.
	PrefillPerToken time.Duration
	// CacheTokens is the size of the prefix cache in tokens.
	CacheTokens int
	// SwitchTime is how long a switch stops the engine.
	SwitchTime time.Duration
	// ReportLag is how old a load report is.
	ReportLag time.Duration
	// MeanTokens and TailShare shape response lengths: a log-normal body with
	// the mean, and a share of responses from a Pareto tail.
	MeanTokens float64
	TailShare  float64
}

// DefaultEngineModel returns a small engine that suits the demo.
func DefaultEngineModel() EngineModel {
	return EngineModel{
		Capacity: 16, QueueLimit: 64, StepTime: 20 * time.Millisecond, StepTimePerSeq: 500 * time.Microsecond,
		TokensPerStep: 4, PrefillPerToken: 20 * time.Microsecond, CacheTokens: 20_000, SwitchTime: 200 * time.Millisecond,
		ReportLag: 200 * time.Millisecond, MeanTokens: 60, TailShare: 0.02,
	}
}

// EngineFaults are the faults of an engine.
type EngineFaults struct {
	// FailSwitches makes that many switches fail half-way.
	FailSwitches int
	// FailLoads makes that many loads fail.
	FailLoads int
	// Slow multiplies step times; 0 means 1.
	Slow float64
	// CutStreams is the share of streams that break at a random token.
	CutStreams float64
	// Leaving makes the engine refuse new work and say so.
	Leaving bool
}

// Engine emulates a model engine.
type Engine struct {
	ID string
	// Crasher ends the engine's process under some prompts; nil under none.
	Crasher  *Crasher
	model    EngineModel
	platform *http.Client
	store    string

	mutex    sync.Mutex
	random   *rand.Rand
	faults   EngineFaults
	leaving  bool
	fence    uint64
	held     map[string]*heldModel
	running  []*sequence
	waiting  []*sequence
	sequence int
	cache    *prefixCache
	reports  []laggedLoad
	wake     chan struct{}
	stopped  bool
	pause    time.Time
	role     string
}

type heldModel struct {
	serving  uint64
	prepared uint64
	broken   bool
	adapters []string
}

type laggedLoad struct {
	at   time.Time
	load engine.Load
}

type sequence struct {
	order    int
	request  engine.GenerateRequest
	length   int
	produced int
	cutAt    int
	chunks   chan engine.Chunk
	done     <-chan struct{}
}

// NewEngine returns an engine that serves models at version 0 until it is
// ordered to load weights from the store.
func NewEngine(id string, model EngineModel, transport network.Network, storeAddress string, random *rand.Rand) *Engine {
	return &Engine{
		ID: id, model: model, store: storeAddress, random: random,
		platform: &http.Client{Transport: network.NewTransport(transport, 1)},
		held:     make(map[string]*heldModel), cache: newPrefixCache(model.CacheTokens, random), wake: make(chan struct{}, 1),
	}
}

// SetFaults switches faults on and off.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.faults = faults
}

// Leave makes the engine refuse new work and say so.
func (e *Engine) Leave() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.leaving = true
}

// Run decodes until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	defer e.platform.CloseIdleConnections()
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

// step runs one iteration of continuous batching and returns its duration.
func (e *Engine) step() (time.Duration, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.dropCancelled()
	prefill := e.admit()
	if len(e.running) == 0 {
		return 0, true
	}
	if pause := time.Until(e.pause); pause > 0 {
		return pause, false
	}
	for _, running := range slices.Clone(e.running) {
		e.advance(running)
	}
	slow := max(e.faults.Slow, 1)
	decode := e.model.StepTime + time.Duration(len(e.running))*e.model.StepTimePerSeq
	return time.Duration(float64(decode+prefill) * slow), false
}

func (e *Engine) dropCancelled() {
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

// admit fills the batch by priority and returns the time of the prefills.
func (e *Engine) admit() time.Duration {
	slices.SortStableFunc(e.waiting, func(a, b *sequence) int {
		if a.request.Priority != b.request.Priority {
			return b.request.Priority - a.request.Priority
		}
		return a.order - b.order
	})
	var prefill time.Duration
	for len(e.running) < e.model.Capacity && len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, next)
		tokens := len(next.request.Prompt)/4 + len(next.request.ResumeTokens)
		missing := e.cache.use(xxhash.Sum64String(next.request.Prompt), tokens)
		prefill += time.Duration(missing) * e.model.PrefillPerToken
	}
	return prefill
}

// advance gives a sequence its tokens of one step.
func (e *Engine) advance(s *sequence) {
	held := e.held[s.request.Model]
	if held == nil || held.serving == 0 {
		return // waits for weights
	}
	chunk := engine.Chunk{
		RequestID: s.request.RequestID, Model: s.request.Model, FirstIndex: s.produced, Version: e.versionFor(held),
	}
	for range e.model.TokensPerStep {
		if s.produced >= s.length {
			break
		}
		chunk.Tokens = append(chunk.Tokens, tokenText(s.produced, chunk.Version))
		s.produced++
	}
	if s.cutAt > 0 && s.produced >= s.cutAt {
		e.end(s)
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
		e.end(s) // the reader is stuck
		return
	}
	if chunk.FinishReason != "" {
		e.end(s)
	}
}

// versionFor is the version that makes the next tokens. After a switch that
// failed half-way either may.
func (e *Engine) versionFor(held *heldModel) uint64 {
	if held.broken && e.random.IntN(2) == 0 {
		return held.prepared
	}
	return held.serving
}

func (e *Engine) end(s *sequence) {
	e.running = slices.DeleteFunc(e.running, func(other *sequence) bool { return other == s })
	close(s.chunks)
}

// ErrBusy means that the engine takes no more work.
var errEngineBusy = errors.New("engine takes no more work")

// Generate starts a sequence. done cancels it when closed.
func (e *Engine) Generate(request engine.GenerateRequest, done <-chan struct{}) (<-chan engine.Chunk, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.leaving || e.faults.Leaving || e.stopped || len(e.waiting) >= e.model.QueueLimit {
		return nil, errEngineBusy
	}
	e.sequence++
	length := e.lengthOf(request)
	started := &sequence{
		order: e.sequence, request: request, length: length, produced: len(request.ResumeTokens),
		chunks: make(chan engine.Chunk, 4096), done: done,
	}
	if e.random.Float64() < e.faults.CutStreams {
		started.cutAt = started.produced + 1 + e.random.IntN(max(length-started.produced, 1))
	}
	e.waiting = append(e.waiting, started)
	e.wakeUp()
	return started.chunks, nil
}

// lengthOf is the length of a response. It depends on prompt and seed alone, so
// that every attempt of a sample has the same length.
func (e *Engine) lengthOf(request engine.GenerateRequest) int {
	return ResponseLength(e.model, request.Prompt, request.Seed, request.MaxTokens)
}

// ResponseLength draws a response length: log-normal with a Pareto tail.
func ResponseLength(model EngineModel, prompt string, seed uint64, maxTokens int) int {
	const sigma, paretoShape, tailFactor = 0.6, 1.5, 4.0
	random := rand.New(rand.NewPCG(xxhash.Sum64String(prompt), seed))
	length := model.MeanTokens * math.Exp(random.NormFloat64()*sigma-sigma*sigma/2)
	if random.Float64() < model.TailShare {
		length = model.MeanTokens * tailFactor / math.Pow(1-random.Float64(), 1/paretoShape)
	}
	return max(1, min(int(length), maxTokens))
}

// CarryOut obeys a fenced order.
func (e *Engine) CarryOut(ctx context.Context, order engine.Order) error {
	if err := e.acceptFence(order.Fence); err != nil {
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
		held := e.heldModel(order.Model)
		held.adapters = append(held.adapters, order.Adapter)
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

func (e *Engine) acceptFence(fence uint64) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if fence < e.fence {
		return engine.ErrStaleFence
	}
	e.fence = fence
	return nil
}

func (e *Engine) heldModel(name string) *heldModel {
	held, ok := e.held[name]
	if !ok {
		held = &heldModel{}
		e.held[name] = held
	}
	return held
}

func (e *Engine) load(ctx context.Context, order engine.Order) error {
	url := fmt.Sprintf("http://%s/v1/weights/%s/%d", e.store, order.Model, order.Version)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := e.platform.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.faults.FailLoads > 0 {
		e.faults.FailLoads--
		return errors.New("load failed")
	}
	if order.Fence < e.fence {
		return engine.ErrStaleFence
	}
	e.heldModel(order.Model).prepared = order.Version
	return nil
}

func (e *Engine) switchTo(order engine.Order) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	held := e.heldModel(order.Model)
	if held.prepared != order.Version {
		return fmt.Errorf("version %d is not loaded", order.Version)
	}
	if e.faults.FailSwitches > 0 {
		e.faults.FailSwitches--
		held.broken = true
		return errors.New("switch failed half-way")
	}
	held.serving, held.prepared, held.broken = order.Version, 0, false
	e.pause = time.Now().Add(e.model.SwitchTime)
	e.cache.clear()
	if order.Restart {
		e.abort(order.Model)
	}
	return nil
}

// abort ends the sequences of a model that have tokens of the old version.
func (e *Engine) abort(model string) {
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
		e.end(running)
	}
}

// Load returns the load report, which lags.
func (e *Engine) Load() engine.Load {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	e.reports = append(e.reports, laggedLoad{at: now, load: e.loadNow()})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.model.ReportLag {
		e.reports = e.reports[1:]
	}
	report := e.reports[0].load
	// Versions and leaving are the engine's present state; only counts lag.
	current := e.loadNow()
	report.Models, report.Fence, report.Leaving = current.Models, current.Fence, current.Leaving
	return report
}

func (e *Engine) loadNow() engine.Load {
	load := engine.Load{
		EngineID: e.ID, Running: len(e.running), Waiting: len(e.waiting), Capacity: e.model.Capacity,
		KVUsed: e.cache.used, KVCapacity: e.model.CacheTokens, Leaving: e.leaving || e.faults.Leaving, Fence: e.fence,
	}
	names := make([]string, 0, len(e.held))
	for name := range e.held {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		held := e.held[name]
		load.Models = append(load.Models, engine.ModelState{
			Model: name, Serving: held.serving, Prepared: held.prepared, Broken: held.broken, Adapters: held.adapters,
		})
	}
	return load
}
