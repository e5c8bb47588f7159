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

// minBurst is the least burst of a node. With a burst of one, requests at even
// gaps that do not divide the time between two tokens waste most of a share.
const minBurst = 2

// quotas keeps this node's shares of the tenants' rates, and divides the rates
// that it owns.
type quotas struct {
	node *Node

	mutex   sync.Mutex
	ledgers map[string]*quota.Ledger
	meters  map[string]*quota.Meter
	shares  map[string]grantedShare
}

// grantedShare is a share with the time at which it was granted.
type grantedShare struct {
	requestsPerSecond float64
	at                clock.Moment
}

func newQuotas(n *Node) *quotas {
	return &quotas{
		node: n, ledgers: make(map[string]*quota.Ledger), meters: make(map[string]*quota.Meter),
		shares: make(map[string]grantedShare),
	}
}

func rateOwner(tenant string) string { return "rate/" + tenant }

// loop reports demand and puts the shares in force.
func (q *quotas) loop(ctx context.Context) {
	var reports conc.WaitGroup
	defer reports.Wait()
	wait.Every(ctx, quota.Interval, func() {
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

func (q *quotas) observe(tenant string, arrivals int) float64 {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	meter, ok := q.meters[tenant]
	if !ok {
		meter = &quota.Meter{}
		q.meters[tenant] = meter
	}
	return meter.Observe(arrivals, quota.Interval)
}

// report asks the owner of a tenant's rate for a share. Without an answer the
// former share runs out and the even part takes its place.
func (q *quotas) report(ctx context.Context, tenant string, demand float64) {
	owner, ok := firstFor(rateOwner(tenant), q.node.members.usable())
	if !ok {
		return
	}
	call := &pathbendv1.ShareRate{Tenant: tenant, Demand: demand, From: q.node.id}
	if owner.ID == q.node.id {
		if share, err := q.handle(call); err == nil {
			q.take(tenant, share.RequestsPerSecond)
		}
		return
	}
	ctx, cancel := context.WithTimeout(ctx, quota.Interval)
	defer cancel()
	reply, err := q.node.peers.Call(ctx, owner.Address, &pathbendv1.Envelope{Body: &pathbendv1.Envelope_ShareRate{ShareRate: call}})
	if err == nil {
		q.take(tenant, reply.GetRateShare().GetRequestsPerSecond())
	}
}

func (q *quotas) take(tenant string, share float64) {
	q.mutex.Lock()
	q.shares[tenant] = grantedShare{requestsPerSecond: share, at: clock.Mark()}
	q.mutex.Unlock()
	if revision := q.node.current.Load(); revision != nil {
		q.apply(revision.Document)
	}
}

// handle divides a rate that this node owns.
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
	ledger, ok := q.ledgers[call.Tenant]
	if !ok {
		ledger = quota.NewLedger()
		q.ledgers[call.Tenant] = ledger
	}
	share := ledger.Report(time.Now(), call.From, call.Demand, tenant.Spec.Capacity.RequestsPerSecond)
	return &pathbendv1.RateShare{RequestsPerSecond: share}, nil
}

// apply puts the shares of all tenants in force: the granted one while it is
// fresh, else an even part of the rate.
func (q *quotas) apply(document *config.Document) {
	even := 1 / float64(max(q.node.members.usableCount(), 1))
	now := time.Now()
	limits := make(map[string]admission.Limits, len(document.Tenants))
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, tenant := range document.Tenants {
		capacity := tenant.Spec.Capacity
		part := even
		if granted, ok := q.shares[tenant.Name]; ok && granted.at.AgeAt(now) < quota.Lifetime {
			part = granted.requestsPerSecond / capacity.RequestsPerSecond
		}
		limits[tenant.Name] = admission.Limits{
			RequestsPerSecond: capacity.RequestsPerSecond * part,
			Burst:             max(int(float64(capacity.Burst)*part), minBurst),
			Concurrent:        capacity.ConcurrentRequests,
			QueueLength:       capacity.QueueLength,
		}
	}
	q.node.gate.SetLimits(now, limits)
}
