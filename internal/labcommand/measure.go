package labcommand

import (
	"context"
	"fmt"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/pathbend/pathbend/client"
	"github.com/pathbend/pathbend/internal/emulator"
	"github.com/pathbend/pathbend/internal/lab"
	"github.com/pathbend/pathbend/internal/report"
)

func newLoad() *cobra.Command {
	var nodes, tenant, route, outDir string
	var rate float64
	var duration, timeout time.Duration
	var bodyBytes int
	var keyed bool
	command := &cobra.Command{
		Use: "load", Short: "Send open-loop load to a running cluster and write a report",
		Long:    "Send application requests at scheduled times, regardless of how long earlier ones take,\nso that latencies include the queueing delay that a stalled service causes.",
		Example: "  pathbend-lab load --nodes 127.0.0.1:8080 --tenant karri --route lookup --rate 500 --duration 30s", Args: cobra.NoArgs,
	}
	flags := command.Flags()
	flags.StringVar(&nodes, "nodes", "127.0.0.1:8080", "HTTP addresses of nodes, comma-separated")
	flags.StringVar(&tenant, "tenant", "karri", "tenant")
	flags.StringVar(&route, "route", "lookup", "route")
	flags.Float64Var(&rate, "rate", 100, "requests per second")
	flags.DurationVar(&duration, "duration", 10*time.Second, "how long requests are sent")
	flags.DurationVar(&timeout, "timeout", 2*time.Second, "timeout of a request")
	flags.IntVar(&bodyBytes, "body", 200, "size of a request body in bytes")
	flags.BoolVar(&keyed, "at-most-once", false, "give every request an idempotency key")
	flags.StringVar(&outDir, "out", "out", "directory for the report")
	command.RunE = func(command *cobra.Command, _ []string) error {
		if rate <= 0 || duration <= 0 || bodyBytes < 0 {
			return errors.New("--rate and --duration must be positive, --body at least 0")
		}
		checker := emulator.NewChecker()
		checker.ExecutionsUnobserved = true // back ends run in other processes, so their executions are not observed
		caller := &emulator.Caller{
			Name: fmt.Sprintf("load-%d", time.Now().UnixNano()), Rate: rate, Checker: checker, Random: newRandom(),
			Client: client.New(client.Options{Addresses: splitList(nodes), Tenant: tenant, Spread: true}),
			Mix:    []emulator.RouteTraffic{{Route: route, Weight: 1, AtMostOnce: keyed, BodyBytes: bodyBytes, Timeout: timeout}},
		}
		ctx, cancel := context.WithTimeout(command.Context(), duration)
		defer cancel()
		startedAt := time.Now()
		caller.Run(ctx)
		result := report.Result{
			Name: "load", Description: fmt.Sprintf("%s/%s at %g requests per second, open-loop.", tenant, route, rate), Started: startedAt,
			Command: "pathbend-lab load --route " + route + " --rate " + strconv.FormatFloat(rate, 'g', -1, 64),
			Tables:  []report.Table{latencyTable(map[string]*hdrhistogram.Histogram{route: caller.Histogram()}, []string{route})},
			Charts:  []report.Chart{latencyChart(map[string]*hdrhistogram.Histogram{route: caller.Histogram()}, []string{route})},
		}
		result.Tables = append(result.Tables, outcomeTable(checker.Summary()))
		if err := writeAndPrint(command, outDir, result); err != nil {
			return err
		}
		if violations := checker.CheckInvariants(); len(violations) > 0 {
			return errors.Newf("%s: %w", strings.Join(violations, "; "), errViolations)
		}
		return nil
	}
	return command
}

// outcomeTable counts the answered requests and the refused ones by result code.
func outcomeTable(summary emulator.Summary) report.Table {
	table := report.Table{Title: "Outcomes", Columns: []string{"outcome", "requests"}}
	table.Rows = append(table.Rows, []string{"answered", strconv.Itoa(summary.Answered)})
	for code, count := range summary.Refusals {
		table.Rows = append(table.Rows, []string{code, strconv.Itoa(count)})
	}
	return table
}

// tableQuantiles are the quantiles, in percent, in a latency table.
var tableQuantiles = []float64{50, 90, 99, 99.9, 100}

// latencyTable lists quantiles of histograms in microseconds, one row per series in the given
// order.
func latencyTable(histograms map[string]*hdrhistogram.Histogram, order []string) report.Table {
	table := report.Table{Title: "Latency", Columns: []string{"series", "requests", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "max ms"}}
	for _, name := range order {
		row := []string{name, strconv.FormatInt(histograms[name].TotalCount(), 10)}
		for _, quantile := range tableQuantiles {
			row = append(row, report.Milliseconds(time.Duration(histograms[name].ValueAtQuantile(quantile))*time.Microsecond))
		}
		table.Rows = append(table.Rows, row)
	}
	return table
}

// chartQuantiles returns the quantiles, in percent, at which a chart line has points.
func chartQuantiles() []float64 {
	var quantiles []float64
	for percent := range 100 {
		quantiles = append(quantiles, float64(percent))
	}
	return append(quantiles, 99.5, 99.9, 99.99, 100)
}

// latencyChart plots the cumulative distribution of each histogram.
func latencyChart(histograms map[string]*hdrhistogram.Histogram, order []string) report.Chart {
	chart := report.Chart{Title: "Latency distribution", XLabel: "milliseconds", YLabel: "share of requests", LogX: true}
	for _, name := range order {
		line := report.Line{Name: name}
		for _, quantile := range chartQuantiles() {
			micros := max(histograms[name].ValueAtQuantile(quantile), 1)
			line.Points = append(line.Points, report.Point{X: float64(micros) / 1000, Y: quantile / 100})
		}
		chart.Lines = append(chart.Lines, line)
	}
	return chart
}

// writeAndPrint writes the report files to a directory and prints the tables.
func writeAndPrint(command *cobra.Command, outDir string, result report.Result) error {
	page, err := report.Write(outDir, result)
	if err != nil {
		return err
	}
	for _, table := range result.Tables {
		fmt.Fprintf(command.OutOrStdout(), "%s\n  %s\n", table.Title, strings.Join(table.Columns, " | "))
		for _, row := range table.Rows {
			fmt.Fprintf(command.OutOrStdout(), "  %s\n", strings.Join(row, " | "))
		}
	}
	fmt.Fprintln(command.OutOrStdout(), "report:", page)
	return nil
}

func newExperiment() *cobra.Command {
	command := &cobra.Command{
		Use: "experiment", Short: "Run an experiment and write a report",
		Example: "  pathbend-lab experiment overhead --out out",
	}
	command.AddCommand(newOverhead())
	return command
}

func newOverhead() *cobra.Command {
	options := lab.OverheadOptions{Route: "lookup"}
	var outDir string
	command := &cobra.Command{
		Use: "overhead", Short: "Compare direct calls with calls through three nodes in one run",
		Example: "  pathbend-lab experiment overhead --rate 2100 --window 5s --rounds 3", Args: cobra.NoArgs,
	}
	flags := command.Flags()
	flags.Float64Var(&options.Rate, "rate", 2100, "requests per second over all nodes")
	flags.DurationVar(&options.Window, "window", 5*time.Second, "duration of one measurement")
	flags.IntVar(&options.Rounds, "rounds", 3, "number of direct and of routed windows, which alternate")
	flags.BoolVar(&options.Keyed, "at-most-once", false, "measure the order-line route, with idempotency keys")
	flags.StringVar(&outDir, "out", "out", "directory for the report")
	command.RunE = func(command *cobra.Command, _ []string) error {
		if options.Keyed {
			options.Route = "order-line"
		}
		// Callers, nodes and back ends share one process; use the garbage collector setting
		// of a node.
		debug.SetGCPercent(400)
		startedAt := time.Now()
		measured, err := lab.MeasureOverhead(command.Context(), options)
		if err != nil {
			return err
		}
		return writeAndPrint(command, outDir, overheadReport(options, startedAt, measured))
	}
	return command
}

func overheadReport(options lab.OverheadOptions, startedAt time.Time, measured *lab.OverheadResult) report.Result {
	histograms := map[string]*hdrhistogram.Histogram{"direct": measured.Direct, "through nodes": measured.Routed}
	order := []string{"direct", "through nodes"}
	addedMicros := func(quantile float64) string {
		difference := measured.Routed.ValueAtQuantile(quantile) - measured.Direct.ValueAtQuantile(quantile)
		return strconv.FormatInt(difference, 10)
	}
	summary := report.Table{Title: "Overhead", Columns: []string{"figure", "value"}, Rows: [][]string{
		{"added p50, microseconds", addedMicros(50)},
		{"added p99, microseconds", addedMicros(99)},
		{"failures", strconv.FormatInt(measured.Failures, 10)},
		{"processor time per routed request, microseconds, caller and back end included", strconv.FormatInt(measured.CPUPerRequest.Microseconds(), 10)},
		{"allocations per routed request, caller and back end included", strconv.FormatFloat(measured.AllocsPerRequest, 'f', 0, 64)},
	}}
	name := "overhead"
	if options.Keyed {
		name = "overhead-at-most-once"
	}
	return report.Result{
		Name: name, Started: startedAt,
		Description: fmt.Sprintf("%g requests per second through three nodes, compared with direct calls to the same back ends in alternating windows of one run.", options.Rate),
		Command:     fmt.Sprintf("pathbend-lab experiment overhead --rate %g --window %v --rounds %d", options.Rate, options.Window, options.Rounds),
		Tables:      []report.Table{latencyTable(histograms, order), summary},
		Charts:      []report.Chart{latencyChart(histograms, order)},
	}
}

func newReport() *cobra.Command {
	return &cobra.Command{
		Use: "report FILE.json", Short: "Render the charts and page of a stored result",
		Example: "  pathbend-lab report out/overhead.json", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			result, err := report.Read(arguments[0])
			if err != nil {
				return err
			}
			basePath := strings.TrimSuffix(arguments[0], ".json")
			if err := report.Render(basePath, result); err != nil {
				return err
			}
			fmt.Fprintln(command.OutOrStdout(), "report:", basePath+".html")
			return nil
		},
	}
}
