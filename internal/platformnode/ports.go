package platformnode

import (
	"context"
	"net"
	"strconv"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/exclusive"
	"github.com/pathbend/pathbend/internal/fanout"
	"github.com/pathbend/pathbend/internal/locality"
	"github.com/pathbend/pathbend/internal/ownership"
	"github.com/pathbend/pathbend/internal/schedule"
)

// Run is one run of an item at a sampler.
type Run struct {
	Sampler schedule.Sampler
	// Host is the host of the job's route.
	Host string
	Item *pathbendv1.BatchItem
	// Tenant is the tenant that submitted the job, empty if the route requires no key.
	Tenant string
	// AfterEvent is the event after which the run continues, 0 to start from the beginning.
	AfterEvent uint64
}

// RunEnd describes the end of a run.
type RunEnd struct {
	Ending schedule.Ending
	// Detail explains an ending other than Complete.
	Detail string
}

// Generator executes runs of items at samplers.
type Generator interface {
	// Generate executes a run and passes its events to take until take returns false or the
	// stream ends. It returns once the connection to the sampler is idle or closed.
	Generate(ctx context.Context, run Run, take func(schedule.Event) bool) RunEnd
}

// SamplerReport is the status of a sampler as it reports it. It may be some 100 ms old.
type SamplerReport struct {
	// StartedAtMs is the start time of the incarnation that answered, 0 if unknown.
	StartedAtMs int64
	// Orders counts the orders that the sampler accepted.
	Orders uint64
	// Busy is set while an order is in progress.
	Busy bool
	// Work counts the runs of all nodes that the sampler executes or has queued.
	Work     int
	Versions map[string]uint64
}

// VersionOrder tells a sampler to change its weights.
type VersionOrder struct {
	Model   string
	Version uint64
	// Holder is the node that gives the order, Fence its fencing token.
	Holder string
	Fence  uint64
	// FinishRuns lets runs finish before the change; otherwise they continue with the new
	// weights.
	FinishRuns bool
	// AfterOrders is the number of orders that the sampler must have accepted before this one.
	AfterOrders uint64
}

// OrderAnswer is a sampler's answer to an order.
type OrderAnswer int

// Answers to orders.
const (
	// OrderAccepted means that the sampler accepted the order and is executing it.
	OrderAccepted OrderAnswer = iota + 1
	// OrderAlreadyServing means that the sampler already serves the version.
	OrderAlreadyServing
	// OrderConflict means that another order is in progress or was accepted before.
	OrderConflict
	// OrderRefused means that the sampler rejected the order.
	OrderRefused
	// OrderUnknown means that there was no answer: the sampler may still execute the order.
	OrderUnknown
)

// Control is the control interface of samplers.
type Control interface {
	// Report requests the status of a sampler.
	Report(ctx context.Context, sampler schedule.Sampler) (SamplerReport, error)
	// Order orders a sampler to change its weights. A non-nil error explains the answer.
	Order(ctx context.Context, sampler schedule.Sampler, order VersionOrder) (OrderAnswer, error)
}

// SamplerOrder asks the platform for a number of samplers of one kind in a zone.
type SamplerOrder struct {
	Service string
	Zone    string
	Desired int
	// Spot requests samplers that the platform may reclaim, all those of a zone at once.
	Spot bool
}

// Scaler orders samplers from the platform.
type Scaler interface {
	// OrderSamplers orders samplers under a permit of this node. It returns nil once the
	// platform accepted the order, and is idempotent.
	OrderSamplers(ctx context.Context, permit exclusive.Permit, order SamplerOrder) error
}

// Scored is the content of an answer to a reward call.
type Scored struct {
	// Stamp is the proof of the answer; it is stored as the item's score.
	Stamp string
}

// Settings are the settings of a platform node.
type Settings struct {
	// Name is the name of the machine. A restarted process keeps it, and with it the
	// partitions that the group assigned to the machine.
	Name string
	Zone string
	// Topology maps zones to regions.
	Topology locality.Topology
	// EvacuationDeadline is the time after its acknowledgement within which an evacuation must
	// be in force; 0 if zones are not evacuated.
	EvacuationDeadline time.Duration
	// ColdFactor and ColdSlack bound the requests that a cold sampler may get in any second
	// from all nodes together: ColdFactor times the rate that its service declares, plus
	// ColdSlack. Both are 0 if there is no such bound.
	ColdFactor float64
	ColdSlack  float64
	// PeerPorts are the first and last port on which nodes may listen for calls of each other,
	// 0 if there are none. IP is the address of the machine.
	PeerPorts [2]int
	IP        string
	// DrainDeadline is the time after which a leaving sampler must get nothing new, 0 if the
	// platform does not state one.
	DrainDeadline time.Duration
	// Sharing determines from how many nodes on some read the samplers' entries on behalf of
	// the others.
	Sharing fanout.Sizes
	// NodesTopic is the keyed topic in which nodes announce their machines.
	NodesTopic string
	// MaxRecordBytes bounds a record of the log, MaxCallBytes one append.
	MaxRecordBytes int
	MaxCallBytes   int
	// Partitions is the number of partitions of a topic.
	Partitions int
	// MinAssignmentTTL is the shortest time for which the group assigns a share.
	MinAssignmentTTL time.Duration
	// OrderGrace is the minimum time between orders of two different nodes to one sampler.
	OrderGrace time.Duration
	// MaxStaleness bounds the age of the state by which a node denies that a job or a result
	// exists.
	MaxStaleness time.Duration
	// JobRetention is how long jobs can be read after their submission.
	JobRetention time.Duration
	// ReadsPerSecond is the rate at which all nodes together may read the log, 0 if unknown.
	ReadsPerSecond float64
	// ReadBytesPerSecond is the size in bytes of the answers to reads that the log serves to all
	// nodes together in a second, 0 if unknown.
	ReadBytesPerSecond float64
	// Millicores is the CPU limit of the node in thousandths of a core, 0 if unknown.
	Millicores uint64
	// OrderSamplers is set if this system controls the number of samplers.
	OrderSamplers bool
	// UsageTopic is the topic to which nodes write the usage of tenants. UsageWindow is the
	// length of a reporting window, 0 if nothing is reported. UsageLate is how long after the
	// end of its window a report is due.
	UsageTopic  string
	UsageWindow time.Duration
	UsageLate   time.Duration
	// RevokeAfter is how long a node without news of the configuration continues to accept the
	// keys that it knows; 0 for no limit.
	RevokeAfter time.Duration
}

const (
	// shareTTLFactor is the time for which a share outlasts its last renewal, as a multiple of
	// Settings.MinAssignmentTTL.
	shareTTLFactor = 1.5
	// maxConcurrentLoads is the number of samplers that change weights concurrently in a small
	// fleet: more of them slow each other's loads down.
	maxConcurrentLoads = 2
	// answerMargin is reserved for the transit of an answer to the client.
	answerMargin = 200 * time.Millisecond
	// jobRetentionMargin is the time for which jobs can be read beyond Settings.JobRetention.
	jobRetentionMargin = 30 * time.Second
)

// PeerAddress returns the address at which this node accepts calls to the log on behalf of
// other nodes, empty if it has no port for them.
func (s *Settings) PeerAddress() string {
	if s.PeerPorts[0] == 0 {
		return ""
	}
	return net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPorts[0]))
}

// shareTTL returns how long a share of the partitions outlasts its last renewal.
func (s *Settings) shareTTL() time.Duration {
	return time.Duration(float64(s.MinAssignmentTTL) * shareTTLFactor)
}

// member returns the settings of the node's membership of the group.
func (s *Settings) member() ownership.Settings {
	return ownership.Settings{
		Member: s.Name, Millicores: s.Millicores, Group: jobGroup, Topic: jobTopic, Partition: jobPartition, TTL: s.shareTTL(),
	}
}

// maxStateAge returns the largest age of the state by which a node denies that a job or a
// result exists. It leaves answerMargin of MaxStaleness for the transit of the answer.
func (s *Settings) maxStateAge() time.Duration { return max(s.MaxStaleness-answerMargin, answerMargin) }
