package hosted

import (
	"context"
	"math/rand/v2"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/schedule"
	"github.com/pathbend/pathbend/internal/wait"
	"github.com/pathbend/pathbend/internal/weights"
)

const (
	// controlTimeout bounds a report or an order.
	controlTimeout = 800 * time.Millisecond
	// firstLook is when a sampler is first asked whether it took its order: a load
	// takes as long where it is alone. lookInterval is the shortest pause between
	// looks at one sampler; all looks together come looksPerSecond times a second at
	// most (chosen).
	firstLook      = 900 * time.Millisecond
	lookInterval   = 60 * time.Millisecond
	looksPerSecond = 1000
	// loadPatience is how long an order may take before the sampler is judged
	// anew.
	loadPatience = 4 * time.Second
	// announcePatience bounds how long an order waits for the log.
	announcePatience = 700 * time.Millisecond
	// announceLimit is how old an announcement may be when its order is sent.
	announceLimit = time.Second
)

// orderWeights begins the orders that are due. It is called under the lock.
func (e *executor) orderWeights(now time.Time) {
	if _, ok := e.node.ownership.mayOrder(jobPartition, now); !ok {
		return
	}
	targets := e.node.targets()
	if len(targets) == 0 {
		return
	}
	var members []weights.Member
	for _, load := range e.scheduler.Loads() {
		members = append(members, weights.Member{
			ID: load.ID, Versions: load.Versions, Running: load.Running, Slots: load.Slots, Leaving: load.Leaving,
			Wait: e.orderedByAnother(load.ID, now),
		})
	}
	e.roll.Want(e.scheduler.Demand(now))
	for _, step := range e.roll.Next(now, members, targets) {
		sampler, ok := e.scheduler.Sampler(step.SamplerID)
		if !ok {
			e.roll.Done(step.SamplerID, false, now)
			continue
		}
		session, scheduler := e.session, e.scheduler
		e.work.Go(func() {
			began := time.Now()
			reached := e.move(session, scheduler, sampler, step)
			e.mutex.Lock()
			defer e.mutex.Unlock()
			if e.scheduler != scheduler {
				return
			}
			scheduler.SetLoading(step.SamplerID, step.Model, false)
			e.roll.Done(step.SamplerID, reached, time.Now())
			e.node.metrics.versionMove(reached, time.Since(began))
			e.wake()
		})
	}
}

// orderedByAnother reports whether a sampler had an order of another node of
// late. Orders of two nodes to one sampler must lie the grace apart.
func (e *executor) orderedByAnother(samplerID string, now time.Time) bool {
	waits := false
	e.node.jobs.withLedger(func(known *ledger.Ledger) {
		last := known.LastOrderByOthers(samplerID, e.node.settings.Name)
		waits = !last.IsZero() && now.Sub(last) < e.node.settings.OrderGrace+orderMargin
	})
	return waits
}

// announceOrder writes down that an order is about to be sent and reads the log up
// to that entry. The log puts the announcements of two nodes that both take
// themselves for the holder in one order: the one with the lower fence that comes
// second finds the other's and gives its order up, and the one with the higher
// fence leaves the samplers alone for a while that the other announced before. It
// returns the fence, and false if this node may not order after all.
func (e *executor) announceOrder(ctx context.Context, sampler schedule.Sampler) (fence uint64, ok bool) {
	fence, ok = e.node.ownership.mayOrder(jobPartition, time.Now())
	if !ok {
		return 0, false
	}
	began := time.Now()
	serial := rand.Uint64()
	entry := &pathbendv1.LedgerEntry{Fact: &pathbendv1.LedgerEntry_Ordered{Ordered: &pathbendv1.WeightOrder{
		SamplerId: sampler.ID, Holder: e.node.settings.Name, Fence: fence, Serial: serial,
	}}}
	readBack := func() bool {
		last, known := e.node.jobs.ledger.LastOrder(sampler.ID, e.node.settings.Name)
		return known && last.Serial == serial
	}
	if err := e.node.jobs.record(ctx, announcePatience, readBack, entry); err != nil {
		return 0, false
	}
	if !e.node.jobs.awaitReadBack(ctx, announcePatience, readBack) || time.Since(began) > announceLimit {
		return 0, false
	}
	if e.superseded(fence) || e.orderedByAnother(sampler.ID, time.Now()) {
		return 0, false
	}
	// The share may have ended while the log was slow.
	return e.node.ownership.mayOrder(jobPartition, time.Now())
}

// superseded reports whether another node announced an order under a higher fence.
func (e *executor) superseded(fence uint64) bool {
	superseded := false
	e.node.jobs.withLedger(func(known *ledger.Ledger) {
		newest := known.NewestOrder()
		superseded = newest.Fence > fence && newest.Holder != e.node.settings.Name
	})
	return superseded
}

// move brings one sampler to a version. It reports whether the sampler was seen
// to serve it.
func (e *executor) move(ctx context.Context, scheduler *schedule.Scheduler, sampler schedule.Sampler, step weights.Step) bool {
	report, err := e.report(ctx, sampler)
	if err != nil {
		e.node.logger.Log(event.WeightsFailed, "sampler", sampler.ID, "model", step.Model, "version", step.Version, "detail", err.Error())
		return false
	}
	e.noteVersions(scheduler, sampler.ID, report.Versions)
	if report.Versions[step.Model] >= step.Version {
		return true
	}
	if report.Busy {
		return e.awaitVersion(ctx, scheduler, sampler, step)
	}
	fence, ok := e.announceOrder(ctx, sampler)
	if !ok || ctx.Err() != nil {
		return false
	}
	e.setLoading(scheduler, step)
	callCtx, cancel := context.WithTimeout(ctx, controlTimeout)
	answer, err := e.node.ports.Control.Order(callCtx, sampler, VersionOrder{
		Model: step.Model, Version: step.Version, Holder: e.node.settings.Name, Fence: fence,
		FinishRuns: e.singleVersion(scheduler, step.Model), AfterOrders: report.Orders,
	})
	cancel()
	detail := ""
	if err != nil {
		detail = err.Error()
	}
	e.node.logger.Log(event.WeightsOrdered, "sampler", sampler.ID, "model", step.Model, "version", step.Version,
		"fence", fence, "after_orders", report.Orders, "answer", int(answer), "detail", detail)
	switch answer {
	case OrderTaken, OrderUnknown, OrderConflict:
		return e.awaitVersion(ctx, scheduler, sampler, step)
	case OrderHolds:
		e.noteVersions(scheduler, sampler.ID, map[string]uint64{step.Model: step.Version})
		return true
	default:
		return false
	}
}

// awaitVersion asks a sampler until it serves a version.
func (e *executor) awaitVersion(ctx context.Context, scheduler *schedule.Scheduler, sampler schedule.Sampler, step weights.Step) bool {
	e.setLoading(scheduler, step)
	began := time.Now()
	wait.For(ctx, firstLook)
	idle := 0
	for ctx.Err() == nil && time.Since(began) < loadPatience {
		report, err := e.report(ctx, sampler)
		if err == nil {
			e.noteVersions(scheduler, sampler.ID, report.Versions)
			if report.Versions[step.Model] >= step.Version && !report.Busy {
				return true
			}
			if idle = idleLooks(idle, report); idle > maxIdleLooks {
				return false
			}
		}
		wait.For(ctx, e.lookPause())
	}
	return false
}

// lookPause is the pause between two looks at a sampler that loads.
func (e *executor) lookPause() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return max(lookInterval, time.Duration(e.roll.Moving())*time.Second/looksPerSecond)
}

// maxIdleLooks is how many reports in a row may show neither the version nor an
// order under way before the order counts as not taken.
const maxIdleLooks = 2

func idleLooks(before int, report SamplerReport) int {
	if report.Busy {
		return 0
	}
	return before + 1
}

func (e *executor) report(ctx context.Context, sampler schedule.Sampler) (SamplerReport, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return e.node.ports.Control.Report(ctx, sampler)
}

func (e *executor) noteVersions(scheduler *schedule.Scheduler, samplerID string, versions map[string]uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for model, version := range versions {
		scheduler.SetVersion(samplerID, model, version)
	}
	e.wake()
}

// singleVersion reports whether a text that went on under new weights would have
// to begin anew.
func (e *executor) singleVersion(scheduler *schedule.Scheduler, model string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return scheduler.SingleVersion(model)
}

func (e *executor) setLoading(scheduler *schedule.Scheduler, step weights.Step) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	scheduler.SetLoading(step.SamplerID, step.Model, true)
}
