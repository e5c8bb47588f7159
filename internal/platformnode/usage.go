package platformnode

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pathbend/pathbend/internal/catalog"
	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/credential"
	"github.com/pathbend/pathbend/internal/dispatch"
	"github.com/pathbend/pathbend/internal/metering"
	"github.com/pathbend/pathbend/internal/sharedlog"
)

const (
	// minGatherInterval is the shortest time for which a node gathers counts before it writes
	// them.
	minGatherInterval = 300 * time.Millisecond
	// gatherIntervalPerNode lengthens the interval with the number of nodes, so that all nodes
	// together append at most 100 times a second: a partition accepts one append per 4 ms.
	gatherIntervalPerNode = 10 * time.Millisecond
	// maxGatherInterval bounds the interval, since reports wait for it and a killed process
	// loses the counts it gathered.
	maxGatherInterval = 3 * time.Second
)

// usage counts the requests of tenants and reports them if the platform wants reports.
type usage struct {
	node     *Node
	recorder *metering.Recorder
	reporter *metering.Reporter
}

// newUsage returns the node's usage; it counts nothing if the platform wants no reports.
func newUsage(n *Node) *usage {
	u := &usage{node: n}
	window := n.settings.UsageWindow
	if window <= 0 || n.ports.Usage == nil {
		return u
	}
	usageClock := &metering.Clock{Now: time.Now, SuspendedTime: clock.SuspendedTime}
	partition := sharedlog.Partition{Topic: n.settings.UsageTopic}
	u.recorder = metering.NewRecorder(metering.NewCounter(n.settings.Name, rand.Uint64(), window, usageClock.Read()))
	u.recorder.Log, u.recorder.Partition, u.recorder.Clock = n.log, partition, usageClock
	u.recorder.GatherInterval, u.recorder.Logger = u.gatherInterval, n.logger
	u.reporter = &metering.Reporter{
		Log: n.log, Partition: partition, Observer: n, Holder: n.claims, Sender: n.ports.Usage,
		Clock: usageClock, Logger: n.logger, WindowLength: window, ReportDueAfter: n.settings.UsageLate, GatherInterval: u.gatherInterval,
		OnReport: n.metrics.recordUsageReport,
	}
	return u
}

func (u *usage) start(ctx context.Context) {
	if u.recorder == nil {
		return
	}
	u.node.loops.Go(func() { u.recorder.Run(ctx) })
	u.node.loops.Go(func() { u.reporter.Run(ctx) })
}

// gatherInterval returns how long a node gathers counts before it writes them.
func (u *usage) gatherInterval() time.Duration {
	announced, ok := u.node.directory.Announced()
	if !ok {
		return minGatherInterval
	}
	return min(max(minGatherInterval, time.Duration(announced.NodeCount)*gatherIntervalPerNode), maxGatherInterval)
}

// count counts a request of a tenant at the time when it began.
func (u *usage) count(tenant credential.Tenant, began time.Time) {
	if u.recorder != nil && tenant.Name != "" {
		u.recorder.Count(tenant.Name, began)
	}
}

// meter counts one request once, however many attempts it takes. A request begins when a back
// end receives it, a stream when its first bytes arrive.
type meter struct {
	usage  *usage
	tenant credential.Tenant
	stream bool

	mutex   sync.Mutex
	counted bool
}

func (u *usage) meter(admitted Admitted) *meter {
	return &meter{usage: u, tenant: admitted.Tenant, stream: admitted.Route.Kind == catalog.Stream}
}

// sent counts the request at an attempt that the back end ran or may have run. Streams are
// counted by watch instead.
func (m *meter) sent(at time.Time) {
	if !m.stream {
		m.count(at)
	}
}

func (m *meter) count(at time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.counted {
		return
	}
	m.counted = true
	m.usage.count(m.tenant, at)
}

// watch counts a stream when its first bytes are read.
func (m *meter) watch(answer *dispatch.Answer) {
	if m.stream && answer != nil {
		answer.Body = &meteredBody{ReadCloser: answer.Body, meter: m}
	}
}

// meteredBody is the body of a stream whose meter counts the request at the first bytes read.
type meteredBody struct {
	io.ReadCloser
	meter *meter
}

// Read implements io.Reader.
func (b *meteredBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if n > 0 {
		b.meter.count(time.Now())
	}
	return n, err
}
