package hosted

import (
	"context"
	"net"
	"strconv"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/duty"
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
	// Tenant is who submitted the job, empty if the route asks for no key.
	Tenant string
	// AfterEvent is the event to continue after, 0 to begin.
	AfterEvent uint64
}

// RunEnd tells how a run ended.
type RunEnd struct {
	Ending schedule.Ending
	// Detail explains an ending other than Complete.
	Detail string
	// Cut is set if the connection ended before the stream did.
	Cut bool
	// Ended is set if the sampler was found to have ended under the run.
	Ended bool
}

// Generator runs items at samplers.
type Generator interface {
	// Generate runs an item and hands over its events until take reports false
	// or the stream ends. It returns once the sampler's connection is free or
	// closed.
	Generate(ctx context.Context, run Run, take func(schedule.Event) bool) RunEnd
}

// SamplerReport is what a sampler says of itself, some 100 ms ago.
type SamplerReport struct {
	// Born is the start of the incarnation that answered, 0 if it did not tell.
	Born int64
	// Orders counts the orders that it took.
	Orders uint64
	// Busy is set while an order is under way.
	Busy bool
	// Work counts the runs that it has and those that wait there, of all nodes.
	Work     int
	Versions map[string]uint64
}

// VersionOrder tells a sampler to change its weights.
type VersionOrder struct {
	Model   string
	Version uint64
	// Holder and Fence name the node that gives the order and its right to.
	Holder string
	Fence  uint64
	// FinishRuns lets runs end before the change; else they go on under the new
	// weights.
	FinishRuns bool
	// AfterOrders is the number of orders that the sampler must have taken.
	AfterOrders uint64
}

// OrderAnswer is a sampler's answer to an order.
type OrderAnswer int

// Answers to orders.
const (
	// OrderTaken means that it is in progress.
	OrderTaken OrderAnswer = iota + 1
	// OrderHolds means that the sampler serves the version already.
	OrderHolds
	// OrderConflict means that another order is in progress or came before.
	OrderConflict
	// OrderRefused means that the sampler will not take it.
	OrderRefused
	// OrderUnknown means that there was no answer: it may be carried out later.
	OrderUnknown
)

// Control asks and orders samplers.
type Control interface {
	Report(ctx context.Context, sampler schedule.Sampler) (SamplerReport, error)
	Order(ctx context.Context, sampler schedule.Sampler, order VersionOrder) (OrderAnswer, error)
}

// SamplerOrder asks the platform for a number of samplers of one kind in a zone.
type SamplerOrder struct {
	Service string
	Zone    string
	Desired int
	// Spot asks for samplers that may be taken away, all those of a zone together.
	Spot bool
}

// Scaler orders samplers.
type Scaler interface {
	// OrderSamplers returns nil once the platform took the order. Giving the same again
	// does no harm.
	OrderSamplers(ctx context.Context, right duty.Right, order SamplerOrder) error
}

// Scored is the answer to a reward call.
type Scored struct {
	// Stamp proves the answer; it is the item's score.
	Stamp string
}

// Settings are a hosted node's own settings.
type Settings struct {
	// Name is the name of the machine. A process that starts again keeps it, and
	// with it what the group dealt out to the machine.
	Name string
	Zone string
	// Topology tells the region of each zone.
	Topology locality.Topology
	// EvacuateWithin is how soon after its acknowledgement an evacuation must be in force;
	// 0 where zones are not evacuated.
	EvacuateWithin time.Duration
	// A cold sampler may get ColdOver times what its service says that it bears a second,
	// and ColdSlack requests more, in any second and from all nodes together; both are 0
	// where there is no such bound.
	ColdOver  float64
	ColdSlack float64
	// PeerPorts are the ports, from the first to the second, on which nodes may listen to
	// each other, 0 where there are none; IP is the address of the machine.
	PeerPorts [2]int
	IP        string
	// DrainWithin is how soon a sampler that leaves must get nothing new, 0 if that is not told.
	DrainWithin time.Duration
	// Sharing tells from when on nodes share what they read of the samplers.
	Sharing fanout.Sizes
	// NodesTopic is a keyed topic in which nodes tell of their machines.
	NodesTopic string
	// MaxRecordBytes bounds a record of the log, MaxCallBytes one append.
	MaxRecordBytes int
	MaxCallBytes   int
	// Partitions is the number of partitions of a topic.
	Partitions int
	// ShortestTTL is the shortest time for which the group deals out a share.
	ShortestTTL time.Duration
	// OrderGrace is how far apart orders of two nodes to one sampler must lie.
	OrderGrace time.Duration
	// Settle is how old a node's knowledge may be when it denies a job or a
	// result.
	Settle time.Duration
	// KeepJobs is how long jobs can be read after their submission.
	KeepJobs time.Duration
	// ReadsPerSecond is how often all nodes together may read the log, 0 if that is
	// not known.
	ReadsPerSecond float64
	// Millicores is the processor time a second that the node may use, 0 if that
	// is not known.
	Millicores uint64
	// OrderSamplers is set where the number of samplers is this system's to order.
	OrderSamplers bool
	// UsageTopic is where nodes tell what tenants used, UsageWindow the length of a
	// window of usage, 0 if nothing is to be reported, and UsageLate how long after its
	// end the report of a window is due.
	UsageTopic  string
	UsageWindow time.Duration
	UsageLate   time.Duration
	// RevokeAfter is how long a node that hears nothing of the configuration goes on
	// with the keys that it knows; 0 for as long as that lasts.
	RevokeAfter time.Duration
}

const (
	// shareTTLFactor is how long a share outlasts the last renewal, in units of the
	// shortest time.
	shareTTLFactor = 1.5
	// loadsTogether is the number of samplers that change weights at once in a
	// small fleet: more slow each other's loads down.
	loadsTogether = 2
	// answerMargin is kept free for an answer's way to the client.
	answerMargin = 200 * time.Millisecond
	// keepMargin is how much longer than promised jobs can be read.
	keepMargin = 30 * time.Second
)

// PeerAddress is where this node listens to others, empty where there is no port for that.
func (s *Settings) PeerAddress() string {
	if s.PeerPorts[0] == 0 {
		return ""
	}
	return net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPorts[0]))
}

// shareTTL is how long a share of the partitions outlasts the last renewal.
func (s *Settings) shareTTL() time.Duration {
	return time.Duration(float64(s.ShortestTTL) * shareTTLFactor)
}

// member is what the node is a member of the group with.
func (s *Settings) member() ownership.Settings {
	return ownership.Settings{
		Member: s.Name, Millicores: s.Millicores, Group: jobGroup, Topic: jobTopic, Partition: jobPartition, TTL: s.shareTTL(),
	}
}

// freshness is how old a node's knowledge may be when it denies something.
func (s *Settings) freshness() time.Duration { return max(s.Settle-answerMargin, answerMargin) }
