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

// Options tune a run beside its schedule.
type Options struct {
	Load lab.LoadOptions
	// ServiceTime replaces the back ends' mean service time; 0 keeps it.
	ServiceTime time.Duration
	// Trace receives every observation, Logs the nodes' logs; nil for none.
	Trace io.Writer
	Logs  io.Writer
}

// DefaultOptions return the traffic of a run.
func DefaultOptions() Options {
	return Options{Load: lab.LoadOptions{
		TerangaRate: 4, KarriRate: 4, Groups: 3, SamplesPerGroup: 4, TrainTime: 3 * time.Second, StepsPerVersion: 2,
	}}
}

// Report is what a run showed.
type Report struct {
	Schedule   Schedule
	Violations []string
	Summary    emulator.Summary
	// Steps is the number of training steps by tenant.
	Steps map[string]int
	// LongestGap is the longest time between two answers by route.
	LongestGap map[string]time.Duration
	TraceHash  uint64
	Segments   uint64
}

const (
	sameZoneLatency  = 250 * time.Microsecond
	crossZoneLatency = 1500 * time.Microsecond
	startTimeout     = 30 * time.Second
	closeTime        = 30 * time.Second
	endLimit         = 5 * time.Minute
)

func latency(from, to string) time.Duration {
	if from == to {
		return sameZoneLatency
	}
	return crossZoneLatency
}

// world is a cluster in the middle of a run.
type world struct {
	network *simnet.Network
	cluster *lab.Cluster
	faults  conc.WaitGroup
}

// Run carries out a schedule. It must be called in a synctest bubble.
func Run(schedule Schedule, options Options) (Report, error) {
	report := Report{Schedule: schedule, Steps: make(map[string]int), LongestGap: make(map[string]time.Duration)}
	network := simnet.New(schedule.Seed, latency)
	described, err := lab.ExampleOptions(network, schedule.Seed)
	if err != nil {
		return report, err
	}
	if options.ServiceTime > 0 {
		for i := range described.Pools {
			described.Pools[i].ServiceTime = options.ServiceTime
		}
	}
	described.Logs, described.Level = options.Logs, slog.LevelDebug
	cluster, err := lab.Start(described)
	if err != nil {
		return report, err
	}
	// Handlers of emulated servers end after their last pause.
	defer time.Sleep(closeTime)
	defer cluster.Close()
	cluster.Truth.TraceWriter = options.Trace
	w := &world{network: network, cluster: cluster}
	ready, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := cluster.WaitReady(ready); err != nil {
		return report, err
	}
	// A run that does not end by itself would go on for ever in virtual time.
	watchdog := time.AfterFunc(schedule.Duration+endLimit, func() { panic("the run does not end") })
	defer watchdog.Stop()
	load := cluster.NewLoad(options.Load)
	w.drive(schedule, load)
	w.report(&report, load)
	return report, nil
}

func (w *world) drive(schedule Schedule, load *lab.Load) {
	ctx, cancel := context.WithTimeout(context.Background(), schedule.Duration)
	defer cancel()
	watching, stopWatching := context.WithCancel(context.Background())
	var watcher conc.WaitGroup
	watcher.Go(func() { w.watchRevisions(watching) })
	defer watcher.Wait()
	defer stopWatching()
	w.faults.Go(func() { load.Run(ctx) })
	began := time.Now()
	for _, fault := range schedule.Faults {
		time.Sleep(fault.At - time.Since(began))
		w.faults.Go(func() { w.inject(fault) })
	}
	w.faults.Wait()
	w.checkAgreement()
}

func (w *world) report(report *Report, load *lab.Load) {
	report.Violations = w.cluster.Truth.Judge()
	report.Summary = w.cluster.Truth.Summary()
	report.TraceHash = w.cluster.Truth.TraceHash()
	report.Segments = w.network.Segments()
	for _, trainer := range load.Trainers {
		report.Steps[trainer.Tenant] = len(trainer.Steps())
		if len(trainer.Steps()) == 0 {
			report.Violations = append(report.Violations, fmt.Sprintf("trainer %s finished no step", trainer.Name))
		}
	}
	for _, caller := range load.Callers {
		for _, mix := range caller.Mix {
			report.LongestGap[mix.Route] = caller.LongestGap(mix.Route)
		}
	}
}

// inject begins a fault, waits and ends it.
func (w *world) inject(fault Fault) {
	end, err := w.begin(fault)
	if err != nil {
		w.cluster.Truth.Violate("fault %v cannot begin: %v", fault, err)
		return
	}
	time.Sleep(fault.For)
	if err := end(); err != nil {
		w.cluster.Truth.Violate("fault %v cannot end: %v", fault, err)
	}
}

func nothing() error { return nil }

// begin puts a fault in force and returns what ends it.
func (w *world) begin(fault Fault) (end func() error, err error) {
	switch fault.Kind {
	case CrashNode, RestartNode, PauseNode, CutZone, CutOneWay, DelayPackets, ResetConns:
		return w.beginOnNodes(fault)
	case LogDown, LogSlow, LogLosesAnswers, ListFrozen:
		return w.beginOnPlatform(fault), nil
	case CrashEngine, FailSwitch, CutStreams, SlowEngine:
		return w.beginOnEngine(fault)
	case CrashBackEnd, LeaveBackEnd, LoseAnswers, TruncateAnswers, CrossAnswers, RefuseRequests:
		return w.beginOnBackEnd(fault)
	case RacingOperators:
		return nothing, w.raceOperators(fault)
	default:
		return nothing, errors.Newf("unknown kind %q", fault.Kind)
	}
}

func (w *world) nodeOf(fault Fault) *lab.NodeSlot {
	return w.cluster.Nodes[fault.Target%len(w.cluster.Nodes)]
}

func (w *world) beginOnNodes(fault Fault) (func() error, error) {
	slot := w.nodeOf(fault)
	switch fault.Kind {
	case CrashNode:
		return w.crashNode(slot), nil
	case RestartNode:
		slot.Stop(true)
		return func() error { return startUnlessRunning(slot) }, nil
	case PauseNode:
		w.network.Pause(slot.Name)
		return func() error {
			w.network.Resume(slot.Name)
			return nil
		}, nil
	case CutZone:
		return w.hold(w.pairsOfZone(slot.Zone)), nil
	case CutOneWay:
		other := w.cluster.Nodes[fault.Other%len(w.cluster.Nodes)]
		return w.hold([][2]string{{slot.Name, other.Name}}), nil
	case DelayPackets:
		return w.delay(w.pairsWith(slot.Name), time.Duration(fault.Other%400)*time.Millisecond), nil
	default:
		w.network.ResetSome(slot.Name, uint64(fault.Other%3+1))
		return nothing, nil
	}
}

// crashNode ends a node without a farewell. The end starts it again, empty.
func (w *world) crashNode(slot *lab.NodeSlot) func() error {
	w.network.Crash(slot.Name)
	slot.Stop(false)
	return func() error {
		w.network.Restore(slot.Name)
		return startUnlessRunning(slot)
	}
}

// startUnlessRunning starts a node unless another fault's end already did.
func startUnlessRunning(slot *lab.NodeSlot) error {
	if slot.Node() != nil {
		return nil
	}
	return slot.Start()
}

// pairsWith lists the directions to and from a host.
func (w *world) pairsWith(host string) [][2]string {
	var pairs [][2]string
	for other := range w.network.Hosts() {
		if other != host {
			pairs = append(pairs, [2]string{host, other}, [2]string{other, host})
		}
	}
	return pairs
}

// pairsOfZone lists the directions over a zone's border.
func (w *world) pairsOfZone(zone string) [][2]string {
	var pairs [][2]string
	hosts := w.network.Hosts()
	for inside, zoneOf := range hosts {
		for outside, otherZone := range hosts {
			if zoneOf == zone && otherZone != zone {
				pairs = append(pairs, [2]string{inside, outside}, [2]string{outside, inside})
			}
		}
	}
	return pairs
}

func (w *world) hold(pairs [][2]string) func() error {
	for _, pair := range pairs {
		w.network.Hold(pair[0], pair[1])
	}
	return func() error {
		for _, pair := range pairs {
			w.network.Release(pair[0], pair[1])
		}
		return nil
	}
}

func (w *world) delay(pairs [][2]string, extra time.Duration) func() error {
	for _, pair := range pairs {
		w.network.Delay(pair[0], pair[1], extra)
	}
	return func() error {
		for _, pair := range pairs {
			w.network.Delay(pair[0], pair[1], 0)
		}
		return nil
	}
}

func (w *world) beginOnPlatform(fault Fault) func() error {
	set := func(on bool) {
		faults := w.cluster.Platform.Faults()
		switch fault.Kind {
		case LogDown:
			faults.LogDown = on
		case LogSlow:
			faults.LogDelay = 0
			if on {
				faults.LogDelay = time.Second
			}
		case LogLosesAnswers:
			faults.LoseAppendAnswers = on
		case ListFrozen:
			faults.MachineListFrozen = on
		}
		w.cluster.Platform.SetFaults(faults)
	}
	set(true)
	return func() error {
		set(false)
		return nil
	}
}

func (w *world) beginOnEngine(fault Fault) (func() error, error) {
	machine := w.cluster.Engines[fault.Target%len(w.cluster.Engines)]
	switch fault.Kind {
	case CrashEngine:
		w.network.Crash(machine.ID)
		return nothing, w.cluster.Replace(machine)
	case FailSwitch:
		machine.Engine.SetFaults(emulator.EngineFaults{FailSwitches: 1 + fault.Other%3, FailLoads: fault.Other % 2})
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

func (w *world) beginOnBackEnd(fault Fault) (func() error, error) {
	machine := w.cluster.BackEnds[fault.Target%len(w.cluster.BackEnds)]
	const share = 0.5
	switch fault.Kind {
	case CrashBackEnd:
		w.network.Crash(machine.ID)
		return nothing, w.cluster.Replace(machine)
	case LeaveBackEnd:
		return w.leaveBackEnd(machine), nil
	case LoseAnswers:
		machine.BackEnd.SetFaults(emulator.BackEndFaults{LostAnswerShare: share})
	case TruncateAnswers:
		machine.BackEnd.SetFaults(emulator.BackEndFaults{TruncatedAnswerShare: share})
	case CrossAnswers:
		machine.BackEnd.SetFaults(emulator.BackEndFaults{MismatchedAnswerShare: share})
	default:
		machine.BackEnd.SetFaults(emulator.BackEndFaults{Refuse: true})
	}
	return func() error {
		machine.BackEnd.SetFaults(emulator.BackEndFaults{})
		return nil
	}, nil
}

// leaveBackEnd lets a back end announce its leave; the end replaces it.
func (w *world) leaveBackEnd(machine *lab.Machine) func() error {
	if machine.Leaving {
		return nothing
	}
	w.cluster.BeginLeave(machine)
	return func() error {
		for _, present := range w.cluster.BackEnds {
			if present == machine && present.Role == fleet.RoleBackEnd {
				w.network.Crash(machine.ID)
				return w.cluster.Replace(machine)
			}
		}
		return nil
	}
}

// raceOperators publishes two changes made from the same revision.
func (w *world) raceOperators(fault Fault) error {
	slot := w.cluster.Nodes[fault.Target%len(w.cluster.Nodes)]
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
			// An append that the log refuses for long is the operator's loss.
			_ = w.cluster.Publish(ctx, w.cluster.Options.Document, revision, author)
		})
	}
	operators.Wait()
	return nil
}
