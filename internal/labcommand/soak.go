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

// programName is the file name of the pathbend program, which is expected in the directory of
// this program.
const programName = "pathbend"

func newSoak() *cobra.Command {
	var options soak.Options
	var logPath string
	command := &cobra.Command{
		Use: "soak", Short: "Inject faults into real node processes and check what callers and samplers observe",
		Long: "Start six nodes as separate processes against emulated services on loopback, inject\n" +
			"faults in rounds (signals, links, store, samplers) and check each promise. The last\n" +
			"line is the verdict. The same seed repeats the faults, but not their exact timing.",
		Example: "  pathbend-lab soak --time 2m\n  pathbend-lab soak --time 20s --seed 7 --logs out/soak.log", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if options.Time <= 0 {
				return errors.New("--time: must be greater than 0, for example 2m")
			}
			if err := resolveProgram(&options.Program); err != nil {
				return err
			}
			if options.Seed == 0 {
				options.Seed = rand.Uint64N(1 << 32)
			}
			closeLogs, err := openLogs(&options.Logs, logPath)
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
			return printReport(command.OutOrStdout(), &report, len(report.Violations))
		},
	}
	command.Flags().DurationVar(&options.Time, "time", 2*time.Minute, "how long the traffic runs")
	command.Flags().Uint64Var(&options.Seed, "seed", 0, "seed of faults, emulated services and callers; random if 0")
	command.Flags().StringVar(&options.Program, "program", "", "path of the pathbend program; by default in the directory of this program")
	command.Flags().StringVar(&logPath, "logs", "", "file for the output of the processes; none if empty")
	return command
}

// resolveProgram sets an empty path to that of pathbend in the directory of this program, and
// checks that the file exists.
func resolveProgram(program *string) error {
	if *program == "" {
		executable, err := os.Executable()
		if err != nil {
			return errors.Wrap(err, "locate this program")
		}
		*program = filepath.Join(filepath.Dir(executable), programName)
	}
	if _, err := os.Stat(*program); err != nil {
		return errors.Wrap(err, "--program: build pathbend with `make build`, or pass its path")
	}
	return nil
}

// openLogs creates the log file and sets writer to it. An empty path leaves writer unchanged.
func openLogs(writer *io.Writer, path string) (closeFile func(), err error) {
	if path == "" {
		return func() {}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "--logs")
	}
	*writer = file
	return func() { _ = file.Close() }, nil
}
