package hosted

import (
	"context"
	"time"

	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/schedule"
)

const (
	// splitBrainInterval is how often an executor that cannot renew its lease on the
	// partition asks a sampler for its load.
	splitBrainInterval = 150 * time.Millisecond
	// foreignRuns is the minimum number of runs that a sampler must have beyond those of this
	// node to indicate another executor. Smaller differences are normal: the report is some
	// 100 ms old, and runs start and end meanwhile.
	foreignRuns = 4
	// reportsNeeded is the number of consecutive such reports that prove another executor.
	reportsNeeded = 3
)

// splitBrainDetector detects whether another node executes the same jobs. An executor that
// cannot renew its lease continues, since the log service may be down for all nodes, and
// then no other node can take over. If the service refuses only this node, another one has
// taken over, and both send work to the same samplers. The samplers' reports show it: they
// have more work than this node gave them.
type splitBrainDetector struct {
	askedAt time.Time
	next    int
	seen    int
}

// due reports whether to query a sampler now. It resets the count of suspicious reports
// once the node can renew its lease again.
func (w *splitBrainDetector) due(outOfTouch bool, now time.Time) bool {
	if !outOfTouch {
		w.seen = 0
		return false
	}
	if now.Sub(w.askedAt) < splitBrainInterval {
		return false
	}
	w.askedAt = now
	return true
}

// choose returns the next sampler in round-robin order, skipping those that are leaving,
// evacuated or serve no model. It returns false if there is none.
func (w *splitBrainDetector) choose(loads []schedule.Load) (schedule.Load, bool) {
	for range loads {
		w.next++
		if load := loads[w.next%len(loads)]; !load.Leaving && !load.Evacuated && len(load.Versions) > 0 {
			return load, true
		}
	}
	return schedule.Load{}, false
}

// heard compares the work that a sampler reports with the work that this node gave it. It
// returns true once reportsNeeded consecutive reports show another executor.
func (w *splitBrainDetector) heard(work, own int) bool {
	if work-own < foreignRuns {
		w.seen = 0
		return false
	}
	w.seen++
	return w.seen >= reportsNeeded
}

// detectSplitBrain queries a sampler if that is due. The caller holds e.mutex.
func (e *executor) detectSplitBrain(now time.Time) {
	if !e.splitBrain.due(e.node.ownership.OutOfTouch(now), now) {
		return
	}
	load, ok := e.splitBrain.choose(e.scheduler.Loads())
	if !ok {
		return
	}
	sampler, _ := e.scheduler.Sampler(load.ID)
	session, scheduler := e.session, e.scheduler
	e.work.Go(func() { e.compareWork(session, scheduler, sampler, load.Running) })
}

func (e *executor) compareWork(ctx context.Context, scheduler *schedule.Scheduler, sampler schedule.Sampler, own int) {
	report, err := e.report(ctx, sampler)
	if err != nil {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.scheduler != scheduler || !e.node.ownership.OutOfTouch(time.Now()) || !e.splitBrain.heard(report.Work, own) {
		return
	}
	e.node.logger.Log(event.ExecutorYielded, "sampler", sampler.ID, "work", report.Work, "own", own)
	e.node.ownership.Yield()
	// The other executor needs the slots before the progress of these runs could be saved.
	e.stopRuns()
	e.wake()
}
