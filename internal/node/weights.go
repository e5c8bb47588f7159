package node

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/config"
	"github.com/pathbend/pathbend/internal/engine"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/fleet"
	"github.com/pathbend/pathbend/internal/lease"
	"github.com/pathbend/pathbend/internal/membership"
	"github.com/pathbend/pathbend/internal/state"
	"github.com/pathbend/pathbend/internal/weights"
)

const (
	// weightsInterval is how often pools are compared with their target.
	weightsInterval = 200 * time.Millisecond
	// unknownHolderGrace is how long a lease without a known holder is left.
	unknownHolderGrace = 4 * time.Second
)

// weightRoller brings pools to their weight version where this node holds the
// pool's lease, and claims leases whose holder is gone.
type weightRoller struct {
	node  *Node
	waker chan struct{}

	mutex    sync.Mutex
	plans    map[string]*weights.Plan
	claiming map[string]bool
	// goneSince is since when a lease has no live holder. Only the loop uses it.
	goneSince map[string]time.Time
	// announcedDone is the target that was last reported as reached.
	announcedDone map[string]uint64
	orders        conc.WaitGroup
}

func newWeightRoller(n *Node) *weightRoller {
	return &weightRoller{
		node: n, waker: make(chan struct{}, 1), plans: make(map[string]*weights.Plan),
		claiming: make(map[string]bool), goneSince: make(map[string]time.Time), announcedDone: make(map[string]uint64),
	}
}

// wake makes the roller look at once.
func (w *weightRoller) wake() {
	select {
	case w.waker <- struct{}{}:
	default:
	}
}

func (w *weightRoller) loop(ctx context.Context) {
	defer w.orders.Wait()
	ticker := time.NewTicker(weightsInterval)
	defer ticker.Stop()
	for {
		w.step(ctx)
		select {
		case <-ticker.C:
		case <-w.waker:
		case <-ctx.Done():
			return
		}
	}
}

func leaseName(tenant, model string) string { return "weights/" + tenant + "/" + model }

func (w *weightRoller) step(ctx context.Context) {
	document, _ := w.node.Current()
	if document == nil {
		return
	}
	w.node.noteReady()
	for _, tenant := range document.Tenants {
		for i := range tenant.Spec.Models {
			w.stepModel(ctx, tenant.Name, &tenant.Spec.Models[i])
		}
	}
}

func (w *weightRoller) stepModel(ctx context.Context, tenant string, model *config.Model) {
	name := leaseName(tenant, model.Name)
	held := w.node.lease(name)
	if held.Holder != w.node.id {
		w.claimIfGone(ctx, name, held)
		return
	}
	if w.node.draining.Load() {
		w.release(ctx, held)
		return
	}
	target := w.target(tenant, model)
	engines := w.node.fleet.Engines(model.Pool)
	states := w.states(engines, model)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	plan, ok := w.plans[name]
	if !ok {
		plan = weights.NewPlan()
		w.plans[name] = plan
	}
	for _, order := range plan.Next(time.Now(), states, target) {
		w.orders.Go(func() { w.carryOut(ctx, plan, model, engines, order, target, held.Token) })
	}
	if target.Version > 0 && w.announcedDone[name] != target.Version && weights.Reached(states, target) {
		w.announcedDone[name] = target.Version
		w.node.logger.Log(event.WeightsSwitched, "tenant", tenant, "model", model.Name, "version", target.Version)
	}
}

func (n *Node) lease(name string) lease.Lease {
	var held lease.Lease
	n.follower.View(func(machine *state.Machine) { held = machine.Leases().Get(name) })
	return held
}

// claimIfGone claims a lease without a live holder, if this node is the first
// choice for it.
func (w *weightRoller) claimIfGone(ctx context.Context, name string, held lease.Lease) {
	member, known := w.node.members.get(held.Holder)
	if known && member.Status != membership.Dead {
		delete(w.goneSince, name)
		return
	}
	// A holder that is merely unknown here may be one that this node has yet to
	// meet, so the claim waits until the membership had time to form.
	since, waiting := w.goneSince[name]
	if !waiting {
		since = time.Now()
		w.goneSince[name] = since
	}
	if !known && time.Since(since) < unknownHolderGrace || !w.node.ranksHighest(name) {
		return
	}
	w.appendOnce(ctx, name, &pathbendv1.Record{Body: &pathbendv1.Record_LeaseClaim{LeaseClaim: &pathbendv1.LeaseClaim{
		Name: name, Holder: w.node.id, Replaces: held.Token,
	}}})
}

func (w *weightRoller) release(ctx context.Context, held lease.Lease) {
	w.appendOnce(ctx, held.Name, &pathbendv1.Record{Body: &pathbendv1.Record_LeaseRelease{LeaseRelease: &pathbendv1.LeaseRelease{
		Name: held.Name, Token: held.Token,
	}}})
}

// appendOnce appends a lease record unless one for the name is on its way.
func (w *weightRoller) appendOnce(ctx context.Context, name string, record *pathbendv1.Record) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.claiming[name] {
		return
	}
	w.claiming[name] = true
	w.orders.Go(func() {
		w.node.appendRecord(ctx, record)
		if held := w.node.lease(name); held.Holder == w.node.id {
			w.node.logger.Log(event.LeaseTaken, "lease", name, "token", held.Token)
		}
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.claiming[name] = false
	})
}

func (w *weightRoller) target(tenant string, model *config.Model) weights.Target {
	target := weights.Target{Adapter: model.Adapter, MinServingPercent: model.Switch.MinServingPercent}
	if model.Version.Follow == "pinned" {
		target.Version, target.Exact = model.Version.Pin, true
		return target
	}
	target.Version = w.node.members.version(weights.ModelKey{Tenant: tenant, Model: model.Name})
	return target
}

func (w *weightRoller) states(engines []fleet.Engine, model *config.Model) []weights.EngineState {
	var states []weights.EngineState
	for _, target := range engines {
		if target.Leaving {
			continue
		}
		load, at, ok := w.node.fleet.EngineReport(target.ID)
		states = append(states, engineState(target.ID, model, load, ok && time.Since(at) <= maxReportAge(len(engines))))
	}
	return states
}

func engineState(id string, model *config.Model, load engine.Load, asked bool) weights.EngineState {
	state := weights.EngineState{ID: id, Asked: asked}
	for _, held := range load.Models {
		if held.Model != model.Name {
			continue
		}
		state.Serving, state.Prepared, state.Broken = held.Serving, held.Prepared, held.Broken
		for _, adapter := range held.Adapters {
			state.HasAdapter = state.HasAdapter || adapter == model.Adapter
		}
	}
	return state
}

func (w *weightRoller) carryOut(ctx context.Context, plan *weights.Plan, model *config.Model, engines []fleet.Engine, order weights.Order, target weights.Target, token uint64) {
	address := ""
	for _, candidate := range engines {
		if candidate.ID == order.EngineID {
			address = candidate.Address
		}
	}
	w.node.logger.Log(event.WeightsOrdered, "engine", order.EngineID, "order", int(order.Kind), "version", target.Version, "fence", token)
	err := w.node.engines.Order(ctx, address, engineOrder(model, order, target, token))
	// What the engine holds now decides the next order, whatever it answered.
	if load, loadErr := w.node.engines.Load(ctx, address); loadErr == nil {
		w.node.fleet.RecordLoad(order.EngineID, load, time.Now())
	}
	if err != nil && ctx.Err() == nil {
		number := event.WeightsFailed
		if errors.Is(err, engine.ErrStaleFence) {
			number = event.LeaseLost
		}
		w.node.logger.Log(number, "engine", order.EngineID, "error", err.Error())
	}
	w.mutex.Lock()
	plan.Done(time.Now(), order.EngineID, err == nil)
	w.mutex.Unlock()
	w.wake()
}

func engineOrder(model *config.Model, order weights.Order, target weights.Target, token uint64) engine.Order {
	actions := map[weights.Kind]engine.Action{
		weights.Load: engine.ActionLoad, weights.Switch: engine.ActionSwitch, weights.LoadAdapter: engine.ActionLoadAdapter,
	}
	return engine.Order{
		Fence: token, Action: actions[order.Kind], Model: model.Name, Version: target.Version,
		Adapter: model.Adapter, Restart: model.Switch.Policy == "restart",
	}
}
