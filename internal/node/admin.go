package node

import (
	"encoding/json"
	"html/template"
	"net/http"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/pathbend/pathbend/internal/admission"
	"github.com/pathbend/pathbend/internal/controlstate"
	"github.com/pathbend/pathbend/internal/fleet"
	"github.com/pathbend/pathbend/internal/lease"
	"github.com/pathbend/pathbend/internal/rollout"
)

// adminHeaderTimeout bounds the read of a request's header by the admin server.
const adminHeaderTimeout = 5 * time.Second

// Status is the content of the status page.
type Status struct {
	Node          string  `json:"node"`
	Zone          string  `json:"zone"`
	UptimeSeconds float64 `json:"uptime_seconds"`
	Ready         bool    `json:"ready"`
	Draining      bool    `json:"draining"`
	ActiveRequest int     `json:"active_requests"`
	// Revision is the number of the configuration revision in effect; 0 if there is
	// none.
	Revision     uint64                         `json:"revision"`
	LogOffset    uint64                         `json:"log_offset"`
	RosterEpoch  uint64                         `json:"roster_epoch"`
	LogLastRead  time.Time                      `json:"log_last_read"`
	Members      []MemberStatus                 `json:"members"`
	Endpoints    []fleet.EndpointStatus         `json:"endpoints"`
	Versions     []VersionStatus                `json:"versions"`
	Jobs         []rollout.JobStatus            `json:"jobs"`
	Leases       []lease.Lease                  `json:"leases"`
	Admission    map[string]admission.Occupancy `json:"admission"`
	Keys         int                            `json:"idempotency_keys"`
	ShardsReady  int                            `json:"shards_ready"`
	ShardsMember int                            `json:"shards_member"`
}

// MemberStatus is the state of a node as known to this node.
type MemberStatus struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Status  string `json:"status"`
}

// VersionStatus is the newest announced weight version of a model.
type VersionStatus struct {
	Tenant  string `json:"tenant"`
	Model   string `json:"model"`
	Version uint64 `json:"version"`
}

// Status returns the current state of the node.
func (n *Node) Status() Status {
	_, revision := n.Current()
	_, lastRead := n.follower.Lag()
	status := Status{
		Node: n.id, Zone: n.settings.Zone, UptimeSeconds: time.Since(n.startedAt).Seconds(),
		Ready: n.Ready(), Draining: n.draining.Load(), ActiveRequest: n.gateway.ActiveRequests(),
		Revision: revision, LogLastRead: lastRead, Endpoints: n.fleet.Status(), Jobs: n.manager.Status(),
		Admission: n.gate.Occupancy(), Keys: n.replicas.keys(),
	}
	n.follower.View(func(stateMachine *controlstate.Machine) {
		status.LogOffset = stateMachine.Next()
		_, status.RosterEpoch = stateMachine.Roster()
		status.Leases = stateMachine.Leases().All()
	})
	for _, member := range n.members.all() {
		status.Members = append(status.Members, MemberStatus{
			ID: member.ID, Zone: member.Zone, Address: member.Address, Status: member.Status.String(),
		})
	}
	for _, announced := range n.members.announced() {
		status.Versions = append(status.Versions, VersionStatus{
			Tenant: announced.Tenant, Model: announced.Model, Version: announced.Version,
		})
	}
	status.ShardsReady, status.ShardsMember = n.replicas.readyShards()
	return status
}

// readyShards returns the number of shards in which this node is a ready member, and the
// number of shards in which it is a member.
func (r *replicas) readyShards() (ready, member int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.replica.ReadyShards()
}

func (n *Node) adminHandler() http.Handler {
	router := httprouter.New()
	router.GET("/healthz", func(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		_, _ = writer.Write([]byte("ok\n"))
	})
	router.GET("/readyz", n.serveReady)
	router.GET("/status", n.serveStatus)
	router.POST("/drain", n.serveDrain)
	router.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(n.metrics.registry, promhttp.HandlerOpts{}))
	return router
}

func (n *Node) serveReady(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if n.Ready() {
		_, _ = writer.Write([]byte("ready\n"))
		return
	}
	reason := "no configuration yet\n"
	if n.draining.Load() {
		reason = "draining\n"
	}
	writer.WriteHeader(http.StatusServiceUnavailable)
	_, _ = writer.Write([]byte(reason))
}

func (n *Node) serveStatus(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	status := n.Status()
	if strings.Contains(request.Header.Get("Accept"), "text/html") {
		writer.Header().Set("Content-Type", "text/html; charset=utf-8")
		_ = statusPage.Execute(writer, status)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(status)
}

// serveDrain drains the node and answers when the drain has ended.
func (n *Node) serveDrain(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	n.Drain()
	_, _ = writer.Write([]byte("drained\n"))
}

// Drained returns a channel that is closed when a drain has ended.
func (n *Node) Drained() <-chan struct{} { return n.drained }

var statusPage = template.Must(template.New("status").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Node}}</title>
<style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse;margin:1em 0}
td,th{border:1px solid #ccc;padding:2px 8px;text-align:left}</style>
<h1>{{.Node}}</h1>
<p>Zone {{.Zone}}, {{if .Ready}}ready{{else}}not ready{{end}}{{if .Draining}}, draining{{end}},
revision {{.Revision}}, log offset {{.LogOffset}}, {{.ActiveRequest}} requests in progress,
{{.ShardsReady}} of {{.ShardsMember}} shards ready, {{.Keys}} idempotency keys.</p>
<h2>Nodes</h2><table><tr><th>Node<th>Zone<th>Address<th>Status</tr>
{{range .Members}}<tr><td>{{.ID}}<td>{{.Zone}}<td>{{.Address}}<td>{{.Status}}</tr>{{end}}</table>
<h2>Engines and back ends</h2>
<table><tr><th>Id<th>Pool<th>Zone<th>In flight<th>Load<th>State<th>Versions</tr>
{{range .Endpoints}}<tr><td>{{.ID}}<td>{{.Pool}}<td>{{.Zone}}<td>{{.InFlight}}<td>{{.Load}}
<td>{{if .Leaving}}leaving {{end}}{{if .Ejected}}avoided{{end}}
<td>{{range .Models}}{{.Model}} {{.Serving}}{{if .Broken}} (half switched){{end}} {{end}}</tr>{{end}}</table>
<h2>Announced versions</h2><table><tr><th>Tenant<th>Model<th>Version</tr>
{{range .Versions}}<tr><td>{{.Tenant}}<td>{{.Model}}<td>{{.Version}}</tr>{{end}}</table>
<h2>Jobs owned here</h2><table><tr><th>Tenant<th>Job<th>Slots<th>Remaining<th>Running<th>Ready</tr>
{{range .Jobs}}<tr><td>{{.Tenant}}<td>{{.JobID}}<td>{{.Slots}}<td>{{.Remaining}}<td>{{.Running}}<td>{{.Ready}}</tr>{{end}}</table>
<h2>Leases</h2><table><tr><th>Name<th>Holder<th>Token</tr>
{{range .Leases}}<tr><td>{{.Name}}<td>{{.Holder}}<td>{{.Token}}</tr>{{end}}</table></html>
`))
