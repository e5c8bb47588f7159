package fleet

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pathbend/pathbend/internal/dispatch"
	"github.com/pathbend/pathbend/internal/engine"
	"github.com/pathbend/pathbend/internal/evacuation"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/routing"
)

// Fleet is the node's view of all engines and back ends. It is safe for
// concurrent use.
type Fleet struct {
	logger *event.Logger

	mutex       sync.Mutex
	table       *routing.Table
	application *routing.Profile
	// allowed keeps the back ends in the regions of a request.
	allowed    routing.AllowedRegion
	generation *routing.Profile
	// states holds the last load report of each engine.
	states map[string]engineReport
	// demand is when a generation was last placed on a pool.
	demand map[string]time.Time
	// news are endpoints found leaving that peers may not know of yet.
	news []string
}

type engineReport struct {
	load engine.Load
	at   time.Time
}

// New returns an empty fleet.
func New(random *rand.Rand, logger *event.Logger) *Fleet {
	return &Fleet{
		logger:      logger,
		table:       routing.NewTable(),
		application: routing.NewApplicationProfile(random),
		generation:  routing.NewGenerationProfile(random),
		states:      make(map[string]engineReport),
		demand:      make(map[string]time.Time),
	}
}

// NewHosted returns an empty fleet for a node, by its place, whose endpoints send no
// load reports.
func NewHosted(random *rand.Rand, place routing.Place, logger *event.Logger) *Fleet {
	hosted := New(random, logger)
	hosted.application = routing.NewHostedProfile(random, place)
	hosted.allowed = routing.AllowedRegion{Topology: place.Topology}
	return hosted
}

// Update applies the machine list.
func (f *Fleet) Update(machines []Machine) {
	listed := make([]routing.Machine, 0, len(machines))
	for _, machine := range machines {
		if machine.Role == RoleNode {
			continue
		}
		listed = append(listed, routing.Machine{
			ID: machine.ID, Pool: machine.Pool, Address: machine.Address, Zone: machine.Zone, Leaving: machine.Leaving, Capacity: machine.Capacity,
			ColdFor: machine.ColdFor, Limits: machine.Limits, Born: machine.Born,
		})
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	changes := f.table.Update(listed)
	f.table.NoteCold(listed, time.Now())
	f.logAdded(changes.Added)
	for _, endpoint := range changes.Leaving {
		f.logger.Log(event.EndpointLeaving, "endpoint", endpoint.ID, "source", "list")
	}
	f.noteGone(changes.Gone)
	for _, endpoint := range changes.Restarted {
		delete(f.states, endpoint.ID)
		f.logger.Log(event.EndpointRestarted, "endpoint", endpoint.ID, "address", endpoint.Address)
	}
}

// noteGone forgets endpoints that are not listed any more.
func (f *Fleet) noteGone(gone []*routing.Endpoint) {
	for _, endpoint := range gone {
		delete(f.states, endpoint.ID)
	}
	if len(gone) > eachLogged {
		f.logger.Log(event.EndpointsGone, "count", len(gone), "pools", len(f.table.Pools()))
		return
	}
	for _, endpoint := range gone {
		f.logger.Log(event.EndpointGone, "endpoint", endpoint.ID)
	}
}

// eachLogged is how many endpoints that appear or go together get a line each: a few are
// news of a back end, many are the list that a node has just read (chosen).
const eachLogged = 4

func (f *Fleet) logAdded(added []*routing.Endpoint) {
	if len(added) > eachLogged {
		f.logger.Log(event.EndpointsAdded, "count", len(added), "pools", len(f.table.Pools()))
		return
	}
	for _, endpoint := range added {
		f.logger.Log(event.EndpointAdded, "endpoint", endpoint.ID, "pool", endpoint.Pool, "zone", endpoint.Zone)
	}
}

// Pick implements dispatch.Balancer for back ends. The attempt counts as
// started.
func (f *Fleet) Pick(request *routing.Request) *routing.Endpoint {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	endpoint := started(f.application.Pick(f.table, request))
	if endpoint != nil {
		endpoint.Warmup.Sent(request.Now)
	}
	return endpoint
}

// RoomAgain implements dispatch.Balancer.
func (f *Fleet) RoomAgain(request *routing.Request) (at time.Time, cold bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.table.RoomAgain(request, f.allowed)
}

// PickEngine chooses an engine for a generation, which counts as started.
func (f *Fleet) PickEngine(request *routing.Request) *routing.Endpoint {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.demand[request.Pool] = request.Now
	return started(f.generation.Pick(f.table, request))
}

// InDemand reports whether a generation was placed on a pool of late.
func (f *Fleet) InDemand(pool string, window time.Duration) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	last, ok := f.demand[pool]
	return ok && time.Since(last) < window
}

// NoteVersion records the version that an engine was seen to generate with,
// which is fresher than its last report.
func (f *Fleet) NoteVersion(endpoint *routing.Endpoint, model string, version uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	endpoint.NoteVersion(model, version, time.Now())
}

func started(endpoint *routing.Endpoint) *routing.Endpoint {
	if endpoint != nil {
		endpoint.Started()
	}
	return endpoint
}

// Report implements dispatch.Balancer.
func (f *Fleet) Report(endpoint *routing.Endpoint, report dispatch.Report) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch {
	case report.Ending == dispatch.Answered:
		endpoint.Succeeded(report.Latency)
	case report.Neutral || report.Ending == dispatch.RefusedByBackEnd:
		endpoint.Released()
	case endpoint.Failed(time.Now()):
		f.logger.Log(event.EndpointSlow, "endpoint", endpoint.ID)
	}
}

// Evacuate applies the list of evacuated zones.
func (f *Fleet) Evacuate(zones evacuation.Zones) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.table.Evacuate(zones, time.Now())
}

// Evacuated implements dispatch.Balancer.
func (f *Fleet) Evacuated(pool string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.table.Evacuated(pool)
}

// MarkLeaving implements dispatch.Balancer: the endpoint itself said so.
func (f *Fleet) MarkLeaving(endpoint *routing.Endpoint) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	// What a former incarnation said tells nothing of the one in its place.
	if f.table.Get(endpoint.ID) == endpoint {
		f.markLeaving(endpoint.ID, "endpoint")
	}
}

// MarkLeavingFromPeer records what another node found out.
func (f *Fleet) MarkLeavingFromPeer(id string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.table.Get(id) != nil {
		f.markLeaving(id, "peer")
	}
}

// markLeaving is called under the lock.
func (f *Fleet) markLeaving(id, source string) {
	if !f.table.MarkLeaving(id) {
		return
	}
	f.news = append(f.news, id)
	f.logger.Log(event.EndpointLeaving, "endpoint", id, "source", source)
}

// TakeNews returns the endpoints found leaving since the last call.
func (f *Fleet) TakeNews() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	news := f.news
	f.news = nil
	return news
}

// Engine is an engine's identity for polling and orders.
type Engine struct {
	ID      string
	Address string
	Leaving bool
}

// Engines lists the endpoints of a pool.
func (f *Fleet) Engines(pool string) []Engine {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	endpoints := f.table.Pool(pool)
	engines := make([]Engine, 0, len(endpoints))
	for _, endpoint := range endpoints {
		engines = append(engines, Engine{ID: endpoint.ID, Address: endpoint.Address, Leaving: endpoint.Leaving})
	}
	return engines
}

// TakeLoad records an engine's load report.
func (f *Fleet) TakeLoad(id string, load engine.Load, at time.Time) {
	versions := make(map[string]uint64, len(load.Models))
	for _, model := range load.Models {
		versions[model.Model] = model.Serving
	}
	f.mutex.Lock()
	endpoint := f.table.Get(id)
	if endpoint != nil {
		f.states[id] = engineReport{load: load, at: at}
		endpoint.Reported(routing.LoadReport{
			Running: load.Running, Waiting: load.Waiting, Capacity: load.Capacity, Versions: versions,
		}, at)
	}
	f.mutex.Unlock()
	if load.Leaving && endpoint != nil {
		f.MarkLeaving(endpoint)
	}
}

// EngineReport returns the last load report and its time; false if there is
// none.
func (f *Fleet) EngineReport(id string) (engine.Load, time.Time, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	report, ok := f.states[id]
	return report.load, report.at, ok
}

// EndpointStatus describes an endpoint for the status page.
type EndpointStatus struct {
	ID       string              `json:"id"`
	Pool     string              `json:"pool"`
	Zone     string              `json:"zone"`
	Address  string              `json:"address"`
	Leaving  bool                `json:"leaving"`
	Ejected  bool                `json:"ejected"`
	InFlight int                 `json:"in_flight"`
	Load     int                 `json:"load"`
	Models   []engine.ModelState `json:"models,omitempty"`
}

// Status lists all endpoints by pool and id.
func (f *Fleet) Status() []EndpointStatus {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	var statuses []EndpointStatus
	for _, pool := range f.table.Pools() {
		for _, endpoint := range f.table.Pool(pool) {
			statuses = append(statuses, EndpointStatus{
				ID: endpoint.ID, Pool: endpoint.Pool, Zone: endpoint.Zone, Address: endpoint.Address,
				Leaving: endpoint.Leaving, Ejected: endpoint.Ejected(now), InFlight: endpoint.InFlight,
				Load: endpoint.Load(), Models: f.states[endpoint.ID].load.Models,
			})
		}
	}
	return statuses
}
