package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/pathbend/pathbend/internal/node"
	"github.com/pathbend/pathbend/internal/result"
)

const (
	statusTimeout = 5 * time.Second
	// drainCommandTimeout bounds the wait of the drain command; the node has a
	// timeout of its own.
	drainCommandTimeout = 15 * time.Minute
)

func addAdminFlag(command *cobra.Command) *string {
	return command.Flags().String("admin", node.DefaultSettings().AdminAddress, "address for operators of the node, host:port")
}

// askNode sends a request to a node's admin address and returns the body.
func askNode(ctx context.Context, method, address, path string, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, usageError{err}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, result.Wrap(result.PeerUnreached, err, "ask node at "+address)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, result.Wrap(result.PeerUnreached, err, "ask node at "+address)
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("node at %s answered %s: %s", address, response.Status, content)
	}
	return content, nil
}

func newStatus() *cobra.Command {
	command := &cobra.Command{
		Use: "status", Short: "Show what a node sees: zones, nodes, engines, versions, jobs",
		Example: "  pathbend status --admin 127.0.0.1:8082 --output json", Args: exactArguments(0),
	}
	address := addAdminFlag(command)
	format := addOutputFlag(command, formatTable, formatJSON)
	command.RunE = func(command *cobra.Command, _ []string) error {
		if err := checkFormat(*format, formatTable, formatJSON); err != nil {
			return err
		}
		content, err := askNode(command.Context(), http.MethodGet, *address, "/status", statusTimeout)
		if err != nil {
			return err
		}
		var status node.Status
		if err := json.Unmarshal(content, &status); err != nil {
			return errors.Wrap(err, "decode status")
		}
		if *format == formatJSON {
			return writeJSON(command.OutOrStdout(), status)
		}
		return printStatus(command.OutOrStdout(), status)
	}
	return command
}

func printStatus(output io.Writer, status node.Status) error {
	fmt.Fprintf(output, "node %s in %s: ready %t, draining %t, revision %d, %d requests in progress\n\n",
		status.Node, status.Zone, status.Ready, status.Draining, status.Revision, status.ActiveRequest)
	members := [][]string{{"NODE", "ZONE", "ADDRESS", "STATUS"}}
	for _, member := range status.Members {
		members = append(members, []string{member.ID, member.Zone, member.Address, member.Status})
	}
	endpoints := [][]string{{"ENDPOINT", "POOL", "ZONE", "IN FLIGHT", "LOAD", "LEAVING", "SERVES"}}
	for _, endpoint := range status.Endpoints {
		serves := ""
		for _, model := range endpoint.Models {
			serves += fmt.Sprintf("%s@%d ", model.Model, model.Serving)
		}
		endpoints = append(endpoints, []string{
			endpoint.ID, endpoint.Pool, endpoint.Zone, strconv.Itoa(endpoint.InFlight), strconv.Itoa(endpoint.Load),
			strconv.FormatBool(endpoint.Leaving), serves,
		})
	}
	jobs := [][]string{{"TENANT", "JOB", "SLOTS", "REMAINING", "RUNNING", "READY"}}
	for _, job := range status.Jobs {
		jobs = append(jobs, []string{
			job.Tenant, job.JobID, strconv.Itoa(job.Slots), strconv.Itoa(job.Remaining), strconv.Itoa(job.Running), strconv.Itoa(job.Ready),
		})
	}
	for _, rows := range [][][]string{members, endpoints, jobs} {
		if err := writeTable(output, rows); err != nil {
			return err
		}
		fmt.Fprintln(output)
	}
	return nil
}

func newDrain() *cobra.Command {
	command := &cobra.Command{
		Use: "drain", Short: "Drain a node and wait until it is done",
		Long:    "Drain a node: it refuses new work as not run, finishes what runs, hands its jobs\nover and exits. The command returns when the node is drained.",
		Example: "  pathbend drain --admin 127.0.0.1:8082", Args: exactArguments(0),
	}
	address := addAdminFlag(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		content, err := askNode(command.Context(), http.MethodPost, *address, "/drain", drainCommandTimeout)
		if err != nil {
			return err
		}
		_, err = command.OutOrStdout().Write(content)
		return err
	}
	return command
}
