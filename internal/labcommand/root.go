// Package labcommand implements the command line of pathbend-lab: the demo, load generation,
// experiments, the soak test and emulated services.
package labcommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/pathbend/pathbend/internal/lab"
)

// errViolations makes the command exit with code 1.
var errViolations = errors.New("invariants were violated")

// Run executes the command line and returns the exit code: 0 on success, 1 on any error or
// violated invariant. SIGINT and SIGTERM cancel the command.
func Run(arguments []string, output, errorOutput io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRoot()
	root.SetArgs(arguments)
	root.SetOut(output)
	root.SetErr(errorOutput)
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(errorOutput, "pathbend-lab:", err)
		return 1
	}
	return 0
}

// printReport prints a report and returns errViolations if there were any violations.
func printReport(output io.Writer, report interface{ Print(output io.Writer) }, violations int) error {
	report.Print(output)
	if violations > 0 {
		return errViolations
	}
	return nil
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "pathbend-lab",
		Short:         "Emulate the environment of pathbend; run the demo, load, experiments and tests",
		Example:       "  pathbend-lab demo\n  pathbend-lab experiment overhead --out out",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newDemo(), newStandIn(), newLoad(), newExperiment(), newReport(), newSoak(), newJudgeTests())
	return root
}

func newDemo() *cobra.Command {
	var options lab.DemoOptions
	command := &cobra.Command{
		Use: "demo", Short: "Run both example tenants on loopback and check invariants",
		Example: "  pathbend-lab demo --duration 20s", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			report, err := lab.RunDemo(command.Context(), options, command.OutOrStdout())
			if err != nil {
				return err
			}
			return printReport(command.OutOrStdout(), report, len(report.Violations))
		},
	}
	command.Flags().DurationVar(&options.Duration, "duration", 18*time.Second, "how long the traffic runs")
	command.Flags().Uint64Var(&options.Seed, "seed", 1, "seed of the emulated machines and callers")
	return command
}

// splitList splits a comma-separated flag and drops empty items.
func splitList(text string) []string {
	var items []string
	for item := range strings.SplitSeq(text, ",") {
		if trimmed := strings.TrimSpace(item); trimmed != "" {
			items = append(items, trimmed)
		}
	}
	return items
}
