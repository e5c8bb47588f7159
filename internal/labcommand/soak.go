package labcommand

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/pathbend/pathbend/internal/soak"
)

// programName is that of the product beside this program.
const programName = "pathbend"

func newSoak() *cobra.Command {
	var options soak.Options
	var logs string
	command := &cobra.Command{
		Use: "soak", Short: "Trouble real processes of the platform face and judge what callers and samplers see",
		Long: "Starts six nodes as processes of their own before stand-ins on loopback, troubles\n" +
			"them in rounds (signals, links, store, samplers) and judges each promise. The last\n" +
			"line is the verdict. A run is repeated by its seed; the wall clock is not.",
		Example: "  pathbend-lab soak --time 2m\n  pathbend-lab soak --time 20s --seed 7 --logs out/soak.log", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if options.Time <= 0 {
				return errors.New("--time: must be greater than 0; write for example 2m")
			}
			if err := findProgram(&options.Program); err != nil {
				return err
			}
			if options.Seed == 0 {
				options.Seed = rand.Uint64N(1 << 32)
			}
			closeLogs, err := openLogs(&options.Logs, logs)
			if err != nil {
				return err
			}
			defer closeLogs()
			options.Progress = command.OutOrStdout()
			fmt.Fprintf(command.OutOrStdout(), "soak of %v, seed %d\n", options.Time, options.Seed)
			report, err := soak.Run(command.Context(), options)
			if err != nil {
				return err
			}
			return printVerdict(command.OutOrStdout(), &report, len(report.Violations))
		},
	}
	command.Flags().DurationVar(&options.Time, "time", 2*time.Minute, "how long the traffic runs")
	command.Flags().Uint64Var(&options.Seed, "seed", 0, "seed of troubles, stand-ins and callers; drawn if 0")
	command.Flags().StringVar(&options.Program, "program", "", "the pathbend program; the one beside this program if empty")
	command.Flags().StringVar(&logs, "logs", "", "file for what the processes write; none if empty")
	return command
}

// findProgram fills in the program beside this one.
func findProgram(program *string) error {
	if *program == "" {
		own, err := os.Executable()
		if err != nil {
			return errors.Wrap(err, "find this program")
		}
		*program = filepath.Join(filepath.Dir(own), programName)
	}
	if _, err := os.Stat(*program); err != nil {
		return errors.Wrap(err, "--program: build it with `make build`, or name it")
	}
	return nil
}

// openLogs opens the file for logs, if one is named.
func openLogs(writer *io.Writer, name string) (closeFile func(), err error) {
	if name == "" {
		return func() {}, nil
	}
	file, err := os.Create(name)
	if err != nil {
		return nil, errors.Wrap(err, "--logs")
	}
	*writer = file
	return func() { _ = file.Close() }, nil
}
