package labcommand

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/pathbend/pathbend/internal/knownfailures"
)

// modulePath is the module path, which prefixes the packages in test events.
const modulePath = "github.com/pathbend/pathbend"

// errTestsFailed makes the command exit with code 1.
var errTestsFailed = errors.New("tests failed that are not listed as known failures, or listed tests passed or did not run")

func newJudgeTests() *cobra.Command {
	var listPath string
	command := &cobra.Command{
		Use: "judge-tests", Short: "Evaluate the output of go test -json against the list of known failures",
		Example: "  go test -json ./... | pathbend-lab judge-tests --known KNOWN-RED.txt", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			entries, err := readKnownFailures(listPath)
			if err != nil {
				return err
			}
			verdict, err := knownfailures.Evaluate(command.InOrStdin(), command.OutOrStdout(), modulePath, entries)
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
	command.Flags().StringVar(&listPath, "known", "KNOWN-RED.txt", "list of known failures; a missing file is an empty list")
	return command
}

// readKnownFailures reads the list at path. A missing file is an empty list.
func readKnownFailures(path string) ([]knownfailures.Entry, error) {
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "open the list of known failures")
	}
	defer file.Close()
	return knownfailures.Parse(file)
}
