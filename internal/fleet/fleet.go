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

	mutex              sync.Mutex
	table              *routing.Table
	applicationProfile *routing.Profile
	// allowedRegion restricts a request to the back ends in its allowed regions.
	allowedRegion     routing.AllowedRegion
	generationProfile *routing.Profile
	// engineReports holds the last load report of each engine by its id.
	engineReports map[string]engineReport
	// lastRequest is the time at which an engine was last requested, by pool.
	lastRequest map[string]time.Time
	// unsentLeaving are the ids of leaving endpoints that peers have not been told of.
	unsentLeaving []string
}

// engineReport is a load report with the time at which it was received.
type engineReport struct {
	load       engine.LoadReport
	receivedAt time.Time
}

// New returns an empty fleet for a node that polls its engines for load reports.
func New(random *rand.Rand, logger *event.Logger) *Fleet {
	return &Fleet{
		logger:             logger,
		table:              routing.NewTable(),
		applicationProfile: routing.NewApplicationProfile(random),
		generationProfile:  routing.NewGenerationProfile(random),
		engineReports:      make(map[string]engineReport),
		lastRequest:        make(map[string]time.Time),
	}
}

// NewForPlatform returns an empty fleet for a node at the given location whose endpoints
// send no load reports.
func NewForPlatform(random *rand.Rand, location routing.NodeLocation, logger *event.Logger) *Fleet {
	platformFleet := New(random, logger)
	platformFleet.applicationProfile = routing.NewPlatformProfile(random, location)
	platformFleet.allowedRegion = routing.AllowedRegion{Topology: location.Topology}
	return platformFleet
}

// Update replaces the endpoints with those of a machine list. Nodes in the list are
// skipped.
func (f *Fleet) Update(machines []Machine) {
	listed := make([]routing.Machine, 0, len(machines))
	for _, machine := range machines {
		if machine.Role == RoleNode {
			continue
		}
		listed = append(listed, routing.Machine{
			ID: machine.ID, Pool: machine.Pool, Address: machine.Address, Zone: machine.Zone, Leaving: machine.Leaving, Capacity: machine.Capacity,
			ColdRemaining: machine.ColdRemaining, Limits: machine.Limits, StartedAtMs: machine.StartedAtMs,
		})
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	changes := f.table.Update(listed)
	f.table.UpdateColdState(listed, time.Now())
	f.logAdded(changes.Added)
	for _, endpoint := range changes.Leaving {
		f.logger.Log(event.EndpointLeaving, "endpoint", endpoint.ID, "source", "list")
	}
	f.handleRemoved(changes.Removed)
	for _, endpoint := range changes.Restarted {
		delete(f.engineReports, endpoint.ID)
		f.logger.Log(event.EndpointRestarted, "endpoint", endpoint.ID, "address", endpoint.Address)
	}
}

// handleRemoved drops the load reports of endpoints that are no longer listed and logs
// the removal. The caller holds f.mutex.
func (f *Fleet) handleRemoved(removed []*routing.Endpoint) {
	for _, endpoint := range removed {
		delete(f.engineReports, endpoint.ID)
	}
	if len(removed) > maxLoggedEndpoints {
		f.logger.Log(event.EndpointsGone, "count", len(removed), "pools", len(f.table.Pools()))
		return
	}
	for _, endpoint := range removed {
		f.logger.Log(event.EndpointGone, "endpoint", endpoint.ID)
	}
}

// maxLoggedEndpoints is the largest number of endpoints added or removed together that are
// logged one by one. A few are changes of single back ends; more are usually the
// first list that a node reads, which is logged as a count.
const maxLoggedEndpoints = 4

// logAdded logs endpoints that are listed for the first time. The caller holds
// f.mutex.
func (f *Fleet) logAdded(added []*routing.Endpoint) {
	if len(added) > maxLoggedEndpoints {
		f.logger.Log(event.EndpointsAdded, "count", len(added), "pools", len(f.table.Pools()))
		return
	}
	for _, endpoint := range added {
		f.logger.Log(event.EndpointAdded, "endpoint", endpoint.ID, "pool", endpoint.Pool, "zone", endpoint.Zone)
	}
}

// Pick implements dispatch.Balancer for back ends. It counts the attempt as
// started. It returns nil if no back end is eligible.
func (f *Fleet) Pick(request *routing.Request) *routing.Endpoint {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	endpoint := markStarted(f.applicationProfile.Pick(f.table, request))
	if endpoint != nil {
		endpoint.Warmup.RecordSent(request.Now)
	}
	return endpoint
}

// NextColdBudget implements dispatch.Balancer.
func (f *Fleet) NextColdBudget(request *routing.Request) (at time.Time, cold bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.table.NextColdBudget(request, f.allowedRegion)
}

// PickEngine picks an engine for a generation and counts the attempt as started.
// It returns nil if no engine is eligible.
func (f *Fleet) PickEngine(request *routing.Request) *routing.Endpoint {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lastRequest[request.Pool] = request.Now
	return markStarted(f.generationProfile.Pick(f.table, request))
}

// InDemand reports whether a generation was requested from a pool within the last
// window.
func (f *Fleet) InDemand(pool string, window time.Duration) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	last, ok := f.lastRequest[pool]
	return ok && time.Since(last) < window
}

// RecordVersion records the weight version of tokens that an engine streamed, which
// is more recent than the version in its last load report.
func (f *Fleet) RecordVersion(endpoint *routing.Endpoint, model string, version uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	endpoint.RecordVersion(model, version, time.Now())
}

// markStarted counts an attempt at the picked endpoint, if any.
func markStarted(endpoint *routing.Endpoint) *routing.Endpoint {
	if endpoint != nil {
		endpoint.AttemptStarted()
	}
	return endpoint
}

// Report implements dispatch.Balancer. It releases the attempt and updates the
// health of the endpoint by its outcome.
func (f *Fleet) Report(endpoint *routing.Endpoint, report dispatch.Report) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch {
	case report.Ending == dispatch.Answered:
		endpoint.AttemptSucceeded(report.Latency)
	case report.HealthUnknown || report.Ending == dispatch.RefusedByBackEnd:
		endpoint.AttemptReleased()
	case endpoint.AttemptFailed(time.Now()):
		f.logger.Log(event.EndpointSlow, "endpoint", endpoint.ID)
	}
}

// SetEvacuatedZones replaces the set of evacuated zones.
func (f *Fleet) SetEvacuatedZones(zones evacuation.Zones) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.table.Evacuate(zones, time.Now())
}

// PoolEvacuated implements dispatch.Balancer.
func (f *Fleet) PoolEvacuated(pool string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.table.PoolEvacuated(pool)
}

// MarkLeaving implements dispatch.Balancer. It records that the endpoint itself
// announced that it is leaving.
func (f *Fleet) MarkLeaving(endpoint *routing.Endpoint) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	// A notice of a previous incarnation does not apply to its replacement.
	if f.table.Get(endpoint.ID) == endpoint {
		f.markLeaving(endpoint.ID, "endpoint")
	}
}

// MarkLeavingFromPeer records that another node reported an endpoint as leaving.
// Unknown endpoints are ignored.
func (f *Fleet) MarkLeavingFromPeer(id string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.table.Get(id) != nil {
		f.markLeaving(id, "peer")
	}
}

// markLeaving marks an endpoint and queues it for peers, unless it is marked
// already. The caller holds f.mutex.
func (f *Fleet) markLeaving(id, source string) {
	if !f.table.MarkLeaving(id) {
		return
	}
	f.unsentLeaving = append(f.unsentLeaving, id)
	f.logger.Log(event.EndpointLeaving, "endpoint", id, "source", source)
}

// TakeNewlyLeaving returns the ids of the endpoints that were marked as leaving since the
// last call, and clears them.
func (f *Fleet) TakeNewlyLeaving() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	leaving := f.unsentLeaving
	f.unsentLeaving = nil
	return leaving
}

// Engine identifies an engine to poll or to send orders to.
type Engine struct {
	ID      string
	Address string
	Leaving bool
}

// Engines returns the endpoints of a pool.
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

// RecordLoad records a load report of an engine, received at the given time. Reports
// of unknown engines are ignored.
func (f *Fleet) RecordLoad(id string, load engine.LoadReport, receivedAt time.Time) {
	versions := make(map[string]uint64, len(load.Models))
	for _, model := range load.Models {
		versions[model.Model] = model.Serving
	}
	f.mutex.Lock()
	endpoint := f.table.Get(id)
	if endpoint != nil {
		f.engineReports[id] = engineReport{load: load, receivedAt: receivedAt}
		endpoint.ApplyReport(routing.LoadReport{
			Running: load.Running, Waiting: load.Waiting, Capacity: load.Capacity, Versions: versions,
		}, receivedAt)
	}
	f.mutex.Unlock()
	if load.Leaving && endpoint != nil {
		f.MarkLeaving(endpoint)
	}
}

// EngineReport returns the last load report of an engine and the time at which it
// was received, or false if there is none.
func (f *Fleet) EngineReport(id string) (engine.LoadReport, time.Time, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	report, ok := f.engineReports[id]
	return report.load, report.receivedAt, ok
}

// EndpointStatus is the state of an endpoint on the status page.
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

// Status returns the state of all endpoints, ordered by pool and id.
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
				Load: endpoint.Load(), Models: f.engineReports[endpoint.ID].load.Models,
			})
		}
	}
	return statuses
}
