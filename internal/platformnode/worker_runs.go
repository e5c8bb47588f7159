package platformnode

import (
	"bytes"
	"context"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/remoterun"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/schedule"
)

// loadJob returns a job that has not ended, with the bodies of its items. Concurrent calls
// for the same job share one read.
func (w *worker) loadJob(ctx context.Context, jobID string) (*workerJob, error) {
	w.mutex.Lock()
	if job, known := w.jobs[jobID]; known {
		defer w.mutex.Unlock()
		if !job.endedAt.IsZero() {
			return nil, unknownJob(jobID)
		}
		return job, nil
	}
	load, isLoading := w.loading[jobID]
	if !isLoading {
		load = &jobLoad{done: make(chan struct{})}
		w.loading[jobID] = load
		w.work.Go(func() { w.loadShared(load, jobID) })
	}
	w.mutex.Unlock()
	select {
	case <-load.done:
		return load.job, load.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// loadShared reads a job on behalf of all callers that wait for load.
func (w *worker) loadShared(load *jobLoad, jobID string) {
	defer close(load.done)
	load.job, load.err = w.fetchJob(w.lifetime, jobID)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.loading, jobID)
	if load.err != nil {
		return
	}
	w.jobs[jobID] = load.job
	w.node.jobs.view(jobID, func(job *ledger.Job) {
		if job == nil || !job.Open() {
			// The job ended during the read, and applyChange did not find it in w.jobs.
			load.job.endedAt = time.Now()
		}
	})
}

// fetchJob reads a job and its items from the log. It fails if this node may not read the
// bodies.
func (w *worker) fetchJob(ctx context.Context, jobID string) (*workerJob, error) {
	spec, err := w.openJobSpec(ctx, jobID)
	if err != nil {
		return nil, err
	}
	if err := w.node.checkBodiesAllowed(spec); err != nil {
		return nil, err
	}
	items, err := w.node.jobs.blobs.GetItems(ctx, spec)
	if err != nil {
		return nil, err
	}
	job := &workerJob{spec: spec, items: make(map[string]*pathbendv1.BatchItem, len(items))}
	for _, item := range items {
		job.items[item.Id] = item
	}
	return job, nil
}

// openJobSpec returns the specification of an open job. If this node does not know the job,
// it reads the newest entries of the log first.
func (w *worker) openJobSpec(ctx context.Context, jobID string) (*pathbendv1.BatchJob, error) {
	var spec *pathbendv1.BatchJob
	readSpec := func(job *ledger.Job) {
		if job != nil && job.Open() {
			spec = job.Spec
		}
	}
	w.node.jobs.view(jobID, readSpec)
	if spec == nil {
		if err := w.node.jobs.refresh(ctx); err != nil {
			return nil, err
		}
		w.node.jobs.view(jobID, readSpec)
	}
	if spec == nil {
		return nil, unknownJob(jobID)
	}
	return spec, nil
}

// reportOutline reports the items of a job without their bodies.
func (w *worker) reportOutline(session remoterun.Session, jobID string) {
	outline := &pathbendv1.JobOutline{JobId: jobID}
	job, err := w.loadJob(w.lifetime, jobID)
	if err != nil {
		outline.Failure, outline.Unserved = err.Error(), !isJobError(err)
	} else {
		for _, id := range job.spec.ItemIds {
			if item := job.items[id]; item != nil {
				outline.Items = append(outline.Items, outlineOf(item))
			}
		}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.addReport(session, &pathbendv1.CarryReport{Report: &pathbendv1.CarryReport_Outline{Outline: outline}})
}

// isJobError reports whether a job could not be read for a reason that lies in the job and
// holds for every worker: it has ended, or is now bound to other regions. The executor learns
// of that from the log or the configuration.
func isJobError(err error) bool {
	return result.Is(err, result.JobUnknown) || result.Is(err, result.RegionUnavailable)
}

// outlineOf returns the part of an item that scheduling needs; it has no bodies.
func outlineOf(item *pathbendv1.BatchItem) *pathbendv1.BatchItem {
	outline := &pathbendv1.BatchItem{
		Id: item.Id, Tokens: item.Tokens, Group: item.Group, ExpectedTokens: item.ExpectedTokens,
	}
	if reward := item.Reward; reward != nil {
		outline.Reward = &pathbendv1.RewardCall{Id: reward.Id, Host: reward.Host, Path: reward.Path}
	}
	return outline
}

// startRun starts a run in its own goroutine and reports its end. The caller holds the lock.
func (w *worker) startRun(session remoterun.Session, start *pathbendv1.StartRun) {
	ctx, stop := context.WithCancel(w.lifetime)
	run := &workerRun{number: start.Run, key: schedule.Key{Job: start.JobId, Item: start.ItemId, Speculative: start.Ahead}, stop: stop, receivedAt: clock.CurrentMoment()}
	w.runs[start.Run] = run
	w.node.metrics.workerRuns.WithLabelValues(session.Executor).Inc()
	w.work.Go(func() {
		defer stop()
		state := w.executeRun(ctx, session, run, start)
		w.mutex.Lock()
		if w.isRunning(run) {
			delete(w.runs, start.Run)
		}
		w.addRunReport(session, state)
		w.mutex.Unlock()
		if state.Ending == uint32(schedule.Complete) && !start.Ahead {
			w.finishCompletedRun(session, run.key, start)
		}
	})
}

// addRunReport queues the state of a run for the executor. The caller holds the lock.
func (w *worker) addRunReport(session remoterun.Session, state *pathbendv1.RunState) {
	w.addReport(session, &pathbendv1.CarryReport{Report: &pathbendv1.CarryReport_Run{Run: state}})
}

// executeRun executes a run to its end and returns its final state.
func (w *worker) executeRun(ctx context.Context, session remoterun.Session, current *workerRun, start *pathbendv1.StartRun) *pathbendv1.RunState {
	stoppedState := func(unserved bool, err error) *pathbendv1.RunState {
		return &pathbendv1.RunState{Run: start.Run, Ending: uint32(schedule.Stopped), Unserved: unserved, Detail: err.Error()}
	}
	job, err := w.loadJob(ctx, current.key.Job)
	switch {
	case result.Is(err, result.RegionUnavailable):
		return &pathbendv1.RunState{Run: start.Run, Ending: uint32(schedule.Refused), Detail: err.Error()}
	case err != nil:
		return stoppedState(!isJobError(err) && ctx.Err() == nil, err)
	}
	if err := w.node.checkRunAllowed(job.spec, start.Zone); err != nil {
		return &pathbendv1.RunState{Run: start.Run, Ending: uint32(schedule.Refused), Detail: err.Error()}
	}
	item := job.items[current.key.Item]
	if item == nil {
		return stoppedState(true, result.New(result.ItemUnknown, "the job has no item %q", current.key.Item))
	}
	acceptance := schedule.VersionConstraint{MinVersion: start.MinVersion, SingleVersion: start.SingleVersion}
	text := w.selectText(ctx, session, current, acceptance)
	if text.isComplete {
		return w.runState(text, start.Run, 0, RunEnd{Ending: schedule.Complete})
	}
	if current.receivedAt.Age() > maxStartDelay {
		// The loaded job and text stay in memory for the next start.
		return w.runState(text, start.Run, 0, RunEnd{Ending: schedule.Stopped, Detail: "reading the job and its text took too long after the start order"})
	}
	run := Run{
		Sampler: schedule.Sampler{ID: start.SamplerId, Address: start.Address, Zone: start.Zone}, Host: job.spec.Host,
		Item: item, Tenant: job.spec.Tenant, AfterEvent: text.Events(),
	}
	version := uint64(0)
	end := w.node.ports.Generator.Generate(ctx, run, func(generated schedule.Event) bool {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		version = generated.Version
		if ctx.Err() != nil || text.run != current || w.lastCallAt.Age() > workerLease || !text.Append(generated, acceptance) {
			return false
		}
		text.usedAt = time.Now()
		w.addRunReport(session, w.runState(text, start.Run, version, RunEnd{}))
		return true
	})
	if ctx.Err() != nil {
		end.Ending = schedule.Stopped
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if text.run == current {
		text.isComplete = end.Ending == schedule.Complete && text.Events() > 0
	}
	return w.runState(text, start.Run, version, end)
}

// runState returns the state of a run for a report. The caller holds the lock unless no
// other goroutine can append to the text.
func (w *worker) runState(text *heldText, number, version uint64, end RunEnd) *pathbendv1.RunState {
	return &pathbendv1.RunState{
		Run: number, Events: text.Events(), Versions: text.Versions(), Version: version, Ending: uint32(end.Ending), Detail: end.Detail,
	}
}

// selectText returns the text that a run continues: the longest acceptable one of the texts
// in memory and the one in the log. It makes run the only one that may append to it and
// reports its length to the executor.
func (w *worker) selectText(ctx context.Context, session remoterun.Session, run *workerRun, acceptance schedule.VersionConstraint) *heldText {
	key := run.key
	logged := w.loggedText(ctx, key, acceptance)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	best := logged
	for _, ahead := range []bool{false, true} {
		held := w.texts[textKey{item: key.Item, ahead: ahead}]
		if held != nil && acceptance.Accepts(held.Versions()) && held.Events() > 0 && held.Events() >= best.Events() {
			best = held
		}
	}
	best.job, best.run, best.usedAt = key.Job, run, time.Now()
	if !key.Speculative {
		delete(w.texts, textKey{item: key.Item, ahead: true})
	}
	w.texts[textKey{item: key.Item, ahead: key.Speculative}] = best
	w.addRunReport(session, w.runState(best, run.number, 0, RunEnd{}))
	return best
}

// loggedText returns the text of an item in the log. The text is empty if the log has none
// that is acceptable, if one in memory is at least as long, or if it cannot be read; it is
// then generated again.
func (w *worker) loggedText(ctx context.Context, key schedule.Key, acceptance schedule.VersionConstraint) *heldText {
	text := &heldText{}
	var progress ledger.Progress
	w.node.jobs.withLedger(func(state *ledger.Ledger) { progress, _ = state.Progress(key.Item) })
	w.mutex.Lock()
	held := w.texts[textKey{item: key.Item, ahead: key.Speculative}]
	w.mutex.Unlock()
	if progress.Events == 0 || !acceptance.Accepts(progress.Versions) || held != nil && held.Events() >= progress.Events {
		return text
	}
	parts, err := w.node.jobs.blobs.Get(ctx, progress.Parts)
	if err != nil {
		w.node.executor.logReadFailure(key.Job, key.Item, err)
		return text
	}
	text.Resume(schedule.PartialText{
		ID: progress.ID, Events: progress.Events, Versions: progress.Versions, Text: bytes.Join(parts, []byte{'\n'}),
	}, acceptance)
	return text
}

// finishCompletedRun finishes the item of a run that this worker completed.
func (w *worker) finishCompletedRun(session remoterun.Session, key schedule.Key, start *pathbendv1.StartRun) {
	w.finishItem(session, &pathbendv1.FinishItem{
		JobId: key.Job, ItemId: key.Item, MinVersion: start.MinVersion, SingleVersion: start.SingleVersion,
	})
}

// finishItem scores a complete text, from the log or from memory, and writes the item's
// result. It reports the item as lost if the text or the item is not available.
func (w *worker) finishItem(session remoterun.Session, order *pathbendv1.FinishItem) {
	key := schedule.Key{Job: order.JobId, Item: order.ItemId}
	job, err := w.loadJob(w.lifetime, key.Job)
	completed := schedule.Finished{Key: key, StoredText: order.Text, Versions: order.Versions}
	w.mutex.Lock()
	_, inProgress := w.finishing[key]
	if inProgress {
		w.mutex.Unlock()
		return
	}
	available := order.Text != nil || w.fillCompleteText(key, order, &completed)
	if err != nil || !available || job.items[key.Item] == nil {
		w.addReport(session, &pathbendv1.CarryReport{Report: &pathbendv1.CarryReport_Lost{
			Lost: &pathbendv1.LostItem{JobId: key.Job, ItemId: key.Item},
		}})
		w.mutex.Unlock()
		return
	}
	w.finishing[key] = struct{}{}
	w.mutex.Unlock()
	completed.Reward, completed.Tenant = job.items[key.Item].Reward, job.spec.Tenant
	w.scoreAndQueueResult(completed)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.finishing, key)
}

// fillCompleteText fills in a complete, acceptable text from memory and reports whether
// there is one. The caller holds the lock.
func (w *worker) fillCompleteText(key schedule.Key, order *pathbendv1.FinishItem, completed *schedule.Finished) bool {
	acceptance := schedule.VersionConstraint{MinVersion: order.MinVersion, SingleVersion: order.SingleVersion}
	for _, ahead := range []bool{false, true} {
		text := w.texts[textKey{item: key.Item, ahead: ahead}]
		if text != nil && text.isComplete && acceptance.Accepts(text.Versions()) {
			completed.Text, completed.Versions = text.Bytes(), text.Versions()
			return true
		}
	}
	return false
}

// scoreAndQueueResult makes the reward call, if there is one, and queues the result of the item
// unless it is no longer needed.
func (w *worker) scoreAndQueueResult(completed schedule.Finished) {
	stamp, alive := "", true
	if completed.Reward != nil {
		stamp, alive = w.node.executor.rewards.score(w.lifetime, completed, func() bool { return w.needsResult(completed.Key) })
	}
	if w.lifetime.Err() == nil && w.needsResult(completed.Key) && !completed.Unscored(stamp, alive) {
		w.node.executor.queueResult(completed, stamp, alive)
	}
}

// needsResult reports whether the job of an item is open and has no result of the item yet.
func (w *worker) needsResult(key schedule.Key) bool {
	needed := false
	w.node.jobs.view(key.Job, func(job *ledger.Job) { needed = job != nil && job.Open() && !job.HasResult(key.Item) })
	return needed
}
