package command

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/pathbend/pathbend/internal/explain"
)

func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID FILE...",
		Short: "Trace a request, batch job or item through log files",
		Long: "explain reads the log files of several nodes and prints all lines that contain ID, in\n" +
			"time order, the state of the nodes involved in that period, the outcome and its cause.\n" +
			"A file named - is standard input.",
		Example: "  pathbend explain 9c41d07be2a35f68 node-a.log node-b.log",
		Args: func(_ *cobra.Command, arguments []string) error {
			if len(arguments) < 2 {
				return usageError{errors.New("explain: give an id and at least one log file, or - for standard input")}
			}
			return nil
		},
		RunE: func(command *cobra.Command, arguments []string) error {
			lines, err := readLogs(arguments[1:], command.InOrStdin())
			if err != nil {
				return errors.Wrap(err, "explain")
			}
			writeTrace(command.OutOrStdout(), explain.NewTrace(arguments[0], lines))
			return nil
		},
	}
}

// readLogs reads the log lines of all files; the path - stands for input. It is an error if
// there are none.
func readLogs(paths []string, input io.Reader) ([]explain.Line, error) {
	var lines []explain.Line
	for _, path := range paths {
		fileLines, err := readLog(path, input)
		if err != nil {
			return nil, err
		}
		lines = append(lines, fileLines...)
	}
	if len(lines) == 0 {
		return nil, usageError{errors.New("the files contain no log lines of a node; give log files that pathbend wrote")}
	}
	return lines, nil
}

func readLog(path string, input io.Reader) ([]explain.Line, error) {
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, usageError{err}
		}
		defer file.Close()
		input = file
	}
	lines, _, err := explain.Read(input)
	return lines, errors.Wrap(err, path)
}

func writeTrace(output io.Writer, trace explain.Trace) {
	fmt.Fprintf(output, "%s %s\n", trace.Kind, trace.ID)
	writeLogLines(output, "lines", trace.Lines)
	writeLogLines(output, "state of the nodes involved", trace.Context)
	fmt.Fprintf(output, "outcome: %s\ncause:   %s\n", trace.Outcome, trace.Cause)
}

func writeLogLines(output io.Writer, title string, lines []explain.Line) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintf(output, "\n%s\n", title)
	for _, line := range lines {
		fmt.Fprintf(output, "  %s %s %s%s\n", line.Time.Format("15:04:05.000"), line.Node, line.Name, formatFields(line.Fields))
	}
	fmt.Fprintln(output)
}

func formatFields(fields explain.Fields) string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		fmt.Fprintf(&text, " %s=%v", name, fields[name])
	}
	return text.String()
}
