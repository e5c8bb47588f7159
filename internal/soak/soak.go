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
	// troublesPerRound begin within the first half of a round's trouble, which lasts
	// roundTrouble at most; after that everything is whole for roundCalm, so that
	// promises with a bound of time are judged too (their bounds are 1 to 4 s).
	troublesPerRound = 3
	roundTrouble     = 10 * time.Second
	roundCalm        = 8 * time.Second
	// startTime is left to the processes before traffic, endTime to the jobs after it.
	startTime = 3 * time.Second
	endTime   = 5 * time.Second
	// A machine runs nodesPerZone processes in each of three zones.
	nodesPerZone = 2
	// Each zone has one model sampler and one application, so that more work waits for each
	// than a cold one bears; two of each where work is bound to one of two regions.
	samplers     = 3
	applications = 3
	regionTimes  = 2
)

// Options are those of a run.
type Options struct {
	// Program is the path of the product's program.
	Program string
	// Time is how long traffic runs. The rounds of trouble within it are whole.
	Time time.Duration
	Seed uint64
	// Logs gets what the processes write; nil for none.
	Logs io.Writer
	// Progress gets a line for each round.
	Progress io.Writer
}

// Report is what a run came to.
type Report struct {
	Seed       uint64
	Rounds     int
	Counts     map[string]int
	Troubles   map[string]int
	Processes  int
	Violations []string
	// Causes counts why requests were lost or refused.
	Causes map[string]int
	// Latest is the latest that the machine woke this program.
	Latest time.Duration
}

// run is a soak under way.
type run struct {
	options      Options
	surroundings *surroundings
	world        *platformsim.World
	samplers     []string
	report       Report
	// turns counts the rounds that were drawn.
	turns int
}

// regionsOf returns the regions of a run's zones: two for even seeds, with a tenant and a
// route that are bound to one each, none for others.
func regionsOf(seed uint64) map[string]string {
	if seed%2 != 0 {
		return nil
	}
	return map[string]string{"a": "north", "b": "north", "c": "south"}
}

// Run plays rounds of trouble until the time is over, and judges what was seen.
func Run(ctx context.Context, options Options) (Report, error) {
	directory, err := os.MkdirTemp("", "pathbend-soak-")
	if err != nil {
		return Report{}, errors.Wrap(err, "make a directory for settings")
	}
	defer os.RemoveAll(directory)
	regions, times := regionsOf(options.Seed), 1
	if regions != nil {
		times = regionTimes
	}
	around, err := newSurroundings(options.Program, directory, regions)
	if err != nil {
		return Report{}, err
	}
	r := &run{
		options: options, surroundings: around,
		report: Report{Seed: options.Seed, Troubles: make(map[string]int)},
	}
	r.world = platformsim.NewWorld(platformsim.Options{
		Seed: options.Seed, NodesPerZone: nodesPerZone, Samplers: samplers * times, Applications: applications * times,
		Models: []string{"m1", "m2"}, Logs: options.Logs, Surroundings: r.surroundings, Nameless: true, Regions: regions,
	})
	defer r.surroundings.close()
	defer r.world.Close()
	r.samplers = r.world.Samplers()
	r.play(ctx)
	r.report.Counts = r.world.Truth.Counts()
	r.report.Processes = r.surroundings.started
	r.report.Violations = r.world.Truth.Violations()
	r.report.Causes, r.report.Latest = r.world.Truth.Causes(), r.world.Truth.Latest()
	for _, ended := range r.surroundings.endedByThemselves() {
		r.report.Violations = append(r.report.Violations, "ENDED: "+ended)
	}
	return r.report, ctx.Err()
}

func (r *run) play(ctx context.Context) {
	background, stop := context.WithCancel(ctx)
	var loops conc.WaitGroup
	loops.Go(func() { r.world.Heartbeats(background) })
	loops.Go(func() { r.world.WatchReadiness(background) })
	loops.Go(func() { r.world.Truth.WatchLateness(background) })
	r.world.PutConfig(0)
	wait.For(ctx, startTime)
	traffic, stopTraffic := context.WithCancel(background)
	var callers conc.WaitGroup
	callers.Go(func() { r.world.Traffic(traffic) })
	random := rand.New(rand.NewPCG(r.options.Seed, 29))
	for began := time.Now(); ctx.Err() == nil && time.Since(began) < r.options.Time; {
		r.round(ctx, random)
	}
	stopTraffic()
	callers.Wait()
	wait.For(ctx, endTime)
	stop()
	loops.Wait()
	r.world.JudgeEnd(ctx)
}

// round plays one round of trouble and lets everything heal.
func (r *run) round(ctx context.Context, random *rand.Rand) {
	r.report.Rounds++
	drawn := r.draw(random)
	if r.options.Progress != nil {
		fmt.Fprintf(r.options.Progress, "round %d: %v\n", r.report.Rounds, drawn)
	}
	var injected, lasting conc.WaitGroup
	for _, trouble := range drawn {
		r.report.Troubles[trouble.name]++
		group := &injected
		if trouble.lasting {
			group = &lasting
		}
		group.Go(func() {
			wait.For(ctx, trouble.after)
			trouble.inject(ctx)
		})
	}
	injected.Wait()
	wait.For(ctx, roundCalm)
	lasting.Wait()
}

// nodeName chooses among the nodes that are there now.
func (r *run) nodeName(target uint64) string {
	nodes := r.world.Nodes()
	return nodes[target%uint64(len(nodes))]
}

func (r *run) nodeAt(target uint64) *nodeMachine { return r.surroundings.node(r.nodeName(target)) }

func (r *run) samplerAt(target uint64) *proxy {
	return r.surroundings.links(r.samplers[target%uint64(len(r.samplers))])[0]
}

// Print writes what the run came to. The last line is the verdict.
func (r *Report) Print(output io.Writer) {
	for _, violation := range r.Violations {
		fmt.Fprintln(output, "broken:", violation)
	}
	fmt.Fprintln(output, "troubles:", countsLine(r.Troubles))
	fmt.Fprintln(output, "counts:", countsLine(r.Counts))
	fmt.Fprintln(output, "lost or refused:", countsLine(r.Causes))
	fmt.Fprintln(output, "this machine woke programs late by up to", r.Latest.Round(time.Millisecond))
	verdict := "passed"
	if len(r.Violations) > 0 {
		verdict = "FAILED"
	}
	fmt.Fprintf(output, "soak %s: seed %d, %d rounds, %d processes started, %d promises broken\n",
		verdict, r.Seed, r.Rounds, r.Processes, len(r.Violations))
}

func countsLine(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}
