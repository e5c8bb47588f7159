package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/user"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"

	"github.com/pathbend/pathbend/internal/config"
	"github.com/pathbend/pathbend/internal/controlstate"
	"github.com/pathbend/pathbend/internal/logstore"
	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/publish"
)

// logOperationTimeout is the timeout for reading or publishing configuration on the log.
const logOperationTimeout = 30 * time.Second

func newConfig() *cobra.Command {
	command := &cobra.Command{
		Use: "config", Short: "Validate, compare and publish declarations",
		Example: "  pathbend config validate examples\n  pathbend config diff examples --log 127.0.0.1:7000",
	}
	command.AddCommand(newValidate(), newRender(), newSchema(), newDiff(), newPublish(), newHistory())
	return command
}

func newValidate() *cobra.Command {
	return &cobra.Command{
		Use: "validate PATH", Short: "Validate a file or directory of declarations",
		Example: "  pathbend config validate examples", Args: exactArguments(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			document, err := config.LoadPath(arguments[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(command.OutOrStdout(), "valid: %d tenants\n", len(document.Tenants))
			return nil
		},
	}
}

func newRender() *cobra.Command {
	command := &cobra.Command{
		Use: "render PATH", Short: "Print the resolved configuration with all defaults",
		Example: "  pathbend config render examples --output json", Args: exactArguments(1),
	}
	format := addOutputFlag(command, formatYAML, formatJSON)
	command.RunE = func(command *cobra.Command, arguments []string) error {
		if err := validateFormat(*format, formatYAML, formatJSON); err != nil {
			return err
		}
		document, err := config.LoadPath(arguments[0])
		if err != nil {
			return err
		}
		content, err := config.Encode(document)
		if err == nil && *format == formatJSON {
			content, err = yaml.YAMLToJSON(content)
		}
		if err != nil {
			return err
		}
		_, err = command.OutOrStdout().Write(content)
		return err
	}
	return command
}

func newSchema() *cobra.Command {
	return &cobra.Command{
		Use: "schema", Short: "Print the JSON Schema of declarations, for use in editors",
		Example: "  pathbend config schema > pathbend.schema.json", Args: exactArguments(0),
		RunE: func(command *cobra.Command, _ []string) error {
			schema, err := config.Schema()
			if err != nil {
				return err
			}
			fmt.Fprintln(command.OutOrStdout(), string(schema))
			return nil
		},
	}
}

// addLogFlag adds the required flag --log, the address of the platform's log.
func addLogFlag(command *cobra.Command) *string {
	address := command.Flags().String("log", "", "address of the platform's log, host:port")
	_ = command.MarkFlagRequired("log") // fails only for an unknown flag
	return address
}

// withLog calls operate with a client of the log, closed afterwards, and a context that
// ends after logOperationTimeout.
func withLog(command *cobra.Command, address string, operate func(ctx context.Context, log *logstore.Client) error) error {
	ctx, cancel := context.WithTimeout(command.Context(), logOperationTimeout)
	defer cancel()
	client := logstore.NewClient(network.TCP{}, address)
	defer client.Close()
	return operate(ctx, client)
}

func newDiff() *cobra.Command {
	command := &cobra.Command{
		Use: "diff PATH", Short: "Compare declarations with the current configuration",
		Example: "  pathbend config diff examples --log 127.0.0.1:7000", Args: exactArguments(1),
	}
	address := addLogFlag(command)
	format := addOutputFlag(command, formatTable, formatJSON)
	command.RunE = func(command *cobra.Command, arguments []string) error {
		if err := validateFormat(*format, formatTable, formatJSON); err != nil {
			return err
		}
		document, err := config.LoadPath(arguments[0])
		if err != nil {
			return err
		}
		return withLog(command, *address, func(ctx context.Context, log *logstore.Client) error {
			machine, err := publish.Load(ctx, log)
			if err != nil {
				return err
			}
			current := machine.Revision()
			return printChanges(command, *format, current.Number, config.Diff(current.Document, document))
		})
	}
	return command
}

func printChanges(command *cobra.Command, format string, revision uint64, changes []config.Change) error {
	if format == formatJSON {
		return writeJSON(command.OutOrStdout(), struct {
			Revision uint64          `json:"revision"`
			Changes  []config.Change `json:"changes"`
		}{revision, changes})
	}
	fmt.Fprintf(command.OutOrStdout(), "revision %d, %d differences\n", revision, len(changes))
	return writeTable(command.OutOrStdout(), changeRows(changes))
}

func changeRows(changes []config.Change) [][]string {
	rows := make([][]string, 0, len(changes))
	for _, change := range changes {
		rows = append(rows, []string{change.Path, valueOrDash(change.Before), "->", valueOrDash(change.After)})
	}
	return rows
}

func valueOrDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func newPublish() *cobra.Command {
	command := &cobra.Command{
		Use: "publish PATH", Short: "Publish declarations",
		Long: "Publish declarations that were made from a base revision. If another revision replaced\n" +
			"it first, nothing changes, and the command prints that revision's author and the differences.",
		Example: "  pathbend config publish examples --log 127.0.0.1:7000 --base 3 --message 'raise rate'",
		Args:    exactArguments(1),
	}
	address := addLogFlag(command)
	base := command.Flags().String("base", "", "revision that the change was made from, or 'current'")
	message := command.Flags().String("message", "", "purpose of the change")
	author := command.Flags().String("author", currentUser(), "author of the revision")
	_ = command.MarkFlagRequired("base")
	command.RunE = func(command *cobra.Command, arguments []string) error {
		document, err := config.LoadPath(arguments[0])
		if err != nil {
			return err
		}
		return withLog(command, *address, func(ctx context.Context, log *logstore.Client) error {
			request := publish.PublishRequest{Document: document, Author: *author, Message: *message}
			if request.BaseRevision, err = resolveBaseRevision(ctx, log, *base); err != nil {
				return err
			}
			revision, err := publish.Publish(ctx, log, request)
			return printPublishResult(command, revision, err)
		})
	}
	return command
}

// currentUser returns the name of the user, the default author of a revision.
func currentUser() string {
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return os.Getenv("USER")
}

// resolveBaseRevision parses the value of --base: a revision number, or "current" for the
// revision at the end of the log.
func resolveBaseRevision(ctx context.Context, log logstore.Reader, text string) (uint64, error) {
	if text == "current" {
		machine, err := publish.Load(ctx, log)
		if err != nil {
			return 0, err
		}
		return machine.Revision().Number, nil
	}
	base, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, usageError{errors.Newf("--base %q is not a revision; write a number or 'current'", text)}
	}
	return base, nil
}

// printPublishResult prints the published revision, or the differences if err is a
// conflict. It returns err, or the error of writing the differences.
func printPublishResult(command *cobra.Command, revision controlstate.Revision, err error) error {
	var conflict *publish.ConflictError
	if errors.As(err, &conflict) {
		fmt.Fprintf(command.ErrOrStderr(), "revision %d by %s (%q) was published at %s; differences:\n",
			conflict.Current.Number, conflict.Current.Author, conflict.Current.Message, conflict.Current.Published.UTC().Format(time.RFC3339))
		if writeErr := writeTable(command.ErrOrStderr(), changeRows(conflict.Changes)); writeErr != nil {
			return writeErr
		}
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(command.OutOrStdout(), "published revision %d\n", revision.Number)
	return nil
}

func newHistory() *cobra.Command {
	command := &cobra.Command{
		Use: "history", Short: "List the latest revisions",
		Example: "  pathbend config history --log 127.0.0.1:7000", Args: exactArguments(0),
	}
	address := addLogFlag(command)
	format := addOutputFlag(command, formatTable, formatJSON)
	command.RunE = func(command *cobra.Command, _ []string) error {
		if err := validateFormat(*format, formatTable, formatJSON); err != nil {
			return err
		}
		return withLog(command, *address, func(ctx context.Context, log *logstore.Client) error {
			machine, err := publish.Load(ctx, log)
			if err != nil {
				return err
			}
			return printHistory(command, *format, machine.History())
		})
	}
	return command
}

// historyEntry is a revision in the JSON output of the history command.
type historyEntry struct {
	Revision  uint64    `json:"revision"`
	Author    string    `json:"author"`
	Message   string    `json:"message"`
	Published time.Time `json:"published"`
}

func printHistory(command *cobra.Command, format string, revisions []controlstate.Revision) error {
	entries := make([]historyEntry, 0, len(revisions))
	rows := [][]string{{"REVISION", "PUBLISHED", "AUTHOR", "MESSAGE"}}
	for _, revision := range revisions {
		entries = append(entries, historyEntry{revision.Number, revision.Author, revision.Message, revision.Published.UTC()})
		rows = append(rows, []string{
			strconv.FormatUint(revision.Number, 10), revision.Published.UTC().Format(time.RFC3339), revision.Author, revision.Message,
		})
	}
	if format == formatJSON {
		return json.NewEncoder(command.OutOrStdout()).Encode(entries)
	}
	return writeTable(command.OutOrStdout(), rows)
}
