package hosted

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/carry"
	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/schedule"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// workerLease is how long a worker goes on without a call of the node that decides:
	// longer than it takes another node to take the jobs over, and with a job's end just
	// before within the users' bound of 3 s for runs of ended jobs (chosen).
	workerLease = 2 * time.Second
	// workerTick is how often a worker looks at what no call announces.
	workerInterval = 50 * time.Millisecond
	// reportLinger lets reports of a moment share an answer (chosen: half of the time
	// between two events of a text).
	reportBatchDelay = 15 * time.Millisecond
	// heldUpLimit is how much longer than others a call may have been on its way for its
	// starts to count, and how much later a run may begin: the budget of a cold sampler and the end of a job hold for the time
	// at which the run was decided on (chosen; the users allow 300 ms after a thaw).
	maxStartDelay = 300 * time.Millisecond
	// mostHold bounds how long a call may wait for reports.
	maxLongPoll = time.Second
	// textMemory is how long a text is held that no run goes on with: as long as a group
	// may take to come again in a later job.
	textRetention = 2 * time.Minute
)

// worker carries runs of items for the node that decides: it reads the bodies, holds the
// streams and the texts, makes the reward calls and lists the results.
type worker struct {
	node *Node
	// process tells this start of the node from others.
	process uint64
	// active is set once any call came.
	active atomic.Bool
	wakeup chan struct{}

	changesMutex sync.Mutex
	changes      []ledger.Change

	mutex   sync.Mutex
	session carry.Session
	heardAt clock.Moment
	// way tells which calls were held up.
	callDelays carry.Way
	reports    carry.Reports
	// news is closed and replaced at every report.
	reported        chan struct{}
	lastRun         uint64
	runs            map[uint64]*carriedRun
	jobs            map[string]*loadedJob
	loading         map[string]*jobLoad
	texts           map[textKey]*heldText
	finishing       map[schedule.Key]struct{}
	progressSavedAt time.Time
	leaving         bool

	// lifetime ends with the node.
	lifetime context.Context
	work     conc.WaitGroup
}

// carriedRun is a run under way. Its number is its caller's, and each session counts from 1.
type carriedRun struct {
	number uint64
	key    schedule.Key
	stop   context.CancelFunc
	// orderedAt is when its start came.
	receivedAt clock.Moment
}

// carriedJob is a job whose items were read.
type loadedJob struct {
	spec  *pathbendv1.BatchJob
	items map[string]*pathbendv1.BatchItem
	// over is when the job ended or was complete, as far as this node knows.
	endedAt time.Time
}

// jobRead is a read of a job's items for all that wait for it. job and err are set once
// done is closed.
type jobLoad struct {
	done chan struct{}
	job  *loadedJob
	err  error
}

// textKey names a text: an item may have a second one, made ahead for a later job.
type textKey struct {
	item  string
	ahead bool
}

// carriedText is a text that the worker holds.
type heldText struct {
	schedule.Text
	job string
	// run is the run that may add to it, nil if none does.
	run        *carriedRun
	isComplete bool
	usedAt     time.Time
}

func newWorker(n *Node) *worker {
	return &worker{
		node: n, process: rand.Uint64(), wakeup: make(chan struct{}, 1), reported: make(chan struct{}), runs: make(map[uint64]*carriedRun),
		jobs: make(map[string]*loadedJob), loading: make(map[string]*jobLoad), texts: make(map[textKey]*heldText), finishing: make(map[schedule.Key]struct{}),
		lifetime: context.Background(),
	}
}

// run looks after the runs until ctx ends.
func (w *worker) run(ctx context.Context) {
	w.mutex.Lock()
	w.lifetime = ctx
	w.mutex.Unlock()
	ticker := time.NewTicker(workerInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		ticks := ticker.C
		if !w.active.Load() {
			// A node that carries no runs is woken by the first call for one.
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
	w.stopRuns(func(*carriedRun) bool { return true })
	w.mutex.Unlock()
	w.work.Wait()
}

// jobChanged records a change of the ledger. It is called under the ledger's lock.
func (w *worker) jobChanged(change ledger.Change) {
	if !w.active.Load() || change.Kind != ledger.Ended && change.Kind != ledger.Listed {
		return
	}
	w.changesMutex.Lock()
	defer w.changesMutex.Unlock()
	w.changes = append(w.changes, change)
	w.wake()
}

// wake makes the worker look at once.
func (w *worker) wake() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

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
	if len(w.runs) > 0 && w.heardAt.AgeAt(now) > workerLease {
		w.node.logger.Log(event.RunsOrphaned, "decider", w.session.Decider, "generation", w.session.Generation,
			"runs", len(w.runs), "silent_ms", w.heardAt.AgeAt(now).Milliseconds())
		w.stopRuns(func(*carriedRun) bool { return true })
	}
	if now.Sub(w.progressSavedAt) >= progressInterval {
		w.progressSavedAt = now
		w.saveProgress(progressEvents, now)
	}
	w.removeExpired(now)
}

func (w *worker) applyChange(change ledger.Change, now time.Time) {
	for _, listed := range change.Listed {
		w.stopRuns(func(run *carriedRun) bool { return run.key.Item == listed.ItemID })
		delete(w.texts, textKey{item: listed.ItemID})
		delete(w.texts, textKey{item: listed.ItemID, ahead: true})
	}
	if change.Kind != ledger.Ended && !change.Complete {
		return
	}
	w.stopRuns(func(run *carriedRun) bool { return run.key.Job == change.Job.ID && !run.key.Ahead })
	if job, found := w.jobs[change.Job.ID]; found && job.endedAt.IsZero() {
		job.endedAt = now
	}
}

// isUnderWay reports whether a run goes on. It is called under the lock.
func (w *worker) isRunning(run *carriedRun) bool { return run != nil && w.runs[run.number] == run }

// stopRuns stops the runs that are chosen. It is called under the lock.
func (w *worker) stopRuns(selected func(*carriedRun) bool) {
	for number, run := range w.runs {
		if selected(run) {
			run.stop()
			delete(w.runs, number)
		}
	}
}

// forget drops the bodies of jobs that are over, with the runs ahead of them that go on
// for too long, and texts that nothing goes on with.
func (w *worker) removeExpired(now time.Time) {
	for id, job := range w.jobs {
		if !job.endedAt.IsZero() && now.Sub(job.endedAt) > schedule.AheadPatience {
			w.stopRuns(func(run *carriedRun) bool { return run.key.Job == id })
			delete(w.jobs, id)
		}
	}
	for key, text := range w.texts {
		if !w.isRunning(text.run) && now.Sub(text.usedAt) > textRetention {
			delete(w.texts, key)
		}
	}
}

// saveProgress saves what running items made. It is called under the lock.
func (w *worker) saveProgress(minEvents uint64, now time.Time) {
	unsaved := make(partsByJob)
	w.node.jobs.withLedger(func(jobs *ledger.Ledger) {
		for _, run := range w.runs {
			text := w.texts[textKey{item: run.key.Item, ahead: run.key.Ahead}]
			if run.key.Ahead || text == nil || text.isComplete {
				continue
			}
			if part, ok := text.Unsaved(run.key.Item, minEvents, jobs, rand.Uint64, now); ok {
				unsaved[run.key.Job] = append(unsaved[run.key.Job], part)
			}
		}
	})
	w.node.executor.lister.addProgress(unsaved)
}

// drain saves what running items made and sends the callers elsewhere.
func (w *worker) drain(ctx context.Context) {
	if !w.active.Load() {
		return
	}
	w.mutex.Lock()
	w.leaving = true
	w.saveProgress(1, time.Now())
	w.notifyReported()
	w.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, flushPatience)
	defer cancel()
	w.node.executor.lister.flush(ctx)
}

// announceNews wakes the calls that wait for reports. It is called under the lock.
func (w *worker) notifyReported() {
	close(w.reported)
	w.reported = make(chan struct{})
}

// report tells the caller something. It is called under the lock.
func (w *worker) addReport(session carry.Session, report *pathbendv1.CarryReport) {
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
		return nil, result.New(result.FrameMalformed, "not a call for a worker")
	}
	reply, err := w.handleCall(ctx, carryCall)
	if err != nil {
		return nil, err
	}
	return &pathbendv1.Envelope{Body: &pathbendv1.Envelope_CarryReply{CarryReply: reply}}, nil
}

func (w *worker) handleCall(ctx context.Context, call *pathbendv1.CarryCall) (*pathbendv1.CarryReply, error) {
	session := carry.Session{Decider: call.Decider, Generation: call.Generation, ID: call.Session}
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
		return nil, result.New(result.LeaseConflict, "%s decides since generation %d", w.session.Decider, w.session.Generation)
	}
	reply := &pathbendv1.CarryReply{Process: w.process, Leaving: w.leaving, OutOfTouch: !w.node.jobs.inTouch()}
	if call.HoldMs > 0 {
		reply.Reports = w.reports.Pending()
	}
	return reply, nil
}

// obey carries a call's orders out. It returns a channel that is closed at the next report,
// nil if there is one already.
func (w *worker) applyCall(session carry.Session, call *pathbendv1.CarryCall) (<-chan struct{}, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.lifetime.Err() != nil {
		return nil, result.New(result.Draining, "the node stops")
	}
	isNew, err := w.session.Admit(session)
	if err != nil {
		return nil, err
	}
	if isNew {
		w.startSession(session)
	}
	now := time.Now()
	w.heardAt = clock.At(now)
	delayed := w.callDelays.HeldUp(clock.Now(), time.Duration(call.SentMs)*time.Millisecond) > maxStartDelay
	w.reports.Acknowledge(call.Acknowledged)
	for _, order := range call.Orders {
		w.applyOrder(session, order, delayed)
	}
	if len(w.reports.Pending()) > 0 {
		return nil, nil
	}
	return w.reported, nil
}

// begin takes orders of another session: the runs of the former one end, their texts are
// gone on with.
func (w *worker) startSession(session carry.Session) {
	w.active.Store(true)
	w.wake()
	w.stopRuns(func(*carriedRun) bool { return true })
	w.node.logger.Log(event.WorkerServes, "decider", session.Decider, "generation", session.Generation,
		"former", w.session.Decider, "texts", len(w.texts))
	w.session, w.reports, w.callDelays, w.lastRun = session, carry.Reports{}, carry.Way{}, 0
}

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

// order carries one order out. Orders that come twice are harmless: runs are numbered in
// the order of their starts. A start that comes late is passed over.
func (w *worker) applyOrder(session carry.Session, order *pathbendv1.CarryOrder, delayed bool) {
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
				Run: typed.Start.Run, Ending: uint32(schedule.Stopped), Detail: "its start was held up on the way",
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
