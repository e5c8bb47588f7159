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
	farZone       = "c"
	graceS        = 8

	host              = "app.example"
	applicationPrefix = "/app/"
	rolloutPrefix     = "/roll/"
	// boundPrefix is that of a rollout route which is bound to routeRegion; the first
	// tenant is bound to tenantRegion.
	boundPrefix  = "/bound/"
	routeRegion  = "north"
	tenantRegion = "south"

	modelService    = "llm"
	applicationName = "api"
)

var zones = []string{"a", "b", farZone}

// Options describe a world.
type Options struct {
	Seed         uint64
	NodesPerZone int
	Samplers     int
	Applications int
	Models       []string
	Logs         io.Writer
	// Surroundings are simulated ones unless set.
	Surroundings Surroundings
	// Distance is how far away farZone lies, with its nodes, samplers and callers, from the
	// store and all else, one way; next door if it is 0.
	Distance time.Duration
	// Regions tells the region of each zone where there are two; then a route and a tenant
	// are bound to one region each.
	Regions map[string]string
	// Nameless is set where samplers cannot tell from which node a request comes:
	// then trouble of one machine counts as trouble of all.
	Nameless bool
	// Sharing tells from when on nodes share what they read of the samplers.
	Sharing fanout.Sizes
	// Suspends is set where machines are suspended. Then no other world may run beside it.
	Suspends bool
}

// World is a cluster of real nodes with everything around it.
type World struct {
	Truth *Truth
	Store *Store

	options      Options
	network      Surroundings
	tenants      *tenantBook
	servers      []*http.Server
	storeAddress string
	cloudAddress string
	cloudFaults  atomic.Pointer[CloudFaults]
	config       uint64

	// slept is for how long the machines of the nodes were suspended.
	slept atomic.Int64

	mutex    sync.Mutex
	nodes    []*nodeMachine
	samplers []*samplerMachine
	ready    []string
	versions map[string]uint64
	// evacuated counts the reasons to evacuate a zone.
	evacuated map[string]int
	work      conc.WaitGroup
}

// nodeMachine is a machine that runs a node.
type nodeMachine struct {
	name, zone string
	process    NodeProcess
	down       bool
	// removed is set once the machine is gone for good.
	removed bool
}

// samplerMachine is a machine that runs a sampler.
type samplerMachine struct {
	host    string
	spec    SamplerSpec
	sampler *Sampler
	server  *http.Server
	starts  int
	down    bool
	// claimed is set while a fault takes the machine down and up again.
	claimed bool
}

// claim reserves a machine for a fault that takes it down, unless another has it.
func (w *World) claim(machine *samplerMachine) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	free := !machine.claimed
	machine.claimed = true
	return free
}

func (w *World) unclaim(machine *samplerMachine) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	machine.claimed = false
}

func (w *World) takeDown(machine *samplerMachine) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	machine.down = true
}

func (w *World) isDown(machine *samplerMachine) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return machine.down
}

// NewWorld starts the store, the samplers and the nodes.
func NewWorld(options Options) *World {
	w := &World{
		Truth: NewTruth(), Store: NewStore(options.Seed), options: options,
		network: options.Surroundings, versions: make(map[string]uint64), evacuated: make(map[string]int),
		tenants: newTenantBook(),
	}
	if w.network == nil {
		w.network = newSimulated(options.Seed, options.Distance)
	}
	for _, model := range options.Models {
		w.versions[model] = 1
	}
	listener, address := w.listen(storeMachine, zones[0], storePort)
	w.storeAddress = address
	w.serve(listener, w.Store)
	w.cloudFaults.Store(&CloudFaults{})
	w.Truth.regions, w.Store.handed = options.Regions, w.handed
	w.Truth.nameless = options.Nameless
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
	listener, address, err := w.network.Listen(machine, zone, port)
	if err != nil {
		panic(err)
	}
	return listener, address
}

func (w *World) serve(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	w.work.Go(func() { _ = server.Serve(listener) })
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.servers = append(w.servers, server)
	return server
}

func (w *World) addSampler(service string, index, slots int, pace time.Duration) {
	machine := &samplerMachine{host: fmt.Sprintf("s%d", index)}
	machine.spec = SamplerSpec{
		Zone: zones[index%len(zones)], Service: service, Slots: slots, Work: pace,
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
	machine.starts++
	w.serveSampler(machine, fmt.Sprintf("i-%s-%d", machine.host, machine.starts), models)
}

// startSamplerAs starts a sampler again under an id that it had, with the weights that it
// had.
func (w *World) startSamplerAs(machine *samplerMachine, id string) {
	machine.starts++
	w.serveSampler(machine, id, machine.sampler.weights())
}

func (w *World) serveSampler(machine *samplerMachine, id string, models map[string]uint64) {
	listener, address := w.listen(machine.host, machine.spec.Zone, samplerPort)
	machine.spec.Address = address
	var coldUntil time.Time
	if machine.starts > 1 {
		coldUntil = time.Now().Add(coldTime)
	}
	sampler := newSampler(id, machine.spec, models, w.Truth, w.Store, w.options.Seed+uint64(machine.starts)*1000, coldUntil)
	sampler.crash = func(key, node string) { w.crashRun(sampler, key, node) }
	server := w.serve(listener, sampler)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	machine.sampler, machine.server, machine.down = sampler, server, false
}

func (w *World) settings(machine *nodeMachine) platform.Settings {
	var settings platform.Settings
	settings.Node, settings.Zone, settings.IP = machine.name, machine.zone, machine.name
	settings.Listen.Front, settings.Listen.Readiness = w.network.Front(machine.name), w.network.Readiness(machine.name)
	settings.Bounds.GraceS, settings.Bounds.SettleMS, settings.Bounds.LeaseMS = graceS, 1000, 3000
	settings.Bounds.StatusIntervalS = 120
	settings.Limits.CPUShare, settings.Limits.Cores = 0.5, 1
	settings.Bounds.ColdOver, settings.Bounds.ColdSlack = coldOver, coldSlack
	settings.Bounds.EvacuateMS = float64(evacuateBound.Milliseconds())
	settings.Store.Address, settings.Store.RecordBytes, settings.Store.CallBytes = w.storeAddress, 32<<10, 256<<10
	settings.Store.Parts = storeParts
	settings.Store.TTLMinMS = 1000
	settings.Sharing = w.options.Sharing
	if w.options.Regions != nil {
		settings.Zones = w.options.Regions
	}
	settings.Bounds.ReportWindowS, settings.Bounds.UsageLateS = reportWindow.Seconds(), usageLate.Seconds()
	settings.Cloud.Address, settings.Cloud.Duties = w.cloudAddress, []string{platform.DutyUsage, platform.DutyScale}
	if w.options.Suspends {
		// The time of day goes on while a machine is suspended, and here it does not: windows
		// of usage would be told of before they are over.
		settings.Bounds.ReportWindowS, settings.Cloud.Duties = 0, []string{platform.DutyScale}
	}
	return settings
}

func (w *World) startNode(machine *nodeMachine) {
	process, err := w.network.StartNode(w.settings(machine), w.options.Logs)
	if err != nil {
		panic(err)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	machine.process, machine.down = process, false
}

// pickNode returns a node that calls itself ready, or any if none does.
func (w *World) pickNode(random *rand.Rand) string {
	w.mutex.Lock()
	ready := w.ready
	w.mutex.Unlock()
	if len(ready) == 0 {
		ready = w.Nodes()
	}
	return ready[random.IntN(len(ready))]
}

// present returns the nodes whose machines were not removed.
func (w *World) present() []*nodeMachine {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(w.nodes), func(machine *nodeMachine) bool { return machine.removed })
}

// WatchReadiness asks every node each second whether it is ready.
func (w *World) WatchReadiness(ctx context.Context) {
	asker := w.newCaller("entry", zones[0], "", 0)
	for ctx.Err() == nil {
		var ready []string
		for _, machine := range w.present() {
			askCtx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
			request, err := http.NewRequestWithContext(askCtx, http.MethodGet, "http://"+w.network.Readiness(machine.name)+platform.PathReady, nil)
			if err != nil {
				panic(err)
			}
			response, err := asker.client.Do(request)
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready = append(ready, machine.name)
				}
			}
			cancel()
		}
		w.mutex.Lock()
		w.ready = ready
		w.mutex.Unlock()
		wait.For(ctx, time.Second)
	}
}

// PutConfig writes the next version of the configuration.
func (w *World) PutConfig(extraRoutes int) {
	w.config += 2
	document := platform.ConfigDocument{Version: w.config}
	w.tenants.bound = w.options.Regions != nil
	add := func(name, prefix, kind, service string, dueMS float64) {
		document.Routes = append(document.Routes, platform.RouteDocument{
			Name: name, Host: host, Prefix: prefix, Kind: kind, TimeoutMS: 1500, ObjectiveMS: 150,
			Attempts: itemAttempts, Service: service, DueMS: dueMS,
		})
	}
	add("application", applicationPrefix, platform.KindSafe, applicationName, 0)
	add("rollout", rolloutPrefix, platform.KindRollout, modelService, 7500)
	if w.options.Regions != nil {
		add("bound", boundPrefix, platform.KindRollout, modelService, 7500)
		document.Routes[len(document.Routes)-1].Regions = []string{routeRegion}
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

// modelServiceDocument describes the model samplers, of which more may be ordered.
func (w *World) modelServiceDocument() platform.ServiceDocument {
	document := platform.ServiceDocument{Name: modelService, Scaling: &platform.ScalingDocument{
		Min: 1, Max: mostSamplers, BootS: 4, SpotPrice: 0.2, ZonePrices: make(map[string]float64),
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

// nameVersion writes a trainer's new version.
func (w *World) nameVersion(model string, version uint64) {
	content, err := json.Marshal(platform.VersionDocument{Model: model, Version: version})
	if err != nil {
		panic(err)
	}
	w.mutex.Lock()
	w.versions[model] = version
	w.mutex.Unlock()
	w.Store.Put(platform.TopicOperator, platform.KeyVersionPrefix+model, content)
}

// Heartbeats keep the samplers' entries fresh until ctx ends.
func (w *World) Heartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, heartbeat)
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

// Traffic runs trainers, clients and lookers until ctx ends.
func (w *World) Traffic(ctx context.Context) {
	var callers conc.WaitGroup
	for i, model := range w.options.Models {
		trainer := w.newCaller("trainer-"+model, zones[i%len(zones)], host, w.options.Seed+uint64(i)*17)
		trainer.tenant = w.tenants.names[i%tenantCount]
		if w.options.Regions != nil && i > 0 {
			trainer.prefix = boundPrefix
		}
		callers.Go(func() { trainer.runTrainer(ctx, model, 6, 4) })
	}
	for i, zone := range zones {
		client := w.newCaller("client-"+zone, zone, host, w.options.Seed+uint64(i)*19+5)
		client.tenant = w.tenants.names[i%tenantCount]
		callers.Go(func() { client.runClient(ctx, 250*time.Millisecond) })
		looker := w.newCaller("looker-"+zone, zone, host, w.options.Seed+uint64(i)*23+7)
		callers.Go(func() { looker.runLooker(ctx) })
		intruder := w.newCaller("intruder-"+zone, zone, host, w.options.Seed+uint64(i)*29+9)
		callers.Go(func() { intruder.runIntruder(ctx) })
	}
	callers.Wait()
}

// readableFor is how long an accepted job is read and judged: somewhat shorter than
// the time for which its results must be readable.
const readableFor = 100 * time.Second

// acceptedJobs returns the jobs accepted of late, ordered.
func (t *Truth) acceptedJobs() []*jobTruth {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var accepted []*jobTruth
	for _, job := range t.jobs {
		if !job.accepted.IsZero() && time.Since(job.accepted) < readableFor {
			accepted = append(accepted, job)
		}
	}
	slices.SortFunc(accepted, func(a, b *jobTruth) int {
		return cmp.Or(a.accepted.Compare(b.accepted), strings.Compare(a.id, b.id))
	})
	return accepted
}

// JudgeEnd reads every accepted job from the start at every node, once all is
// healed.
func (w *World) JudgeEnd(ctx context.Context) {
	reader := w.newCaller("judge", zones[0], host, 99)
	for _, machine := range w.present() {
		w.mutex.Lock()
		w.ready = []string{machine.name}
		w.mutex.Unlock()
		for _, job := range w.Truth.acceptedJobs() {
			w.judgeJob(ctx, reader, machine.name, job)
		}
	}
}

func (w *World) judgeJob(ctx context.Context, reader *caller, node string, job *jobTruth) {
	seen := 0
	for from := 0; ; {
		page, ok := reader.read(ctx, job, from)
		if !ok {
			w.Truth.Update(job, func() { w.Truth.broken("LOST", "%s does not show job %s", node, job.id) })
			return
		}
		seen += len(page.Results)
		from = page.Next
		if len(page.Results) == 0 {
			break
		}
	}
	w.Truth.Update(job, func() {
		if seen < len(job.results) {
			w.Truth.broken("LOST", "%s shows %d of %d results of job %s", node, seen, len(job.results), job.id)
		}
	})
}

// Close ends everything.
func (w *World) Close() {
	for _, machine := range w.present() {
		w.kill(machine)
	}
	for _, server := range w.servers {
		_ = server.Close()
	}
	w.work.Wait()
}

// kill ends a node's process at once.
func (w *World) kill(machine *nodeMachine) {
	w.mutex.Lock()
	already := machine.down
	machine.down = true
	w.mutex.Unlock()
	if already {
		return
	}
	w.network.Crash(machine.name)
	machine.process.Kill()
}

// restart starts a node's process again.
func (w *World) restart(machine *nodeMachine) {
	w.network.Restore(machine.name)
	w.startNode(machine)
}

// Slept is for how long the machines of the nodes were suspended.
func (w *World) Slept() time.Duration { return time.Duration(w.slept.Load()) }

// Nodes returns the names of the nodes' machines.
func (w *World) Nodes() []string {
	var names []string
	for _, machine := range w.present() {
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

// Healed notes that trouble which was made from outside is over.
func (w *World) Healed() { w.healed("") }
