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

	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/node"
	"github.com/pathbend/pathbend/internal/result"
)

const (
	statusTimeout = 5 * time.Second
	// drainCommandTimeout is the maximum time that the drain command waits. The node
	// itself drains for at most its setting drain_timeout.
	drainCommandTimeout = 15 * time.Minute
	// maxAdminBytes limits the answer of a node, which lists every member and engine.
	maxAdminBytes = 64 << 20
)

// addAdminFlag adds the flag --admin, the admin address of a node.
func addAdminFlag(command *cobra.Command) *string {
	return command.Flags().String("admin", node.DefaultSettings().AdminAddress, "admin address of the node, host:port")
}

// callAdmin sends a request to the admin address of a node and returns the response body.
// A status other than 200 is an error.
func callAdmin(ctx context.Context, method, address, path string, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, usageError{err}
	}
	transport := network.NewTransport(network.TCP{}, 0)
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, result.Wrap(result.PeerUnreached, err, "call node at "+address)
	}
	defer response.Body.Close()
	content, err := network.ReadBody(response.Body, maxAdminBytes)
	if err != nil {
		return nil, result.Wrap(result.PeerUnreached, err, "call node at "+address)
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("node at %s answered %s: %s", address, response.Status, content)
	}
	return content, nil
}

func newStatus() *cobra.Command {
	command := &cobra.Command{
		Use: "status", Short: "Show zones, nodes, engines, versions and jobs as known to a node",
		Example: "  pathbend status --admin 127.0.0.1:8082 --output json", Args: exactArguments(0),
	}
	address := addAdminFlag(command)
	format := addOutputFlag(command, formatTable, formatJSON)
	command.RunE = func(command *cobra.Command, _ []string) error {
		if err := validateFormat(*format, formatTable, formatJSON); err != nil {
			return err
		}
		content, err := callAdmin(command.Context(), http.MethodGet, *address, "/status", statusTimeout)
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
		serving := ""
		for _, model := range endpoint.Models {
			serving += fmt.Sprintf("%s@%d ", model.Model, model.Serving)
		}
		endpoints = append(endpoints, []string{
			endpoint.ID, endpoint.Pool, endpoint.Zone, strconv.Itoa(endpoint.InFlight), strconv.Itoa(endpoint.Load),
			strconv.FormatBool(endpoint.Leaving), serving,
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
		Use: "drain", Short: "Drain a node and wait for completion",
		Long:    "Drain a node: it refuses new work as not run, finishes the work in progress, hands its\njobs over and exits. The command returns when the node is drained.",
		Example: "  pathbend drain --admin 127.0.0.1:8082", Args: exactArguments(0),
	}
	address := addAdminFlag(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		content, err := callAdmin(command.Context(), http.MethodPost, *address, "/drain", drainCommandTimeout)
		if err != nil {
			return err
		}
		_, err = command.OutOrStdout().Write(content)
		return err
	}
	return command
}
