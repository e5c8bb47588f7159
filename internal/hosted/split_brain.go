package hosted

import (
	"context"
	"time"

	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/schedule"
)

const (
	// splitBrainInterval is how often a node that executes without its share asks
	// samplers for their work.
	splitBrainInterval = 150 * time.Millisecond
	// foreignRuns is how many runs of others a sampler must have to count as a
	// sign of another executor: its report is some 100 ms old, and runs come and
	// go meanwhile.
	foreignRuns = 4
	// reportsNeeded is the number of such reports in a row.
	reportsNeeded = 3
)

// splitBrainDetector finds out whether another node executes the same jobs. An executor that
// cannot renew its share goes on, since the log service may be away for all, and
// then nobody else can take the jobs over. If the service only turned this node
// away, another one has them, and both fill the same samplers. The samplers tell:
// they have more work than this node gave them.
type splitBrainDetector struct {
	askedAt time.Time
	next    int
	seen    int
}

// due reports whether a sampler is to be asked now, and forgets what was seen once
// the node holds its share again.
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

// choose returns the samplers in turn.
func (w *splitBrainDetector) choose(loads []schedule.Load) (schedule.Load, bool) {
	for range loads {
		w.next++
		if load := loads[w.next%len(loads)]; !load.Leaving && !load.Evacuated && len(load.Versions) > 0 {
			return load, true
		}
	}
	return schedule.Load{}, false
}

// heard records a sampler's work beside what this node gave it. It reports whether
// another node is sure to execute.
func (w *splitBrainDetector) heard(work, own int) bool {
	if work-own < foreignRuns {
		w.seen = 0
		return false
	}
	w.seen++
	return w.seen >= reportsNeeded
}

// detectSplitBrain asks a sampler, if that is due. It is called under the lock.
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
	// Their slots are wanted before the log can be told how far they came.
	e.stopRuns()
	e.wake()
}
