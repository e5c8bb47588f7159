package lab

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/pathbend/pathbend/internal/emulator"
	"github.com/pathbend/pathbend/internal/wait"
)

// DemoOptions configure the demo.
type DemoOptions struct {
	// Duration is how long the traffic runs.
	Duration time.Duration
	// Seed is the seed of the emulated machines and callers.
	Seed uint64
}

// DemoReport is the result of the demo.
type DemoReport struct {
	Tenants []TenantReport
	Summary emulator.Summary
	// Violations describes each violated invariant.
	Violations []string
}

// TenantReport has the measurements of the callers and the trainer of one tenant.
type TenantReport struct {
	Name    string
	Samples int
	Steps   int
	// Versions are the weight versions of the delivered samples, in ascending order.
	Versions []uint64
	// Staleness is the number of versions that a sample is behind the trainer;
	// StalenessBound is the configured maximum.
	StalenessMean  float64
	StalenessMax   uint64
	StalenessBound uint64
	// IdleShare is the fraction of time in which the trainer waited for samples.
	IdleShare float64
	Requests  int64
	// P50, P99 and P999 are latencies of application requests.
	P50, P99, P999 time.Duration
}

// readyTimeout is the timeout for a cluster to become ready.
const readyTimeout = 30 * time.Second

// RunDemo runs the example cluster on loopback under the traffic of both tenants. In the
// meantime the configuration changes, a node is drained and restarted, an engine crashes, and
// a back end leaves. Progress is written to output.
func RunDemo(ctx context.Context, options DemoOptions, output io.Writer) (*DemoReport, error) {
	clusterOptions, err := ExampleOptions(NewLoopback(), options.Seed)
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(output, "starting 3 nodes, 17 engines and 7 back ends on loopback\n")
	cluster, err := Start(clusterOptions)
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := cluster.WaitReady(readyCtx); err != nil {
		return nil, err
	}
	fmt.Fprintf(output, "cluster is ready; starting the traffic of both tenants\n")
	load := cluster.NewLoad(DemoLoad())
	trafficCtx, stop := context.WithTimeout(ctx, options.Duration)
	defer stop()
	var tasks conc.WaitGroup
	tasks.Go(func() { load.Run(trafficCtx) })
	tasks.Go(func() { cluster.runDemoEvents(trafficCtx, options.Duration, output) })
	tasks.Go(func() { cluster.printDemoProgress(trafficCtx, output) })
	tasks.Wait()
	return cluster.newDemoReport(load), nil
}

// runDemoEvents triggers each event of the demo at a fixed fraction of the duration.
func (c *Cluster) runDemoEvents(ctx context.Context, duration time.Duration, output io.Writer) {
	startedAt := time.Now()
	events := []struct {
		fraction    float64
		description string
		trigger     func() error
	}{
		{0.2, "an operator publishes revision 2, which doubles Karri's request rate limit", c.publishDemoChange},
		{0.4, "a node is drained and restarted", func() error { return c.restartNode(c.Nodes[1]) }},
		{0.6, "an engine crashes and is replaced", func() error { return c.Replace(c.Engines[2]) }},
		{0.75, "a back end announces that it is leaving", func() error {
			c.BeginLeave(c.BackEnds[len(c.BackEnds)-1])
			return nil
		}},
	}
	for _, event := range events {
		if !wait.Until(ctx, startedAt.Add(time.Duration(event.fraction*float64(duration)))) {
			return
		}
		fmt.Fprintf(output, "%5.1f s  %s\n", time.Since(startedAt).Seconds(), event.description)
		if err := event.trigger(); err != nil {
			c.Checker.ReportViolation("demo: %s: %v", event.description, err)
		}
	}
}

func (c *Cluster) publishDemoChange() error {
	document, err := ExampleDocument()
	if err != nil {
		return err
	}
	document.FindTenant(Karri).Spec.Capacity.RequestsPerSecond *= 2
	return c.Publish(context.Background(), document, 1, "demo")
}

func (c *Cluster) restartNode(slot *NodeSlot) error {
	slot.Stop(true)
	return slot.Start()
}

func (c *Cluster) printDemoProgress(ctx context.Context, output io.Writer) {
	const interval = 2 * time.Second
	startedAt := time.Now()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			summary := c.Checker.Summary()
			fmt.Fprintf(output, "%5.1f s  %5d requests answered, %5d samples delivered\n",
				time.Since(startedAt).Seconds(), summary.Answered, summary.Samples)
		case <-ctx.Done():
			return
		}
	}
}

func (c *Cluster) newDemoReport(load *Load) *DemoReport {
	report := &DemoReport{Summary: c.Checker.Summary(), Violations: c.Checker.CheckInvariants()}
	for _, trainer := range load.Trainers {
		tenant := TenantReport{
			Name: trainer.Tenant, Steps: len(trainer.Steps()), IdleShare: trainer.IdleShare(), StalenessBound: trainer.MaxVersions,
		}
		for version := range report.Summary.Versions[trainer.Tenant] {
			tenant.Versions = append(tenant.Versions, version)
		}
		slices.Sort(tenant.Versions)
		stalenessValues := report.Summary.Staleness[trainer.Tenant]
		tenant.Samples = len(stalenessValues)
		for _, staleness := range stalenessValues {
			tenant.StalenessMean += float64(staleness) / float64(len(stalenessValues))
			tenant.StalenessMax = max(tenant.StalenessMax, staleness)
		}
		for _, caller := range load.Callers {
			if strings.HasPrefix(caller.Name, trainer.Tenant) {
				tenant.P50, tenant.P99, tenant.P999 = caller.Latency(50), caller.Latency(99), caller.Latency(99.9)
				tenant.Requests = caller.Count()
			}
		}
		report.Tenants = append(report.Tenants, tenant)
	}
	return report
}

// Print writes the report: a table of the tenants, the counters and the violations.
func (r *DemoReport) Print(output io.Writer) {
	writer := tabwriter.NewWriter(output, 0, 4, 2, ' ', 0)
	fmt.Fprintln(writer, "\ntenant\tsamples\tsteps\tversions\tstaleness mean/max/bound\ttrainer idle\trequests\tp50 ms\tp99 ms\tp99.9 ms")
	for _, tenant := range r.Tenants {
		fmt.Fprintf(writer, "%s\t%d\t%d\t%v\t%.2f / %d / %d\t%.1f %%\t%d\t%.1f\t%.1f\t%.1f\n",
			tenant.Name, tenant.Samples, tenant.Steps, tenant.Versions, tenant.StalenessMean, tenant.StalenessMax, tenant.StalenessBound,
			100*tenant.IdleShare, tenant.Requests, milliseconds(tenant.P50), milliseconds(tenant.P99), milliseconds(tenant.P999))
	}
	writer.Flush()
	fmt.Fprintf(output, "\nrequests answered %d of %d\nrefusals by code: ", r.Summary.Answered, r.Summary.Requests)
	if len(r.Summary.Refusals) == 0 {
		fmt.Fprint(output, "none")
	}
	codes := make([]string, 0, len(r.Summary.Refusals))
	for code, count := range r.Summary.Refusals {
		codes = append(codes, fmt.Sprintf("%s: %d", code, count))
	}
	sort.Strings(codes)
	fmt.Fprintf(output, "%s\nviolations: %d\n", strings.Join(codes, ", "), len(r.Violations))
	for _, violation := range r.Violations {
		fmt.Fprintln(output, "  "+violation)
	}
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
