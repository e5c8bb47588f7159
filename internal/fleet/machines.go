package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pathbend/pathbend/internal/coldlimit"
	"github.com/pathbend/pathbend/internal/network"
)

// Role is the role of a machine in the platform's list.
type Role string

// Roles in the platform's machine list.
const (
	RoleNode    Role = "node"
	RoleEngine  Role = "engine"
	RoleBackEnd Role = "back_end"
)

// Machine is one entry of the platform's machine list.
type Machine struct {
	ID      string `json:"id"`
	Role    Role   `json:"role"`
	Pool    string `json:"pool,omitempty"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving,omitempty"`
	// Capacity is the number of requests that the machine serves concurrently; 0 if
	// unknown.
	Capacity int `json:"capacity,omitempty"`
	// StartedAtMs is the start time of the back end's incarnation; 0 if the back end does
	// not report it.
	StartedAtMs int64 `json:"-"`
	// ColdRemaining is the remaining warm-up time that the machine reported, and Limits is
	// what this node may send to it until then. The platform's list contains neither.
	ColdRemaining time.Duration    `json:"-"`
	Limits        coldlimit.Limits `json:"-"`
}

const (
	// listTimeout bounds one read of the machine list.
	listTimeout = 2 * time.Second
	// maxListBytes is the largest part of a response that is read.
	maxListBytes = 8 << 20
)

// ListClient reads the platform's machine list (docs/PLATFORM.md). It is not safe for
// concurrent use.
type ListClient struct {
	url    string
	client *http.Client
	// etag and last are the entity tag and content of the last list received in full.
	etag string
	last []Machine
}

// NewListClient returns a client of the machine list service at a host:port address.
func NewListClient(transport network.Network, address string) *ListClient {
	return &ListClient{url: "http://" + address + "/v1/machines", client: &http.Client{Transport: network.NewTransport(transport, 1)}}
}

// Close releases idle connections.
func (c *ListClient) Close() { c.client.CloseIdleConnections() }

// List fetches the machine list. If it has not changed since the last call, List
// returns the slice of that call and sets unchanged. It must not be called
// concurrently.
func (c *ListClient) List(ctx context.Context) (machines []Machine, unchanged bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, false, err
	}
	if c.etag != "" {
		request.Header.Set("If-None-Match", c.etag)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, false, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified {
		return c.last, true, nil
	}
	content, err := network.ReadBody(response.Body, maxListBytes)
	if err != nil {
		return nil, false, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, false, fmt.Errorf("read machine list: unexpected status %d", response.StatusCode)
	}
	var answer struct {
		Machines []Machine `json:"machines"`
	}
	if err := json.Unmarshal(content, &answer); err != nil {
		return nil, false, fmt.Errorf("decode machine list: %w", err)
	}
	c.etag, c.last = response.Header.Get("ETag"), answer.Machines
	return answer.Machines, false, nil
}

// Digest returns a hash of a machine list. It covers the fields that the platform's
// list contains, except the capacity.
func Digest(machines []Machine) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, machine := range machines {
		// Writing to a hash never fails.
		_, _ = fmt.Fprintf(&digest, "%q %q %q %q %q %t\n", machine.ID, machine.Role, machine.Pool, machine.Address, machine.Zone, machine.Leaving)
	}
	return digest.Sum64()
}
