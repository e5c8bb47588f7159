package labcommand

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/pathbend/pathbend/internal/knownred"
)

// modulePath is the path under which the tests of this project run.
const modulePath = "github.com/pathbend/pathbend"

// errTestsFailed makes the command exit with a failure.
var errTestsFailed = errors.New("tests failed that are not on the list of known failures, or its lines do not hold")

func newJudgeTests() *cobra.Command {
	var list string
	command := &cobra.Command{
		Use: "judge-tests", Short: "Judge the output of go test -json by the list of known failures",
		Example: "  go test -json ./... | pathbend-lab judge-tests --known KNOWN-RED.txt", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			entries, err := knownFailures(list)
			if err != nil {
				return err
			}
			verdict, err := knownred.Judge(command.InOrStdin(), command.OutOrStdout(), modulePath, entries)
			if err != nil {
				return err
			}
			verdict.Print(command.OutOrStdout())
			if !verdict.OK() {
				return errTestsFailed
			}
			return nil
		},
	}
	command.Flags().StringVar(&list, "known", "KNOWN-RED.txt", "the list of known failures; none if there is no such file")
	return command
}

func knownFailures(path string) ([]knownred.Entry, error) {
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "open the list of known failures")
	}
	defer file.Close()
	return knownred.Parse(file)
}
