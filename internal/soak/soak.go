package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/pathbend/pathbend/internal/platformsim"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// faultsPerRound is the number of random faults in a round. They start within the first
	// half of faultDuration, the nominal duration of the faults in a round. recoveryDuration
	// without new faults follows, so that promises with a deadline of 1 to 4 s are checked too.
	faultsPerRound   = 3
	faultDuration    = 10 * time.Second
	recoveryDuration = 8 * time.Second
	// startupDuration is the time between the start of the processes and that of the traffic,
	// completionDuration the time for jobs to complete after the traffic has stopped.
	startupDuration    = 3 * time.Second
	completionDuration = 5 * time.Second
	// nodesPerZone processes run in each of three zones.
	nodesPerZone = 2
	// Each zone has one model sampler and one application, so that more work waits for each
	// than a cold one can take. With two regions, to one of which work is bound, there are
	// regionMultiplier times as many.
	samplerCount     = 3
	applicationCount = 3
	regionMultiplier = 2
)

// Options configure a run.
type Options struct {
	// Program is the path of the pathbend program.
	Program string
	// Time is the duration of the traffic. The last round of faults is always completed, so
	// that traffic may run for longer.
	Time time.Duration
	// Seed determines the faults, the emulated services and the callers.
	Seed uint64
	// Logs receives the output of the processes; nil discards it.
	Logs io.Writer
	// Progress receives a line for each round; nil discards it.
	Progress io.Writer
}

// Report is the result of a run.
type Report struct {
	Seed   uint64
	Rounds int
	// Counts counts what callers and back ends observed.
	Counts map[string]int
	// Faults counts the injected faults by name.
	Faults map[string]int
	// Processes is the number of processes that were started.
	Processes int
	// Violations describes each violation of a promise.
	Violations []string
	// Causes counts lost and refused requests by cause.
	Causes map[string]int
	// MaxWakeDelay is the longest delay with which a timer of this program fired, a measure
	// of the load on the machine.
	MaxWakeDelay time.Duration
}

// run is a soak test in progress.
type run struct {
	options      Options
	environment  *environment
	world        *platformsim.World
	samplerNames []string
	report       Report
	// plannedRounds counts the rounds whose faults were chosen.
	plannedRounds int
}

// regionsByZone maps the zones of a run to regions. Runs with an even seed have two regions, with a
// tenant and a route that are each bound to one of them; other runs have none, and the map is nil.
func regionsByZone(seed uint64) map[string]string {
	if seed%2 != 0 {
		return nil
	}
	return map[string]string{"a": "north", "b": "north", "c": "south"}
}

// Run injects rounds of faults until options.Time has elapsed, and reports violations of promises.
// It returns an error if the run cannot start or ctx ends.
func Run(ctx context.Context, options Options) (Report, error) {
	directory, err := os.MkdirTemp("", "pathbend-soak-")
	if err != nil {
		return Report{}, errors.Wrap(err, "create settings directory")
	}
	defer os.RemoveAll(directory)
	regions, multiplier := regionsByZone(options.Seed), 1
	if regions != nil {
		multiplier = regionMultiplier
	}
	env, err := newEnvironment(options.Program, directory, regions)
	if err != nil {
		return Report{}, err
	}
	r := &run{
		options: options, environment: env,
		report: Report{Seed: options.Seed, Faults: make(map[string]int)},
	}
	r.world = platformsim.NewWorld(platformsim.Options{
		Seed: options.Seed, NodesPerZone: nodesPerZone, Samplers: samplerCount * multiplier, Applications: applicationCount * multiplier,
		Models: []string{"m1", "m2"}, Logs: options.Logs, Environment: r.environment, NodesUnidentified: true, Regions: regions,
	})
	defer r.environment.close()
	defer r.world.Close()
	r.samplerNames = r.world.Samplers()
	r.runRounds(ctx)
	r.report.Counts = r.world.Checker.Counts()
	r.report.Processes = r.environment.processCount
	r.report.Violations = r.world.Checker.Violations()
	r.report.Causes, r.report.MaxWakeDelay = r.world.Checker.Causes(), r.world.Checker.MaxWakeDelay()
	for _, exit := range r.environment.listUnexpectedExits() {
		r.report.Violations = append(r.report.Violations, "ENDED: "+exit)
	}
	return r.report, ctx.Err()
}

// runRounds runs traffic and rounds of faults, and then checks the jobs that were accepted.
func (r *run) runRounds(ctx context.Context) {
	background, stop := context.WithCancel(ctx)
	var loops conc.WaitGroup
	loops.Go(func() { r.world.SendHeartbeats(background) })
	loops.Go(func() { r.world.PollReadiness(background) })
	loops.Go(func() { r.world.Checker.MeasureWakeDelays(background) })
	r.world.PutConfig(0)
	wait.For(ctx, startupDuration)
	trafficCtx, stopTraffic := context.WithCancel(background)
	var callers conc.WaitGroup
	callers.Go(func() { r.world.RunTraffic(trafficCtx) })
	random := rand.New(rand.NewPCG(r.options.Seed, 29))
	for startedAt := time.Now(); ctx.Err() == nil && time.Since(startedAt) < r.options.Time; {
		r.runRound(ctx, random)
	}
	stopTraffic()
	callers.Wait()
	wait.For(ctx, completionDuration)
	stop()
	loops.Wait()
	r.world.CheckAcceptedJobs(ctx)
}

// runRound injects the faults of one round and waits until the system has recovered.
func (r *run) runRound(ctx context.Context, random *rand.Rand) {
	r.report.Rounds++
	faults := r.planRound(random)
	if r.options.Progress != nil {
		fmt.Fprintf(r.options.Progress, "round %d: %v\n", r.report.Rounds, faults)
	}
	var regular, overlapping conc.WaitGroup
	for _, fault := range faults {
		r.report.Faults[fault.name]++
		group := &regular
		if fault.overlapsRecovery {
			group = &overlapping
		}
		group.Go(func() {
			wait.For(ctx, fault.startAfter)
			fault.inject(ctx)
		})
	}
	regular.Wait()
	wait.For(ctx, recoveryDuration)
	overlapping.Wait()
}

// nodeName maps a random target to one of the current nodes. It may map the same target to another
// node once a machine has been replaced.
func (r *run) nodeName(target uint64) string {
	nodes := r.world.Nodes()
	return nodes[target%uint64(len(nodes))]
}

// nodeAt returns the machine of the node that nodeName returns.
func (r *run) nodeAt(target uint64) *nodeMachine { return r.environment.node(r.nodeName(target)) }

// samplerLink maps a random target to the link to a sampler.
func (r *run) samplerLink(target uint64) *proxy {
	return r.environment.links(r.samplerNames[target%uint64(len(r.samplerNames))])[0]
}

// Print writes the report. The last line is the verdict.
func (r *Report) Print(output io.Writer) {
	for _, violation := range r.Violations {
		fmt.Fprintln(output, "broken:", violation)
	}
	fmt.Fprintln(output, "troubles:", formatCounts(r.Faults))
	fmt.Fprintln(output, "counts:", formatCounts(r.Counts))
	fmt.Fprintln(output, "lost or refused:", formatCounts(r.Causes))
	fmt.Fprintln(output, "timers on this machine fired late by up to", r.MaxWakeDelay.Round(time.Millisecond))
	verdict := "passed"
	if len(r.Violations) > 0 {
		verdict = "FAILED"
	}
	fmt.Fprintf(output, "soak %s: seed %d, %d rounds, %d processes started, %d promises broken\n",
		verdict, r.Seed, r.Rounds, r.Processes, len(r.Violations))
}

// formatCounts lists counts in the order of their names.
func formatCounts(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}
