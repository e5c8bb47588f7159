package simulation

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/pathbend/pathbend/internal/emulator"
	"github.com/pathbend/pathbend/internal/fleet"
	"github.com/pathbend/pathbend/internal/lab"
	"github.com/pathbend/pathbend/internal/simnet"
)

// Options configure a run apart from its schedule.
type Options struct {
	Load lab.LoadOptions
	// ServiceTime overrides the back ends' mean service time; 0 keeps the default.
	ServiceTime time.Duration
	// Trace receives every observation, Logs the nodes' logs; nil discards them.
	Trace io.Writer
	Logs  io.Writer
}

// DefaultOptions returns the options of a regular run, with the traffic of both
// tenants.
func DefaultOptions() Options {
	return Options{Load: lab.LoadOptions{
		TerangaRate: 4, KarriRate: 4, Groups: 3, SamplesPerGroup: 4, TrainTime: 3 * time.Second, StepsPerVersion: 2,
	}}
}

// Report is the result of a run. A run without violations passed.
type Report struct {
	Schedule   Schedule
	Violations []string
	Summary    emulator.Summary
	// Steps is the number of finished training steps by tenant.
	Steps map[string]int
	// LongestGap is the longest time between two consecutive answers, by route.
	LongestGap map[string]time.Duration
	// TraceHash is the hash of all observations and their times, Segments the number of segments
	// that the network carried.
	TraceHash uint64
	Segments  uint64
}

const (
	sameZoneLatency  = 250 * time.Microsecond
	crossZoneLatency = 1500 * time.Microsecond
	startTimeout     = 30 * time.Second
	// shutdownWait is how long a closed cluster's goroutines may take to end.
	shutdownWait = 30 * time.Second
	// completionTimeout is how long a run may take beyond the schedule's duration.
	completionTimeout = 5 * time.Minute
)

// latency returns the one-way latency between two zones.
func latency(from, to string) time.Duration {
	if from == to {
		return sameZoneLatency
	}
	return crossZoneLatency
}

// simulationRun is a running cluster into which a schedule's faults are injected.
type simulationRun struct {
	network *simnet.Network
	cluster *lab.Cluster
	tasks   conc.WaitGroup
}

// Run executes a schedule. It must be called in a synctest bubble.
func Run(schedule Schedule, options Options) (Report, error) {
	report := Report{Schedule: schedule, Steps: make(map[string]int), LongestGap: make(map[string]time.Duration)}
	network := simnet.New(schedule.Seed, latency)
	clusterOptions, err := lab.ExampleOptions(network, schedule.Seed)
	if err != nil {
		return report, err
	}
	if options.ServiceTime > 0 {
		for i := range clusterOptions.Pools {
			clusterOptions.Pools[i].ServiceTime = options.ServiceTime
		}
	}
	clusterOptions.Logs, clusterOptions.Level = options.Logs, slog.LevelDebug
	cluster, err := lab.Start(clusterOptions)
	if err != nil {
		return report, err
	}
	// Handlers of the emulated servers return only after their current sleep,
	// which takes virtual time.
	defer time.Sleep(shutdownWait)
	defer cluster.Close()
	cluster.Checker.TraceWriter = options.Trace
	r := &simulationRun{network: network, cluster: cluster}
	ready, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := cluster.WaitReady(ready); err != nil {
		return report, err
	}
	// A run that hangs would never end in virtual time.
	watchdog := time.AfterFunc(schedule.Duration+completionTimeout, func() { panic("simulated run did not end in time") })
	defer watchdog.Stop()
	load := cluster.NewLoad(options.Load)
	r.execute(schedule, load)
	r.fillReport(&report, load)
	return report, nil
}

// execute runs the traffic and injects the faults, and checks the configuration
// revisions of the nodes meanwhile and afterwards.
func (r *simulationRun) execute(schedule Schedule, load *lab.Load) {
	ctx, cancel := context.WithTimeout(context.Background(), schedule.Duration)
	defer cancel()
	watching, stopWatching := context.WithCancel(context.Background())
	var watcher conc.WaitGroup
	watcher.Go(func() { r.watchRevisions(watching) })
	defer watcher.Wait()
	defer stopWatching()
	r.tasks.Go(func() { load.Run(ctx) })
	startedAt := time.Now()
	for _, fault := range schedule.Faults {
		time.Sleep(fault.At - time.Since(startedAt))
		r.tasks.Go(func() { r.inject(fault) })
	}
	r.tasks.Wait()
	r.checkConvergence()
}

// fillReport writes the observations of the run into a report.
func (r *simulationRun) fillReport(report *Report, load *lab.Load) {
	report.Violations = r.cluster.Checker.CheckInvariants()
	report.Summary = r.cluster.Checker.Summary()
	report.TraceHash = r.cluster.Checker.TraceHash()
	report.Segments = r.network.Segments()
	for _, trainer := range load.Trainers {
		report.Steps[trainer.Tenant] = len(trainer.Steps())
		if len(trainer.Steps()) == 0 {
			report.Violations = append(report.Violations, fmt.Sprintf("trainer %s finished no training step", trainer.Name))
		}
	}
	for _, caller := range load.Callers {
		for _, traffic := range caller.Mix {
			report.LongestGap[traffic.Route] = caller.LongestGap(traffic.Route)
		}
	}
}

// inject starts a fault, waits for its duration and ends it.
func (r *simulationRun) inject(fault Fault) {
	end, err := r.start(fault)
	if err != nil {
		r.cluster.Checker.ReportViolation("fault %v could not be started: %v", fault, err)
		return
	}
	time.Sleep(fault.For)
	if err := end(); err != nil {
		r.cluster.Checker.ReportViolation("fault %v could not be ended: %v", fault, err)
	}
}

// noCleanup ends a fault that needs no action at its end.
func noCleanup() error { return nil }

// start starts a fault and returns a function that ends it.
func (r *simulationRun) start(fault Fault) (end func() error, err error) {
	switch fault.Kind {
	case CrashNode, RestartNode, PauseNode, CutZone, CutOneWay, DelayPackets, ResetConns:
		return r.startNodeFault(fault)
	case LogDown, LogSlow, LoseAppendAnswers, MachineListFrozen:
		return r.startPlatformFault(fault), nil
	case CrashEngine, FailSwitch, CutStreams, SlowEngine:
		return r.startEngineFault(fault)
	case CrashBackEnd, LeaveBackEnd, LoseAnswers, TruncateAnswers, MismatchAnswers, RefuseRequests:
		return r.startBackEndFault(fault)
	case ConcurrentPublishes:
		return noCleanup, r.publishConcurrently(fault)
	default:
		return noCleanup, errors.Newf("unknown kind of fault %q", fault.Kind)
	}
}

// targetNode returns the node that a fault selects.
func (r *simulationRun) targetNode(fault Fault) *lab.NodeSlot {
	return r.cluster.Nodes[fault.Target%len(r.cluster.Nodes)]
}

func (r *simulationRun) startNodeFault(fault Fault) (func() error, error) {
	slot := r.targetNode(fault)
	switch fault.Kind {
	case CrashNode:
		return r.crashNode(slot), nil
	case RestartNode:
		slot.Stop(true)
		return func() error { return startUnlessRunning(slot) }, nil
	case PauseNode:
		r.network.Pause(slot.Name)
		return func() error {
			r.network.Resume(slot.Name)
			return nil
		}, nil
	case CutZone:
		return r.blockLinks(r.linksAcrossZoneBoundary(slot.Zone)), nil
	case CutOneWay:
		other := r.cluster.Nodes[fault.Parameter%len(r.cluster.Nodes)]
		return r.blockLinks([][2]string{{slot.Name, other.Name}}), nil
	case DelayPackets:
		return r.delayLinks(r.linksOfHost(slot.Name), time.Duration(fault.Parameter%400)*time.Millisecond), nil
	default:
		r.network.ResetSome(slot.Name, uint64(fault.Parameter%3+1))
		return noCleanup, nil
	}
}

// crashNode terminates a node without a graceful shutdown. The returned function
// starts it again, without its former state.
func (r *simulationRun) crashNode(slot *lab.NodeSlot) func() error {
	r.network.Crash(slot.Name)
	slot.Stop(false)
	return func() error {
		r.network.Restore(slot.Name)
		return startUnlessRunning(slot)
	}
}

// startUnlessRunning starts a node unless the end of another fault has already
// started it.
func startUnlessRunning(slot *lab.NodeSlot) error {
	if slot.Node() != nil {
		return nil
	}
	return slot.Start()
}

// linksOfHost returns the directions to and from a host.
func (r *simulationRun) linksOfHost(host string) [][2]string {
	var pairs [][2]string
	for other := range r.network.HostZones() {
		if other != host {
			pairs = append(pairs, [2]string{host, other}, [2]string{other, host})
		}
	}
	return pairs
}

// linksAcrossZoneBoundary returns the directions between hosts inside and outside a
// zone.
func (r *simulationRun) linksAcrossZoneBoundary(zone string) [][2]string {
	var pairs [][2]string
	hosts := r.network.HostZones()
	for inside, zoneOf := range hosts {
		for outside, otherZone := range hosts {
			if zoneOf == zone && otherZone != zone {
				pairs = append(pairs, [2]string{inside, outside}, [2]string{outside, inside})
			}
		}
	}
	return pairs
}

// blockLinks blocks the given directions. The returned function unblocks them.
func (r *simulationRun) blockLinks(pairs [][2]string) func() error {
	for _, pair := range pairs {
		r.network.Block(pair[0], pair[1])
	}
	return func() error {
		for _, pair := range pairs {
			r.network.Unblock(pair[0], pair[1])
		}
		return nil
	}
}

// delayLinks adds latency in the given directions. The returned function removes it.
func (r *simulationRun) delayLinks(pairs [][2]string, extraLatency time.Duration) func() error {
	for _, pair := range pairs {
		r.network.Delay(pair[0], pair[1], extraLatency)
	}
	return func() error {
		for _, pair := range pairs {
			r.network.Delay(pair[0], pair[1], 0)
		}
		return nil
	}
}

func (r *simulationRun) startPlatformFault(fault Fault) func() error {
	set := func(on bool) {
		faults := r.cluster.Platform.Faults()
		switch fault.Kind {
		case LogDown:
			faults.LogDown = on
		case LogSlow:
			faults.LogDelay = 0
			if on {
				faults.LogDelay = time.Second
			}
		case LoseAppendAnswers:
			faults.LoseAppendAnswers = on
		case MachineListFrozen:
			faults.MachineListFrozen = on
		}
		r.cluster.Platform.SetFaults(faults)
	}
	set(true)
	return func() error {
		set(false)
		return nil
	}
}

func (r *simulationRun) startEngineFault(fault Fault) (func() error, error) {
	machine := r.cluster.Engines[fault.Target%len(r.cluster.Engines)]
	switch fault.Kind {
	case CrashEngine:
		r.network.Crash(machine.ID)
		return noCleanup, r.cluster.Replace(machine)
	case FailSwitch:
		machine.Engine.SetFaults(emulator.EngineFaults{FailSwitches: 1 + fault.Parameter%3, FailLoads: fault.Parameter % 2})
	case CutStreams:
		machine.Engine.SetFaults(emulator.EngineFaults{CutStreamShare: 0.5})
	default:
		machine.Engine.SetFaults(emulator.EngineFaults{SlowFactor: 3})
	}
	return func() error {
		machine.Engine.SetFaults(emulator.EngineFaults{})
		return nil
	}, nil
}

func (r *simulationRun) startBackEndFault(fault Fault) (func() error, error) {
	machine := r.cluster.BackEnds[fault.Target%len(r.cluster.BackEnds)]
	const faultShare = 0.5
	switch fault.Kind {
	case CrashBackEnd:
		r.network.Crash(machine.ID)
		return noCleanup, r.cluster.Replace(machine)
	case LeaveBackEnd:
		return r.leaveBackEnd(machine), nil
	case LoseAnswers:
		machine.BackEnd.SetFaults(emulator.BackEndFaults{LostAnswerShare: faultShare})
	case TruncateAnswers:
		machine.BackEnd.SetFaults(emulator.BackEndFaults{TruncatedAnswerShare: faultShare})
	case MismatchAnswers:
		machine.BackEnd.SetFaults(emulator.BackEndFaults{MismatchedAnswerShare: faultShare})
	default:
		machine.BackEnd.SetFaults(emulator.BackEndFaults{Refuse: true})
	}
	return func() error {
		machine.BackEnd.SetFaults(emulator.BackEndFaults{})
		return nil
	}, nil
}

// leaveBackEnd makes a back end announce that it is leaving. The returned function
// replaces it.
func (r *simulationRun) leaveBackEnd(machine *lab.Machine) func() error {
	if machine.Leaving {
		return noCleanup
	}
	r.cluster.BeginLeave(machine)
	return func() error {
		for _, present := range r.cluster.BackEnds {
			if present == machine && present.Role == fleet.RoleBackEnd {
				r.network.Crash(machine.ID)
				return r.cluster.Replace(machine)
			}
		}
		return nil
	}
}

// publishConcurrently publishes two configuration changes based on the same
// revision.
func (r *simulationRun) publishConcurrently(fault Fault) error {
	slot := r.cluster.Nodes[fault.Target%len(r.cluster.Nodes)]
	running := slot.Node()
	if running == nil {
		return nil
	}
	_, revision := running.Current()
	var operators conc.WaitGroup
	for _, author := range []string{"awa", "ben"} {
		operators.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			// A publish fails if the log stays unavailable until the timeout.
			_ = r.cluster.Publish(ctx, r.cluster.Options.Document, revision, author)
		})
	}
	operators.Wait()
	return nil
}
