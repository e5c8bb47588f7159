package command

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/pathbend/pathbend/internal/explain"
)

func newSteps() *cobra.Command {
	split := false
	command := &cobra.Command{
		Use:   "steps FILE...",
		Short: "Show from log files what each batch job waited for",
		Long: "steps reads the log files of several nodes and prints a line for each batch job: when it\n" +
			"was submitted, and how many seconds later its first and last items started, the last\n" +
			"item with a result was complete, scored and listed in the log, and the trainer ended the\n" +
			"job; then that item, its events and its sampler. A time that no log line shows is a dash.\n" +
			"With --split it prints the critical path of each job that has ended, that is the seconds\n" +
			"in each phase of the item that determined its end, and the means by model.\n" +
			"A file named - is standard input.",
		Example: "  pathbend steps node-a.log node-b.log",
		Args: func(_ *cobra.Command, arguments []string) error {
			if len(arguments) < 1 {
				return usageError{errors.New("steps: give at least one log file, or - for standard input")}
			}
			return nil
		},
		RunE: func(command *cobra.Command, arguments []string) error {
			lines, err := readLogs(arguments, command.InOrStdin())
			if err != nil {
				return errors.Wrap(err, "steps")
			}
			if split {
				return writeCriticalPaths(command.OutOrStdout(), explain.Steps(lines))
			}
			return writeSteps(command.OutOrStdout(), explain.Steps(lines))
		},
	}
	command.Flags().BoolVar(&split, "split", false, "print the seconds that each step spent in each phase of its critical path")
	return command
}

// writeCriticalPaths writes the critical path of each step that has ended, in seconds, and
// the means by model. Steps must be sorted by model.
func writeCriticalPaths(output io.Writer, steps []explain.Step) error {
	const padding = 2
	table := tabwriter.NewWriter(output, 0, 0, padding, ' ', 0)
	fmt.Fprintf(table, "model\tstep\tasked\t%s\ttotal\titem\texpected\tevents\truns\n", strings.Join(explain.PhaseNames[:], "\t"))
	for i := range steps {
		step := &steps[i]
		if step.CriticalPath == nil {
			continue
		}
		fmt.Fprintf(table, "%s\t%d\t%s%s\t%s\t%d\t%d\t%d\n", step.Model, step.Number, step.Submitted.Format("15:04:05.000"),
			formatPhases(step.CriticalPath), step.CriticalPath.ItemID, step.CriticalPath.ExpectedTokens, step.CriticalPath.Events, step.CriticalPath.Runs)
	}
	for first := 0; first < len(steps); {
		next := first
		for next < len(steps) && steps[next].Model == steps[first].Model {
			next++
		}
		writeMeanCriticalPath(table, steps[first].Model, steps[first:next])
		first = next
	}
	writeMeanCriticalPath(table, "all", steps)
	return errors.Wrap(table.Flush(), "write")
}

func writeMeanCriticalPath(table io.Writer, name string, steps []explain.Step) {
	if mean, ended := explain.MeanCriticalPath(steps); ended > 0 {
		fmt.Fprintf(table, "%s\tmean of %d\t%s\n", name, ended, formatPhases(&mean))
	}
}

// formatPhases returns the phases of a critical path and their sum in seconds, each after
// a tab.
func formatPhases(path *explain.CriticalPath) string {
	var text strings.Builder
	for _, duration := range path.Phases() {
		text.WriteString("\t" + formatSeconds(duration))
	}
	text.WriteString("\t" + formatSeconds(path.Total()))
	return text.String()
}

func writeSteps(output io.Writer, steps []explain.Step) error {
	const padding = 2
	table := tabwriter.NewWriter(output, 0, 0, padding, ' ', 0)
	fmt.Fprintln(table, "model\tstep\tasked\tfirst start\tlast start\tlast complete\tscored\tlisted\tended\tstarts\tlisted of\tlast item\tevents\tsampler")
	for i := range steps {
		step := &steps[i]
		fmt.Fprintf(table, "%s\t%d\t%s", step.Model, step.Number, step.Submitted.Format("15:04:05.000"))
		for _, moment := range []time.Time{
			step.FirstStart, step.LastStart, step.LastCompleted, step.LastScored, step.LastResult, step.Ended,
		} {
			fmt.Fprintf(table, "\t%s", formatSeconds(step.SinceSubmission(moment)))
		}
		fmt.Fprintf(table, "\t%d\t%d/%d\t%s\t%d\t%s\n", step.RunCount, step.ResultCount, step.ItemCount, step.LastItem, step.LastItemEvents, step.LastItemSampler)
	}
	return errors.Wrap(table.Flush(), "write")
}

// formatSeconds returns a duration in seconds, or a dash if it is negative (unknown).
func formatSeconds(duration time.Duration) string {
	if duration < 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", duration.Seconds())
}
