package hosted

import (
	"context"
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
	// jobTopic holds the records of batch jobs; its holders form jobGroup.
	jobTopic = "pathbend-jobs"
	jobGroup = "pathbend-executors"
	// renewalsPerTTL is how often a share is renewed within its time.
	renewalsPerTTL = 3
	// confirmPause is the pause before a new generation is confirmed.
	confirmPause = 20 * time.Millisecond
	// awaitPause is the pause between renewals of a member that waits for its share.
	awaitPause = 100 * time.Millisecond
	// renewTimeout bounds one renewal.
	renewTimeout = 600 * time.Millisecond
	// renewHedge is when a further call of the same renewal goes out beside those that
	// have no answer, up to mostRenewals: the log service answers in some 5 ms, and a
	// share lapses when the answers of a few renewals in a row are lost.
	renewHedge   = 120 * time.Millisecond
	mostRenewals = 4
	// farAway is the round trip from which on a node leaves the jobs to nearer ones, if there
	// are any: regions of one country are some 20 ms away and back, on a new connection
	// twice that; those of a continent 50 to 100 ms (chosen between them).
	farAway = 45 * time.Millisecond
	// orderMargin is kept between the last order and the end of the share.
	orderMargin = 200 * time.Millisecond
	// isolatedLimit is how long a node that cannot renew its share goes on with
	// its jobs: the log service may be down for all, and then nobody else can
	// take them over.
	isolatedLimit = 8 * time.Second
)

// capacities is what nodes announced of their machines.
type capacities interface {
	// Announced returns what an election needs: the largest capacity known, the
	// number of nodes and a way to look a node up. ok is false until the log was
	// read once.
	Announced() (announced announcements, ok bool)
}

// announcements are capacities in thousandths of a core.
type announcements struct {
	largest uint64
	nodes   int
	of      func(node string) uint64
}

// candidacy is what an election needs to know of this node's preparation.
type candidacy interface {
	// Candidate reports whether this node is among those that are prepared to execute, and
	// how many are.
	Candidate() (stands bool, candidates int)
	// Able reports whether it has all that it needs by now, Prepare makes it get and keep
	// that, Release lets it go.
	Able() bool
	Prepare()
	Release()
}

// group deals the partitions out, and tells how much longer its answers take than those of
// a service next door.
type group interface {
	sharedlog.Group
	Beyond() time.Duration
	// Away is the round trip to it.
	Away() time.Duration
}

// ownership keeps this node's share of the job partitions.
type ownership struct {
	settings   Settings
	group      group
	capacities capacities
	// candidacy tells whether this node is prepared to execute; nil where all are.
	candidacy candidacy
	// handOver saves what this node executes before it leaves the group.
	handOver func(ctx context.Context)
	logger   *event.Logger

	standing election.Standing
	// lookAt is when to look at the owners next.
	lookAt time.Time

	mutex      sync.Mutex
	generation uint64
	held       map[int]struct{}
	renewedAt  clock.Moment
	lost       bool
	left       bool
}

func newOwnership(settings Settings, group group, known capacities, handOver func(context.Context), logger *event.Logger) *ownership {
	return &ownership{
		settings: settings, group: group, capacities: known, handOver: handOver, logger: logger,
		held: make(map[int]struct{}),
	}
}

func (o *ownership) run(ctx context.Context) {
	for ctx.Err() == nil && !o.hasLeft() {
		began := time.Now()
		if !o.stands(ctx, began) {
			wait.Until(ctx, o.lookAt)
			continue
		}
		next := began.Add(o.settings.shareTTL() / renewalsPerTTL)
		if o.renew(ctx) {
			// A partition that is to move passes on only once its holder has
			// answered with the new generation.
			next = began.Add(confirmPause)
		} else if !o.holds(jobPartition, began) {
			next = began.Add(awaitPause)
		}
		wait.Until(ctx, next)
	}
}

// stands decides whether this node is to be in the group, and leaves the group
// if it is not any more.
func (o *ownership) stands(ctx context.Context, now time.Time) bool {
	announced, ok := o.capacities.Announced()
	if !ok {
		o.lookAt = now.Add(unreadPause)
		return false
	}
	view := election.View{Largest: announced.largest}
	candidates := announced.nodes
	if o.candidacy != nil {
		stands, count := o.candidacy.Candidate()
		if view.Reserve = !stands; stands {
			candidates = count
		}
		view.Unready = !o.candidacy.Able()
	}
	regular := view.Regular(o.settings.Millicores) && !view.Reserve
	stale := o.standing.Joined() && !o.renewedWithin(o.settings.shareTTL(), now)
	if !stale && (now.Before(o.lookAt) || regular && o.holds(jobPartition, now)) {
		return o.standing.Joined()
	}
	o.lookAt = now.Add(spreadLook(lookEvery(candidates, regular)))
	callCtx, cancel := context.WithTimeout(ctx, renewTimeout+o.group.Beyond())
	defer cancel()
	owners, err := o.group.Owners(callCtx, jobGroup)
	if err != nil {
		return o.standing.Joined() && !stale
	}
	before := o.standing.Joined()
	view.Owners, view.Far = o.describe(owners, announced), o.group.Away() > farAway
	o.standing.Look(view, o.settings.Millicores)
	o.prepare(view)
	if joined := o.standing.Joined(); joined != before {
		o.logger.Log(event.StandingChanged, "joins", joined, "millicores", o.settings.Millicores, "largest", view.Largest,
			"owners", len(owners))
		if !joined {
			o.withdraw(ctx)
		}
	}
	return o.standing.Joined()
}

// prepare lets the node have what it needs to execute, or not, by its standing.
func (o *ownership) prepare(view election.View) {
	switch {
	case o.candidacy == nil:
	case o.standing.Joined() || o.standing.Wanted(view, o.settings.Millicores):
		o.candidacy.Prepare()
	default:
		o.candidacy.Release()
	}
}

// renewedWithin reports whether the share was renewed of late. A node that was out of
// touch for longer than the share lasts looks who holds it now before it enters the
// group again: its entry alone would make the service deal anew.
func (o *ownership) renewedWithin(limit time.Duration, now time.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.renewedAt.AgeAt(now) < limit
}

// holds reports whether this node's share surely lasts.
func (o *ownership) holds(partition int, now time.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	_, held := o.held[partition]
	return held && o.renewedAt.AgeAt(now) < o.settings.shareTTL()
}

const (
	// unreadPause is the pause of a node that has not read the log yet.
	unreadPause = 20 * time.Millisecond
	// shortestLook is the shortest pause between looks at the owners by a node with
	// a large machine, shortestSmallLook that by a node with a small one.
	shortestLook      = 300 * time.Millisecond
	shortestSmallLook = time.Second
	// lookPerNode and smallLookPerNode lengthen these so that all nodes together
	// ask no more than some hundred times a second.
	lookPerNode      = 5 * time.Millisecond
	smallLookPerNode = 10 * time.Millisecond
)

func lookEvery(nodes int, regular bool) time.Duration {
	if regular {
		return max(shortestLook, time.Duration(nodes)*lookPerNode)
	}
	return max(shortestSmallLook, time.Duration(nodes)*smallLookPerNode)
}

// spreadLook draws a pause around a length, so that nodes that started together do
// not enter the group together.
func spreadLook(length time.Duration) time.Duration {
	const least, width = 0.7, 0.6
	return time.Duration(float64(length) * (least + width*rand.Float64()))
}

func (o *ownership) describe(owners []sharedlog.Owner, announced announcements) []election.Owner {
	var described []election.Owner
	for _, owner := range owners {
		if owner.Partition.Topic != jobTopic {
			continue
		}
		described = append(described, election.Owner{
			Millicores: announced.of(owner.Member), Self: owner.Member == o.settings.Name,
			Jobs: owner.Partition.Number == jobPartition,
		})
	}
	return described
}

// withdraw leaves the group until the node stands again.
func (o *ownership) withdraw(ctx context.Context) {
	o.mutex.Lock()
	o.held = make(map[int]struct{})
	o.generation = 0
	o.mutex.Unlock()
	o.giveBack(ctx)
}

func (o *ownership) hasLeft() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.left
}

// renew makes one join. It reports whether the generation is new, so that it is
// confirmed at once.
func (o *ownership) renew(ctx context.Context) (changed bool) {
	callCtx, cancel := context.WithTimeout(ctx, renewTimeout+o.group.Beyond())
	defer cancel()
	o.mutex.Lock()
	generation := o.generation
	o.mutex.Unlock()
	answer, err := o.join(callCtx, generation)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.left || ctx.Err() != nil {
		return false
	}
	if err != nil {
		if !o.lost {
			o.logger.Log(event.GroupContactLost, "generation", o.generation, "detail", err.Error())
		}
		o.lost = true
		return false
	}
	if o.lost {
		o.logger.Log(event.GroupContactRegained, "generation", answer.share.Generation, "after_ms", (o.renewedAt.Age() - answer.began.Age()).Milliseconds())
	}
	o.lost = false
	o.take(answer.share, answer.began)
	return answer.share.Generation != generation
}

// joined is the answer to one call of a renewal.
type joined struct {
	share sharedlog.Share
	// began is when it was sent: the share lasts from then on.
	began clock.Moment
}

// join makes one renewal, of several calls if they are not answered.
func (o *ownership) join(ctx context.Context, generation uint64) (joined, error) {
	bounds := hedge.Call{Most: mostRenewals, After: func() time.Duration { return renewHedge + o.group.Beyond() }}
	return hedge.First(ctx, bounds, func(int) (joined, error) {
		began := clock.Mark()
		share, err := o.group.Join(ctx, jobGroup, o.settings.Name, jobTopic, o.settings.shareTTL(), generation)
		return joined{share: share, began: began}, err
	})
}

// take puts an answer in force.
func (o *ownership) take(share sharedlog.Share, began clock.Moment) {
	held := make(map[int]struct{}, len(share.Partitions))
	for _, partition := range share.Partitions {
		held[partition.Number] = struct{}{}
	}
	if share.Generation != o.generation {
		o.logger.Log(event.GroupShareChanged, "generation", share.Generation, "from", o.generation, "partitions", len(held))
	}
	o.generation, o.held, o.renewedAt = share.Generation, held, began
}

// executes reports whether this node runs the jobs of a partition.
func (o *ownership) executes(partition int, now time.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	_, held := o.held[partition]
	return held && !o.left && o.renewedAt.AgeAt(now) < isolatedLimit
}

// outOfTouch reports whether this node executes although another may hold its share
// by now.
func (o *ownership) outOfTouch(now time.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	_, held := o.held[jobPartition]
	return held && o.renewedAt.AgeAt(now) > o.settings.shareTTL()+orderMargin
}

// yield gives up what this node holds, when it found out otherwise that another
// executes.
func (o *ownership) yield() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.held = make(map[int]struct{})
}

// mayOrder returns the fence for orders if this node may give them now, as far as
// its share tells. A holder that has not heard yet that its partition passed on
// finds out when it announces an order in the log.
func (o *ownership) mayOrder(partition int, now time.Time) (fence uint64, ok bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	_, held := o.held[partition]
	if !held || o.left || o.renewedAt.AgeAt(now) > o.settings.shareTTL()-orderMargin {
		return 0, false
	}
	return o.generation, true
}

// leave gives the share back.
func (o *ownership) leave(ctx context.Context) {
	o.mutex.Lock()
	o.left = true
	o.held = make(map[int]struct{})
	o.mutex.Unlock()
	o.giveBack(ctx)
}

// giveBack hands over what this node executed and tells the group. The share is
// no longer held by then, so that nothing begins anew meanwhile.
func (o *ownership) giveBack(ctx context.Context) {
	o.handOver(ctx)
	callCtx, cancel := context.WithTimeout(ctx, renewTimeout+o.group.Beyond())
	defer cancel()
	if err := o.group.Leave(callCtx, jobGroup, o.settings.Name); err != nil {
		o.logger.Log(event.GroupContactLost, "generation", o.current(), "detail", err.Error())
	}
}

// current returns the generation last heard.
func (o *ownership) current() uint64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.generation
}
