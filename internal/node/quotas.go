package node

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/admission"
	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/config"
	"github.com/pathbend/pathbend/internal/quota"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/wait"
)

// minBurst is the smallest burst of a node. With a burst of one, requests at regular
// intervals that do not divide the time between two tokens waste most of a share.
const minBurst = 2

// quotas holds this node's shares of the tenants' request rates, and divides the rates of
// the tenants that it owns among all nodes.
type quotas struct {
	node *Node

	mutex sync.Mutex
	// allocators, meters and shares are by the name of the tenant. allocators divide
	// the rates that this node owns, meters measure this node's demand.
	allocators map[string]*quota.Allocator
	meters     map[string]*quota.Meter
	shares     map[string]grantedShare
}

// grantedShare is a share of a rate and the time at which it was received.
type grantedShare struct {
	requestsPerSecond float64
	receivedAt        clock.Moment
}

func newQuotas(n *Node) *quotas {
	return &quotas{
		node: n, allocators: make(map[string]*quota.Allocator), meters: make(map[string]*quota.Meter),
		shares: make(map[string]grantedShare),
	}
}

// rateOwnerKey returns the rendezvous key of the node that divides a tenant's rate.
func rateOwnerKey(tenant string) string { return "rate/" + tenant }

// loop reports this node's demand to the owners of the rates and applies the shares.
func (q *quotas) loop(ctx context.Context) {
	var reports conc.WaitGroup
	defer reports.Wait()
	wait.Every(ctx, quota.ReportInterval, func() {
		revision := q.node.current.Load()
		if revision == nil {
			return
		}
		arrivals := q.node.gate.TakeArrivals()
		for _, tenant := range revision.Document.Tenants {
			demand := q.observe(tenant.Name, arrivals[tenant.Name])
			if demand == 0 {
				continue
			}
			reports.Go(func() { q.report(ctx, tenant.Name, demand) })
		}
		q.apply(revision.Document)
	})
}

// observe returns the demand of a tenant at this node after the given number of arrivals
// in the last interval.
func (q *quotas) observe(tenant string, arrivals int) float64 {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	meter, ok := q.meters[tenant]
	if !ok {
		meter = &quota.Meter{}
		q.meters[tenant] = meter
	}
	return meter.Observe(arrivals, quota.ReportInterval)
}

// report reports demand to the owner of a tenant's rate and stores the share that the
// owner returns. Without an answer the previous share expires and an equal share of the
// rate replaces it.
func (q *quotas) report(ctx context.Context, tenant string, demand float64) {
	owner, ok := highestRanked(rateOwnerKey(tenant), q.node.members.usable())
	if !ok {
		return
	}
	call := &pathbendv1.ShareRate{Tenant: tenant, Demand: demand, From: q.node.id}
	if owner.ID == q.node.id {
		if share, err := q.handle(call); err == nil {
			q.setShare(tenant, share.RequestsPerSecond)
		}
		return
	}
	ctx, cancel := context.WithTimeout(ctx, quota.ReportInterval)
	defer cancel()
	reply, err := q.node.peers.Call(ctx, owner.Address, &pathbendv1.Envelope{Body: &pathbendv1.Envelope_ShareRate{ShareRate: call}})
	if err == nil {
		q.setShare(tenant, reply.GetRateShare().GetRequestsPerSecond())
	}
}

// setShare stores a share that was received now and applies it.
func (q *quotas) setShare(tenant string, share float64) {
	q.mutex.Lock()
	q.shares[tenant] = grantedShare{requestsPerSecond: share, receivedAt: clock.CurrentMoment()}
	q.mutex.Unlock()
	if revision := q.node.current.Load(); revision != nil {
		q.apply(revision.Document)
	}
}

// handle answers a node's report with its share of a rate that this node owns.
func (q *quotas) handle(call *pathbendv1.ShareRate) (*pathbendv1.RateShare, error) {
	revision := q.node.current.Load()
	if revision == nil {
		return nil, result.New(result.NotReady, "no configuration yet")
	}
	tenant := revision.Document.FindTenant(call.Tenant)
	if tenant == nil {
		return nil, result.New(result.UnknownTenant, "no tenant %q", call.Tenant)
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	allocator, ok := q.allocators[call.Tenant]
	if !ok {
		allocator = quota.NewAllocator()
		q.allocators[call.Tenant] = allocator
	}
	share := allocator.Report(time.Now(), call.From, call.Demand, tenant.Spec.Capacity.RequestsPerSecond)
	return &pathbendv1.RateShare{RequestsPerSecond: share}, nil
}

// apply sets the admission limits of all tenants by this node's shares: the granted share
// up to the age of quota.ReportTTL, else an equal share of the rate.
func (q *quotas) apply(document *config.Document) {
	equalShare := 1 / float64(max(q.node.members.usableCount(), 1))
	now := time.Now()
	limits := make(map[string]admission.Limits, len(document.Tenants))
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, tenant := range document.Tenants {
		capacity := tenant.Spec.Capacity
		share := equalShare
		if granted, ok := q.shares[tenant.Name]; ok && granted.receivedAt.AgeAt(now) < quota.ReportTTL {
			share = granted.requestsPerSecond / capacity.RequestsPerSecond
		}
		limits[tenant.Name] = admission.Limits{
			RequestsPerSecond: capacity.RequestsPerSecond * share,
			Burst:             max(int(float64(capacity.Burst)*share), minBurst),
			Concurrent:        capacity.ConcurrentRequests,
			QueueLength:       capacity.QueueLength,
		}
	}
	q.node.gate.SetLimits(now, limits)
}
