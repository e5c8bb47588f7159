package quarantine

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/result"
)

// Teller tells the other nodes what this one knows, through a log. What is read from the log,
// also what this node told, comes by Merge, in the order of the log.
type Teller interface {
	// Tell tells a record. It returns once this node has read it back, and with it what others
	// told before, or once it has waited for as long as a request may. It goes on telling it
	// after that.
	Tell(ctx context.Context, record Record)
}

// TellWithin writes a record down, and returns once that is done or patience is over. The
// writing goes on after that, and must end with its node.
func TellWithin(ctx context.Context, patience time.Duration, write func()) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	written := make(chan struct{})
	go func() {
		defer close(written)
		write()
	}()
	select {
	case <-written:
	case <-ctx.Done():
	}
}

// Guard holds requests of one node back from back ends that would end under them. It is safe
// for concurrent use.
type Guard struct {
	policy Policy
	teller Teller
	logger *event.Logger

	// known is set while the book has any record, so that other requests pass unhashed.
	known atomic.Bool

	mutex sync.Mutex
	book  Book
	// running counts the requests of this node at back ends, by digest, of those that a back
	// end ended under.
	running map[Digest]int
	counts  Counts
}

// Counts are what a guard did since the start of the node.
type Counts struct {
	// Ended counts back ends that ended under requests of this node, Refused requests that
	// were held back. Held is the number of digests that are held now.
	Ended   int
	Refused int
	Held    int
}

// NewGuard returns a guard with an empty book. SetTeller must follow before its use.
func NewGuard(policy Policy, logger *event.Logger) *Guard {
	return &Guard{policy: policy, logger: logger, running: make(map[Digest]int)}
}

// SetTeller names what tells the other nodes.
func (g *Guard) SetTeller(teller Teller) { g.teller = teller }

// suspectHint is when to come back for a request that runs at a back end already and may end
// it: about as long as a run takes (chosen).
const suspectHint = 250 * time.Millisecond

// Enter lets a request to a back end, or returns a *result.Error that says when to come
// back. leave must be called once its attempt is over. The digest is asked for only if any
// is known.
func (g *Guard) Enter(ctx context.Context, digestOf func() Digest) (leave func(), err error) {
	if !g.known.Load() {
		return func() {}, nil
	}
	digest := digestOf()
	standing, until := g.standing(digest)
	switch standing {
	case Held:
		return nil, g.refuse(digest, time.Until(until))
	case OnTrial:
		if !g.claim(ctx, digest) {
			return nil, g.refuse(digest, g.policy.Trial)
		}
	}
	return g.enter(digest, standing)
}

func (g *Guard) standing(digest Digest) (Standing, time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.book.Standing(digest, g.policy, time.Now())
}

// enter counts a request as running. One more end would hold a suspect: so it runs alone.
func (g *Guard) enter(digest Digest, standing Standing) (leave func(), err error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if standing == Suspect && g.running[digest] > 0 {
		g.counts.Refused++
		return nil, result.New(result.RequestQuarantined, "back ends ended under this request, and it runs at another one already").
			WithRetryAfter(suspectHint)
	}
	g.running[digest]++
	return func() { g.leave(digest) }, nil
}

func (g *Guard) leave(digest Digest) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.running[digest]--
	if g.running[digest] <= 0 {
		delete(g.running, digest)
	}
}

func (g *Guard) refuse(digest Digest, wait time.Duration) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.counts.Refused++
	return result.New(result.RequestQuarantined, "%d back ends ended under this request", g.book.Ends(digest)).
		WithRetryAfter(max(wait, suspectHint))
}

// claim claims a trial for this node, and reports whether it is its.
func (g *Guard) claim(ctx context.Context, digest Digest) bool {
	claimant := rand.Uint64()
	g.mutex.Lock()
	claimed, open := g.book.Claim(digest, g.policy, claimant, time.Now())
	g.mutex.Unlock()
	if !open {
		return false
	}
	g.teller.Tell(ctx, claimed)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	won := g.book.Claims(digest, claimant)
	if won {
		g.logger.Log(event.QuarantineTried, "digest", digest.String(), "ends", g.book.Ends(digest), "trial", claimed.Trials)
	}
	return won
}

// Suspected reports whether a back end ended under a request that none survived since. Such a
// request runs at one back end at a time, and whether that ends is waited for.
func (g *Guard) Suspected(digestOf func() Digest) bool {
	if !g.known.Load() {
		return false
	}
	digest := digestOf()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.book.Ends(digest) > 0
}

// Ended notes that a back end ended under a request, and tells the others before it returns.
func (g *Guard) Ended(ctx context.Context, digest Digest, backEnd string) {
	if record, news := g.noteEnded(digest, backEnd); news {
		g.teller.Tell(ctx, record)
	}
}

// Heard notes that a back end ended under a request, of which another node tells the others.
func (g *Guard) Heard(digest Digest, backEnd string) { g.noteEnded(digest, backEnd) }

func (g *Guard) noteEnded(digest Digest, backEnd string) (Record, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	before, _ := g.book.Standing(digest, g.policy, time.Now())
	record, news := g.book.NoteEnded(digest, backEnd, time.Now())
	g.noteKnown()
	if news {
		g.counts.Ended++
		g.logger.Log(event.BackEndEnded, "digest", digest.String(), "back_end", backEnd, "ends", len(record.Ended))
		g.logHeld(digest, before)
	}
	return record, news
}

// Served notes that a back end survived a request.
func (g *Guard) Served(ctx context.Context, digestOf func() Digest) {
	if !g.known.Load() {
		return
	}
	digest := digestOf()
	g.mutex.Lock()
	ends := g.book.Ends(digest)
	record, cleared := g.book.NoteServed(digest, time.Now())
	g.mutex.Unlock()
	if !cleared {
		return
	}
	g.logger.Log(event.QuarantineCleared, "digest", digest.String(), "ends", ends)
	// The answer does not wait for it.
	go g.teller.Tell(context.WithoutCancel(ctx), record)
}

// Merge takes in what another node told, or what this one told itself.
func (g *Guard) Merge(told Record) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	before, _ := g.book.Standing(told.Digest, g.policy, time.Now())
	if g.book.Merge(told, time.Now()) {
		g.logHeld(told.Digest, before)
	}
	g.noteKnown()
}

// logHeld tells that a digest is held from now on, if it was not before. It is called under
// the lock.
func (g *Guard) logHeld(digest Digest, before Standing) {
	after, until := g.book.Standing(digest, g.policy, time.Now())
	if before == Held || before == OnTrial || after != Held {
		return
	}
	g.logger.Log(event.RequestQuarantined, "digest", digest.String(), "ends", g.book.Ends(digest), "retry_after_ms", time.Until(until).Milliseconds())
}

// Ends counts the back ends that ended under a digest that none survived since.
func (g *Guard) Ends(digest Digest) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.book.Ends(digest)
}

// HeldUntil is when a digest may be tried again, the zero time if it is not held.
func (g *Guard) HeldUntil(digest Digest) time.Time {
	if !g.known.Load() {
		return time.Time{}
	}
	if standing, until := g.standing(digest); standing == Held {
		return until
	}
	return time.Time{}
}

// Empty reports whether nothing is known of any digest.
func (g *Guard) Empty() bool { return !g.known.Load() }

// Held lists the records that are held.
func (g *Guard) Held() []Record {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.book.Held(g.policy)
}

// Expire forgets what nothing was heard of for long.
func (g *Guard) Expire() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.book.Expire(time.Now())
	g.noteKnown()
}

// Counts returns what the guard did.
func (g *Guard) Counts() Counts {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	counts := g.counts
	counts.Held = len(g.book.Held(g.policy))
	return counts
}

// noteKnown is called under the lock.
func (g *Guard) noteKnown() { g.known.Store(!g.book.Empty()) }
