package weights

import "time"

// EngineState is what an engine said of a model when it was last asked.
type EngineState struct {
	ID       string
	Serving  uint64
	Prepared uint64
	// Broken is set after a switch that failed half-way.
	Broken bool
	// Asked is false if the engine did not answer of late.
	Asked bool
	// Adapters tells whether the wanted adapter is loaded.
	HasAdapter bool
}

// Target is what a pool should serve.
type Target struct {
	Version           uint64
	Adapter           string
	MinServingPercent int
	// Exact is set for a pinned version, to which engines also go back. A
	// version that follows trainers only rises.
	Exact bool
}

// reached reports whether a serving version satisfies the target.
func (t Target) reached(serving uint64) bool {
	if t.Exact {
		return serving == t.Version
	}
	return serving >= t.Version
}

// Kind is the kind of an order.
type Kind int

// Kinds of orders.
const (
	Load Kind = iota + 1
	Switch
	LoadAdapter
)

// Order is one step for one engine.
type Order struct {
	EngineID string
	Kind     Kind
}

// orderPause is how long an engine rests after a failed order.
const orderPause = 500 * time.Millisecond

// Plan remembers the orders in progress. It is not safe for concurrent use.
type Plan struct {
	inProgress map[string]Kind
	notBefore  map[string]time.Time
}

// NewPlan returns a plan without orders in progress.
func NewPlan() *Plan {
	return &Plan{inProgress: make(map[string]Kind), notBefore: make(map[string]time.Time)}
}

// Next returns the orders to give now. Every returned order is in progress
// until Done.
func (p *Plan) Next(now time.Time, engines []EngineState, target Target) []Order {
	if target.Version == 0 {
		return nil
	}
	var orders []Order
	room := p.switchRoom(engines, target)
	for _, state := range engines {
		if _, busy := p.inProgress[state.ID]; busy || !state.Asked || now.Before(p.notBefore[state.ID]) {
			continue
		}
		kind, due := nextStep(state, target)
		if !due {
			continue
		}
		// A broken engine serves nobody reliably; repairing it costs no
		// capacity.
		if kind == Switch && !state.Broken {
			if room <= 0 {
				continue
			}
			room--
		}
		p.inProgress[state.ID] = kind
		orders = append(orders, Order{EngineID: state.ID, Kind: kind})
	}
	return orders
}

func nextStep(state EngineState, target Target) (Kind, bool) {
	switch {
	case state.Broken && state.Prepared == target.Version:
		return Switch, true
	case !target.reached(state.Serving) && state.Prepared == target.Version:
		return Switch, true
	case state.Broken || !target.reached(state.Serving):
		return Load, true
	case target.Adapter != "" && !state.HasAdapter:
		return LoadAdapter, true
	default:
		return 0, false
	}
}

// switchRoom is how many more engines may switch at once.
func (p *Plan) switchRoom(engines []EngineState, target Target) int {
	switching := 0
	for _, kind := range p.inProgress {
		if kind == Switch {
			switching++
		}
	}
	allowed := len(engines) * (100 - target.MinServingPercent) / 100
	return max(allowed, 1) - switching
}

// Done records the end of an order.
func (p *Plan) Done(now time.Time, engineID string, succeeded bool) {
	delete(p.inProgress, engineID)
	if succeeded {
		delete(p.notBefore, engineID)
		return
	}
	p.notBefore[engineID] = now.Add(orderPause)
}

// Reached reports whether every engine that answers serves the target.
func Reached(engines []EngineState, target Target) bool {
	for _, state := range engines {
		if state.Asked && (state.Broken || !target.reached(state.Serving)) {
			return false
		}
	}
	return len(engines) > 0
}
