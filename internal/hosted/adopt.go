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

// adopt reads the items of a job and what was made of them, then hands the job to
// the scheduler. It is called under the lock and goes on in a goroutine.
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

// awaitRoute waits while no route leads to a job: nothing can serve it, and where its bodies
// may be read is not known.
func (e *executor) awaitRoute(session context.Context, job *ledger.Job) {
	for told := false; e.routeOf(job.Spec) == nil && e.open(job); told = true {
		if !told {
			e.node.logger.Log(event.JobUnread, "job_id", job.ID, "detail", "no route leads to it")
		}
		if !wait.For(session, adoptPause) {
			return
		}
	}
}

// adoptPause is the pause before the items of a job are read again.
const adoptPause = 60 * time.Millisecond

func (e *executor) open(job *ledger.Job) bool {
	open := false
	e.node.jobs.withLedger(func(*ledger.Ledger) { open = job.Open() })
	return open
}

// adopted is a job's items with the text that was made of them. It implements
// schedule.Kept.
type adopted struct {
	// regions are those of the job, remote is set if a worker carries it.
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

// read reads a job's items and the partial texts. Text that
// cannot be read is made again.
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

// countsOf returns partial texts without their bytes, which a worker reads.
func countsOf(partial map[string]ledger.Progress) map[string]schedule.Partial {
	counts := make(map[string]schedule.Partial, len(partial))
	for itemID, progress := range partial {
		counts[itemID] = schedule.Partial{Events: progress.Events, Versions: progress.Versions}
	}
	return counts
}

// readsTogether is how many texts are read at once: a step's long items wait for
// all of them.
const readsTogether = 8

// readPartial reads partial texts. Text that cannot be read is made again.
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

// textsOf finds what the log holds of items: texts that an earlier job listed, and
// partial texts. An item may have both, if its listed text was too old for
// a later job that began it anew.
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

// add hands a job to the scheduler, unless its regions changed since it was read: then it
// is read anew.
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

// slackOf is how many versions behind the newest a job allows.
func (e *executor) slackOf(spec *pathbendv1.BatchJob) uint64 {
	newest := max(e.node.targets()[spec.Model], firstVersion)
	if spec.MinVersion >= newest {
		return 0
	}
	return newest - spec.MinVersion
}

// firstVersion is what samplers serve before any version is named.
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

// routeRanks is the number of ranks that routes have within one rank of tenants: the
// users' sheets use 0 to 2.
const routeRanks = 3

// rankOf ranks a tenant's work on a route, 0 first: the route's priority comes after the
// tenant's.
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
