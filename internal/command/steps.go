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
		Short: "Tell from log files what each batch job waited for",
		Long: "steps reads the log files of several nodes and prints a line for each batch job: when it\n" +
			"was submitted, and how many seconds later its first and last items began, the item that\n" +
			"was listed last was complete, scored and listed, and the trainer ended the job; then that\n" +
			"item, its events and its sampler. A moment that no line shows is a dash.\n" +
			"With --split it tells for each job that ended where its seconds went, along the item\n" +
			"that decided it, and the mean of them by model.\n" +
			"A file named - is standard input.",
		Example: "  pathbend steps node-a.log node-b.log",
		Args: func(_ *cobra.Command, arguments []string) error {
			if len(arguments) < 1 {
				return usageError{errors.New("steps: name at least one log file, or - for standard input")}
			}
			return nil
		},
		RunE: func(command *cobra.Command, arguments []string) error {
			lines, err := readLogs(arguments, command.InOrStdin())
			if err != nil {
				return errors.Wrap(err, "steps")
			}
			if split {
				return writeSplit(command.OutOrStdout(), explain.Steps(lines))
			}
			return writeSteps(command.OutOrStdout(), explain.Steps(lines))
		},
	}
	command.Flags().BoolVar(&split, "split", false, "tell where the seconds of each step went")
	return command
}

// writeSplit writes the parts of each step that ended and their means, in seconds.
func writeSplit(output io.Writer, steps []explain.Step) error {
	const padding = 2
	table := tabwriter.NewWriter(output, 0, 0, padding, ' ', 0)
	fmt.Fprintf(table, "model\tstep\tasked\t%s\ttotal\titem\texpected\tevents\truns\n", strings.Join(explain.ChainParts[:], "\t"))
	for i := range steps {
		step := &steps[i]
		if step.Chain == nil {
			continue
		}
		fmt.Fprintf(table, "%s\t%d\t%s%s\t%s\t%d\t%d\t%d\n", step.Model, step.Number, step.Asked.Format("15:04:05.000"),
			partsOf(step.Chain), step.Chain.Item, step.Chain.Expected, step.Chain.Events, step.Chain.Runs)
	}
	for first := 0; first < len(steps); {
		next := first
		for next < len(steps) && steps[next].Model == steps[first].Model {
			next++
		}
		writeMean(table, steps[first].Model, steps[first:next])
		first = next
	}
	writeMean(table, "all", steps)
	return errors.Wrap(table.Flush(), "write")
}

func writeMean(table io.Writer, name string, steps []explain.Step) {
	if mean, ended := explain.Means(steps); ended > 0 {
		fmt.Fprintf(table, "%s\tmean of %d\t%s\n", name, ended, partsOf(&mean))
	}
}

// partsOf lists the parts of a chain and their sum, each after a tab.
func partsOf(chain *explain.Chain) string {
	var text strings.Builder
	for _, part := range chain.Parts() {
		text.WriteString("\t" + secondsAfter(part))
	}
	text.WriteString("\t" + secondsAfter(chain.Total()))
	return text.String()
}

func writeSteps(output io.Writer, steps []explain.Step) error {
	const padding = 2
	table := tabwriter.NewWriter(output, 0, 0, padding, ' ', 0)
	fmt.Fprintln(table, "model\tstep\tasked\tfirst start\tlast start\tlast complete\tscored\tlisted\tended\tstarts\tlisted of\tlast item\tevents\tsampler")
	for i := range steps {
		step := &steps[i]
		fmt.Fprintf(table, "%s\t%d\t%s", step.Model, step.Number, step.Asked.Format("15:04:05.000"))
		for _, moment := range []time.Time{
			step.FirstStart, step.LastStart, step.LastCompleted, step.LastScored, step.LastListed, step.Ended,
		} {
			fmt.Fprintf(table, "\t%s", secondsAfter(step.After(moment)))
		}
		fmt.Fprintf(table, "\t%d\t%d/%d\t%s\t%d\t%s\n", step.Starts, step.Listed, step.Items, step.Last, step.Events, step.Sampler)
	}
	return errors.Wrap(table.Flush(), "write")
}

func secondsAfter(passed time.Duration) string {
	if passed < 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", passed.Seconds())
}
