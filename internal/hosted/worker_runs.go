package hosted

import (
	"bytes"
	"context"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/carry"
	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/schedule"
)

// read returns a job that is not over, with the bodies of its items.
func (w *worker) read(ctx context.Context, jobID string) (*carriedJob, error) {
	w.mutex.Lock()
	if job, known := w.jobs[jobID]; known {
		defer w.mutex.Unlock()
		if !job.over.IsZero() {
			return nil, unknownJob(jobID)
		}
		return job, nil
	}
	reading, underWay := w.reading[jobID]
	if !underWay {
		reading = &jobRead{done: make(chan struct{})}
		w.reading[jobID] = reading
		w.work.Go(func() { w.readFor(reading, jobID) })
	}
	w.mutex.Unlock()
	select {
	case <-reading.done:
		return reading.job, reading.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// readFor reads a job for all that wait for it.
func (w *worker) readFor(reading *jobRead, jobID string) {
	defer close(reading.done)
	reading.job, reading.err = w.readOnce(w.lifetime, jobID)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.reading, jobID)
	if reading.err != nil {
		return
	}
	w.jobs[jobID] = reading.job
	w.node.jobs.view(jobID, func(job *ledger.Job) {
		if job == nil || !job.Open() {
			// The change that said so found no job here.
			reading.job.over = time.Now()
		}
	})
}

func (w *worker) readOnce(ctx context.Context, jobID string) (*carriedJob, error) {
	spec, err := w.specOf(ctx, jobID)
	if err != nil {
		return nil, err
	}
	if err := w.node.permitsBodies(spec); err != nil {
		return nil, err
	}
	items, err := w.node.jobs.contents.GetItems(ctx, spec)
	if err != nil {
		return nil, err
	}
	job := &carriedJob{spec: spec, items: make(map[string]*pathbendv1.BatchItem, len(items))}
	for _, item := range items {
		job.items[item.Id] = item
	}
	return job, nil
}

// specOf returns a job that is open. A job that this node has not read of yet is in the log.
func (w *worker) specOf(ctx context.Context, jobID string) (*pathbendv1.BatchJob, error) {
	var spec *pathbendv1.BatchJob
	look := func(job *ledger.Job) {
		if job != nil && job.Open() {
			spec = job.Spec
		}
	}
	w.node.jobs.view(jobID, look)
	if spec == nil {
		if err := w.node.jobs.refresh(ctx); err != nil {
			return nil, err
		}
		w.node.jobs.view(jobID, look)
	}
	if spec == nil {
		return nil, unknownJob(jobID)
	}
	return spec, nil
}

// outline reports the items of a job without bodies.
func (w *worker) outline(session carry.Session, jobID string) {
	outline := &pathbendv1.JobOutline{JobId: jobID}
	job, err := w.read(w.lifetime, jobID)
	if err != nil {
		outline.Failure, outline.Unserved = err.Error(), !passing(err)
	} else {
		for _, id := range job.spec.ItemIds {
			if item := job.items[id]; item != nil {
				outline.Items = append(outline.Items, outlineOf(item))
			}
		}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.report(session, &pathbendv1.CarryReport{Report: &pathbendv1.CarryReport_Outline{Outline: outline}})
}

// passing reports whether a job cannot be read for a reason that another worker would have
// too, and the caller will learn of: it is over, or bound elsewhere by now.
func passing(err error) bool {
	return result.Is(err, result.JobUnknown) || result.Is(err, result.RegionUnavailable)
}

// outlineOf returns what a decision needs to know of an item.
func outlineOf(item *pathbendv1.BatchItem) *pathbendv1.BatchItem {
	outline := &pathbendv1.BatchItem{
		Id: item.Id, Tokens: item.Tokens, Group: item.Group, ExpectedTokens: item.ExpectedTokens,
	}
	if reward := item.Reward; reward != nil {
		outline.Reward = &pathbendv1.RewardCall{Id: reward.Id, Host: reward.Host, Path: reward.Path}
	}
	return outline
}

// startRun begins a run. It is called under the lock.
func (w *worker) startRun(session carry.Session, start *pathbendv1.StartRun) {
	ctx, stop := context.WithCancel(w.lifetime)
	run := &carriedRun{number: start.Run, key: schedule.Key{Job: start.JobId, Item: start.ItemId, Ahead: start.Ahead}, stop: stop, orderedAt: clock.Mark()}
	w.runs[start.Run] = run
	w.node.metrics.carried.WithLabelValues(session.Decider).Inc()
	w.work.Go(func() {
		defer stop()
		state := w.carryRun(ctx, session, run, start)
		w.mutex.Lock()
		if w.isUnderWay(run) {
			delete(w.runs, start.Run)
		}
		w.reportRun(session, state)
		w.mutex.Unlock()
		if state.Ending == uint32(schedule.Complete) && !start.Ahead {
			w.finishOwn(session, run.key, start)
		}
	})
}

func (w *worker) reportRun(session carry.Session, state *pathbendv1.RunState) {
	w.report(session, &pathbendv1.CarryReport{Report: &pathbendv1.CarryReport_Run{Run: state}})
}

// carryRun carries a run to its end and returns how it ended.
func (w *worker) carryRun(ctx context.Context, session carry.Session, carried *carriedRun, start *pathbendv1.StartRun) *pathbendv1.RunState {
	stopped := func(unserved bool, err error) *pathbendv1.RunState {
		return &pathbendv1.RunState{Run: start.Run, Ending: uint32(schedule.Stopped), Unserved: unserved, Detail: err.Error()}
	}
	job, err := w.read(ctx, carried.key.Job)
	switch {
	case result.Is(err, result.RegionUnavailable):
		return &pathbendv1.RunState{Run: start.Run, Ending: uint32(schedule.Refused), Detail: err.Error()}
	case err != nil:
		return stopped(!passing(err) && ctx.Err() == nil, err)
	}
	if err := w.node.permitsRun(job.spec, start.Zone); err != nil {
		return &pathbendv1.RunState{Run: start.Run, Ending: uint32(schedule.Refused), Detail: err.Error()}
	}
	item := job.items[carried.key.Item]
	if item == nil {
		return stopped(true, result.New(result.ItemUnknown, "no item %q", carried.key.Item))
	}
	accepted := schedule.Acceptance{MinVersion: start.MinVersion, SingleVersion: start.SingleVersion}
	text := w.claimText(ctx, session, carried, accepted)
	if text.complete {
		return w.stateOf(text, start.Run, 0, RunEnd{Ending: schedule.Complete})
	}
	if carried.orderedAt.Age() > heldUpLimit {
		// What was read is kept: the next start finds it.
		return w.stateOf(text, start.Run, 0, RunEnd{Ending: schedule.Stopped, Detail: "it began too late"})
	}
	run := Run{
		Sampler: schedule.Sampler{ID: start.SamplerId, Address: start.Address, Zone: start.Zone}, Host: job.spec.Host,
		Item: item, Tenant: job.spec.Tenant, AfterEvent: text.Events(),
	}
	seen := uint64(0)
	end := w.node.generate(ctx, run, func(made schedule.Event) bool {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		seen = made.Version
		if ctx.Err() != nil || text.run != carried || w.heardAt.Age() > workerLease || !text.Take(made, accepted) {
			return false
		}
		text.usedAt = time.Now()
		w.reportRun(session, w.stateOf(text, start.Run, seen, RunEnd{}))
		return true
	})
	if ctx.Err() != nil {
		end.Ending = schedule.Stopped
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if text.run == carried {
		text.complete = end.Ending == schedule.Complete && text.Events() > 0
	}
	return w.stateOf(text, start.Run, seen, end)
}

// stateOf describes a run. It is called under the lock, but for a run that no one else
// adds to.
func (w *worker) stateOf(text *carriedText, run, seen uint64, end RunEnd) *pathbendv1.RunState {
	return &pathbendv1.RunState{
		Run: run, Events: text.Events(), Versions: text.Versions(), Version: seen, Ending: uint32(end.Ending), Detail: end.Detail, Ended: end.Ended,
	}
}

// claimText returns the text that a run goes on with: the longest that the job accepts of
// those held here and the one in the log. It reports how far that is.
func (w *worker) claimText(ctx context.Context, session carry.Session, run *carriedRun, accepted schedule.Acceptance) *carriedText {
	key := run.key
	kept := w.keptText(ctx, key, accepted)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	best := kept
	for _, ahead := range []bool{false, true} {
		held := w.texts[textKey{item: key.Item, ahead: ahead}]
		if held != nil && accepted.Fits(held.Versions()) && held.Events() > 0 && held.Events() >= best.Events() {
			best = held
		}
	}
	best.job, best.run, best.usedAt = key.Job, run, time.Now()
	if !key.Ahead {
		delete(w.texts, textKey{item: key.Item, ahead: true})
	}
	w.texts[textKey{item: key.Item, ahead: key.Ahead}] = best
	w.reportRun(session, w.stateOf(best, run.number, 0, RunEnd{}))
	return best
}

// keptText returns the text of an item that the log holds, unless a longer one is held
// here. Text that cannot be read is made again.
func (w *worker) keptText(ctx context.Context, key schedule.Key, accepted schedule.Acceptance) *carriedText {
	text := &carriedText{}
	var progress ledger.Progress
	w.node.jobs.withLedger(func(known *ledger.Ledger) { progress, _ = known.Progress(key.Item) })
	w.mutex.Lock()
	held := w.texts[textKey{item: key.Item, ahead: key.Ahead}]
	w.mutex.Unlock()
	if progress.Events == 0 || !accepted.Fits(progress.Versions) || held != nil && held.Events() >= progress.Events {
		return text
	}
	parts, err := w.node.jobs.contents.Get(ctx, progress.Parts)
	if err != nil {
		w.node.executor.logUnread(key.Job, key.Item, err)
		return text
	}
	text.Resume(schedule.Partial{
		ID: progress.ID, Events: progress.Events, Versions: progress.Versions, Text: bytes.Join(parts, []byte{'\n'}),
	}, accepted)
	return text
}

// finishOwn scores and lists a complete text that this worker holds.
func (w *worker) finishOwn(session carry.Session, key schedule.Key, start *pathbendv1.StartRun) {
	w.finishOrdered(session, &pathbendv1.FinishItem{
		JobId: key.Job, ItemId: key.Item, MinVersion: start.MinVersion, SingleVersion: start.SingleVersion,
	})
}

// finishOrdered scores and lists a complete text: one that the log has, or one held here.
func (w *worker) finishOrdered(session carry.Session, order *pathbendv1.FinishItem) {
	key := schedule.Key{Job: order.JobId, Item: order.ItemId}
	job, err := w.read(w.lifetime, key.Job)
	completed := schedule.Finished{Key: key, Kept: order.Text, Versions: order.Versions}
	w.mutex.Lock()
	_, already := w.finishing[key]
	if already {
		w.mutex.Unlock()
		return
	}
	held := order.Text != nil || w.completeText(key, order, &completed)
	if err != nil || !held || job.items[key.Item] == nil {
		w.report(session, &pathbendv1.CarryReport{Report: &pathbendv1.CarryReport_Lost{
			Lost: &pathbendv1.LostItem{JobId: key.Job, ItemId: key.Item},
		}})
		w.mutex.Unlock()
		return
	}
	w.finishing[key] = struct{}{}
	w.mutex.Unlock()
	completed.Reward, completed.Tenant = job.items[key.Item].Reward, job.spec.Tenant
	w.scoreAndList(completed)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.finishing, key)
}

// completeText fills in a complete text that is held here. It is called under the lock.
func (w *worker) completeText(key schedule.Key, order *pathbendv1.FinishItem, completed *schedule.Finished) bool {
	accepted := schedule.Acceptance{MinVersion: order.MinVersion, SingleVersion: order.SingleVersion}
	for _, ahead := range []bool{false, true} {
		text := w.texts[textKey{item: key.Item, ahead: ahead}]
		if text != nil && text.complete && accepted.Fits(text.Versions()) {
			completed.Text, completed.Versions = text.Bytes(), text.Versions()
			return true
		}
	}
	return false
}

func (w *worker) scoreAndList(completed schedule.Finished) {
	stamp, alive := "", true
	if completed.Reward != nil {
		stamp, alive = w.node.executor.rewards.score(w.lifetime, completed, func() bool { return w.wants(completed.Key) })
	}
	if w.lifetime.Err() == nil && w.wants(completed.Key) && !completed.Unscored(stamp, alive) {
		w.node.executor.list(completed, stamp, alive)
	}
}

// wants reports whether an item still waits for its result.
func (w *worker) wants(key schedule.Key) bool {
	wanted := false
	w.node.jobs.view(key.Job, func(job *ledger.Job) { wanted = job != nil && job.Open() && !job.Listed(key.Item) })
	return wanted
}
