package ownership

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/election"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/hedge"
	"github.com/pathbend/pathbend/internal/sharedlog"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// renewalsPerTTL is the number of renewals within the TTL of an assignment.
	renewalsPerTTL = 3
	// confirmDelay is the delay before a new generation is confirmed.
	confirmDelay = 20 * time.Millisecond
	// assignmentPollInterval is the interval between renewals by a member that waits for its
	// partition.
	assignmentPollInterval = 100 * time.Millisecond
	// renewTimeout is the timeout of one renewal, including all of its calls, and of any
	// other call to the group. It is extended by Group.ExtraLatency.
	renewTimeout = 600 * time.Millisecond
	// renewHedgeDelay is the time without a response after which another call is sent for the
	// same renewal, up to maxConcurrentRenewals calls. The log service responds in about 5 ms,
	// and an assignment expires if the responses of a few consecutive renewals are lost.
	renewHedgeDelay       = 120 * time.Millisecond
	maxConcurrentRenewals = 4
	// farRoundTrip is the round-trip time to the log service above which a node lets nearer
	// nodes, if any, join first. Round trips between regions of one country take about 20 ms,
	// and twice that on a new connection; those across a continent take 50 to 100 ms.
	farRoundTrip = 45 * time.Millisecond
	// OrderMargin is the safety margin between the last order and the expiry of the
	// assignment.
	OrderMargin = 200 * time.Millisecond
	// isolationTimeout is how long a node that cannot renew its assignment continues to
	// execute its jobs. The log service may be unavailable to all nodes, in which case no
	// other node can take the jobs over.
	isolationTimeout = 8 * time.Second
)

// Settings configure a node's membership in the group.
type Settings struct {
	// Member is the node's name.
	Member string
	// Millicores is the processor time that the node may use, in thousandths of a core. Zero
	// means unknown.
	Millicores uint64
	// Group is the consumer group that assigns the partitions of Topic. The member that holds
	// Partition executes the jobs.
	Group     string
	Topic     string
	Partition int
	// TTL is how long an assignment remains valid after its last renewal.
	TTL time.Duration
}

// Capacities provides the capacities that nodes announced.
type Capacities interface {
	// Announced returns the announced capacities. ok is false until the log was read once.
	Announced() (announced NodeCapacities, ok bool)
}

// NodeCapacities are the capacities of nodes in thousandths of a core, as an election needs
// them.
type NodeCapacities struct {
	// Largest is the largest known capacity.
	Largest uint64
	// NodeCount is the number of nodes.
	NodeCount int
	// CapacityOf returns the capacity of a node, 0 if it is unknown.
	CapacityOf func(node string) uint64
}

// Preparation tells an election whether this node is prepared to execute jobs.
type Preparation interface {
	// IsCandidate reports whether this node is one of the nodes that prepare to execute jobs,
	// and the number of such nodes.
	IsCandidate() (isCandidate bool, candidates int)
	// Ready reports whether the node holds all data that it needs to execute.
	Ready() bool
	// Prepare makes the node load that data and keep it up to date.
	Prepare()
	// Release allows the node to drop that data.
	Release()
}

// Group assigns the partitions to its members.
type Group interface {
	sharedlog.Group
	// ExtraLatency returns how much longer the group's responses take than those of a service
	// in the same data center.
	ExtraLatency() time.Duration
	// RoundTripTime returns the round-trip time to the group.
	RoundTripTime() time.Duration
}

// Callbacks notify the node of changes to its assignment.
type Callbacks struct {
	// BeforeRelease saves the state of running work before the node leaves the group.
	BeforeRelease func(ctx context.Context)
	// OnChange is called when the set of held partitions changes. It is called with the
	// Holder's mutex held and must not call the Holder's methods.
	OnChange func()
}

// Holder maintains this node's assignment of the job partitions. It is safe for concurrent
// use; Run must be called only once.
type Holder struct {
	settings   Settings
	group      Group
	capacities Capacities
	// preparation tells whether this node is prepared to execute. It is nil if all nodes are.
	preparation Preparation
	callbacks   Callbacks
	logger      *event.Logger

	candidate election.Candidate
	// nextObserveAt is the time of the next observation of the owners.
	nextObserveAt time.Time

	mutex      sync.Mutex
	generation uint64
	// held is the set of assigned partitions.
	held      map[int]struct{}
	renewedAt clock.Moment
	// contactLost is set while renewals fail.
	contactLost bool
	// left is set by Leave. The node does not join again.
	left bool
}

// New returns a holder without partitions. preparation is nil if all nodes are prepared to
// execute.
func New(settings Settings, group Group, capacities Capacities, preparation Preparation, callbacks Callbacks, logger *event.Logger) *Holder {
	return &Holder{
		settings: settings, group: group, capacities: capacities, preparation: preparation, callbacks: callbacks, logger: logger,
		held: make(map[int]struct{}),
	}
}

// Run participates in the group until ctx ends or the node leaves it.
func (h *Holder) Run(ctx context.Context) {
	for ctx.Err() == nil && !h.hasLeft() {
		began := time.Now()
		if !h.reconcileMembership(ctx, began) {
			wait.Until(ctx, h.nextObserveAt)
			continue
		}
		next := began.Add(h.settings.TTL / renewalsPerTTL)
		if h.renew(ctx) {
			// The group reassigns a partition only after its holder has confirmed the
			// new generation.
			next = began.Add(confirmDelay)
		} else if !h.hasValidAssignment(h.settings.Partition, began) {
			next = began.Add(assignmentPollInterval)
		}
		wait.Until(ctx, next)
	}
}

// reconcileMembership reports whether this node is to be a member of the group, and leaves
// the group if it no longer is.
func (h *Holder) reconcileMembership(ctx context.Context, now time.Time) bool {
	announced, ok := h.capacities.Announced()
	if !ok {
		h.nextObserveAt = now.Add(capacityPollInterval)
		return false
	}
	view := election.View{Largest: announced.Largest}
	candidates := announced.NodeCount
	if h.preparation != nil {
		isCandidate, count := h.preparation.IsCandidate()
		if view.Standby = !isCandidate; isCandidate {
			candidates = count
		}
		view.NotReady = !h.preparation.Ready()
	}
	large := view.IsLarge(h.settings.Millicores) && !view.Standby
	stale := h.candidate.Joined() && !h.renewedWithin(h.settings.TTL, now)
	if !stale && (now.Before(h.nextObserveAt) || large && h.hasValidAssignment(h.settings.Partition, now)) {
		return h.candidate.Joined()
	}
	h.nextObserveAt = now.Add(withJitter(observeInterval(candidates, large)))
	callCtx, cancel := context.WithTimeout(ctx, renewTimeout+h.group.ExtraLatency())
	defer cancel()
	owners, err := h.group.Owners(callCtx, h.settings.Group)
	if err != nil {
		return h.candidate.Joined() && !stale
	}
	before := h.candidate.Joined()
	view.Owners, view.FarFromLog = h.electionOwners(owners, announced), h.group.RoundTripTime() > farRoundTrip
	h.candidate.Observe(view, h.settings.Millicores)
	h.prepare(view)
	if joined := h.candidate.Joined(); joined != before {
		h.logger.Log(event.StandingChanged, "joins", joined, "millicores", h.settings.Millicores, "largest", view.Largest,
			"owners", len(owners))
		if !joined {
			h.withdraw(ctx)
		}
	}
	return h.candidate.Joined()
}

// prepare makes the node load the data that it needs to execute if it is or should become a
// member of the group, and allows it to drop that data otherwise.
func (h *Holder) prepare(view election.View) {
	switch {
	case h.preparation == nil:
	case h.candidate.Joined() || h.candidate.ShouldJoin(view, h.settings.Millicores):
		h.preparation.Prepare()
	default:
		h.preparation.Release()
	}
}

// renewedWithin reports whether the assignment was renewed within a period. A node whose
// assignment has expired observes the current owners before it joins the group again,
// because joining alone makes the service rebalance the group.
func (h *Holder) renewedWithin(limit time.Duration, now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.renewedAt.AgeAt(now) < limit
}

// hasValidAssignment reports whether this node holds a partition and its assignment has not
// expired.
func (h *Holder) hasValidAssignment(partition int, now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	_, held := h.held[partition]
	return held && h.renewedAt.AgeAt(now) < h.settings.TTL
}

const (
	// capacityPollInterval is the interval at which a node that has not read the announced
	// capacities yet checks for them.
	capacityPollInterval = 20 * time.Millisecond
	// MinObserveInterval is the minimum interval between observations of the owners by a large
	// node, and minSmallNodeObserveInterval that by a small one.
	MinObserveInterval          = 300 * time.Millisecond
	minSmallNodeObserveInterval = time.Second
	// observeIntervalPerNode and smallNodeObserveIntervalPerNode lengthen the interval in
	// proportion to the number of nodes, so that all nodes together send no more than a few
	// hundred requests a second.
	observeIntervalPerNode          = 5 * time.Millisecond
	smallNodeObserveIntervalPerNode = 10 * time.Millisecond
)

// observeInterval returns the average interval between observations of the owners by one
// of a number of nodes.
func observeInterval(nodes int, large bool) time.Duration {
	if large {
		return max(MinObserveInterval, time.Duration(nodes)*observeIntervalPerNode)
	}
	return max(minSmallNodeObserveInterval, time.Duration(nodes)*smallNodeObserveIntervalPerNode)
}

// withJitter returns an interval with random jitter of up to 30 %, so that nodes that
// started together do not join the group together.
func withJitter(interval time.Duration) time.Duration {
	const minFactor, factorRange = 0.7, 0.6
	return time.Duration(float64(interval) * (minFactor + factorRange*rand.Float64()))
}

// electionOwners converts the owners of the topic's partitions to those of an election.
func (h *Holder) electionOwners(owners []sharedlog.Owner, announced NodeCapacities) []election.Owner {
	var converted []election.Owner
	for _, owner := range owners {
		if owner.Partition.Topic != h.settings.Topic {
			continue
		}
		converted = append(converted, election.Owner{
			Millicores: announced.CapacityOf(owner.Member), Self: owner.Member == h.settings.Member,
			OwnsJobs: owner.Partition.Number == h.settings.Partition,
		})
	}
	return converted
}

// withdraw leaves the group until the election makes the node a member again.
func (h *Holder) withdraw(ctx context.Context) {
	h.mutex.Lock()
	h.held = make(map[int]struct{})
	h.generation = 0
	h.mutex.Unlock()
	h.releaseAssignment(ctx)
}

func (h *Holder) hasLeft() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.left
}

// renew renews the assignment once. It reports whether the generation changed and needs to
// be confirmed.
func (h *Holder) renew(ctx context.Context) (changed bool) {
	callCtx, cancel := context.WithTimeout(ctx, renewTimeout+h.group.ExtraLatency())
	defer cancel()
	h.mutex.Lock()
	generation := h.generation
	h.mutex.Unlock()
	response, err := h.join(callCtx, generation)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.left || ctx.Err() != nil {
		return false
	}
	if err != nil {
		if !h.contactLost {
			h.logger.Log(event.GroupContactLost, "generation", h.generation, "detail", err.Error())
		}
		h.contactLost = true
		return false
	}
	if h.contactLost {
		h.logger.Log(event.GroupContactRegained, "generation", response.assignment.Generation, "after_ms", (h.renewedAt.Age() - response.sentAt.Age()).Milliseconds())
	}
	h.contactLost = false
	h.applyAssignment(response.assignment, response.sentAt)
	return response.assignment.Generation != generation
}

// joinResponse is the response to one call of a renewal.
type joinResponse struct {
	assignment sharedlog.Assignment
	// sentAt is when the call was sent. The TTL of the assignment starts at that time.
	sentAt clock.Moment
}

// join makes the calls of one renewal, and hedges calls without a response.
func (h *Holder) join(ctx context.Context, generation uint64) (joinResponse, error) {
	hedging := hedge.Policy{MaxCalls: maxConcurrentRenewals, Delay: func() time.Duration { return renewHedgeDelay + h.group.ExtraLatency() }}
	return hedge.First(ctx, hedging, func(int) (joinResponse, error) {
		sentAt := clock.CurrentMoment()
		assignment, err := h.group.Join(ctx, h.settings.Group, h.settings.Member, h.settings.Topic, h.settings.TTL, generation)
		return joinResponse{assignment: assignment, sentAt: sentAt}, err
	})
}

// ApplyAssignment applies an assignment whose request was sent at a given time.
func (h *Holder) ApplyAssignment(assignment sharedlog.Assignment, sentAt clock.Moment) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.applyAssignment(assignment, sentAt)
}

// applyAssignment is ApplyAssignment for callers that hold h.mutex.
func (h *Holder) applyAssignment(assignment sharedlog.Assignment, sentAt clock.Moment) {
	held := make(map[int]struct{}, len(assignment.Partitions))
	for _, partition := range assignment.Partitions {
		held[partition.Number] = struct{}{}
	}
	if assignment.Generation != h.generation {
		h.logger.Log(event.GroupShareChanged, "generation", assignment.Generation, "from", h.generation, "partitions", len(held))
	}
	changed := !maps.Equal(held, h.held)
	h.generation, h.held, h.renewedAt = assignment.Generation, held, sentAt
	if changed {
		h.callbacks.OnChange()
	}
}

// ShouldExecute reports whether this node is to execute the jobs of a partition. It remains
// true for isolationTimeout after the last renewal.
func (h *Holder) ShouldExecute(partition int, now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	_, held := h.held[partition]
	return held && !h.left && h.renewedAt.AgeAt(now) < isolationTimeout
}

// AssignmentExpired reports whether this node still holds its partition although the
// assignment expired, so that another node may hold it already.
func (h *Holder) AssignmentExpired(now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	_, held := h.held[h.settings.Partition]
	return held && h.renewedAt.AgeAt(now) > h.settings.TTL+OrderMargin
}

// Relinquish drops the assignment without contacting the group. It is called when the node
// has learned from another source that another node executes the jobs.
func (h *Holder) Relinquish() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.held = make(map[int]struct{})
}

// OrderFencingToken returns the fencing token for orders, and whether the assignment permits
// this node to send orders at a given time. A holder that does not know yet that its
// partition was reassigned finds out when it announces an order in the log.
func (h *Holder) OrderFencingToken(partition int, now time.Time) (fencingToken uint64, ok bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	_, held := h.held[partition]
	if !held || h.left || h.renewedAt.AgeAt(now) > h.settings.TTL-OrderMargin {
		return 0, false
	}
	return h.generation, true
}

// Leave releases the assignment and leaves the group for good.
func (h *Holder) Leave(ctx context.Context) {
	h.mutex.Lock()
	h.left = true
	h.held = make(map[int]struct{})
	h.mutex.Unlock()
	h.releaseAssignment(ctx)
}

// releaseAssignment saves the state of running work and leaves the group. Callers clear the held
// partitions first, so that no new work starts meanwhile.
func (h *Holder) releaseAssignment(ctx context.Context) {
	h.callbacks.BeforeRelease(ctx)
	callCtx, cancel := context.WithTimeout(ctx, renewTimeout+h.group.ExtraLatency())
	defer cancel()
	if err := h.group.Leave(callCtx, h.settings.Group, h.settings.Member); err != nil {
		h.logger.Log(event.GroupContactLost, "generation", h.Generation(), "detail", err.Error())
	}
}

// Generation returns the generation of the last assignment.
func (h *Holder) Generation() uint64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.generation
}
