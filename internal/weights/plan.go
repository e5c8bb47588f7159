package weights

import "time"

// EngineState is the state of a model on an engine, as last reported by the engine.
type EngineState struct {
	ID string
	// Serving is the weight version that the engine serves, Prepared the one that it has
	// loaded beside it, 0 if there is none.
	Serving  uint64
	Prepared uint64
	// Broken is set after a switch that failed half-way.
	Broken bool
	// Responding is set if the engine has answered its latest status request.
	Responding bool
	// HasAdapter is set if the adapter of the target is loaded.
	HasAdapter bool
}

// Target is the desired state of a pool.
type Target struct {
	Version uint64
	// Adapter is the adapter that engines load in addition, empty for none.
	Adapter string
	// MinServingPercent is the percentage of the engines that must not be switching. One
	// engine may always switch.
	MinServingPercent int
	// Pinned is set for a pinned version: engines also return to it from a newer one.
	// Without it, engines that serve a newer version keep it.
	Pinned bool
}

// reached reports whether a serving version satisfies the target.
func (t Target) reached(serving uint64) bool {
	if t.Pinned {
		return serving == t.Version
	}
	return serving >= t.Version
}

// OrderKind is the kind of an order.
type OrderKind int

// Kinds of orders.
const (
	// Load makes an engine load the target version beside the one that it serves.
	Load OrderKind = iota + 1
	// Switch makes an engine serve the version that it has loaded.
	Switch
	// LoadAdapter makes an engine load the adapter of the target.
	LoadAdapter
)

// Order is one operation to run on one engine.
type Order struct {
	EngineID string
	Kind     OrderKind
}

// orderRetryDelay is how long an engine gets no order after a failed one.
const orderRetryDelay = 500 * time.Millisecond

// Planner decides which orders engines get and tracks those in progress. It is not safe for
// concurrent use.
type Planner struct {
	inProgress map[string]OrderKind
	notBefore  map[string]time.Time
}

// NewPlanner returns a planner without orders in progress.
func NewPlanner() *Planner {
	return &Planner{inProgress: make(map[string]OrderKind), notBefore: make(map[string]time.Time)}
}

// Next returns the orders to issue now. Each of them is in progress until Done is called
// for its engine.
func (p *Planner) Next(now time.Time, engines []EngineState, target Target) []Order {
	if target.Version == 0 {
		return nil
	}
	var orders []Order
	capacity := p.switchCapacity(engines, target)
	for _, state := range engines {
		if _, busy := p.inProgress[state.ID]; busy || !state.Responding || now.Before(p.notBefore[state.ID]) {
			continue
		}
		kind, needed := nextOrder(state, target)
		if !needed {
			continue
		}
		// A broken engine does not serve reliably, so repairing it costs no serving
		// capacity.
		if kind == Switch && !state.Broken {
			if capacity <= 0 {
				continue
			}
			capacity--
		}
		p.inProgress[state.ID] = kind
		orders = append(orders, Order{EngineID: state.ID, Kind: kind})
	}
	return orders
}

// nextOrder returns the kind of the order that an engine needs next, or false if it needs
// none.
func nextOrder(state EngineState, target Target) (OrderKind, bool) {
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

// switchCapacity returns how many more engines may start to switch. At least one engine may
// switch at a time, however small the pool.
func (p *Planner) switchCapacity(engines []EngineState, target Target) int {
	switching := 0
	for _, kind := range p.inProgress {
		if kind == Switch {
			switching++
		}
	}
	allowed := len(engines) * (100 - target.MinServingPercent) / 100
	return max(allowed, 1) - switching
}

// Done records that the order of an engine has ended.
func (p *Planner) Done(now time.Time, engineID string, succeeded bool) {
	delete(p.inProgress, engineID)
	if succeeded {
		delete(p.notBefore, engineID)
		return
	}
	p.notBefore[engineID] = now.Add(orderRetryDelay)
}

// Reached reports whether every engine that answers serves the target. It is false for an
// empty pool.
func Reached(engines []EngineState, target Target) bool {
	for _, state := range engines {
		if state.Responding && (state.Broken || !target.reached(state.Serving)) {
			return false
		}
	}
	return len(engines) > 0
}
