// Package command implements the command line of pathbend.
//
// Each command returns an error, which Run translates to an exit code. The exit codes are
// documented in docs/OPERATIONS.md.
package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/pathbend/pathbend/internal/config"
	"github.com/pathbend/pathbend/internal/result"
)

// Exit codes of the command line.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitFailure means an error without an exit code of its own.
	ExitFailure = 1
	// ExitUsage means an error in the command line or in the settings of a node.
	ExitUsage = 2
	// ExitInvalid means an invalid configuration.
	ExitInvalid = 3
	// ExitConflict means that another configuration was published first.
	ExitConflict = 4
	// ExitUnreachable means that the log or the node could not be reached.
	ExitUnreachable = 5
)

// Version is the version of the program, set at build time with -ldflags. If it is empty,
// the version command prints the module version from the build information.
var Version = ""

// usageError marks an error in the command line or in the settings; the exit code is
// ExitUsage.
type usageError struct{ error }

// settingsError is implemented by errors in the settings of commands that are passed to
// Run; the exit code is ExitUsage.
type settingsError interface{ InSettings() bool }

// Run executes a command line and returns the exit code. It adds the commands in more to
// its own. SIGINT and SIGTERM cancel the context of the command.
func Run(arguments []string, output, errorOutput io.Writer, more ...*cobra.Command) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRoot()
	root.AddCommand(more...)
	root.SetArgs(arguments)
	root.SetOut(output)
	root.SetErr(errorOutput)
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(errorOutput, "pathbend:", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var usage usageError
	var settings settingsError
	var problems config.Problems
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) || errors.As(err, &settings):
		return ExitUsage
	case errors.As(err, &problems) || result.Is(err, result.ConfigInvalid):
		return ExitInvalid
	case result.Is(err, result.ConfigConflict):
		return ExitConflict
	case result.Is(err, result.LogUnavailable) || result.Is(err, result.LogUnknown) || result.Is(err, result.PeerUnreached):
		return ExitUnreachable
	default:
		return ExitFailure
	}
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "pathbend",
		Short:         "Rollout service for reinforcement learning",
		Long:          "pathbend serves application requests, generations and rollout jobs of tenants,\nwhich are declared in files under version control.",
		Example:       "  pathbend serve --settings node.yaml\n  pathbend config publish examples --log 127.0.0.1:7000 --base 0",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(newServe(), newConfig(), newStatus(), newDrain(), newExplain(), newSteps(), newVersion())
	return root
}

// exactArguments returns a check that fails with a usageError unless there are count
// arguments.
func exactArguments(count int) cobra.PositionalArgs {
	return func(command *cobra.Command, arguments []string) error {
		if err := cobra.ExactArgs(count)(command, arguments); err != nil {
			return usageError{err}
		}
		return nil
	}
}

// Values of the flag --output.
const (
	formatTable = "table"
	formatJSON  = "json"
	formatYAML  = "yaml"
)

// addOutputFlag adds the flag --output with the supported formats; the first is the
// default.
func addOutputFlag(command *cobra.Command, formats ...string) *string {
	return command.Flags().StringP("output", "o", formats[0], "output format: "+joinAlternatives(formats))
}

func joinAlternatives(words []string) string {
	text := words[0]
	for _, word := range words[1:] {
		text += " or " + word
	}
	return text
}

func validateFormat(format string, supported ...string) error {
	for _, candidate := range supported {
		if format == candidate {
			return nil
		}
	}
	return usageError{errors.Newf("unknown --output format %q; use %s", format, joinAlternatives(supported))}
}

func writeJSON(output io.Writer, value any) error {
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// writeTable writes rows as aligned columns.
func writeTable(output io.Writer, rows [][]string) error {
	writer := tabwriter.NewWriter(output, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(writer, "\t")
			}
			fmt.Fprint(writer, cell)
		}
		fmt.Fprintln(writer)
	}
	return writer.Flush()
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Example: "  pathbend version", Args: exactArguments(0),
		RunE: func(command *cobra.Command, _ []string) error {
			version := Version
			if info, ok := debug.ReadBuildInfo(); ok && version == "" {
				version = info.Main.Version
			}
			fmt.Fprintln(command.OutOrStdout(), "pathbend", version)
			return nil
		},
	}
}
