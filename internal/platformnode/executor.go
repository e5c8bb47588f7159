package platformnode

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/catalog"
	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/evacuation"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/schedule"
	"github.com/pathbend/pathbend/internal/wait"
	"github.com/pathbend/pathbend/internal/weights"
)

const (
	// executorPollInterval is how often an executing node checks for changes that no event
	// announces. idlePollInterval is the same interval for a node that does not execute. It
	// is long because such a node is notified at once when it gains the partition, and
	// polling every 50 ms caused 20 of the about 85 wake-ups per second of an idle node.
	executorPollInterval = 50 * time.Millisecond
	idlePollInterval     = 2 * time.Second
	// samplerRefreshInterval is how often an unchanged sampler list is passed to the
	// scheduler again, so that it forgets removed samplers whose last run has ended since.
	samplerRefreshInterval = time.Second
	// executorBatchDelay is the delay after a wake-up that lets simultaneous events be handled
	// in one step.
	executorBatchDelay = 4 * time.Millisecond
	// progressInterval is how often the partial text of running items is saved.
	progressInterval = 300 * time.Millisecond
	// minProgressEvents is the minimum number of new events for which an item's text is saved:
	// generating a shorter text again takes less time than storing it on every node.
	minProgressEvents = 24
	// flushTimeout is the time limit of the final appends before a planned stop.
	flushTimeout = 700 * time.Millisecond
	// defaultDue is the due time of jobs on routes that configure none.
	defaultDue = 10 * time.Second
)

// executor runs the jobs of the job partition while this node holds it.
type executor struct {
	node          *Node
	resultWriter  *resultWriter
	rollingUpdate *weights.RollingUpdate
	wakeup        chan struct{}

	changesMutex sync.Mutex
	changes      []ledger.Change

	mutex     sync.Mutex
	scheduler *schedule.Scheduler // nil while this node does not execute
	runs      map[schedule.Key]context.CancelFunc
	// remote is the work that must run in regions other than this node's.
	remote remoteState
	// session is canceled when the node stops executing; sessionID distinguishes it from
	// other sessions.
	session          context.Context
	sessionID        uint64
	sessionStartedAt clock.Moment
	endSession       context.CancelFunc
	progressSavedAt  time.Time
	reviewedAt       time.Time
	// appliedSamplers is the sampler list passed to the scheduler most recently, at
	// samplersAppliedAt.
	appliedSamplers   *[]schedule.Sampler
	samplersAppliedAt time.Time
	// lastColdCount is the number of cold samplers logged last, coldWaitLoggedAt when work that
	// waits for them was last logged.
	lastColdCount    int
	coldWaitLoggedAt time.Time
	// appliedEvacuations is the set of evacuated zones passed to the scheduler most recently.
	appliedEvacuations *evacuation.Zones
	// appliedCatalog is the configuration that was applied to the loaded jobs most recently.
	appliedCatalog *catalog.Catalog
	rewards        *rewarder
	splitBrain     splitBrainDetector
	work           conc.WaitGroup
}

func newExecutor(n *Node) *executor {
	e := &executor{
		node: n, rollingUpdate: weights.NewRollingUpdate(maxConcurrentLoads), wakeup: make(chan struct{}, 1),
		runs: make(map[schedule.Key]context.CancelFunc),
	}
	e.rewards = &rewarder{node: n, slots: rewardSlots{released: make(chan struct{}, 1)}}
	e.resultWriter = newResultWriter(n)
	return e
}

// wake makes the executor run its next step without waiting for the ticker.
func (e *executor) wake() {
	select {
	case e.wakeup <- struct{}{}:
	default:
	}
}

// jobChanged queues a ledger change for the next step. The caller holds the ledger's lock.
func (e *executor) jobChanged(change ledger.Change) {
	if change.Kind == ledger.NoChange || change.Kind == ledger.ProgressSaved {
		return
	}
	e.changesMutex.Lock()
	defer e.changesMutex.Unlock()
	e.changes = append(e.changes, change)
	e.wake()
}

func (e *executor) drainChanges() []ledger.Change {
	e.changesMutex.Lock()
	defer e.changesMutex.Unlock()
	drained := e.changes
	e.changes = nil
	return drained
}

func (e *executor) run(ctx context.Context) {
	e.work.Go(func() { e.resultWriter.run(ctx) })
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	executes := false
	for ctx.Err() == nil {
		e.step(ctx)
		if executes != e.node.ownership.ShouldExecute(jobPartition, time.Now()) {
			executes = !executes
			ticker.Reset(pollInterval(executes))
		}
		select {
		case <-ticker.C:
		case <-e.wakeup:
			wait.For(ctx, executorBatchDelay)
		case <-ctx.Done():
		}
	}
	e.end()
	e.work.Wait()
}

func pollInterval(executes bool) time.Duration {
	if executes {
		return executorPollInterval
	}
	return idlePollInterval
}

func (e *executor) step(ctx context.Context) {
	now := time.Now()
	executes := e.node.ownership.ShouldExecute(jobPartition, now)
	if executes && !e.executing() {
		e.begin(ctx)
	}
	if !executes && e.executing() {
		e.flush(ctx)
	}
	changes := e.drainChanges()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.scheduler == nil {
		return
	}
	for _, change := range changes {
		e.applyChange(change)
	}
	e.applyEvacuations()
	review := now.Sub(e.reviewedAt) >= executorPollInterval
	if review {
		e.reviewedAt = now
		e.applyVersions()
		e.applySamplers(now)
		e.cancelMoved(now)
		e.applyConfiguration()
		e.reconcileRemoteJobs()
	}
	for _, start := range e.scheduler.Starts(now) {
		e.start(start)
	}
	if review {
		e.review(now)
	}
}

// review runs the checks that scan the whole fleet and are not needed on every event.
func (e *executor) review(now time.Time) {
	if now.Sub(e.progressSavedAt) >= progressInterval {
		e.progressSavedAt = now
		e.saveProgress(minProgressEvents, now)
	}
	e.recordColdSamplers(now)
	e.node.suspects.republish(now)
	e.orderWeights(now)
	e.detectSplitBrain(now)
}

// peakDemand returns the recent peak number of concurrently requested items per workload. It
// returns false if this node does not execute.
func (e *executor) peakDemand(now time.Time) (map[schedule.Workload]int, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.scheduler == nil {
		return nil, false
	}
	return e.scheduler.PeakDemand(now), true
}

func (e *executor) executing() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.scheduler != nil
}

// begin starts executing: it catches up with the log and takes over the open jobs. If the
// log cannot be read it does nothing, and the next step tries again.
func (e *executor) begin(ctx context.Context) {
	if e.node.jobs.refresh(ctx) != nil {
		return
	}
	e.drainChanges()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.scheduler = schedule.New(rand.Uint64)
	e.session, e.endSession = context.WithCancel(ctx)
	e.sessionID, e.sessionStartedAt, e.remote = rand.Uint64(), clock.CurrentMoment(), newRemoteState()
	e.appliedCatalog = e.node.Catalog()
	e.rollingUpdate.Reset()
	e.applyVersions()
	e.appliedSamplers, e.appliedEvacuations = nil, nil
	e.applyEvacuations()
	e.applySamplers(time.Now())
	e.recordDemand(time.Now())
	open := 0
	for _, job := range e.node.jobs.open() {
		e.loadJob(job)
		open++
	}
	e.node.logger.Log(event.ExecutorStarted, "generation", e.node.ownership.Generation(), "open_jobs", open)
	e.node.metrics.executing.Set(1)
}

// recordDemand reports the number of items of every known job to the scheduler, including
// jobs that have ended. The caller holds e.mutex.
func (e *executor) recordDemand(now time.Time) {
	e.node.jobs.withLedger(func(state *ledger.Ledger) {
		for _, job := range state.Jobs() {
			e.scheduler.RecordDemand(e.workloadOf(job.Spec), len(job.Spec.ItemIds), now)
		}
	})
}

// flush saves the partial text of running items, appends the pending results and stops
// executing.
func (e *executor) flush(ctx context.Context) {
	e.mutex.Lock()
	if e.scheduler == nil {
		e.mutex.Unlock()
		return
	}
	e.saveProgress(1, time.Now())
	e.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	e.resultWriter.flush(ctx)
	e.end()
}

func (e *executor) saveProgress(minEvents uint64, now time.Time) {
	var unsaved partsByJob
	e.node.jobs.withLedger(func(state *ledger.Ledger) { unsaved = e.scheduler.Unsaved(minEvents, state, now) })
	e.resultWriter.addProgress(unsaved)
}

func (e *executor) end() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.scheduler == nil {
		return
	}
	e.endSession()
	e.stopRuns()
	e.remote = newRemoteState()
	e.scheduler = nil
	e.node.logger.Log(event.ExecutorStopped, "generation", e.node.ownership.Generation())
	e.node.metrics.executing.Set(0)
}

// stopRuns cancels all runs. The caller holds e.mutex.
func (e *executor) stopRuns() {
	for key, cancel := range e.runs {
		cancel()
		delete(e.runs, key)
	}
}

func (e *executor) applyVersions() {
	for model, version := range e.node.targets() {
		if e.scheduler.RecordVersion(model, version) {
			e.node.logger.Log(event.VersionAnnounced, "model", model, "version", version)
		}
	}
}

func (e *executor) applySamplers(now time.Time) {
	listed := e.node.samplers.Load()
	if listed == nil || listed == e.appliedSamplers && now.Sub(e.samplersAppliedAt) < samplerRefreshInterval {
		return
	}
	e.appliedSamplers, e.samplersAppliedAt = listed, now
	e.scheduler.SetLimits(e.node.coldLimits())
	e.scheduler.SetSamplers(*listed, now)
}

// applyConfiguration applies a new configuration to the demand and to the loaded jobs. The caller
// holds e.mutex.
func (e *executor) applyConfiguration() {
	current := e.node.Catalog()
	if current == e.appliedCatalog {
		return
	}
	e.moveDemand(e.appliedCatalog, current)
	e.appliedCatalog = current
	for _, job := range e.node.jobs.open() {
		previous, loaded := e.scheduler.Policy(job.ID)
		switch {
		case !loaded:
		case previous.Regions.String() != e.node.regionsOfJob(job.Spec).String():
			e.reloadJob(job)
		default:
			e.renewPolicy(job, previous)
		}
	}
}

// renewPolicy applies the route of a loaded job under the current configuration. A job whose
// route was removed keeps its policy: it was accepted and goes on. The caller holds e.mutex.
func (e *executor) renewPolicy(job *ledger.Job, previous schedule.Policy) {
	if e.findRoute(job.Spec) == nil {
		return
	}
	policy := e.schedulePolicy(job)
	policy.Regions, policy.Topology, policy.Remote = previous.Regions, previous.Topology, previous.Remote
	for _, key := range e.scheduler.SetPolicy(job.ID, policy) {
		e.cancel(key)
	}
}

// reloadJob loads a job again whose allowed regions changed. The caller holds e.mutex.
func (e *executor) reloadJob(job *ledger.Job) {
	e.scheduler.WorkerLost(job.ID)
	e.scheduler.DropJob(job.ID, time.Now())
	for key := range e.runs {
		if key.Job == job.ID {
			e.cancel(key)
		}
	}
	delete(e.remote.jobs, job.ID)
	e.loadJob(job)
}

func (e *executor) applyChange(change ledger.Change) {
	switch change.Kind {
	case ledger.JobSubmitted:
		e.loadJob(change.Job)
	case ledger.JobEnded:
		stopped := e.scheduler.DropJob(change.Job.ID, time.Now())
		for _, key := range stopped {
			e.cancel(key)
		}
		e.node.logger.Log(event.BatchEnded, "job_id", change.Job.ID, "listed", change.ResultCount,
			"items", change.Job.ItemCount(), "stopped", len(stopped))
	case ledger.ResultsAdded:
		for _, itemResult := range change.NewResults {
			key := schedule.Key{Job: change.Job.ID, Item: itemResult.ItemID}
			milestones, stopped := e.scheduler.RemoveItem(key)
			for _, run := range stopped {
				e.cancel(run)
			}
			e.logItemResult(key, itemResult.Dead, milestones)
		}
		if change.Complete {
			e.scheduler.DropJob(change.Job.ID, time.Now())
		}
	}
}

// logItemResult logs how long ago an item was started, completed and scored. Its result was just
// read back from the log.
func (e *executor) logItemResult(key schedule.Key, dead bool, milestones schedule.Milestones) {
	now := time.Now()
	e.node.logger.Log(event.ItemListed, "job_id", key.Job, "item_id", key.Item, "dead", dead,
		"sampler", milestones.Sampler, "events", milestones.Events, "runs", milestones.Runs,
		"started_ms_ago", millisecondsSince(milestones.Started, now), "completed_ms_ago", millisecondsSince(milestones.Completed, now),
		"scored_ms_ago", millisecondsSince(milestones.Scored, now),
		"prompt_ms", milestones.Durations.Prompt.Milliseconds(), "paused_ms", milestones.Durations.Paused.Milliseconds(),
		"stalled_ms", milestones.Durations.Stalled.Milliseconds(), "expected_tokens", milestones.ExpectedTokens,
		"group", milestones.Group, "group_open", milestones.GroupOpen, "carried", milestones.Resubmitted)
}

// millisecondsSince returns the milliseconds from moment to now, or -1 if moment is zero.
func millisecondsSince(moment, now time.Time) int64 {
	if moment.IsZero() {
		return -1
	}
	return now.Sub(moment).Milliseconds()
}

func (e *executor) cancel(key schedule.Key) {
	if stop, ok := e.runs[key]; ok {
		stop()
		delete(e.runs, key)
	}
}

func (e *executor) cancelMoved(now time.Time) {
	for _, move := range e.scheduler.Moves(now) {
		e.cancel(move.Key)
		e.node.metrics.runsMoved.Inc()
		e.node.logger.Log(event.ItemMoved, "job_id", move.Key.Job, "item_id", move.Key.Item, "from", move.From,
			"reason", move.Reason, "silent_ms", move.Silent.Milliseconds(), "pace_ms", move.Pace.Milliseconds())
	}
}

// start runs an item on its sampler in a goroutine, or passes the run to the worker that
// serves the job's regions. The caller holds e.mutex.
func (e *executor) start(start schedule.Start) {
	e.node.metrics.runsStarted.Inc()
	e.node.logger.Log(event.ItemStarted, "job_id", start.Key.Job, "item_id", start.Key.Item,
		"sampler", start.Sampler.ID, "running", start.Running, "candidates", start.Candidates,
		"pace_ms", start.Pace.Milliseconds(), "after_event", start.AfterEvent, "ahead", start.Key.Speculative)
	if job := e.remote.jobs[start.Key.Job]; job != nil {
		e.startRemote(job, start)
		return
	}
	ctx, cancel := context.WithCancel(e.session)
	e.runs[start.Key] = cancel
	scheduler := e.scheduler
	e.work.Go(func() {
		defer cancel()
		run := Run{
			Sampler: start.Sampler, Host: start.Job.Host, Item: start.Item, Tenant: start.Job.Tenant, AfterEvent: start.AfterEvent,
		}
		end := e.node.ports.Generator.Generate(ctx, run, func(generated schedule.Event) bool {
			e.mutex.Lock()
			defer e.mutex.Unlock()
			return scheduler.Progress(start.Key, start.Run, generated, time.Now())
		})
		if ctx.Err() != nil {
			end.Ending = schedule.Stopped
		}
		e.runEnded(scheduler, start, end)
	})
}

func (e *executor) runEnded(scheduler *schedule.Scheduler, start schedule.Start, end RunEnd) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.scheduler != scheduler {
		return
	}
	e.endRun(start, end, time.Now())
}

// endRun records the end of a run. The caller holds e.mutex.
func (e *executor) endRun(start schedule.Start, end RunEnd, now time.Time) {
	verdict := e.scheduler.RunEnded(start.Key, start.Run, end.Ending, now)
	e.node.metrics.recordRunEnd(end.Ending)
	if end.Ending != schedule.Complete {
		e.node.logger.Log(event.ItemRunEnded, "job_id", start.Key.Job, "item_id", start.Key.Item,
			"sampler", start.Sampler.ID, "ending", end.Ending.String(), "detail", end.Detail, "failures", verdict.Failures)
	}
	// A worker itself scores the items that it completed and writes their results.
	if verdict.Finished != nil && !verdict.Finished.Remote {
		e.finish(*verdict.Finished)
	}
	if verdict.Dead {
		e.recordDead(start.Key, verdict.Failures, end.Detail)
	}
	e.wake()
}

func (e *executor) recordDead(key schedule.Key, failures int, detail string) {
	e.node.logger.Log(event.ItemDead, "job_id", key.Job, "item_id", key.Item, "failures", failures, "detail", detail)
	e.resultWriter.addResult(key.Job, &pathbendv1.BatchResult{ItemId: key.Item, Dead: true}, nil)
}

// finish scores a complete text in a goroutine and then queues its result. If the item runs
// remotely and is not scored yet, its worker does this instead. The caller holds e.mutex.
func (e *executor) finish(completed schedule.Finished) {
	scored := completed.StoredText != nil && (completed.Score != "" || completed.Reward == nil)
	if completed.Remote && !scored {
		e.finishRemote(completed)
		return
	}
	session, scheduler := e.session, e.scheduler
	e.work.Go(func() {
		stamp, alive := completed.Score, true
		if stamp == "" && completed.Reward != nil {
			stamp, alive = e.rewards.score(session, completed, func() bool { return e.needsResult(completed.Key) })
		}
		if session.Err() != nil || completed.Unscored(stamp, alive) {
			return
		}
		e.mutex.Lock()
		wanted := e.scheduler == scheduler && scheduler.Scored(completed.Key, time.Now())
		e.mutex.Unlock()
		if !wanted {
			return
		}
		e.queueResult(completed, stamp, alive)
	})
}

// queueResult queues the result of a complete text for the log. If alive is false, or the text
// is too large for the log, it queues the item as dead.
func (e *executor) queueResult(completed schedule.Finished, stamp string, alive bool) {
	if !alive {
		e.recordDead(completed.Key, 0, "its reward call failed too often")
		return
	}
	if completed.StoredText == nil && !e.node.jobs.blobs.Fits(completed.Text) {
		e.recordDead(completed.Key, 0, "its text is too large for the log")
		return
	}
	e.resultWriter.addResult(completed.Key.Job, &pathbendv1.BatchResult{
		ItemId: completed.Key.Item, Text: completed.StoredText, Versions: completed.Versions, Score: stamp, RewardId: completed.Reward.GetId(),
	}, completed.Text)
}

// needsResult reports whether the job of an item is still being executed here, so that its
// result is needed.
func (e *executor) needsResult(key schedule.Key) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.scheduler != nil && e.scheduler.HasJob(key.Job)
}
