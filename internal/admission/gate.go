package admission

import (
	"context"
	"sync"
	"time"

	"github.com/pathbend/pathbend/internal/result"
)

// Gate lets goroutines wait for the verdicts of one controller per tenant.
type Gate struct {
	mutex       sync.Mutex
	controllers map[string]*Controller
	closedWith  *result.Error
	arrivals    map[string]int
}

// NewGate returns a gate without tenants.
func NewGate() *Gate {
	return &Gate{controllers: make(map[string]*Controller), arrivals: make(map[string]int)}
}

// SetLimits puts the limits of all tenants in force. Tenants that are gone are
// forgotten; their running requests finish.
func (g *Gate) SetLimits(now time.Time, limits map[string]Limits) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for tenant, wanted := range limits {
		controller, ok := g.controllers[tenant]
		if !ok {
			g.controllers[tenant] = NewController(wanted)
			continue
		}
		controller.SetLimits(now, wanted)
	}
	for tenant, controller := range g.controllers {
		if _, ok := limits[tenant]; !ok {
			controller.RefuseAll(result.New(result.UnknownTenant, "tenant %q was removed", tenant))
			delete(g.controllers, tenant)
		}
	}
}

// TakeArrivals returns the requests that arrived since the last call, admitted
// or not, by tenant.
func (g *Gate) TakeArrivals() map[string]int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	taken := g.arrivals
	g.arrivals = make(map[string]int, len(taken))
	return taken
}

// Close refuses every waiting and later request with an error.
func (g *Gate) Close(err *result.Error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.closedWith = err
	for _, controller := range g.controllers {
		controller.RefuseAll(err)
	}
}

// Occupancy counts a tenant's running and waiting requests.
type Occupancy struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// Occupancy returns the counts by tenant.
func (g *Gate) Occupancy() map[string]Occupancy {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	counts := make(map[string]Occupancy, len(g.controllers))
	for tenant, controller := range g.controllers {
		counts[tenant] = Occupancy{Running: controller.Running(), Waiting: controller.Waiting()}
	}
	return counts
}

type verdict struct {
	kind Verdict
	err  *result.Error
}

// Enter waits until the request may start. The returned function must be called
// when it ended. A refusal, a passed deadline and a cancelled ctx all mean that
// the request did not start.
func (g *Gate) Enter(ctx context.Context, tenant string, priority Priority, deadline time.Time) (func(), error) {
	ticket := &Ticket{Priority: priority, Deadline: deadline}
	controller, decided, err := g.arrive(tenant, ticket)
	if err != nil {
		return nil, err
	}
	if decided == nil {
		return func() { g.finish(controller) }, nil
	}
	return g.await(ctx, controller, ticket, decided)
}

// arrive returns a channel for the verdict if the ticket has to wait.
func (g *Gate) arrive(tenant string, ticket *Ticket) (*Controller, chan verdict, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closedWith != nil {
		return nil, nil, g.closedWith
	}
	controller, ok := g.controllers[tenant]
	if !ok {
		return nil, nil, result.New(result.UnknownTenant, "no tenant %q", tenant)
	}
	g.arrivals[tenant]++
	kind, refusal := controller.Arrive(time.Now(), ticket)
	switch kind {
	case Refused:
		return nil, nil, refusal
	case Admitted:
		return controller, nil, nil
	}
	// Nothing decides on the ticket before the lock is released.
	decided := make(chan verdict, 1)
	ticket.Decide = func(kind Verdict, err *result.Error) { decided <- verdict{kind, err} }
	return controller, decided, nil
}

func (g *Gate) await(ctx context.Context, controller *Controller, ticket *Ticket, decided chan verdict) (func(), error) {
	timer := time.NewTimer(time.Until(ticket.Deadline))
	defer timer.Stop()
	select {
	case outcome := <-decided:
		return g.conclude(controller, outcome)
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mutex.Lock()
	withdrawn := controller.Withdraw(ticket)
	g.mutex.Unlock()
	if !withdrawn {
		// A verdict came at the same moment and stands.
		return g.conclude(controller, <-decided)
	}
	if ctx.Err() != nil {
		return nil, result.New(result.DeadlineInQueue, "the caller went away while the request waited")
	}
	return nil, result.New(result.DeadlineInQueue, "the deadline passed in the queue").WithRetryAfter(queueRetryAfter)
}

func (g *Gate) conclude(controller *Controller, outcome verdict) (func(), error) {
	if outcome.kind == Admitted {
		return func() { g.finish(controller) }, nil
	}
	return nil, outcome.err
}

func (g *Gate) finish(controller *Controller) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	controller.Finish(time.Now())
}
