package platformnode

import (
	"context"
	"time"

	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/schedule"
)

const (
	// splitBrainInterval is how often an executor that cannot renew its assignment of the
	// partition asks a sampler for its load.
	splitBrainInterval = 150 * time.Millisecond
	// minForeignRuns is the minimum number of runs that a sampler must have beyond those of this
	// node to indicate another executor. Smaller differences are normal: the report is some
	// 100 ms old, and runs start and end meanwhile.
	minForeignRuns = 4
	// minConsecutiveReports is the number of consecutive such reports that prove another
	// executor.
	minConsecutiveReports = 3
)

// splitBrainDetector detects whether another node executes the same jobs. An executor that
// cannot renew its partition assignment continues, since the log service may be down for all
// nodes, and then no other node can take over. If the service refuses only this node,
// another one has taken over, and both send work to the same samplers. The samplers' reports
// show it: they have more work than this node gave them.
type splitBrainDetector struct {
	queriedAt time.Time
	next      int
	// consecutive counts the reports in a row that show another executor.
	consecutive int
}

// due reports whether to query a sampler now. It resets the count of suspicious reports
// once the node can renew its assignment again.
func (d *splitBrainDetector) due(isolated bool, now time.Time) bool {
	if !isolated {
		d.consecutive = 0
		return false
	}
	if now.Sub(d.queriedAt) < splitBrainInterval {
		return false
	}
	d.queriedAt = now
	return true
}

// nextSampler returns the next sampler in round-robin order, skipping those that are leaving,
// evacuated or serve no model. It returns false if there is none.
func (d *splitBrainDetector) nextSampler(loads []schedule.Load) (schedule.Load, bool) {
	for range loads {
		d.next++
		if load := loads[d.next%len(loads)]; !load.Leaving && !load.Evacuated && len(load.Versions) > 0 {
			return load, true
		}
	}
	return schedule.Load{}, false
}

// observe compares the work that a sampler reports with the work that this node gave it. It
// returns true once minConsecutiveReports consecutive reports show another executor.
func (d *splitBrainDetector) observe(work, own int) bool {
	if work-own < minForeignRuns {
		d.consecutive = 0
		return false
	}
	d.consecutive++
	return d.consecutive >= minConsecutiveReports
}

// detectSplitBrain queries a sampler if that is due. The caller holds e.mutex.
func (e *executor) detectSplitBrain(now time.Time) {
	if !e.splitBrain.due(e.node.ownership.AssignmentExpired(now), now) {
		return
	}
	load, ok := e.splitBrain.nextSampler(e.scheduler.Loads())
	if !ok {
		return
	}
	sampler, _ := e.scheduler.Sampler(load.ID)
	session, scheduler := e.session, e.scheduler
	e.work.Go(func() { e.compareWork(session, scheduler, sampler, load.Running) })
}

func (e *executor) compareWork(ctx context.Context, scheduler *schedule.Scheduler, sampler schedule.Sampler, own int) {
	report, err := e.requestReport(ctx, sampler)
	if err != nil {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.scheduler != scheduler || !e.node.ownership.AssignmentExpired(time.Now()) || !e.splitBrain.observe(report.Work, own) {
		return
	}
	e.node.logger.Log(event.ExecutorYielded, "sampler", sampler.ID, "work", report.Work, "own", own)
	e.node.ownership.Relinquish()
	// The other executor needs the slots before the progress of these runs could be saved.
	e.stopRuns()
	e.wake()
}
