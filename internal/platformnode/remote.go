package platformnode

import (
	"context"
	"sync"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/locality"
	"github.com/pathbend/pathbend/internal/remoterun"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/schedule"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// reportLongPoll is how long a worker may hold a call that waits for reports.
	reportLongPoll = 250 * time.Millisecond
	// callTimeoutMargin is the time that a call to a worker may take beyond its long poll.
	// It suits regions that are 120 ms apart, one way, and allows as much again for a busy
	// machine.
	callTimeoutMargin = 500 * time.Millisecond
	// callRetryDelay is the delay after a failed call.
	callRetryDelay = 30 * time.Millisecond
	// workerTimeout is how long a worker may be silent before it is replaced: two failed
	// calls and the transit time of the next one.
	workerTimeout = 1200 * time.Millisecond
	// workerCooldown is how long a worker that failed is not selected again.
	workerCooldown = 5 * time.Second
	// outlineTimeout bounds the wait for the outline of a job.
	outlineTimeout = 2 * time.Second
	// maxOrdersPerCall bounds the orders of one call.
	maxOrdersPerCall = 256
)

// remoteState is the executor's state of jobs that are bound to other regions. This node may
// not read their bodies and texts; workers in those regions execute their runs. It is guarded
// by the executor's lock.
type remoteState struct {
	jobs  map[string]*remoteJob
	links map[string]*workerLink
	// avoidedUntil holds the end of the cooldown of workers that failed, by name.
	avoidedUntil map[string]time.Time
	// workerMissing is set while a job has no worker.
	workerMissing bool
}

func newRemoteState() remoteState {
	return remoteState{jobs: make(map[string]*remoteJob), links: make(map[string]*workerLink), avoidedUntil: make(map[string]time.Time)}
}

// remoteJob is a job whose runs a worker executes.
type remoteJob struct {
	regions locality.Regions
	// link leads to the worker, nil while there is none.
	link *workerLink
}

// workerLink is the connection to a worker for one session of the executor. One loop sends it
// orders, another polls it for reports.
type workerLink struct {
	executor     *executor
	worker       remoterun.Node
	session      remoterun.Session
	cancel       context.CancelFunc
	sessionStart clock.Moment
	wakeup       chan struct{}
	// closed is closed once the link is closed.
	closed <-chan struct{}

	mutex  sync.Mutex
	orders []*pathbendv1.CarryOrder
	// outlineWaiters holds the channels of callers that wait for a job's outline, by job.
	outlineWaiters map[string][]chan *pathbendv1.JobOutline
	// runs are the runs in progress, by number. It is guarded by the executor's lock.
	runs map[uint64]schedule.Start
}

// openLink returns the link to the worker for the given regions and opens it if necessary. It
// returns nil if there is no eligible node. The caller holds the lock.
func (e *executor) openLink(regions locality.Regions) *workerLink {
	now := time.Now()
	chosen, found := remoterun.ChooseWorker(e.node.directory.Workers(), e.node.settings.Topology, regions, func(name string) bool {
		return now.Before(e.remote.avoidedUntil[name])
	})
	if !found {
		return nil
	}
	if existing, ok := e.remote.links[chosen.Name]; ok && existing.worker == chosen {
		return existing
	}
	ctx, cancel := context.WithCancel(e.session)
	created := &workerLink{
		executor: e, worker: chosen, cancel: cancel, closed: ctx.Done(), sessionStart: e.sessionStartedAt, wakeup: make(chan struct{}, 1),
		session: remoterun.Session{
			Executor: e.node.settings.Name, Generation: e.node.ownership.Generation(), ID: e.sessionID,
		},
		outlineWaiters: make(map[string][]chan *pathbendv1.JobOutline), runs: make(map[uint64]schedule.Start),
	}
	if previous := e.remote.links[chosen.Name]; previous != nil {
		e.closeLink(previous, "the worker has a new address", now)
		delete(e.remote.avoidedUntil, chosen.Name)
	}
	e.remote.links[chosen.Name] = created
	e.node.logger.Log(event.WorkerChosen, "worker", chosen.Name, "zone", chosen.Zone, "regions", regions.String(), "generation", created.session.Generation)
	e.work.Go(func() { created.poll(ctx) })
	e.work.Go(func() { created.send(ctx) })
	return created
}

// closeLink abandons a worker: its runs end and its jobs wait for another worker. The worker
// is not selected again for workerCooldown. The caller holds the lock.
func (e *executor) closeLink(l *workerLink, detail string, now time.Time) {
	if e.remote.links[l.worker.Name] != l {
		return
	}
	delete(e.remote.links, l.worker.Name)
	l.cancel()
	e.remote.avoidedUntil[l.worker.Name] = now.Add(workerCooldown)
	e.node.metrics.workersLost.Inc()
	e.node.logger.Log(event.WorkerLost, "worker", l.worker.Name, "runs", len(l.runs), "detail", detail)
	for id, job := range e.remote.jobs {
		if job.link != l {
			continue
		}
		job.link = nil
		for key := range e.runs {
			if key.Job == id {
				delete(e.runs, key)
			}
		}
		e.scheduler.WorkerLost(id)
		e.scheduler.SetPaused(id, true)
	}
	e.wake()
}

// abandon closes the link to a worker that failed.
func (l *workerLink) abandon(detail string) {
	e := l.executor
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.scheduler != nil && e.sessionID == l.session.ID {
		e.closeLink(l, detail, time.Now())
	}
}

// abandonUnserved closes the link to a worker that the log did not serve. It keeps the link
// if the log does not serve this node either, as it then may not serve another worker.
func (l *workerLink) abandonUnserved(detail string) {
	if l.executor.node.jobs.hasCurrentLog() {
		l.abandon(detail)
	}
}

// reconcileRemoteJobs removes remote jobs that the scheduler no longer has and looks for
// workers for jobs without one. The caller holds the lock.
func (e *executor) reconcileRemoteJobs() {
	workerMissing := false
	for id, job := range e.remote.jobs {
		if !e.scheduler.HasJob(id) {
			delete(e.remote.jobs, id)
			continue
		}
		if job.link == nil {
			if job.link = e.openLink(job.regions); job.link != nil {
				e.scheduler.SetPaused(id, false)
			} else {
				workerMissing = true
			}
		}
	}
	if workerMissing && !e.remote.workerMissing {
		e.node.logger.Log(event.WorkerMissing, "jobs", len(e.remote.jobs))
	}
	e.remote.workerMissing = workerMissing
	e.node.metrics.remoteJobs.Set(float64(len(e.remote.jobs)))
}

// outline asks the worker for the given regions for the items of a job, without bodies.
func (e *executor) outline(ctx context.Context, job *ledger.Job, regions locality.Regions) ([]*pathbendv1.BatchItem, error) {
	e.mutex.Lock()
	var target *workerLink
	if e.scheduler != nil {
		target = e.openLink(regions)
	}
	e.mutex.Unlock()
	if target == nil {
		return nil, result.New(result.RegionUnavailable, "no node in %v accepts calls to execute runs", regions)
	}
	ctx, cancel := context.WithTimeout(ctx, outlineTimeout)
	defer cancel()
	answer := make(chan *pathbendv1.JobOutline, 1)
	target.mutex.Lock()
	target.outlineWaiters[job.ID] = append(target.outlineWaiters[job.ID], answer)
	target.mutex.Unlock()
	target.enqueue(&pathbendv1.CarryOrder{Order: &pathbendv1.CarryOrder_Open{Open: job.ID}})
	select {
	case outline := <-answer:
		if outline.Failure == "" {
			return outline.Items, nil
		}
		if outline.Unserved {
			target.abandonUnserved(outline.Failure)
		}
		return nil, result.New(result.PeerLost, "worker %s cannot read the job: %s", target.worker.Name, outline.Failure)
	case <-target.closed:
		return nil, result.New(result.PeerLost, "worker %s was abandoned while it read the job", target.worker.Name)
	case <-ctx.Done():
		target.abandon("the worker did not report the outline of a job in time")
		return nil, result.Wrap(result.PeerLost, ctx.Err(), "wait for the job outline of worker "+target.worker.Name)
	}
}

// startRemote orders the job's worker to execute a run. The caller holds the lock.
func (e *executor) startRemote(job *remoteJob, start schedule.Start) {
	l := job.link
	l.runs[start.Run] = start
	e.runs[start.Key] = func() {
		delete(l.runs, start.Run)
		l.enqueue(&pathbendv1.CarryOrder{Order: &pathbendv1.CarryOrder_Stop{Stop: start.Run}})
	}
	e.node.metrics.remoteRuns.WithLabelValues(l.worker.Name).Inc()
	l.enqueue(&pathbendv1.CarryOrder{Order: &pathbendv1.CarryOrder_Start{Start: &pathbendv1.StartRun{
		Run: start.Run, JobId: start.Key.Job, ItemId: start.Key.Item, Ahead: start.Key.Speculative,
		SamplerId: start.Sampler.ID, Address: start.Sampler.Address, Zone: start.Sampler.Zone,
		MinVersion: start.MinVersion, SingleVersion: start.SingleVersion,
	}}})
}

// finishRemote orders the job's worker to score a complete text, from the log or from the
// worker's memory. Without a worker it reopens the item. The caller holds the lock.
func (e *executor) finishRemote(completed schedule.Finished) {
	job := e.remote.jobs[completed.Key.Job]
	if job == nil || job.link == nil {
		e.scheduler.Reopen(completed.Key)
		return
	}
	job.link.enqueue(&pathbendv1.CarryOrder{Order: &pathbendv1.CarryOrder_Finish{Finish: &pathbendv1.FinishItem{
		JobId: completed.Key.Job, ItemId: completed.Key.Item, Text: completed.StoredText, Versions: completed.Versions,
		MinVersion: completed.MinVersion, SingleVersion: completed.SingleVersion,
	}}})
}

// enqueue appends an order for the worker and wakes the send loop.
func (l *workerLink) enqueue(order *pathbendv1.CarryOrder) {
	l.mutex.Lock()
	l.orders = append(l.orders, order)
	l.mutex.Unlock()
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// sessionTime returns the time since the start of the session, by which send times are
// stated. The start of the link would not do, as a session may have several links to a worker
// in succession.
func (l *workerLink) sessionTime() time.Duration { return l.sessionStart.Age() }

// call makes one call to the worker. It fills in the session and the send time.
func (l *workerLink) call(ctx context.Context, call *pathbendv1.CarryCall) (*pathbendv1.CarryReply, error) {
	call.Decider, call.Generation, call.Session = l.session.Executor, l.session.Generation, l.session.ID
	call.SentMs = uint64(l.sessionTime().Milliseconds())
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.HoldMs)*time.Millisecond+callTimeoutMargin)
	defer cancel()
	reply, err := l.executor.node.peers.Call(ctx, l.worker.Address, &pathbendv1.Envelope{Body: &pathbendv1.Envelope_CarryCall{CarryCall: call}})
	if err != nil {
		return nil, err
	}
	carryReply := reply.GetCarryReply()
	if carryReply == nil {
		return nil, result.New(result.FrameMalformed, "worker answered with a message of another kind")
	}
	return carryReply, nil
}

// send delivers the queued orders in sequence until ctx ends. Orders of a failed call are
// sent again.
func (l *workerLink) send(ctx context.Context) {
	for ctx.Err() == nil {
		l.mutex.Lock()
		orders := l.orders[:min(len(l.orders), maxOrdersPerCall)]
		l.mutex.Unlock()
		if len(orders) == 0 {
			select {
			case <-l.wakeup:
			case <-ctx.Done():
			}
			continue
		}
		if _, err := l.call(ctx, &pathbendv1.CarryCall{Orders: orders}); err != nil {
			wait.For(ctx, callRetryDelay)
			continue
		}
		l.mutex.Lock()
		l.orders = l.orders[len(orders):]
		l.mutex.Unlock()
	}
}

// poll long-polls the worker for reports until ctx ends or the worker is abandoned.
func (l *workerLink) poll(ctx context.Context) {
	lastReplyAt, acknowledged, process := clock.CurrentMoment(), uint64(0), uint64(0)
	for ctx.Err() == nil {
		reply, err := l.call(ctx, &pathbendv1.CarryCall{Acknowledged: acknowledged, HoldMs: uint32(reportLongPoll.Milliseconds())})
		now := time.Now()
		switch {
		case ctx.Err() != nil:
			return
		case result.Is(err, result.LeaseConflict) || err != nil && lastReplyAt.AgeAt(now) > workerTimeout:
			l.abandon(err.Error())
			return
		case err != nil:
			wait.For(ctx, callRetryDelay)
			continue
		}
		if process != 0 && reply.Process != process {
			l.abandon("the worker process restarted")
			return
		}
		lastReplyAt, process = clock.At(now), reply.Process
		for _, report := range reply.Reports {
			if report.Sequence > acknowledged {
				acknowledged = report.Sequence
				l.applyReport(report, now)
			}
		}
		switch {
		case reply.Leaving:
			l.abandon("the worker is shutting down")
			return
		case reply.OutOfTouch && l.executor.node.jobs.hasCurrentLog():
			l.abandon("the worker is out of touch with the log")
			return
		}
	}
}

// applyReport applies a report of the worker.
func (l *workerLink) applyReport(report *pathbendv1.CarryReport, now time.Time) {
	switch body := report.Report.(type) {
	case *pathbendv1.CarryReport_Outline:
		l.mutex.Lock()
		waiting := l.outlineWaiters[body.Outline.JobId]
		delete(l.outlineWaiters, body.Outline.JobId)
		l.mutex.Unlock()
		for _, answer := range waiting {
			answer <- body.Outline
		}
	case *pathbendv1.CarryReport_Run:
		l.executor.applyRunState(l, body.Run, now)
	case *pathbendv1.CarryReport_Lost:
		l.executor.reopenItem(l, body.Lost)
	}
}

// reopenItem lets an item run again whose text the worker does not have.
func (e *executor) reopenItem(l *workerLink, lost *pathbendv1.LostItem) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.scheduler != nil && e.remote.links[l.worker.Name] == l {
		e.scheduler.Reopen(schedule.Key{Job: lost.JobId, Item: lost.ItemId})
		e.wake()
	}
}

// applyRunState applies the reported state of a run. Reports of closed links and of unknown
// runs are ignored.
func (e *executor) applyRunState(l *workerLink, state *pathbendv1.RunState, now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.scheduler == nil || e.remote.links[l.worker.Name] != l {
		return
	}
	start, known := l.runs[state.Run]
	if !known {
		return
	}
	e.scheduler.RecordServedVersion(start.Key, start.Run, state.Version)
	if state.Version == 0 {
		e.scheduler.Resumed(start.Key, start.Run, state.Events, state.Versions)
	} else {
		e.scheduler.RecordEvents(start.Key, start.Run, state.Events, state.Versions, now)
	}
	if state.Ending == 0 {
		return
	}
	delete(l.runs, state.Run)
	delete(e.runs, start.Key)
	e.endRun(start, RunEnd{Ending: schedule.Ending(state.Ending), Detail: state.Detail}, now)
	if state.Unserved && e.node.jobs.hasCurrentLog() {
		e.closeLink(l, state.Detail, now)
	}
}
