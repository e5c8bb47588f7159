package platformnode

import (
	"context"
	"time"

	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/schedule"
	"github.com/pathbend/pathbend/internal/wait"
	"github.com/pathbend/pathbend/internal/weights"
)

const (
	// controlTimeout bounds a status report or an order.
	controlTimeout = 800 * time.Millisecond
	// firstPollDelay is the time from an order to the first poll of the sampler: a load takes
	// that long when no other sampler loads. minPollInterval is the shortest interval between
	// polls of one sampler, maxPollsPerSecond bounds the polls of all samplers together.
	firstPollDelay    = 900 * time.Millisecond
	minPollInterval   = 60 * time.Millisecond
	maxPollsPerSecond = 1000
	// loadTimeout bounds the wait for an ordered version. After it the rolling update decides
	// again what the sampler needs.
	loadTimeout = 4 * time.Second
)

// orderWeights starts the weight changes that are due, each in its own goroutine. The caller
// holds the lock.
func (e *executor) orderWeights(now time.Time) {
	// The demand is recorded before any version is announced as well.
	e.rollingUpdate.SetDemand(weightDemands(e.scheduler.ExpectedDemand(now)))
	if _, ok := e.node.ownership.OrderFencingToken(jobPartition, now); !ok {
		return
	}
	targets := e.node.targets()
	if len(targets) == 0 || e.node.claims.backingOff(now) {
		return
	}
	for _, update := range e.rollingUpdate.Next(now, samplerFleet{executor: e, now: now}, targets) {
		sampler, ok := e.scheduler.Sampler(update.SamplerID)
		if !ok {
			e.rollingUpdate.Done(update, false, now)
			continue
		}
		session, scheduler := e.session, e.scheduler
		e.work.Go(func() {
			began := time.Now()
			reached, permitted := e.moveToVersion(session, scheduler, sampler, update)
			e.mutex.Lock()
			defer e.mutex.Unlock()
			if e.scheduler != scheduler {
				return
			}
			scheduler.SetLoading(sampler.Incarnation(), update.Model, false)
			if permitted {
				e.rollingUpdate.Done(update, reached, time.Now())
			} else {
				e.rollingUpdate.Postpone(update, time.Now())
			}
			e.node.metrics.recordVersionMove(reached, time.Since(began))
			e.wake()
		})
	}
}

// samplerFleet presents the samplers to the rolling update, as the executor knows them. It
// leaves out evacuated samplers, so that samplers that get work are updated in their place.
// The executor's lock is held while it is used.
type samplerFleet struct {
	executor *executor
	now      time.Time
}

// Size implements weights.Fleet.
func (f samplerFleet) Size() int { return f.executor.scheduler.SamplerCount() }

// Members implements weights.Fleet.
func (f samplerFleet) Members() []weights.Member {
	var members []weights.Member
	for _, load := range f.executor.scheduler.Loads() {
		if !load.Evacuated {
			members = append(members, f.toMember(load))
		}
	}
	return members
}

// Member implements weights.Fleet.
func (f samplerFleet) Member(id string) (weights.Member, bool) {
	load, known := f.executor.scheduler.Load(id)
	if !known || load.Evacuated {
		return weights.Member{}, false
	}
	member := f.toMember(load)
	member.OrderPending = f.executor.node.claims.claimedRecently(id, f.now)
	return member, true
}

func (f samplerFleet) toMember(load schedule.Load) weights.Member {
	return weights.Member{
		ID: load.ID, StartedAtMs: load.StartedAtMs, Service: load.Service, Region: f.executor.node.settings.Topology.Region(load.Zone), Versions: load.Versions, Running: load.Running, Slots: load.Slots, Leaving: load.Leaving,
	}
}

// moveToVersion orders one sampler to load a version, unless it serves or loads it already,
// and waits for it. It returns whether the sampler reported the version, and false for permitted if
// this node may not order it now.
func (e *executor) moveToVersion(ctx context.Context, scheduler *schedule.Scheduler, sampler schedule.Sampler, update weights.Update) (reached, permitted bool) {
	report, err := e.requestReport(ctx, sampler)
	if err != nil {
		e.node.logger.Log(event.WeightsFailed, "sampler", sampler.ID, "model", update.Model, "version", update.Version, "detail", err.Error())
		return false, true
	}
	e.recordVersions(scheduler, sampler, report.Versions)
	if report.Versions[update.Model] >= update.Version {
		return true, true
	}
	if report.Busy {
		return e.awaitVersion(ctx, scheduler, sampler, update), true
	}
	permit, ok := e.node.claims.AcquirePermit(ctx, sampler.ID)
	if !ok || ctx.Err() != nil || e.node.evacuated.Load().Contains(sampler.Zone) {
		return false, false
	}
	e.setLoading(scheduler, sampler, update)
	callCtx, cancel := context.WithTimeout(ctx, controlTimeout)
	answer, err := e.node.ports.Control.Order(callCtx, sampler, VersionOrder{
		Model: update.Model, Version: update.Version, Holder: permit.Holder, Fence: permit.Fence,
		FinishRuns: e.singleVersion(scheduler, update.Model), AfterOrders: report.Orders,
	})
	cancel()
	detail := ""
	if err != nil {
		detail = err.Error()
	}
	e.node.logger.Log(event.WeightsOrdered, "sampler", sampler.ID, "model", update.Model, "version", update.Version,
		"fence", permit.Fence, "after_orders", report.Orders, "answer", int(answer), "detail", detail)
	switch answer {
	case OrderAccepted, OrderUnknown, OrderConflict:
		return e.awaitVersion(ctx, scheduler, sampler, update), true
	case OrderAlreadyServing:
		e.recordVersions(scheduler, sampler, map[string]uint64{update.Model: update.Version})
		return true, true
	default:
		return false, true
	}
}

// awaitVersion polls a sampler until it serves a version. It returns false after loadTimeout,
// if the order counts as lost, or if the sampler's zone is evacuated.
func (e *executor) awaitVersion(ctx context.Context, scheduler *schedule.Scheduler, sampler schedule.Sampler, update weights.Update) bool {
	e.setLoading(scheduler, sampler, update)
	start := time.Now()
	wait.For(ctx, firstPollDelay)
	idleReports := 0
	for ctx.Err() == nil && time.Since(start) < loadTimeout && !e.node.evacuated.Load().Contains(sampler.Zone) {
		report, err := e.requestReport(ctx, sampler)
		if err == nil {
			e.recordVersions(scheduler, sampler, report.Versions)
			if report.Versions[update.Model] >= update.Version && !report.Busy {
				return true
			}
			if idleReports = countIdleReports(idleReports, report); idleReports > maxIdleReports {
				return false
			}
		}
		wait.For(ctx, e.pollInterval())
	}
	return false
}

// pollInterval returns the interval between two polls of a loading sampler. It grows with the
// number of loading samplers to stay within maxPollsPerSecond.
func (e *executor) pollInterval() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return max(minPollInterval, time.Duration(e.rollingUpdate.InProgress())*time.Second/maxPollsPerSecond)
}

// maxIdleReports is how many consecutive reports may show neither the version nor an order in
// progress before the order counts as not accepted.
const maxIdleReports = 2

// countIdleReports returns the number of consecutive idle reports after one more report.
func countIdleReports(previous int, report SamplerReport) int {
	if report.Busy {
		return 0
	}
	return previous + 1
}

// requestReport requests a sampler's status. It returns an error if another incarnation than
// the listed one answers; the list will soon contain the newer one.
func (e *executor) requestReport(ctx context.Context, sampler schedule.Sampler) (SamplerReport, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	report, err := e.node.ports.Control.Report(ctx, sampler)
	if err == nil && report.StartedAtMs != sampler.StartedAtMs && report.StartedAtMs > 0 && sampler.StartedAtMs > 0 {
		return SamplerReport{}, result.New(result.BackEndRefused, "sampler %q runs another incarnation: started at %d, listed with %d", sampler.ID, report.StartedAtMs, sampler.StartedAtMs)
	}
	return report, err
}

// recordVersions passes the versions that a sampler reported to the scheduler.
func (e *executor) recordVersions(scheduler *schedule.Scheduler, sampler schedule.Sampler, versions map[string]uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for model, version := range versions {
		scheduler.SetVersion(sampler.Incarnation(), model, version)
	}
	e.wake()
}

// singleVersion reports whether texts of a model must come from a single version. A text that
// continued under new weights would then have to be generated again from the start.
func (e *executor) singleVersion(scheduler *schedule.Scheduler, model string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return scheduler.SingleVersion(model)
}

// setLoading tells the scheduler that a sampler is changing weights.
func (e *executor) setLoading(scheduler *schedule.Scheduler, sampler schedule.Sampler, update weights.Update) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	scheduler.SetLoading(sampler.Incarnation(), update.Model, true)
}
