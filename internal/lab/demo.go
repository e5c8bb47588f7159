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

// DemoOptions size the demo.
type DemoOptions struct {
	Duration time.Duration
	Seed     uint64
}

// DemoReport is the one screen that the demo ends with.
type DemoReport struct {
	Tenants    []TenantReport
	Summary    emulator.Summary
	Violations []string
}

// TenantReport is what one tenant saw.
type TenantReport struct {
	Name           string
	Samples        int
	Steps          int
	Versions       []uint64
	StalenessMean  float64
	StalenessMax   uint64
	StalenessBound uint64
	IdleShare      float64
	Requests       int64
	P50, P99, P999 time.Duration
}

// readyTimeout bounds the start of a cluster.
const readyTimeout = 30 * time.Second

// RunDemo runs the example cluster on loopback with both tenants' traffic
// through a change of configuration, a planned restart of a node, the loss of
// an engine and the leave of a back end.
func RunDemo(ctx context.Context, options DemoOptions, output io.Writer) (*DemoReport, error) {
	described, err := ExampleOptions(NewLoopback(), options.Seed)
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(output, "starting 3 nodes, 17 engines and 7 back ends on loopback\n")
	cluster, err := Start(described)
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := cluster.WaitReady(ready); err != nil {
		return nil, err
	}
	fmt.Fprintf(output, "cluster is ready; traffic of both tenants begins\n")
	load := cluster.NewLoad(DemoLoad())
	run, stop := context.WithTimeout(ctx, options.Duration)
	defer stop()
	var actors conc.WaitGroup
	actors.Go(func() { load.Run(run) })
	actors.Go(func() { cluster.demoEvents(run, options.Duration, output) })
	actors.Go(func() { cluster.demoProgress(run, output) })
	actors.Wait()
	return cluster.demoReport(load), nil
}

// demoEvents lets the changes happen at fixed shares of the run.
func (c *Cluster) demoEvents(ctx context.Context, duration time.Duration, output io.Writer) {
	began := time.Now()
	steps := []struct {
		share float64
		text  string
		act   func() error
	}{
		{0.2, "an operator publishes revision 2: Karri's rate goes up", c.publishDemoChange},
		{0.4, "a node is drained and started again", func() error { return c.restartNode(c.Nodes[1]) }},
		{0.6, "an engine crashes and is replaced", func() error { return c.Replace(c.Engines[2]) }},
		{0.75, "a back end leaves", func() error {
			c.BeginLeave(c.BackEnds[len(c.BackEnds)-1])
			return nil
		}},
	}
	for _, step := range steps {
		if !wait.Until(ctx, began.Add(time.Duration(step.share*float64(duration)))) {
			return
		}
		fmt.Fprintf(output, "%5.1f s  %s\n", time.Since(began).Seconds(), step.text)
		if err := step.act(); err != nil {
			c.Truth.Violate("demo: %s: %v", step.text, err)
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

func (c *Cluster) demoProgress(ctx context.Context, output io.Writer) {
	const interval = 2 * time.Second
	began := time.Now()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			summary := c.Truth.Summary()
			fmt.Fprintf(output, "%5.1f s  %5d requests answered, %5d samples delivered\n",
				time.Since(began).Seconds(), summary.Answered, summary.Samples)
		case <-ctx.Done():
			return
		}
	}
}

func (c *Cluster) demoReport(load *Load) *DemoReport {
	report := &DemoReport{Summary: c.Truth.Summary(), Violations: c.Truth.Judge()}
	for _, trainer := range load.Trainers {
		tenant := TenantReport{
			Name: trainer.Tenant, Steps: len(trainer.Steps()), IdleShare: trainer.IdleShare(), StalenessBound: trainer.MaxVersions,
		}
		for version := range report.Summary.Versions[trainer.Tenant] {
			tenant.Versions = append(tenant.Versions, version)
		}
		slices.Sort(tenant.Versions)
		staleness := report.Summary.Staleness[trainer.Tenant]
		tenant.Samples = len(staleness)
		for _, behind := range staleness {
			tenant.StalenessMean += float64(behind) / float64(len(staleness))
			tenant.StalenessMax = max(tenant.StalenessMax, behind)
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

// Print writes the report as one screen.
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
