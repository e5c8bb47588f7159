package hosted

import (
	"context"
	"sync"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/carry"
	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/locality"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/schedule"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// reportHold is how long a worker holds a call that asks for reports.
	reportLongPoll = 250 * time.Millisecond
	// callPatience is how much longer a call to a worker may take (chosen: the bound for
	// regions 120 ms apart, one way, and as much for a busy machine).
	callTimeoutMargin = 500 * time.Millisecond
	// callPause is the pause after a call that failed.
	callRetryDelay = 30 * time.Millisecond
	// workerPatience is how long a worker may be silent before another one takes its
	// place: two calls that fail and the next one's way.
	workerTimeout = 1200 * time.Millisecond
	// avoidFor is how long a worker that failed is passed over.
	workerCooldown = 5 * time.Second
	// outlinePatience bounds the wait for the outline of a job.
	outlineTimeout = 2 * time.Second
	// mostOrders bounds the orders of one call.
	maxOrdersPerCall = 256
)

// remoteWork is the work of the executor whose bodies and texts are not for this node:
// workers in its regions carry it. It is used under the executor's lock.
type remoteWork struct {
	jobs  map[string]*remoteJob
	links map[string]*link
	// avoided tells until when a worker is passed over.
	avoidedUntil map[string]time.Time
	// missing is set while a job has no worker.
	workerMissing bool
}

func newRemoteWork() remoteWork {
	return remoteWork{jobs: make(map[string]*remoteJob), links: make(map[string]*link), avoidedUntil: make(map[string]time.Time)}
}

// remoteJob is a job that a worker carries.
type remoteJob struct {
	regions locality.Regions
	// link is the way to its worker, nil while there is none.
	link *link
}

// link is the way to a worker, for one session of the executor.
type link struct {
	executor *executor
	worker   carry.Node
	session  carry.Session
	cancel   context.CancelFunc
	// began is when the session began.
	sessionStart clock.Moment
	wakeup       chan struct{}
	// given is closed once the worker is given up.
	closed <-chan struct{}

	mutex  sync.Mutex
	orders []*pathbendv1.CarryOrder
	// outlines are those who wait for a job's outline.
	outlineWaiters map[string][]chan *pathbendv1.JobOutline
	// runs are those under way, used under the executor's lock.
	runs map[uint64]schedule.Start
}

// linkTo returns the way to the worker for some regions, nil if no node may be it. It is
// called under the lock.
func (e *executor) linkTo(regions locality.Regions) *link {
	now := time.Now()
	chosen, found := carry.Choose(e.node.directory.Workers(), e.node.settings.Topology, regions, func(name string) bool {
		return now.Before(e.remote.avoidedUntil[name])
	})
	if !found {
		return nil
	}
	if existing, ok := e.remote.links[chosen.Name]; ok && existing.worker == chosen {
		return existing
	}
	ctx, cancel := context.WithCancel(e.session)
	created := &link{
		executor: e, worker: chosen, cancel: cancel, closed: ctx.Done(), sessionStart: e.beganAt, wakeup: make(chan struct{}, 1),
		session: carry.Session{
			Decider: e.node.settings.Name, Generation: e.node.ownership.Current(), ID: e.sessionID,
		},
		outlineWaiters: make(map[string][]chan *pathbendv1.JobOutline), runs: make(map[uint64]schedule.Start),
	}
	if previous := e.remote.links[chosen.Name]; previous != nil {
		e.closeLink(previous, "it has another address", now)
		delete(e.remote.avoidedUntil, chosen.Name)
	}
	e.remote.links[chosen.Name] = created
	e.node.logger.Log(event.WorkerChosen, "worker", chosen.Name, "zone", chosen.Zone, "regions", regions.String(), "generation", created.session.Generation)
	e.work.Go(func() { created.poll(ctx) })
	e.work.Go(func() { created.send(ctx) })
	return created
}

// dropLink gives a worker up: its jobs wait for another one. It is called under the lock.
func (e *executor) closeLink(l *link, detail string, now time.Time) {
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
		e.scheduler.Hold(id, true)
	}
	e.wake()
}

// lost gives a worker up whose calls fail.
func (l *link) abandon(detail string) {
	e := l.executor
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.scheduler != nil && e.sessionID == l.session.ID {
		e.closeLink(l, detail, time.Now())
	}
}

// unserved gives a worker up that could not begin. Where the log does not serve this node
// either, another worker would do no better.
func (l *link) abandonUnserved(detail string) {
	if l.executor.node.jobs.inTouch() {
		l.abandon(detail)
	}
}

// reviewRemote gives jobs without a worker one, forgets jobs that are over, and takes in
// jobs anew whose regions changed. It is called under the lock.
func (e *executor) reviewRemote() {
	missing := false
	for id, job := range e.remote.jobs {
		if !e.scheduler.HasJob(id) {
			delete(e.remote.jobs, id)
			continue
		}
		if job.link == nil {
			if job.link = e.linkTo(job.regions); job.link != nil {
				e.scheduler.Hold(id, false)
			} else {
				missing = true
			}
		}
	}
	if missing && !e.remote.workerMissing {
		e.node.logger.Log(event.WorkerMissing, "jobs", len(e.remote.jobs))
	}
	e.remote.workerMissing = missing
	e.node.metrics.remoteJobs.Set(float64(len(e.remote.jobs)))
}

// outline asks the worker of some regions for the items of a job without bodies.
func (e *executor) outline(ctx context.Context, job *ledger.Job, regions locality.Regions) ([]*pathbendv1.BatchItem, error) {
	e.mutex.Lock()
	var target *link
	if e.scheduler != nil {
		target = e.linkTo(regions)
	}
	e.mutex.Unlock()
	if target == nil {
		return nil, result.New(result.RegionUnavailable, "no node in %v takes calls", regions)
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
		return nil, result.New(result.PeerLost, "%s cannot read the job: %s", target.worker.Name, outline.Failure)
	case <-target.closed:
		return nil, result.New(result.PeerLost, "%s was given up", target.worker.Name)
	case <-ctx.Done():
		target.abandon("it gave no outline")
		return nil, result.Wrap(result.PeerLost, ctx.Err(), "await the outline of "+target.worker.Name)
	}
}

// startRemote lets the job's worker carry a run. It is called under the lock.
func (e *executor) startRemote(job *remoteJob, start schedule.Start) {
	l := job.link
	l.runs[start.Run] = start
	e.runs[start.Key] = func() {
		delete(l.runs, start.Run)
		l.enqueue(&pathbendv1.CarryOrder{Order: &pathbendv1.CarryOrder_Stop{Stop: start.Run}})
	}
	e.node.metrics.remoteRuns.WithLabelValues(l.worker.Name).Inc()
	l.enqueue(&pathbendv1.CarryOrder{Order: &pathbendv1.CarryOrder_Start{Start: &pathbendv1.StartRun{
		Run: start.Run, JobId: start.Key.Job, ItemId: start.Key.Item, Ahead: start.Key.Ahead,
		SamplerId: start.Sampler.ID, Address: start.Sampler.Address, Zone: start.Sampler.Zone,
		MinVersion: start.Job.MinVersion, SingleVersion: start.SingleVersion,
	}}})
}

// finishRemote lets the job's worker score a text that the log has, or that the worker
// holds. It is called under the lock.
func (e *executor) finishRemote(completed schedule.Finished) {
	job := e.remote.jobs[completed.Key.Job]
	if job == nil || job.link == nil {
		e.scheduler.Reopen(completed.Key)
		return
	}
	job.link.enqueue(&pathbendv1.CarryOrder{Order: &pathbendv1.CarryOrder_Finish{Finish: &pathbendv1.FinishItem{
		JobId: completed.Key.Job, ItemId: completed.Key.Item, Text: completed.Kept, Versions: completed.Versions,
		MinVersion: completed.MinVersion, SingleVersion: completed.SingleVersion,
	}}})
}

func (l *link) enqueue(order *pathbendv1.CarryOrder) {
	l.mutex.Lock()
	l.orders = append(l.orders, order)
	l.mutex.Unlock()
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// clock is what times of sending are told by. It is that of the session, which may have
// several links to a worker one after the other.
func (l *link) sessionTime() time.Duration { return l.sessionStart.Age() }

// call makes one call to the worker.
func (l *link) call(ctx context.Context, call *pathbendv1.CarryCall) (*pathbendv1.CarryReply, error) {
	call.Decider, call.Generation, call.Session = l.session.Decider, l.session.Generation, l.session.ID
	call.SentMs = uint64(l.sessionTime().Milliseconds())
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.HoldMs)*time.Millisecond+callTimeoutMargin)
	defer cancel()
	reply, err := l.executor.node.peers.Call(ctx, l.worker.Address, &pathbendv1.Envelope{Body: &pathbendv1.Envelope_CarryCall{CarryCall: call}})
	if err != nil {
		return nil, err
	}
	carryReply := reply.GetCarryReply()
	if carryReply == nil {
		return nil, result.New(result.FrameMalformed, "no answer to a call to a worker")
	}
	return carryReply, nil
}

// send gives the worker its orders, in order, until ctx ends.
func (l *link) send(ctx context.Context) {
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

// poll asks the worker for reports until ctx ends or the worker is lost.
func (l *link) poll(ctx context.Context) {
	lastReplyAt, acknowledged, process := clock.Mark(), uint64(0), uint64(0)
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
			l.abandon("it started anew")
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
			l.abandon("it is leaving")
			return
		case reply.OutOfTouch && l.executor.node.jobs.inTouch():
			l.abandon("the log does not serve it")
			return
		}
	}
}

// take applies a report.
func (l *link) applyReport(report *pathbendv1.CarryReport, now time.Time) {
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

func (e *executor) reopenItem(l *link, lost *pathbendv1.LostItem) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.scheduler != nil && e.remote.links[l.worker.Name] == l {
		e.scheduler.Reopen(schedule.Key{Job: lost.JobId, Item: lost.ItemId})
		e.wake()
	}
}

// takeRun applies the state of a run.
func (e *executor) applyRunState(l *link, state *pathbendv1.RunState, now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.scheduler == nil || e.remote.links[l.worker.Name] != l {
		return
	}
	start, known := l.runs[state.Run]
	if !known {
		return
	}
	e.scheduler.Seen(start.Key, start.Run, state.Version)
	if state.Version == 0 {
		e.scheduler.Resumed(start.Key, start.Run, state.Events, state.Versions)
	} else {
		e.scheduler.Advanced(start.Key, start.Run, state.Events, state.Versions, now)
	}
	if state.Ending == 0 {
		return
	}
	delete(l.runs, state.Run)
	delete(e.runs, start.Key)
	if state.Ended {
		// The worker told the log; this node may not have read it yet.
		e.node.suspects.items.Heard(itemDigest(start.Key.Item), start.Sampler.ID)
	}
	e.endRun(start, RunEnd{Ending: schedule.Ending(state.Ending), Detail: state.Detail}, now)
	if state.Unserved && e.node.jobs.inTouch() {
		e.closeLink(l, state.Detail, now)
	}
}
