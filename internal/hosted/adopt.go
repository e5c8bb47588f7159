package hosted

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/catalog"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/locality"
	"github.com/pathbend/pathbend/internal/schedule"
	"github.com/pathbend/pathbend/internal/wait"
)

// adopt loads the items of a job and the text generated for them so far, then adds the job
// to the scheduler. The caller holds e.mutex; loading runs in a goroutine and is retried
// until it succeeds or the job is no longer open.
func (e *executor) adopt(job *ledger.Job) {
	session, scheduler := e.session, e.scheduler
	e.work.Go(func() {
		e.awaitRoute(session, job)
		for session.Err() == nil && e.open(job) {
			found, err := e.read(session, job)
			if err == nil {
				e.add(scheduler, job, found)
				return
			}
			e.node.logger.Log(event.JobUnread, "job_id", job.ID, "detail", err.Error())
			wait.For(session, adoptPause)
		}
	})
}

// awaitRoute waits until the configuration has a route for a job. Without one nothing can
// serve the job, and the regions in which its bodies may be read are unknown.
func (e *executor) awaitRoute(session context.Context, job *ledger.Job) {
	for told := false; e.routeOf(job.Spec) == nil && e.open(job); told = true {
		if !told {
			e.node.logger.Log(event.JobUnread, "job_id", job.ID, "detail", "no route matches the job")
		}
		if !wait.For(session, adoptPause) {
			return
		}
	}
}

// adoptPause is the pause before loading a job is retried.
const adoptPause = 60 * time.Millisecond

func (e *executor) open(job *ledger.Job) bool {
	open := false
	e.node.jobs.withLedger(func(*ledger.Ledger) { open = job.Open() })
	return open
}

// adopted is a loaded job: its items and the text generated for them so far. It implements
// schedule.Kept.
type adopted struct {
	// regions are the allowed regions of the job. remote is set if a worker in another region
	// runs its items.
	regions  locality.Regions
	remote   bool
	items    []*pathbendv1.BatchItem
	partial  map[string]schedule.Partial
	finished map[string]ledger.Result
}

// Partial implements schedule.Kept.
func (a adopted) Partial(itemID string) (schedule.Partial, bool) {
	partial, ok := a.partial[itemID]
	return partial, ok
}

// Finished implements schedule.Kept.
func (a adopted) Finished(itemID string) (ledger.Result, bool) {
	listed, ok := a.finished[itemID]
	return listed, ok
}

// read loads a job's items and their partial texts. Items whose partial text cannot be
// read are generated from the start.
func (e *executor) read(ctx context.Context, job *ledger.Job) (adopted, error) {
	found := adopted{regions: e.node.regionsOfJob(job.Spec)}
	found.remote = e.node.remote(found.regions)
	var err error
	if found.remote {
		found.items, err = e.outline(ctx, job, found.regions)
	} else {
		found.items, err = e.node.jobs.contents.GetItems(ctx, job.Spec)
	}
	if err != nil {
		return found, err
	}
	var partial map[string]ledger.Progress
	e.node.jobs.withLedger(func(known *ledger.Ledger) { found.finished, partial = textsOf(known, found.items) })
	if found.remote {
		found.partial = countsOf(partial)
		return found, nil
	}
	found.partial = e.readPartial(ctx, job, partial)
	return found, nil
}

// countsOf returns the event counts and versions of partial texts without their bytes,
// which the worker reads itself.
func countsOf(partial map[string]ledger.Progress) map[string]schedule.Partial {
	counts := make(map[string]schedule.Partial, len(partial))
	for itemID, progress := range partial {
		counts[itemID] = schedule.Partial{Events: progress.Events, Versions: progress.Versions}
	}
	return counts
}

// readsTogether is how many partial texts are read concurrently: the long items of a
// training step cannot start before all of them have been read.
const readsTogether = 8

// readPartial reads partial texts. Those that cannot be read are left out, so that they
// are generated again.
func (e *executor) readPartial(ctx context.Context, job *ledger.Job, partial map[string]ledger.Progress) map[string]schedule.Partial {
	var mutex sync.Mutex
	texts := make(map[string]schedule.Partial, len(partial))
	readers := pool.New().WithMaxGoroutines(readsTogether)
	for itemID, progress := range partial {
		readers.Go(func() {
			parts, err := e.node.jobs.contents.Get(ctx, progress.Parts)
			if err != nil {
				e.logUnread(job.ID, itemID, err)
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			texts[itemID] = schedule.Partial{
				ID: progress.ID, Events: progress.Events, Versions: progress.Versions, Text: bytes.Join(parts, []byte{'\n'}),
			}
		})
	}
	readers.Wait()
	return texts
}

func (e *executor) logUnread(jobID, itemID string, err error) {
	e.node.logger.Log(event.JobUnread, "job_id", jobID, "item_id", itemID, "detail", err.Error())
}

// textsOf returns what the ledger knows of items: results listed by an earlier job, and
// partial texts. An item has both if its listed text was too old for a later job, which
// started it again.
func textsOf(known *ledger.Ledger, items []*pathbendv1.BatchItem) (finished map[string]ledger.Result, partial map[string]ledger.Progress) {
	finished, partial = make(map[string]ledger.Result), make(map[string]ledger.Progress)
	for _, item := range items {
		if listed, ok := known.Finished(item.Id); ok {
			finished[item.Id] = listed
		}
		if progress, ok := known.Progress(item.Id); ok {
			partial[item.Id] = progress
		}
	}
	return finished, partial
}

// add adds a loaded job to the scheduler. If the job's regions changed since it was loaded
// it is loaded again; if scheduler is that of a former session the job is dropped.
func (e *executor) add(scheduler *schedule.Scheduler, job *ledger.Job, found adopted) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.scheduler != scheduler {
		return
	}
	if e.node.regionsOfJob(job.Spec).String() != found.regions.String() {
		e.adopt(job)
		return
	}
	e.takeVersions()
	e.roll.Allow(job.Spec.Model, job.Spec.Step, e.slackOf(job.Spec))
	policy := e.policyOf(job)
	policy.Regions, policy.Topology, policy.Remote = found.regions, e.node.settings.Topology, found.remote
	if found.remote {
		e.remote.jobs[job.ID] = &remoteJob{regions: found.regions, link: e.linkTo(found.regions)}
	}
	var finished []schedule.Finished
	var stopped []schedule.Key
	e.node.jobs.withLedger(func(*ledger.Ledger) {
		if job.Open() {
			finished, stopped = scheduler.AddJob(job, found.items, policy, found)
		}
	})
	for _, run := range stopped {
		e.cancel(run)
	}
	if found.remote {
		e.scheduler.Hold(job.ID, e.remote.jobs[job.ID].link == nil)
	}
	for _, completed := range finished {
		e.finish(completed)
	}
	e.wake()
}

// slackOf returns how many versions behind the newest one a job allows.
func (e *executor) slackOf(spec *pathbendv1.BatchJob) uint64 {
	newest := max(e.node.targets()[spec.Model], firstVersion)
	if spec.MinVersion >= newest {
		return 0
	}
	return newest - spec.MinVersion
}

// firstVersion is the version that samplers serve before any version is announced.
const firstVersion = 1

func (e *executor) policyOf(job *ledger.Job) schedule.Policy {
	route := e.routeOf(job.Spec)
	policy := schedule.Policy{Due: job.ReceivedAt.Add(defaultDue), MaxFailures: 1}
	if route == nil {
		return policy
	}
	policy.Services = servicesOf(route)
	policy.MaxFailures = route.MaxAttempts
	policy.SingleVersion = route.SingleVersion
	policy.Priority = e.node.rankOf(job.Spec.Tenant, route)
	if route.Due > 0 {
		policy.Due = job.ReceivedAt.Add(route.Due)
	}
	return policy
}

// routeRanks is the number of route priorities within one tenant priority: configurations
// use 0 to 2.
const routeRanks = 3

// rankOf returns the scheduling rank of a tenant's work on a route, 0 first. The tenant's
// priority takes precedence over the route's.
func (n *Node) rankOf(tenantName string, route *catalog.Route) int {
	rank := min(max(route.Priority, 0), routeRanks-1)
	if current := n.Catalog(); current != nil {
		tenant, _ := current.Keys.Tenant(tenantName)
		rank += tenant.Priority * routeRanks
	}
	return rank
}

func (e *executor) routeOf(spec *pathbendv1.BatchJob) *catalog.Route {
	current := e.node.Catalog()
	if current == nil {
		return nil
	}
	return current.Find(spec.Host, spec.Path)
}

func servicesOf(route *catalog.Route) []string {
	var services []string
	for _, share := range route.Shares {
		if share.Weight > 0 {
			services = append(services, share.Service)
		}
	}
	return services
}
