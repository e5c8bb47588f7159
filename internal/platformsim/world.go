package platformsim

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/pathbend/pathbend/internal/fanout"
	"github.com/pathbend/pathbend/internal/wait"
	"github.com/pathbend/pathbend/platform"
)

const (
	frontPort     = ":80"
	readinessPort = ":81"
	storePort     = ":82"
	samplerPort   = ":90"
	storeMachine  = "store"
	remoteZone    = "c"
	gracePeriodS  = 8

	host              = "app.example"
	applicationPrefix = "/app/"
	rolloutPrefix     = "/roll/"
	// regionBoundPrefix is the path prefix of a rollout route that is restricted to routeRegion.
	// The first tenant is restricted to tenantRegion.
	regionBoundPrefix = "/bound/"
	routeRegion       = "north"
	tenantRegion      = "south"

	modelService    = "llm"
	applicationName = "api"
)

var zones = []string{"a", "b", remoteZone}

// Options configure a World.
type Options struct {
	Seed         uint64
	NodesPerZone int
	Samplers     int
	Applications int
	Models       []string
	Logs         io.Writer
	// Environment provides links and processes; if nil, they are simulated in memory.
	Environment Environment
	// RemoteZoneLatency is the one-way network latency between remoteZone, with its nodes,
	// samplers and callers, and the other zones and the store. If it is 0, remoteZone is as
	// near as any other zone.
	RemoteZoneLatency time.Duration
	// Regions maps each zone to its region in a world of two regions, where one route and
	// one tenant are restricted to one region each. It is nil in a world of one region.
	Regions map[string]string
	// NodesUnidentified is set where samplers cannot identify the node that a request comes from.
	// A disturbance of one machine then counts as a disturbance of all.
	NodesUnidentified bool
	// Sharing sets the cluster size from which nodes share what they read from the log,
	// and the number of nodes per reader.
	Sharing fanout.Sizes
	// StoreLimits limit the capacity of the store. Nodes are told the limit of reads.
	StoreLimits StoreLimits
	// SimulateSuspension is set where machines are suspended. The simulated clock is global,
	// so no other world may run at the same time.
	SimulateSuspension bool
	// LongRequests adds a route whose requests run for longWork.
	LongRequests bool
}

// World is a cluster of real nodes together with the store, the platform's API, the samplers
// and the callers around it.
type World struct {
	Checker *Checker
	Store   *Store

	options       Options
	environment   Environment
	tenants       *tenantRegistry
	servers       []*http.Server
	storeAddress  string
	cloudAddress  string
	cloudFaults   atomic.Pointer[CloudFaults]
	configVersion uint64

	// suspendedNS is the total time, in nanoseconds, for which the nodes' machines were suspended.
	suspendedNS atomic.Int64

	mutex      sync.Mutex
	nodes      []*nodeMachine
	samplers   []*samplerMachine
	readyNodes []string
	versions   map[string]uint64
	// evacuationCounts counts the faults that currently evacuate each zone.
	evacuationCounts map[string]int
	background       conc.WaitGroup
}

// nodeMachine is a machine that runs a node.
type nodeMachine struct {
	name, zone string
	process    NodeProcess
	down       bool
	// removed is set once the machine is permanently removed.
	removed bool
}

// samplerMachine is a machine that runs a sampler.
type samplerMachine struct {
	host       string
	spec       SamplerSpec
	sampler    *Sampler
	server     *http.Server
	startCount int
	down       bool
	// reserved is set while a fault stops and restarts the machine.
	reserved bool
}

// reserve reserves a machine for a fault that stops it. It reports false if another fault
// already holds the machine.
func (w *World) reserve(machine *samplerMachine) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	free := !machine.reserved
	machine.reserved = true
	return free
}

func (w *World) release(machine *samplerMachine) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	machine.reserved = false
}

func (w *World) markDown(machine *samplerMachine) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	machine.down = true
}

func (w *World) isDown(machine *samplerMachine) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return machine.down
}

// NewWorld starts the store, the platform's API, the samplers and the nodes. It panics if a
// listener or a node cannot be started.
func NewWorld(options Options) *World {
	w := &World{
		Checker: NewChecker(), Store: NewStore(options.Seed), options: options,
		environment: options.Environment, versions: make(map[string]uint64), evacuationCounts: make(map[string]int),
		tenants: newTenantRegistry(),
	}
	if w.environment == nil {
		w.environment = newSimulatedEnvironment(options.Seed, options.RemoteZoneLatency)
	}
	for _, model := range options.Models {
		w.versions[model] = 1
	}
	w.Store.SetLimits(options.StoreLimits)
	listener, address := w.listen(storeMachine, zones[0], storePort)
	w.storeAddress = address
	w.serve(listener, w.Store)
	w.cloudFaults.Store(&CloudFaults{})
	w.Checker.regions, w.Store.onRead = options.Regions, w.checkReturnedRecords
	w.Checker.nodesUnidentified = options.NodesUnidentified
	listener, w.cloudAddress = w.listen(cloudMachine, zones[0], cloudPort)
	w.serve(listener, http.HandlerFunc(w.serveCloud))
	for i := range options.Samplers {
		w.addSampler(modelService, i, 8, 12*time.Millisecond)
	}
	for i := range options.Applications {
		w.addSampler(applicationName, options.Samplers+i, 6, 20*time.Millisecond)
	}
	for _, zone := range zones {
		for i := range options.NodesPerZone {
			machine := &nodeMachine{name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone}
			w.nodes = append(w.nodes, machine)
			w.startNode(machine)
		}
	}
	return w
}

func (w *World) listen(machine, zone, port string) (net.Listener, string) {
	listener, address, err := w.environment.Listen(machine, zone, port)
	if err != nil {
		panic(err)
	}
	return listener, address
}

func (w *World) serve(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	w.background.Go(func() { _ = server.Serve(listener) })
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.servers = append(w.servers, server)
	return server
}

func (w *World) addSampler(service string, index, slots int, serviceTime time.Duration) {
	machine := &samplerMachine{host: fmt.Sprintf("s%d", index)}
	machine.spec = SamplerSpec{
		Zone: zones[index%len(zones)], Service: service, Slots: slots, ServiceTime: serviceTime,
	}
	w.samplers = append(w.samplers, machine)
	w.startSampler(machine)
}

func (w *World) startSampler(machine *samplerMachine) {
	var models map[string]uint64
	if machine.spec.Service == modelService {
		models = make(map[string]uint64)
		w.mutex.Lock()
		for model, version := range w.versions {
			models[model] = version
		}
		w.mutex.Unlock()
	}
	machine.startCount++
	w.serveSampler(machine, fmt.Sprintf("i-%s-%d", machine.host, machine.startCount), models)
}

// startSamplerAs restarts a sampler under an earlier id and with the weights that it served.
func (w *World) startSamplerAs(machine *samplerMachine, id string) {
	machine.startCount++
	w.serveSampler(machine, id, machine.sampler.weightVersions())
}

func (w *World) serveSampler(machine *samplerMachine, id string, models map[string]uint64) {
	listener, address := w.listen(machine.host, machine.spec.Zone, samplerPort)
	machine.spec.Address = address
	var coldUntil time.Time
	if machine.startCount > 1 {
		coldUntil = time.Now().Add(coldDuration)
	}
	sampler := newSampler(id, machine.spec, models, w.Checker, w.Store, w.options.Seed+uint64(machine.startCount)*1000, coldUntil)
	sampler.crash = func(key, node string, body []byte) bool { return w.crashUnderRequest(sampler, key, node, body) }
	server := w.serve(listener, sampler)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	machine.sampler, machine.server, machine.down = sampler, server, false
}

func (w *World) nodeSettings(machine *nodeMachine) platform.Settings {
	var settings platform.Settings
	settings.NodeName, settings.Zone, settings.IP = machine.name, machine.zone, machine.name
	settings.Listen.Front, settings.Listen.Readiness = w.environment.Front(machine.name), w.environment.Readiness(machine.name)
	settings.Bounds.GraceS, settings.Bounds.SettleMS, settings.Bounds.LeaseMS = gracePeriodS, 1000, 3000
	settings.Bounds.StatusIntervalS = 120
	settings.Limits.CPUShare, settings.Limits.Cores = 0.5, 1
	settings.Bounds.ColdOver, settings.Bounds.ColdSlack = coldFactor, coldAllowance
	settings.Bounds.EvacuateMS = float64(evacuationDeadline.Milliseconds())
	settings.Store.Address, settings.Store.RecordBytes, settings.Store.CallBytes = w.storeAddress, 32<<10, 256<<10
	settings.Store.Parts = storePartitions
	settings.Store.TTLMinMS = 1000
	settings.Store.ReadsPerS = float64(w.options.StoreLimits.ReadsPerSecond)
	settings.Sharing = w.options.Sharing
	if w.options.Regions != nil {
		settings.Zones = w.options.Regions
	}
	settings.Bounds.ReportWindowS, settings.Bounds.UsageLateS = reportWindow.Seconds(), usageReportTimeout.Seconds()
	settings.Cloud.Address, settings.Cloud.Duties = w.cloudAddress, []string{platform.DutyUsage, platform.DutyScale}
	if w.options.SimulateSuspension {
		// Wall-clock time advances while a real machine is suspended; the simulated one does
		// not, so usage windows would be reported before they end.
		settings.Bounds.ReportWindowS, settings.Cloud.Duties = 0, []string{platform.DutyScale}
	}
	return settings
}

func (w *World) startNode(machine *nodeMachine) {
	process, err := w.environment.StartNode(w.nodeSettings(machine), w.options.Logs)
	if err != nil {
		panic(err)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	machine.process, machine.down = process, false
}

// pickNode returns a random node among those that report ready, or among all nodes if none
// does.
func (w *World) pickNode(random *rand.Rand) string {
	w.mutex.Lock()
	ready := w.readyNodes
	w.mutex.Unlock()
	if len(ready) == 0 {
		ready = w.Nodes()
	}
	return ready[random.IntN(len(ready))]
}

// presentNodes returns the nodes whose machines have not been removed.
func (w *World) presentNodes() []*nodeMachine {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(w.nodes), func(machine *nodeMachine) bool { return machine.removed })
}

// PollReadiness polls the readiness endpoint of every node each second until ctx ends.
func (w *World) PollReadiness(ctx context.Context) {
	prober := w.newCaller("entry", zones[0], "", 0)
	for ctx.Err() == nil {
		var ready []string
		for _, machine := range w.presentNodes() {
			requestCtx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
			request, err := http.NewRequestWithContext(requestCtx, http.MethodGet, "http://"+w.environment.Readiness(machine.name)+platform.PathReady, nil)
			if err != nil {
				panic(err)
			}
			response, err := prober.client.Do(request)
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready = append(ready, machine.name)
				}
			}
			cancel()
		}
		w.mutex.Lock()
		w.readyNodes = ready
		w.mutex.Unlock()
		wait.For(ctx, time.Second)
	}
}

// PutConfig writes the next version of the configuration, with the given number of routes in
// addition to the standard ones.
func (w *World) PutConfig(extraRoutes int) {
	w.configVersion += 2
	document := platform.ConfigDocument{Version: w.configVersion}
	w.tenants.regionBound = w.options.Regions != nil
	add := func(name, prefix, kind, service string, dueMS float64) {
		document.Routes = append(document.Routes, platform.RouteDocument{
			Name: name, Host: host, PathPrefix: prefix, Kind: kind, TimeoutMS: 1500, LatencyObjectiveMS: 150,
			MaxAttempts: maxItemAttempts, Service: service, ResultsDueAfterMS: dueMS,
		})
	}
	add("application", applicationPrefix, platform.KindSafe, applicationName, 0)
	add("rollout", rolloutPrefix, platform.KindRollout, modelService, 7500)
	if w.options.LongRequests {
		add("long", longPrefix, platform.KindUnsafe, applicationName, 0)
		document.Routes[len(document.Routes)-1].TimeoutMS = float64((2 * longWork).Milliseconds())
	}
	if w.options.Regions != nil {
		add("bound", regionBoundPrefix, platform.KindRollout, modelService, 7500)
		document.Routes[len(document.Routes)-1].AllowedRegions = []string{routeRegion}
	}
	for i := range extraRoutes {
		add(fmt.Sprint("extra", i), fmt.Sprintf("/extra%d/", i), platform.KindSafe, applicationName, 0)
	}
	document.Services = []platform.ServiceDocument{withColdStart(w.modelServiceDocument()), withColdStart(platform.ServiceDocument{Name: applicationName})}
	document.Tenants = w.tenants.documents()
	content, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	w.Store.Put(platform.TopicOperator, platform.KeyConfig, content)
}

// modelServiceDocument describes the model samplers, a service that nodes may scale up.
func (w *World) modelServiceDocument() platform.ServiceDocument {
	document := platform.ServiceDocument{Name: modelService, Scaling: &platform.ScalingDocument{
		Min: 1, Max: maxSamplersPerZone, BootTimeS: 4, SpotPrice: 0.2, ZonePrices: make(map[string]float64),
	}}
	for _, zone := range zones {
		document.Scaling.ZonePrices[zone] = 1
	}
	document.Engine = &platform.EngineDocument{Slots: 2}
	for _, model := range w.options.Models {
		document.Engine.Models = append(document.Engine.Models, platform.ModelName{Name: model})
	}
	return document
}

// publishVersion publishes a trainer's new weight version of a model.
func (w *World) publishVersion(model string, version uint64) {
	content, err := json.Marshal(platform.VersionDocument{Model: model, Version: version})
	if err != nil {
		panic(err)
	}
	w.mutex.Lock()
	w.versions[model] = version
	w.mutex.Unlock()
	w.Store.Put(platform.TopicOperator, platform.KeyVersionPrefix+model, content)
}

// SendHeartbeats renews the registry entries of all running samplers until ctx ends.
func (w *World) SendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, heartbeatInterval)
		for _, machine := range w.samplers {
			w.mutex.Lock()
			sampler, down := machine.sampler, machine.down
			w.mutex.Unlock()
			if !down {
				sampler.register()
			}
		}
	}
}

// RunTraffic runs trainers, clients, job readers and unauthorized callers until ctx ends.
func (w *World) RunTraffic(ctx context.Context) {
	var callers conc.WaitGroup
	for i, model := range w.options.Models {
		trainer := w.newCaller("trainer-"+model, zones[i%len(zones)], host, w.options.Seed+uint64(i)*17)
		trainer.tenant = w.tenants.names[i%tenantCount]
		if w.options.Regions != nil && i > 0 {
			trainer.routePrefix = regionBoundPrefix
		}
		callers.Go(func() { trainer.runTrainer(ctx, model, 6, 4) })
	}
	for i, zone := range zones {
		client := w.newCaller("client-"+zone, zone, host, w.options.Seed+uint64(i)*19+5)
		client.tenant = w.tenants.names[i%tenantCount]
		callers.Go(func() { client.runClient(ctx, 250*time.Millisecond) })
		jobReader := w.newCaller("looker-"+zone, zone, host, w.options.Seed+uint64(i)*23+7)
		callers.Go(func() { jobReader.runJobReader(ctx) })
		unauthorizedCaller := w.newCaller("intruder-"+zone, zone, host, w.options.Seed+uint64(i)*29+9)
		callers.Go(func() { unauthorizedCaller.runUnauthorizedCaller(ctx) })
	}
	callers.Wait()
}

// maxCheckedJobAge is the time since its acceptance for which a job is read and checked. It is
// somewhat shorter than the time for which results must stay readable.
const maxCheckedJobAge = 100 * time.Second

// acceptedJobs returns the jobs accepted within maxCheckedJobAge, ordered by time of
// acceptance, then id.
func (c *Checker) acceptedJobs() []*jobHistory {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var accepted []*jobHistory
	for _, job := range c.jobs {
		if !job.accepted.IsZero() && time.Since(job.accepted) < maxCheckedJobAge {
			accepted = append(accepted, job)
		}
	}
	slices.SortFunc(accepted, func(a, b *jobHistory) int {
		return cmp.Or(a.accepted.Compare(b.accepted), strings.Compare(a.id, b.id))
	})
	return accepted
}

// checkPause is the pause between the checks of two jobs at a store with limits.
const checkPause = 20 * time.Millisecond

// CheckAcceptedJobs reads every recently accepted job from its first result at every node and
// reports results that are missing. It is called once all faults are over. It pauses between jobs
// if the store has limits, which the reads of all jobs at once would exceed.
func (w *World) CheckAcceptedJobs(ctx context.Context) {
	reader := w.newCaller("judge", zones[0], host, 99)
	for _, machine := range w.presentNodes() {
		w.mutex.Lock()
		w.readyNodes = []string{machine.name}
		w.mutex.Unlock()
		for _, job := range w.Checker.acceptedJobs() {
			w.checkJob(ctx, reader, machine.name, job)
			if w.options.StoreLimits != (StoreLimits{}) {
				wait.For(ctx, checkPause)
			}
		}
	}
}

func (w *World) checkJob(ctx context.Context, reader *caller, node string, job *jobHistory) {
	seen := 0
	for from := 0; ; {
		page, ok := reader.readPage(ctx, job, from)
		if !ok {
			w.Checker.UpdateJob(job, func() { w.Checker.recordViolation("LOST", "node %s did not return job %s", node, job.id) })
			return
		}
		seen += len(page.Results)
		from = page.NextToken
		if len(page.Results) == 0 {
			break
		}
	}
	w.Checker.UpdateJob(job, func() {
		if seen < len(job.results) {
			w.Checker.recordViolation("LOST", "node %s returned %d of %d results of job %s", node, seen, len(job.results), job.id)
		}
	})
}

// Close stops all nodes and servers and waits for the background work to end.
func (w *World) Close() {
	for _, machine := range w.presentNodes() {
		w.kill(machine)
	}
	for _, server := range w.servers {
		_ = server.Close()
	}
	w.background.Wait()
}

// kill crashes a node: it cuts the machine's links and kills the process. It does nothing if
// the node is down.
func (w *World) kill(machine *nodeMachine) {
	w.mutex.Lock()
	wasDown := machine.down
	machine.down = true
	w.mutex.Unlock()
	if wasDown {
		return
	}
	w.environment.Crash(machine.name)
	machine.process.Kill()
}

// restart restores the machine's links and starts a new process of the node.
func (w *World) restart(machine *nodeMachine) {
	w.environment.Restore(machine.name)
	w.startNode(machine)
}

// SuspendedTime returns the total time for which the nodes' machines were suspended.
func (w *World) SuspendedTime() time.Duration { return time.Duration(w.suspendedNS.Load()) }

// Nodes returns the names of the node machines that have not been removed.
func (w *World) Nodes() []string {
	var names []string
	for _, machine := range w.presentNodes() {
		names = append(names, machine.name)
	}
	return names
}

// Samplers returns the names of the machines of samplers and applications.
func (w *World) Samplers() []string {
	names := make([]string, 0, len(w.samplers))
	for _, machine := range w.samplers {
		names = append(names, machine.host)
	}
	return names
}

// RecordRecovery records that a disturbance caused from outside the simulation is over.
func (w *World) RecordRecovery() { w.recordRecovery("") }
