// Package command is the command line of pathbend.
//
// Every command returns an error that Run translates to an exit code, documented
// in docs/OPERATIONS.md.
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
	ExitOK          = 0
	ExitFailure     = 1
	ExitUsage       = 2
	ExitInvalid     = 3
	ExitConflict    = 4
	ExitUnreachable = 5
)

// Version is set at build time by -ldflags; a plain build reports the module's.
var Version = ""

// usageError marks an error in the command line itself.
type usageError struct{ error }

// settingsError is an error in a process's settings, as added commands report it.
type settingsError interface{ InSettings() bool }

// Run executes the command line, with more commands beside its own, and returns
// the exit code.
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
		Long:          "pathbend serves application requests, generations and rollout jobs of tenants\nthat are declared in version control.",
		Example:       "  pathbend serve --settings node.yaml\n  pathbend config publish examples --log 127.0.0.1:7000 --base 0",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(newServe(), newConfig(), newStatus(), newDrain(), newExplain(), newSteps(), newVersion())
	return root
}

// exactArguments checks the number of arguments as a usage error.
func exactArguments(count int) cobra.PositionalArgs {
	return func(command *cobra.Command, arguments []string) error {
		if err := cobra.ExactArgs(count)(command, arguments); err != nil {
			return usageError{err}
		}
		return nil
	}
}

// Formats of --output.
const (
	formatTable = "table"
	formatJSON  = "json"
	formatYAML  = "yaml"
)

// addOutputFlag adds --output with the formats that a command knows.
func addOutputFlag(command *cobra.Command, formats ...string) *string {
	return command.Flags().StringP("output", "o", formats[0], "output format: "+joinOr(formats))
}

func joinOr(words []string) string {
	text := words[0]
	for _, word := range words[1:] {
		text += " or " + word
	}
	return text
}

func checkFormat(format string, known ...string) error {
	for _, candidate := range known {
		if format == candidate {
			return nil
		}
	}
	return usageError{errors.Newf("--output %q is unknown; use %s", format, joinOr(known))}
}

func writeJSON(output io.Writer, value any) error {
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// writeTable writes aligned columns.
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
