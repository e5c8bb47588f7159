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
	// OrderMargin is kept between the last order and the end of the share.
	OrderMargin = 200 * time.Millisecond
	// IsolatedLimit is how long a node that cannot renew its share goes on with
	// its jobs: the log service may be down for all, and then nobody else can
	// take them over.
	IsolatedLimit = 8 * time.Second
)

// Settings are what a holder is a member with.
type Settings struct {
	// Member is the node's name, Millicores the processor time a second that it may use, 0 if
	// that is not known.
	Member     string
	Millicores uint64
	// Group deals out the partitions of Topic. Who holds Partition executes.
	Group     string
	Topic     string
	Partition int
	// TTL is how long a share outlasts its last renewal.
	TTL time.Duration
}

// Capacities is what nodes announced of their machines.
type Capacities interface {
	// Announced returns what an election needs: the largest capacity known, the
	// number of nodes and a way to look a node up. ok is false until the log was
	// read once.
	Announced() (announced Announcements, ok bool)
}

// Announcements are capacities in thousandths of a core.
type Announcements struct {
	// Largest is the largest known, Nodes the number of nodes, Of looks a node up.
	Largest uint64
	Nodes   int
	Of      func(node string) uint64
}

// Candidacy is what an election needs to know of this node's preparation.
type Candidacy interface {
	// Candidate reports whether this node is among those that are prepared to execute, and
	// how many are.
	Candidate() (stands bool, candidates int)
	// Able reports whether it has all that it needs by now, Prepare makes it get and keep
	// that, Release lets it go.
	Able() bool
	Prepare()
	Release()
}

// Group deals the partitions out, and tells how much longer its answers take than those of
// a service next door.
type Group interface {
	sharedlog.Group
	Beyond() time.Duration
	// Away is the round trip to it.
	Away() time.Duration
}

// Callbacks are what a holder tells the node.
type Callbacks struct {
	// HandOver saves what this node executes before it leaves the group.
	HandOver func(ctx context.Context)
	// Changed is called when other partitions are held than before.
	Changed func()
}

// Holder keeps this node's share of the job partitions.
type Holder struct {
	settings   Settings
	group      Group
	capacities Capacities
	// candidacy tells whether this node is prepared to execute; nil where all are.
	candidacy Candidacy
	callbacks Callbacks
	logger    *event.Logger

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

// New returns a holder that holds nothing. candidacy is nil where all nodes are prepared alike.
func New(settings Settings, group Group, known Capacities, candidacy Candidacy, callbacks Callbacks, logger *event.Logger) *Holder {
	return &Holder{
		settings: settings, group: group, capacities: known, candidacy: candidacy, callbacks: callbacks, logger: logger,
		held: make(map[int]struct{}),
	}
}

// Run takes part in the group until ctx ends or the node leaves it.
func (o *Holder) Run(ctx context.Context) {
	for ctx.Err() == nil && !o.hasLeft() {
		began := time.Now()
		if !o.stands(ctx, began) {
			wait.Until(ctx, o.lookAt)
			continue
		}
		next := began.Add(o.settings.TTL / renewalsPerTTL)
		if o.renew(ctx) {
			// A partition that is to move passes on only once its holder has
			// answered with the new generation.
			next = began.Add(confirmPause)
		} else if !o.holds(o.settings.Partition, began) {
			next = began.Add(awaitPause)
		}
		wait.Until(ctx, next)
	}
}

// stands decides whether this node is to be in the group, and leaves the group
// if it is not any more.
func (o *Holder) stands(ctx context.Context, now time.Time) bool {
	announced, ok := o.capacities.Announced()
	if !ok {
		o.lookAt = now.Add(unreadPause)
		return false
	}
	view := election.View{Largest: announced.Largest}
	candidates := announced.Nodes
	if o.candidacy != nil {
		stands, count := o.candidacy.Candidate()
		if view.Reserve = !stands; stands {
			candidates = count
		}
		view.Unready = !o.candidacy.Able()
	}
	regular := view.Regular(o.settings.Millicores) && !view.Reserve
	stale := o.standing.Joined() && !o.renewedWithin(o.settings.TTL, now)
	if !stale && (now.Before(o.lookAt) || regular && o.holds(o.settings.Partition, now)) {
		return o.standing.Joined()
	}
	o.lookAt = now.Add(spreadLook(lookEvery(candidates, regular)))
	callCtx, cancel := context.WithTimeout(ctx, renewTimeout+o.group.Beyond())
	defer cancel()
	owners, err := o.group.Owners(callCtx, o.settings.Group)
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
func (o *Holder) prepare(view election.View) {
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
func (o *Holder) renewedWithin(limit time.Duration, now time.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.renewedAt.AgeAt(now) < limit
}

// holds reports whether this node's share surely lasts.
func (o *Holder) holds(partition int, now time.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	_, held := o.held[partition]
	return held && o.renewedAt.AgeAt(now) < o.settings.TTL
}

const (
	// unreadPause is the pause of a node that has not read the log yet.
	unreadPause = 20 * time.Millisecond
	// ShortestLook is the shortest pause between looks at the owners by a node with
	// a large machine, shortestSmallLook that by a node with a small one.
	ShortestLook      = 300 * time.Millisecond
	shortestSmallLook = time.Second
	// lookPerNode and smallLookPerNode lengthen these so that all nodes together
	// ask no more than some hundred times a second.
	lookPerNode      = 5 * time.Millisecond
	smallLookPerNode = 10 * time.Millisecond
)

func lookEvery(nodes int, regular bool) time.Duration {
	if regular {
		return max(ShortestLook, time.Duration(nodes)*lookPerNode)
	}
	return max(shortestSmallLook, time.Duration(nodes)*smallLookPerNode)
}

// spreadLook draws a pause around a length, so that nodes that started together do
// not enter the group together.
func spreadLook(length time.Duration) time.Duration {
	const least, width = 0.7, 0.6
	return time.Duration(float64(length) * (least + width*rand.Float64()))
}

func (o *Holder) describe(owners []sharedlog.Owner, announced Announcements) []election.Owner {
	var described []election.Owner
	for _, owner := range owners {
		if owner.Partition.Topic != o.settings.Topic {
			continue
		}
		described = append(described, election.Owner{
			Millicores: announced.Of(owner.Member), Self: owner.Member == o.settings.Member,
			Jobs: owner.Partition.Number == o.settings.Partition,
		})
	}
	return described
}

// withdraw leaves the group until the node stands again.
func (o *Holder) withdraw(ctx context.Context) {
	o.mutex.Lock()
	o.held = make(map[int]struct{})
	o.generation = 0
	o.mutex.Unlock()
	o.giveBack(ctx)
}

func (o *Holder) hasLeft() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.left
}

// renew makes one join. It reports whether the generation is new, so that it is
// confirmed at once.
func (o *Holder) renew(ctx context.Context) (changed bool) {
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
	o.Take(answer.share, answer.began)
	return answer.share.Generation != generation
}

// joined is the answer to one call of a renewal.
type joined struct {
	share sharedlog.Share
	// began is when it was sent: the share lasts from then on.
	began clock.Moment
}

// join makes one renewal, of several calls if they are not answered.
func (o *Holder) join(ctx context.Context, generation uint64) (joined, error) {
	bounds := hedge.Call{Most: mostRenewals, After: func() time.Duration { return renewHedge + o.group.Beyond() }}
	return hedge.First(ctx, bounds, func(int) (joined, error) {
		began := clock.Mark()
		share, err := o.group.Join(ctx, o.settings.Group, o.settings.Member, o.settings.Topic, o.settings.TTL, generation)
		return joined{share: share, began: began}, err
	})
}

// Take puts an answer in force.
func (o *Holder) Take(share sharedlog.Share, began clock.Moment) {
	held := make(map[int]struct{}, len(share.Partitions))
	for _, partition := range share.Partitions {
		held[partition.Number] = struct{}{}
	}
	if share.Generation != o.generation {
		o.logger.Log(event.GroupShareChanged, "generation", share.Generation, "from", o.generation, "partitions", len(held))
	}
	changed := !maps.Equal(held, o.held)
	o.generation, o.held, o.renewedAt = share.Generation, held, began
	if changed {
		o.callbacks.Changed()
	}
}

// Executes reports whether this node runs the jobs of a partition.
func (o *Holder) Executes(partition int, now time.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	_, held := o.held[partition]
	return held && !o.left && o.renewedAt.AgeAt(now) < IsolatedLimit
}

// OutOfTouch reports whether this node executes although another may hold its share
// by now.
func (o *Holder) OutOfTouch(now time.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	_, held := o.held[o.settings.Partition]
	return held && o.renewedAt.AgeAt(now) > o.settings.TTL+OrderMargin
}

// Yield gives up what this node holds, when it found out otherwise that another
// executes.
func (o *Holder) Yield() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.held = make(map[int]struct{})
}

// MayOrder returns the fence for orders if this node may give them now, as far as
// its share tells. A holder that has not heard yet that its partition passed on
// finds out when it announces an order in the log.
func (o *Holder) MayOrder(partition int, now time.Time) (fence uint64, ok bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	_, held := o.held[partition]
	if !held || o.left || o.renewedAt.AgeAt(now) > o.settings.TTL-OrderMargin {
		return 0, false
	}
	return o.generation, true
}

// Leave gives the share back.
func (o *Holder) Leave(ctx context.Context) {
	o.mutex.Lock()
	o.left = true
	o.held = make(map[int]struct{})
	o.mutex.Unlock()
	o.giveBack(ctx)
}

// giveBack hands over what this node executed and tells the group. The share is
// no longer held by then, so that nothing begins anew meanwhile.
func (o *Holder) giveBack(ctx context.Context) {
	o.callbacks.HandOver(ctx)
	callCtx, cancel := context.WithTimeout(ctx, renewTimeout+o.group.Beyond())
	defer cancel()
	if err := o.group.Leave(callCtx, o.settings.Group, o.settings.Member); err != nil {
		o.logger.Log(event.GroupContactLost, "generation", o.Current(), "detail", err.Error())
	}
}

// Current returns the generation last heard.
func (o *Holder) Current() uint64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.generation
}
