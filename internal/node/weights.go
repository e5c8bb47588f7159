package node

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/config"
	"github.com/pathbend/pathbend/internal/controlstate"
	"github.com/pathbend/pathbend/internal/engine"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/fleet"
	"github.com/pathbend/pathbend/internal/lease"
	"github.com/pathbend/pathbend/internal/membership"
	"github.com/pathbend/pathbend/internal/weights"
)

const (
	// weightsInterval is the interval at which pools are compared with their target.
	weightsInterval = 200 * time.Millisecond
	// unknownHolderGracePeriod is the time before a lease is claimed whose holder is
	// not a known member.
	unknownHolderGracePeriod = 4 * time.Second
)

// weightUpdater runs the rolling updates of pools to their target weight version while
// this node holds the lease of the model, and claims leases without a live holder.
type weightUpdater struct {
	node     *Node
	triggers chan struct{}

	mutex sync.Mutex
	// planners are by the name of the lease.
	planners map[string]*weights.Planner
	// appending is set for the leases with an append in progress.
	appending map[string]bool
	// holderMissingSince is the time since which a lease has had no live holder. Only
	// the loop accesses it.
	holderMissingSince map[string]time.Time
	// reachedVersions is the target version that was last logged as reached, by lease.
	reachedVersions map[string]uint64
	// background tracks the orders and appends in progress.
	background conc.WaitGroup
}

func newWeightUpdater(n *Node) *weightUpdater {
	return &weightUpdater{
		node: n, triggers: make(chan struct{}, 1), planners: make(map[string]*weights.Planner),
		appending: make(map[string]bool), holderMissingSince: make(map[string]time.Time), reachedVersions: make(map[string]uint64),
	}
}

// trigger starts the next reconciliation at once.
func (w *weightUpdater) trigger() {
	select {
	case w.triggers <- struct{}{}:
	default:
	}
}

// loop reconciles at each weightsInterval and when triggered, until ctx ends.
func (w *weightUpdater) loop(ctx context.Context) {
	defer w.background.Wait()
	ticker := time.NewTicker(weightsInterval)
	defer ticker.Stop()
	for {
		w.reconcile(ctx)
		select {
		case <-ticker.C:
		case <-w.triggers:
		case <-ctx.Done():
			return
		}
	}
}

// leaseName returns the name of the lease of a model's weights.
func leaseName(tenant, model string) string { return "weights/" + tenant + "/" + model }

// reconcile reconciles all models of the current configuration.
func (w *weightUpdater) reconcile(ctx context.Context) {
	document, _ := w.node.Current()
	if document == nil {
		return
	}
	w.node.logReadyOnce()
	for _, tenant := range document.Tenants {
		for i := range tenant.Spec.Models {
			w.reconcileModel(ctx, tenant.Name, &tenant.Spec.Models[i])
		}
	}
}

// reconcileModel issues the next orders to a model's engines if this node holds the model's
// lease. A draining node releases the lease; a node without it claims it if the holder is
// missing.
func (w *weightUpdater) reconcileModel(ctx context.Context, tenant string, model *config.Model) {
	name := leaseName(tenant, model.Name)
	currentLease := w.node.lease(name)
	if currentLease.Holder != w.node.id {
		w.claimIfHolderMissing(ctx, name, currentLease)
		return
	}
	if w.node.draining.Load() {
		w.release(ctx, currentLease)
		return
	}
	target := w.target(tenant, model)
	engines := w.node.fleet.Engines(model.Pool)
	states := w.states(engines, model)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	planner, ok := w.planners[name]
	if !ok {
		planner = weights.NewPlanner()
		w.planners[name] = planner
	}
	for _, order := range planner.Next(time.Now(), states, target) {
		w.background.Go(func() { w.execute(ctx, planner, model, engines, order, target, currentLease.Token) })
	}
	if target.Version > 0 && w.reachedVersions[name] != target.Version && weights.Reached(states, target) {
		w.reachedVersions[name] = target.Version
		w.node.logger.Log(event.WeightsSwitched, "tenant", tenant, "model", model.Name, "version", target.Version)
	}
}

// lease returns a lease by the state that this node has applied.
func (n *Node) lease(name string) lease.Lease {
	var currentLease lease.Lease
	n.follower.View(func(stateMachine *controlstate.Machine) { currentLease = stateMachine.Leases().Get(name) })
	return currentLease
}

// claimIfHolderMissing claims a lease without a live holder if this node ranks highest for
// it.
func (w *weightUpdater) claimIfHolderMissing(ctx context.Context, name string, currentLease lease.Lease) {
	member, known := w.node.members.get(currentLease.Holder)
	if known && member.Status != membership.Dead {
		delete(w.holderMissingSince, name)
		return
	}
	// An unknown holder may be a live node that this node has not discovered yet, so
	// the claim waits until the membership has had time to form.
	since, waiting := w.holderMissingSince[name]
	if !waiting {
		since = time.Now()
		w.holderMissingSince[name] = since
	}
	if !known && time.Since(since) < unknownHolderGracePeriod || !w.node.ranksHighest(name) {
		return
	}
	w.appendOnce(ctx, name, &pathbendv1.Record{Body: &pathbendv1.Record_LeaseClaim{LeaseClaim: &pathbendv1.LeaseClaim{
		Name: name, Holder: w.node.id, Replaces: currentLease.Token,
	}}})
}

// release releases a lease that this node holds.
func (w *weightUpdater) release(ctx context.Context, currentLease lease.Lease) {
	w.appendOnce(ctx, currentLease.Name, &pathbendv1.Record{Body: &pathbendv1.Record_LeaseRelease{LeaseRelease: &pathbendv1.LeaseRelease{
		Name: currentLease.Name, Token: currentLease.Token,
	}}})
}

// appendOnce appends a lease record in the background unless an append for the lease is in
// progress.
func (w *weightUpdater) appendOnce(ctx context.Context, name string, record *pathbendv1.Record) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.appending[name] {
		return
	}
	w.appending[name] = true
	w.background.Go(func() {
		w.node.appendRecord(ctx, record)
		if currentLease := w.node.lease(name); currentLease.Holder == w.node.id {
			w.node.logger.Log(event.LeaseTaken, "lease", name, "token", currentLease.Token)
		}
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.appending[name] = false
	})
}

// target returns the target version of a model: the pinned one, or the newest announced one.
func (w *weightUpdater) target(tenant string, model *config.Model) weights.Target {
	target := weights.Target{Adapter: model.Adapter, MinServingPercent: model.Switch.MinServingPercent}
	if model.Version.Follow == "pinned" {
		target.Version, target.Pinned = model.Version.Pin, true
		return target
	}
	target.Version = w.node.members.version(weights.ModelKey{Tenant: tenant, Model: model.Name})
	return target
}

// states returns the states of the engines that are not leaving.
func (w *weightUpdater) states(engines []fleet.Engine, model *config.Model) []weights.EngineState {
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

// engineState returns the state of an engine by its load report. responding tells whether the
// report is recent.
func engineState(id string, model *config.Model, load engine.LoadReport, responding bool) weights.EngineState {
	state := weights.EngineState{ID: id, Responding: responding}
	for _, modelState := range load.Models {
		if modelState.Model != model.Name {
			continue
		}
		state.Serving, state.Prepared, state.Broken = modelState.Serving, modelState.Prepared, modelState.Broken
		for _, adapter := range modelState.Adapters {
			state.HasAdapter = state.HasAdapter || adapter == model.Adapter
		}
	}
	return state
}

// execute sends an order to an engine with the lease's fencing token and records the result.
func (w *weightUpdater) execute(ctx context.Context, planner *weights.Planner, model *config.Model, engines []fleet.Engine, order weights.Order, target weights.Target, token uint64) {
	address := ""
	for _, candidate := range engines {
		if candidate.ID == order.EngineID {
			address = candidate.Address
		}
	}
	w.node.logger.Log(event.WeightsOrdered, "engine", order.EngineID, "order", int(order.Kind), "version", target.Version, "fence", token)
	err := w.node.engines.SendOrder(ctx, address, engineOrder(model, order, target, token))
	// The next order depends on the versions that the engine holds now, whether or not
	// the order succeeded.
	if load, loadErr := w.node.engines.FetchLoad(ctx, address); loadErr == nil {
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
	planner.Done(time.Now(), order.EngineID, err == nil)
	w.mutex.Unlock()
	w.trigger()
}

// engineOrder returns the order in the form that the engine client sends.
func engineOrder(model *config.Model, order weights.Order, target weights.Target, token uint64) engine.Order {
	actions := map[weights.OrderKind]engine.Action{
		weights.Load: engine.ActionLoad, weights.Switch: engine.ActionSwitch, weights.LoadAdapter: engine.ActionLoadAdapter,
	}
	return engine.Order{
		Fence: token, Action: actions[order.Kind], Model: model.Name, Version: target.Version,
		Adapter: model.Adapter, Restart: model.Switch.Policy == "restart",
	}
}
