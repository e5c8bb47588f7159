package platformnode

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/blobstore"
	"github.com/pathbend/pathbend/internal/catalog"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/locality"
	"github.com/pathbend/pathbend/internal/schedule"
	"github.com/pathbend/pathbend/internal/wait"
)

// loadJob loads the items of a job and the text generated for them so far, then adds the job
// to the scheduler. The caller holds e.mutex; loading runs in a goroutine and is retried
// until it succeeds or the job is no longer open.
func (e *executor) loadJob(job *ledger.Job) {
	session, scheduler := e.session, e.scheduler
	e.work.Go(func() {
		e.awaitRoute(session, job)
		var retry loadBackoff
		for session.Err() == nil && e.isOpen(job) {
			loaded, err := e.readJob(session, job, retry.timeout())
			if err == nil {
				e.addJob(scheduler, job, loaded)
				return
			}
			e.node.logger.Log(event.JobUnread, "job_id", job.ID, "detail", err.Error())
			wait.For(session, retry.fail(errors.Is(err, blobstore.ErrReadTimeout), rand.Float64()))
		}
		e.recordUnloaded(scheduler, job)
	})
}

// recordUnloaded records the demand of a job that ended before it was loaded.
func (e *executor) recordUnloaded(scheduler *schedule.Scheduler, job *ledger.Job) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.scheduler == scheduler {
		e.recordJobDemand(job)
	}
}

// recordJobDemand records the demand of a job that is not added to the scheduler. The caller
// holds e.mutex.
func (e *executor) recordJobDemand(job *ledger.Job) {
	unfinished := 0
	e.node.jobs.withLedger(func(*ledger.Ledger) { unfinished = job.ItemCount() - len(job.Results) })
	e.scheduler.RecordDemand(e.workloadOf(job.Spec), unfinished, time.Now())
}

// routePollInterval is how often a job without a route looks for one.
const routePollInterval = 60 * time.Millisecond

// awaitRoute waits until the configuration has a route for a job. Without one nothing can
// serve the job, and the regions in which its bodies may be read are unknown.
func (e *executor) awaitRoute(session context.Context, job *ledger.Job) {
	for logged := false; e.findRoute(job.Spec) == nil && e.isOpen(job); logged = true {
		if !logged {
			e.node.logger.Log(event.JobUnread, "job_id", job.ID, "detail", "no route matches the job")
		}
		if !wait.For(session, routePollInterval) {
			return
		}
	}
}

func (e *executor) isOpen(job *ledger.Job) bool {
	open := false
	e.node.jobs.withLedger(func(*ledger.Ledger) { open = job.Open() })
	return open
}

// loadedJob is a loaded job: its items and the text generated for them so far. It implements
// schedule.StoredTextSource.
type loadedJob struct {
	// regions are the allowed regions of the job. remote is set if a worker in another region
	// runs its items.
	regions  locality.Regions
	remote   bool
	items    []*pathbendv1.BatchItem
	partial  map[string]schedule.PartialText
	finished map[string]ledger.Result
}

// Partial implements schedule.StoredTextSource.
func (j loadedJob) Partial(itemID string) (schedule.PartialText, bool) {
	partial, ok := j.partial[itemID]
	return partial, ok
}

// Finished implements schedule.StoredTextSource.
func (j loadedJob) Finished(itemID string) (ledger.Result, bool) {
	finished, ok := j.finished[itemID]
	return finished, ok
}

// readJob loads a job's items and their partial texts, with a timeout for each read of the log.
// Items whose partial text cannot be read are generated from the start.
func (e *executor) readJob(ctx context.Context, job *ledger.Job, timeout time.Duration) (loadedJob, error) {
	loaded := loadedJob{regions: e.node.regionsOfJob(job.Spec)}
	loaded.remote = e.node.isOutside(loaded.regions)
	var err error
	if loaded.remote {
		loaded.items, err = e.outline(ctx, job, loaded.regions)
	} else {
		loaded.items, err = e.node.jobs.blobs.GetItems(ctx, job.Spec, blobstore.WithReadTimeout(timeout))
	}
	if err != nil {
		return loaded, err
	}
	var partial map[string]ledger.Progress
	e.node.jobs.withLedger(func(state *ledger.Ledger) { loaded.finished, partial = knownTexts(state, loaded.items) })
	if loaded.remote {
		loaded.partial = countsOnly(partial)
		return loaded, nil
	}
	loaded.partial = e.readPartial(ctx, job, partial, timeout)
	return loaded, nil
}

// countsOnly returns the event counts and versions of partial texts without their bytes,
// which the worker reads itself.
func countsOnly(partial map[string]ledger.Progress) map[string]schedule.PartialText {
	counts := make(map[string]schedule.PartialText, len(partial))
	for itemID, progress := range partial {
		counts[itemID] = schedule.PartialText{Events: progress.Events, Versions: progress.Versions}
	}
	return counts
}

// maxConcurrentReads is how many partial texts are read concurrently: the long items of a
// training step cannot start before all of them have been read.
const maxConcurrentReads = 8

// readPartial reads partial texts, with a timeout for each read of the log. Those that cannot be
// read are left out, so that they are generated again.
func (e *executor) readPartial(ctx context.Context, job *ledger.Job, partial map[string]ledger.Progress, timeout time.Duration) map[string]schedule.PartialText {
	var mutex sync.Mutex
	texts := make(map[string]schedule.PartialText, len(partial))
	readers := pool.New().WithMaxGoroutines(maxConcurrentReads)
	for itemID, progress := range partial {
		readers.Go(func() {
			parts, err := e.node.jobs.blobs.Get(ctx, progress.Parts, blobstore.WithReadTimeout(timeout))
			if err != nil {
				e.logReadFailure(job.ID, itemID, err)
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			texts[itemID] = schedule.PartialText{
				ID: progress.ID, Events: progress.Events, Versions: progress.Versions, Text: bytes.Join(parts, []byte{'\n'}),
			}
		})
	}
	readers.Wait()
	return texts
}

func (e *executor) logReadFailure(jobID, itemID string, err error) {
	e.node.logger.Log(event.JobUnread, "job_id", jobID, "item_id", itemID, "detail", err.Error())
}

// knownTexts returns what the ledger knows of items: results of an earlier job, and partial
// texts. An item has both if the text of its result was too old for a later job, which started
// it again.
func knownTexts(state *ledger.Ledger, items []*pathbendv1.BatchItem) (finished map[string]ledger.Result, partial map[string]ledger.Progress) {
	finished, partial = make(map[string]ledger.Result), make(map[string]ledger.Progress)
	for _, item := range items {
		if finishedResult, ok := state.FinishedResult(item.Id); ok {
			finished[item.Id] = finishedResult
		}
		if progress, ok := state.Progress(item.Id); ok {
			partial[item.Id] = progress
		}
	}
	return finished, partial
}

// addJob adds a loaded job to the scheduler. If the job's regions changed since it was loaded
// it is loaded again; if scheduler is that of a former session the job is dropped.
func (e *executor) addJob(scheduler *schedule.Scheduler, job *ledger.Job, loaded loadedJob) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.scheduler != scheduler {
		return
	}
	if e.node.regionsOfJob(job.Spec).String() != loaded.regions.String() {
		e.loadJob(job)
		return
	}
	e.applyVersions()
	e.rollingUpdate.SetAllowedLag(job.Spec.Model, job.Spec.Step, e.allowedLag(job.Spec))
	policy := e.schedulePolicy(job)
	policy.Regions, policy.Topology, policy.Remote = loaded.regions, e.node.settings.Topology, loaded.remote
	if loaded.remote {
		e.remote.jobs[job.ID] = &remoteJob{regions: loaded.regions, link: e.openLink(loaded.regions)}
	}
	var finished []schedule.Finished
	var stopped []schedule.Key
	open := false
	e.node.jobs.withLedger(func(*ledger.Ledger) {
		if open = job.Open(); open {
			finished, stopped = scheduler.AddJob(job, loaded.items, policy, loaded)
		}
	})
	if !open {
		e.recordJobDemand(job)
	}
	for _, run := range stopped {
		e.cancel(run)
	}
	if loaded.remote {
		e.scheduler.SetPaused(job.ID, e.remote.jobs[job.ID].link == nil)
	}
	for _, completed := range finished {
		e.finish(completed)
	}
	e.wake()
}

// allowedLag returns how many versions behind the newest one a job allows.
func (e *executor) allowedLag(spec *pathbendv1.BatchJob) uint64 {
	newest := max(e.node.targets()[spec.Model], initialVersion)
	if spec.MinVersion >= newest {
		return 0
	}
	return newest - spec.MinVersion
}

// initialVersion is the version that samplers serve before any version is announced.
const initialVersion = 1

func (e *executor) schedulePolicy(job *ledger.Job) schedule.Policy {
	route := e.findRoute(job.Spec)
	policy := schedule.Policy{Due: job.ReceivedAt.Add(defaultDue), MaxFailures: 1}
	if route == nil {
		return policy
	}
	policy.Services = activeServices(route)
	policy.MaxFailures = route.MaxAttempts
	policy.SingleVersion = route.SingleVersion
	policy.Priority = e.node.schedulingRank(job.Spec.Tenant, route)
	if route.ResultsDueAfter > 0 {
		policy.Due = job.ReceivedAt.Add(route.ResultsDueAfter)
	}
	return policy
}

// routePriorities is the number of route priorities within one tenant priority:
// configurations use 0 to 2.
const routePriorities = 3

// schedulingRank returns the scheduling rank of a tenant's work on a route, 0 first. The
// tenant's priority takes precedence over the route's.
func (n *Node) schedulingRank(tenantName string, route *catalog.Route) int {
	rank := min(max(route.Priority, 0), routePriorities-1)
	if current := n.Catalog(); current != nil {
		tenant, _ := current.Keys.Tenant(tenantName)
		rank += tenant.Priority * routePriorities
	}
	return rank
}

func (e *executor) findRoute(spec *pathbendv1.BatchJob) *catalog.Route {
	current := e.node.Catalog()
	if current == nil {
		return nil
	}
	return current.Find(spec.Host, spec.Path)
}

func activeServices(route *catalog.Route) []string {
	var services []string
	for _, share := range route.TrafficShares {
		if share.Weight > 0 {
			services = append(services, share.Service)
		}
	}
	return services
}
