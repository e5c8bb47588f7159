package admission

import (
	"context"
	"sync"
	"time"

	"github.com/pathbend/pathbend/internal/result"
)

// Gate admits the requests of all tenants on one node: it has a Controller for
// each tenant and blocks callers until their requests may start. It is safe for
// concurrent use.
type Gate struct {
	mutex       sync.Mutex
	controllers map[string]*Controller
	closeErr    *result.Error  // set once the gate is closed
	arrivals    map[string]int // requests by tenant since the last TakeArrivals
}

// NewGate returns a gate without tenants; it refuses every request until
// SetLimits is called.
func NewGate() *Gate {
	return &Gate{controllers: make(map[string]*Controller), arrivals: make(map[string]int)}
}

// SetLimits replaces the limits of all tenants. Tenants that are not in limits
// are removed: their waiting requests are refused, their running requests finish.
func (g *Gate) SetLimits(now time.Time, limits map[string]Limits) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for tenant, tenantLimits := range limits {
		controller, ok := g.controllers[tenant]
		if !ok {
			g.controllers[tenant] = NewController(tenantLimits)
			continue
		}
		controller.SetLimits(now, tenantLimits)
	}
	for tenant, controller := range g.controllers {
		if _, ok := limits[tenant]; !ok {
			controller.RefuseAll(result.New(result.UnknownTenant, "tenant %q was removed", tenant))
			delete(g.controllers, tenant)
		}
	}
}

// TakeArrivals returns the number of requests by tenant that arrived since the
// last call, whether admitted or not, and resets the counts.
func (g *Gate) TakeArrivals() map[string]int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	arrivals := g.arrivals
	g.arrivals = make(map[string]int, len(arrivals))
	return arrivals
}

// Close refuses all waiting requests and every later one with err.
func (g *Gate) Close(err *result.Error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.closeErr = err
	for _, controller := range g.controllers {
		controller.RefuseAll(err)
	}
}

// Occupancy counts a tenant's running and waiting requests.
type Occupancy struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// Occupancy returns the numbers of running and waiting requests by tenant.
func (g *Gate) Occupancy() map[string]Occupancy {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	counts := make(map[string]Occupancy, len(g.controllers))
	for tenant, controller := range g.controllers {
		counts[tenant] = Occupancy{Running: controller.Running(), Waiting: controller.Waiting()}
	}
	return counts
}

// outcome is the final decision on a queued request.
type outcome struct {
	decision Decision
	err      *result.Error
}

// Acquire blocks until the request may start and returns a function that the
// caller must call when the request has ended. An error means that the request
// did not start: it was refused, its deadline passed or ctx was cancelled.
func (g *Gate) Acquire(ctx context.Context, tenant string, priority Priority, deadline time.Time) (func(), error) {
	request := &Request{Priority: priority, Deadline: deadline}
	controller, decided, err := g.submit(tenant, request)
	if err != nil {
		return nil, err
	}
	if decided == nil {
		return func() { g.finish(controller) }, nil
	}
	return g.awaitDecision(ctx, controller, request, decided)
}

// submit passes a request to its tenant's controller. The returned channel
// receives the final decision; it is nil if the request is admitted at once.
func (g *Gate) submit(tenant string, request *Request) (*Controller, chan outcome, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closeErr != nil {
		return nil, nil, g.closeErr
	}
	controller, ok := g.controllers[tenant]
	if !ok {
		return nil, nil, result.New(result.UnknownTenant, "no tenant %q", tenant)
	}
	g.arrivals[tenant]++
	decision, refusal := controller.Submit(time.Now(), request)
	switch decision {
	case Refused:
		return nil, nil, refusal
	case Admitted:
		return controller, nil, nil
	}
	// Notify can be set after Submit: it is called only under the lock held here.
	decided := make(chan outcome, 1)
	request.Notify = func(decision Decision, err *result.Error) { decided <- outcome{decision, err} }
	return controller, decided, nil
}

// awaitDecision waits for the decision on a queued request, and withdraws it
// when its deadline passes or ctx ends.
func (g *Gate) awaitDecision(ctx context.Context, controller *Controller, request *Request, decided chan outcome) (func(), error) {
	timer := time.NewTimer(time.Until(request.Deadline))
	defer timer.Stop()
	select {
	case final := <-decided:
		return g.resolve(controller, final)
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mutex.Lock()
	withdrawn := controller.Withdraw(request)
	g.mutex.Unlock()
	if !withdrawn {
		// The controller decided at the same moment; its decision stands.
		return g.resolve(controller, <-decided)
	}
	if ctx.Err() != nil {
		return nil, result.New(result.DeadlineInQueue, "the caller disconnected while the request was queued")
	}
	return nil, result.New(result.DeadlineInQueue, "the deadline passed while the request was queued").WithRetryAfter(queueRetryAfter)
}

// resolve turns the final decision on a queued request into the results of Acquire.
func (g *Gate) resolve(controller *Controller, final outcome) (func(), error) {
	if final.decision == Admitted {
		return func() { g.finish(controller) }, nil
	}
	return nil, final.err
}

func (g *Gate) finish(controller *Controller) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	controller.Finish(time.Now())
}
