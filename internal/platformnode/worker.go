package platformnode

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/remoterun"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/schedule"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// workerLease is how long a worker continues its runs without a call from the executor.
	// It is longer than another node needs to take the jobs over. If a job ends just before
	// the executor falls silent, its runs still stop within the required 3 s.
	workerLease = 2 * time.Second
	// workerInterval is the interval of the worker's periodic checks: the lease, unsaved
	// progress and expired state.
	workerInterval = 50 * time.Millisecond
	// reportBatchDelay lets reports that occur close together share a reply. It is half of
	// the time between two events of a text.
	reportBatchDelay = 15 * time.Millisecond
	// maxStartDelay bounds how much longer than usual a call may take to arrive for its
	// starts to be executed, and how long after its start order a run may begin. The budget
	// of a cold sampler and the state of the job are those of the time at which the executor
	// scheduled the run. The users' rules allow runs that were ordered before a suspension to
	// start for 300 ms after it.
	maxStartDelay = 300 * time.Millisecond
	// maxLongPoll bounds how long a call may wait for reports.
	maxLongPoll = time.Second
	// textRetention is how long a text is kept that no run continues: as long as it may take
	// until its group is submitted again with a later job.
	textRetention = 2 * time.Minute
)

// worker executes runs of items on behalf of the executor, which may be another node (the
// "decider" of a call): it reads the bodies, holds the streams and the texts, makes the
// reward calls and writes the results to the log.
type worker struct {
	node *Node
	// process is a random number that identifies this start of the node.
	process uint64
	// active is set by the first call.
	active atomic.Bool
	wakeup chan struct{}

	changesMutex sync.Mutex
	changes      []ledger.Change

	mutex   sync.Mutex
	session remoterun.Session
	// lastCallAt is when the last call of the session arrived.
	lastCallAt clock.Moment
	// callDelays detects calls that arrive late.
	callDelays remoterun.DelayEstimator
	reports    remoterun.Reports
	// reported is closed and replaced whenever a report is added.
	reported        chan struct{}
	lastRun         uint64
	runs            map[uint64]*workerRun
	jobs            map[string]*workerJob
	loading         map[string]*jobLoad
	texts           map[textKey]*heldText
	finishing       map[schedule.Key]struct{}
	progressSavedAt time.Time
	leaving         bool

	// lifetime is canceled when the node stops.
	lifetime context.Context
	work     conc.WaitGroup
}

// workerRun is a run in progress. The executor assigns its number; each session counts
// from 1.
type workerRun struct {
	number uint64
	key    schedule.Key
	stop   context.CancelFunc
	// receivedAt is when the start order arrived.
	receivedAt clock.Moment
}

// workerJob is a job whose items have been read from the log.
type workerJob struct {
	spec  *pathbendv1.BatchJob
	items map[string]*pathbendv1.BatchItem
	// endedAt is when this node learned that the job ended or was complete; zero before.
	endedAt time.Time
}

// jobLoad is a read of a job's items, shared by all callers that wait for it. job and err
// are valid once done is closed.
type jobLoad struct {
	done chan struct{}
	job  *workerJob
	err  error
}

// textKey identifies a text. An item may have a second one, which a speculative run generates
// ahead for a later job.
type textKey struct {
	item  string
	ahead bool
}

// heldText is the generated text of an item in the worker's memory.
type heldText struct {
	schedule.Text
	job string
	// run is the run that may append to the text, nil if there is none.
	run        *workerRun
	isComplete bool
	usedAt     time.Time
}

func newWorker(n *Node) *worker {
	return &worker{
		node: n, process: rand.Uint64(), wakeup: make(chan struct{}, 1), reported: make(chan struct{}), runs: make(map[uint64]*workerRun),
		jobs: make(map[string]*workerJob), loading: make(map[string]*jobLoad), texts: make(map[textKey]*heldText), finishing: make(map[schedule.Key]struct{}),
		lifetime: context.Background(),
	}
}

// run performs the worker's periodic checks until ctx ends, then stops all runs and waits
// for them.
func (w *worker) run(ctx context.Context) {
	w.mutex.Lock()
	w.lifetime = ctx
	w.mutex.Unlock()
	ticker := time.NewTicker(workerInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		ticks := ticker.C
		if !w.active.Load() {
			// Until the first call, which wakes this loop, there is nothing to check.
			ticks = nil
		}
		select {
		case <-ticks:
		case <-w.wakeup:
		case <-ctx.Done():
		}
		if w.active.Load() {
			w.step(time.Now())
		}
	}
	w.mutex.Lock()
	w.stopRuns(func(*workerRun) bool { return true })
	w.mutex.Unlock()
	w.work.Wait()
}

// jobChanged queues a change of the ledger for the next step. The caller holds the ledger's
// lock.
func (w *worker) jobChanged(change ledger.Change) {
	if !w.active.Load() || change.Kind != ledger.JobEnded && change.Kind != ledger.ResultsAdded {
		return
	}
	w.changesMutex.Lock()
	defer w.changesMutex.Unlock()
	w.changes = append(w.changes, change)
	w.wake()
}

// wake triggers a step without waiting for the next interval.
func (w *worker) wake() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// step applies queued changes of the ledger, stops all runs if the executor is silent for
// longer than workerLease, saves progress and removes expired state.
func (w *worker) step(now time.Time) {
	w.changesMutex.Lock()
	changes := w.changes
	w.changes = nil
	w.changesMutex.Unlock()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, change := range changes {
		w.applyChange(change, now)
	}
	if len(w.runs) > 0 && w.lastCallAt.AgeAt(now) > workerLease {
		w.node.logger.Log(event.RunsOrphaned, "decider", w.session.Executor, "generation", w.session.Generation,
			"runs", len(w.runs), "silent_ms", w.lastCallAt.AgeAt(now).Milliseconds())
		w.stopRuns(func(*workerRun) bool { return true })
	}
	if now.Sub(w.progressSavedAt) >= progressInterval {
		w.progressSavedAt = now
		w.saveProgress(minProgressEvents, now)
	}
	w.removeExpired(now)
}

// applyChange stops the runs of items that have a result, and those of a job that ended or is
// complete, except for speculative runs for a later job. The caller holds the lock.
func (w *worker) applyChange(change ledger.Change, now time.Time) {
	for _, itemResult := range change.NewResults {
		w.stopRuns(func(run *workerRun) bool { return run.key.Item == itemResult.ItemID })
		delete(w.texts, textKey{item: itemResult.ItemID})
		delete(w.texts, textKey{item: itemResult.ItemID, ahead: true})
	}
	if change.Kind != ledger.JobEnded && !change.Complete {
		return
	}
	w.stopRuns(func(run *workerRun) bool { return run.key.Job == change.Job.ID && !run.key.Speculative })
	if job, found := w.jobs[change.Job.ID]; found && job.endedAt.IsZero() {
		job.endedAt = now
	}
}

// isRunning reports whether a run is in progress. The caller holds the lock.
func (w *worker) isRunning(run *workerRun) bool { return run != nil && w.runs[run.number] == run }

// stopRuns stops the selected runs. The caller holds the lock.
func (w *worker) stopRuns(selected func(*workerRun) bool) {
	for number, run := range w.runs {
		if selected(run) {
			run.stop()
			delete(w.runs, number)
		}
	}
}

// removeExpired removes jobs that ended longer than schedule.SpeculativeRunGracePeriod ago and
// stops their remaining runs, which are speculative runs for a later job. It also removes
// texts that no run has continued within textRetention. The caller holds the lock.
func (w *worker) removeExpired(now time.Time) {
	for id, job := range w.jobs {
		if !job.endedAt.IsZero() && now.Sub(job.endedAt) > schedule.SpeculativeRunGracePeriod {
			w.stopRuns(func(run *workerRun) bool { return run.key.Job == id })
			delete(w.jobs, id)
		}
	}
	for key, text := range w.texts {
		if !w.isRunning(text.run) && now.Sub(text.usedAt) > textRetention {
			delete(w.texts, key)
		}
	}
}

// saveProgress passes the new events of running items to the result writer, which appends
// them to the log. Items with fewer than minEvents unsaved events are left out. The caller holds the
// lock.
func (w *worker) saveProgress(minEvents uint64, now time.Time) {
	unsaved := make(partsByJob)
	w.node.jobs.withLedger(func(state *ledger.Ledger) {
		for _, run := range w.runs {
			text := w.texts[textKey{item: run.key.Item, ahead: run.key.Speculative}]
			if run.key.Speculative || text == nil || text.isComplete {
				continue
			}
			if part, ok := text.Unsaved(run.key.Item, minEvents, state, rand.Uint64, now); ok {
				unsaved[run.key.Job] = append(unsaved[run.key.Job], part)
			}
		}
	})
	w.node.executor.resultWriter.addProgress(unsaved)
}

// drain saves the progress of running items and tells the executor that this node is
// leaving.
func (w *worker) drain(ctx context.Context) {
	if !w.active.Load() {
		return
	}
	w.mutex.Lock()
	w.leaving = true
	w.saveProgress(1, time.Now())
	w.notifyReported()
	w.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	w.node.executor.resultWriter.flush(ctx)
}

// notifyReported wakes the calls that wait for reports. The caller holds the lock.
func (w *worker) notifyReported() {
	close(w.reported)
	w.reported = make(chan struct{})
}

// addReport queues a report for the executor unless its session has been replaced. The
// caller holds the lock.
func (w *worker) addReport(session remoterun.Session, report *pathbendv1.CarryReport) {
	if w.session != session {
		return
	}
	w.reports.Add(report)
	w.notifyReported()
}

// HandlePeer implements peer.Handler.
func (w *worker) HandlePeer(ctx context.Context, call *pathbendv1.Envelope) (*pathbendv1.Envelope, error) {
	carryCall := call.GetCarryCall()
	if carryCall == nil {
		return nil, result.New(result.FrameMalformed, "peer call is not a call to a worker")
	}
	reply, err := w.handleCall(ctx, carryCall)
	if err != nil {
		return nil, err
	}
	return &pathbendv1.Envelope{Body: &pathbendv1.Envelope_CarryReply{CarryReply: reply}}, nil
}

// handleCall applies the orders of a call and returns the pending reports, after a long poll
// if the call asks for one.
func (w *worker) handleCall(ctx context.Context, call *pathbendv1.CarryCall) (*pathbendv1.CarryReply, error) {
	session := remoterun.Session{Executor: call.Decider, Generation: call.Generation, ID: call.Session}
	reported, err := w.applyCall(session, call)
	if err != nil {
		return nil, err
	}
	if call.HoldMs > 0 {
		w.awaitReports(ctx, reported, min(time.Duration(call.HoldMs)*time.Millisecond, maxLongPoll))
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.session != session {
		return nil, result.New(result.LeaseConflict, "session was replaced: node %s has been the executor since generation %d", w.session.Executor, w.session.Generation)
	}
	reply := &pathbendv1.CarryReply{Process: w.process, Leaving: w.leaving, OutOfTouch: !w.node.jobs.hasCurrentLog()}
	if call.HoldMs > 0 {
		reply.Reports = w.reports.Pending()
	}
	return reply, nil
}

// applyCall applies the orders of a call. It returns a channel that is closed at the next
// report, nil if reports are pending already.
func (w *worker) applyCall(session remoterun.Session, call *pathbendv1.CarryCall) (<-chan struct{}, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.lifetime.Err() != nil {
		return nil, result.New(result.Draining, "the node is stopping")
	}
	isNew, err := w.session.Admit(session)
	if err != nil {
		return nil, err
	}
	if isNew {
		w.startSession(session)
	}
	now := time.Now()
	w.lastCallAt = clock.At(now)
	delayed := w.callDelays.Delay(clock.Now(), time.Duration(call.SentMs)*time.Millisecond) > maxStartDelay
	w.reports.Acknowledge(call.Acknowledged)
	for _, order := range call.Orders {
		w.applyOrder(session, order, delayed)
	}
	if len(w.reports.Pending()) > 0 {
		return nil, nil
	}
	return w.reported, nil
}

// startSession switches to another session. It stops the runs of the previous session and
// keeps their texts, which runs of the new session continue. The caller holds the lock.
func (w *worker) startSession(session remoterun.Session) {
	w.active.Store(true)
	w.wake()
	w.stopRuns(func(*workerRun) bool { return true })
	w.node.logger.Log(event.WorkerServes, "decider", session.Executor, "generation", session.Generation,
		"former", w.session.Executor, "texts", len(w.texts))
	w.session, w.reports, w.callDelays, w.lastRun = session, remoterun.Reports{}, remoterun.DelayEstimator{}, 0
}

// awaitReports waits until reported is closed, at most for timeout, and then for
// reportBatchDelay. A nil channel means that reports are pending.
func (w *worker) awaitReports(ctx context.Context, reported <-chan struct{}, timeout time.Duration) {
	if reported != nil {
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		select {
		case <-reported:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
	wait.For(ctx, reportBatchDelay)
}

// applyOrder applies one order. Duplicate orders have no effect: runs are numbered in the
// order of their starts. A delayed start is reported as stopped and not executed. The caller
// holds the lock.
func (w *worker) applyOrder(session remoterun.Session, order *pathbendv1.CarryOrder, delayed bool) {
	switch typed := order.Order.(type) {
	case *pathbendv1.CarryOrder_Open:
		w.work.Go(func() { w.reportOutline(session, typed.Open) })
	case *pathbendv1.CarryOrder_Start:
		if typed.Start.Run <= w.lastRun {
			return
		}
		w.lastRun = typed.Start.Run
		if delayed {
			w.addRunReport(session, &pathbendv1.RunState{
				Run: typed.Start.Run, Ending: uint32(schedule.Stopped), Detail: "the start order was delayed on the way to the worker",
			})
			return
		}
		w.startRun(session, typed.Start)
	case *pathbendv1.CarryOrder_Stop:
		if run, found := w.runs[typed.Stop]; found {
			run.stop()
			delete(w.runs, typed.Stop)
		}
	case *pathbendv1.CarryOrder_Finish:
		w.work.Go(func() { w.finishItem(session, typed.Finish) })
	}
}
