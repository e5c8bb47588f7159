package platformnode

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/exclusive"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/ownership"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// claimTimeout is the timeout of each log operation of a claim.
	claimTimeout = 700 * time.Millisecond
	// maxClaimAge is the maximum age of a claim when the call that it permits is made.
	maxClaimAge = time.Second
	// claimLinger is how long a claim waits for others to share its entry.
	claimLinger = 20 * time.Millisecond
	// maxConcurrentClaims is the maximum number of groups of claims in progress. Claims that
	// arrive meanwhile wait, and form the next group.
	maxConcurrentClaims = 4
)

// claims ensures that only the holder of the job partition makes calls that a single node
// at a time may make: weight orders to samplers, and sampler orders and usage reports to the
// platform. Before such a call, a node appends a claim for its subject and reads the log up
// to that entry. If two nodes both consider themselves the holder, the log puts their claims
// in one order: a node with the lower fencing token that comes second sees the other's claim
// and cancels its call, and a node with the higher token waits for a grace period before it
// acts on a subject that the other has claimed.
//
// Claims that are made at about the same time form a group, which is written and read back
// as one. It has one entry, since every node reads each entry. If the log does not return the
// group in time, no claim is made until a backoff has passed.
type claims struct {
	node *Node
	// slots is a semaphore with one token per group in progress.
	slots chan struct{}

	mutex sync.Mutex
	// collecting is the group that further claims join, nil if there is none.
	collecting *claimGroup
	backoff    claimBackoff
}

// claimGroup is a number of claims that are made together.
type claimGroup struct {
	subjects []string
	// done is closed when the group has been read back or has failed. The other fields below
	// are set before.
	done chan struct{}
	// readBack is set if the whole group was read back from the log.
	readBack bool
	// fence is the fencing token of the claims, began the time before their append.
	fence uint64
	began clock.Moment
}

func newClaims(n *Node) *claims {
	return &claims{node: n, slots: make(chan struct{}, maxConcurrentClaims)}
}

// IsHolder implements exclusive.Holder.
func (c *claims) IsHolder(now time.Time) bool {
	_, ok := c.node.ownership.OrderFencingToken(jobPartition, now)
	return ok
}

// AcquirePermit implements exclusive.Holder.
func (c *claims) AcquirePermit(ctx context.Context, subject string) (exclusive.Permit, bool) {
	if !c.IsHolder(time.Now()) || c.backingOff(time.Now()) {
		return exclusive.Permit{}, false
	}
	group, first := c.join(subject)
	if first {
		c.claim(ctx, group)
	}
	select {
	case <-group.done:
	case <-ctx.Done():
		return exclusive.Permit{}, false
	}
	if !group.readBack || group.began.Age() > maxClaimAge {
		return exclusive.Permit{}, false
	}
	if c.superseded(group.fence) || c.claimedRecently(subject, time.Now()) {
		return exclusive.Permit{}, false
	}
	// The node may have lost the partition while the log was slow.
	fence, ok := c.node.ownership.OrderFencingToken(jobPartition, time.Now())
	return exclusive.Permit{Holder: c.node.settings.Name, Fence: fence}, ok
}

// join adds a subject to the group that is being collected. It reports true if the group is
// new, in which case the caller must claim it.
func (c *claims) join(subject string) (group *claimGroup, first bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.collecting == nil {
		c.collecting, first = &claimGroup{done: make(chan struct{})}, true
	}
	c.collecting.subjects = append(c.collecting.subjects, subject)
	return c.collecting, first
}

// claim collects a group, appends its claims and waits until they are read back.
func (c *claims) claim(ctx context.Context, group *claimGroup) {
	defer close(group.done)
	wait.For(ctx, claimLinger)
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	case <-ctx.Done():
	}
	c.mutex.Lock()
	c.collecting = nil
	c.mutex.Unlock()
	fence, ok := c.node.ownership.OrderFencingToken(jobPartition, time.Now())
	if !ok || ctx.Err() != nil || c.backingOff(time.Now()) {
		return
	}
	group.fence, group.began = fence, clock.CurrentMoment()
	group.readBack = c.write(ctx, group)
	inTime := group.readBack && group.began.Age() <= maxClaimAge
	if ctx.Err() == nil {
		c.recordOutcome(inTime, len(group.subjects))
	}
}

// write appends the claims of a group. It reports whether all of them were read back.
func (c *claims) write(ctx context.Context, group *claimGroup) bool {
	holder, serial := c.node.settings.Name, rand.Uint64()
	entries := claimEntries(group.subjects, &pathbendv1.Claim{Holder: holder, Fence: group.fence, Serial: serial}, c.node.directory.AllReadFurtherSubjects())
	readBack := func() bool {
		for _, subject := range group.subjects {
			if last, ok := c.node.jobs.ledger.LastClaim(subject, holder); !ok || last.Serial != serial {
				return false
			}
		}
		return true
	}
	timeout := claimTimeout + c.node.log.ExtraLatency()
	if err := c.node.jobs.record(ctx, timeout, readBack, entries...); err != nil {
		return false
	}
	return c.node.jobs.awaitReadBack(ctx, timeout, readBack)
}

// claimEntries returns the entries of claims that are made together: a single one if all nodes
// read further subjects, else one for each subject.
func claimEntries(subjects []string, claim *pathbendv1.Claim, shared bool) []*pathbendv1.LedgerEntry {
	newEntry := func(subject string, further []string) *pathbendv1.LedgerEntry {
		return &pathbendv1.LedgerEntry{Fact: &pathbendv1.LedgerEntry_Claimed{Claimed: &pathbendv1.Claim{
			Subject: subject, FurtherSubjects: further, Holder: claim.Holder, Fence: claim.Fence, Serial: claim.Serial,
		}}}
	}
	if shared {
		return []*pathbendv1.LedgerEntry{newEntry(subjects[0], subjects[1:])}
	}
	entries := make([]*pathbendv1.LedgerEntry, 0, len(subjects))
	for _, subject := range subjects {
		entries = append(entries, newEntry(subject, nil))
	}
	return entries
}

// backingOff reports whether claims must wait because the log did not return earlier ones.
func (c *claims) backingOff(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.backoff.active(now)
}

// recordOutcome records whether a group was read back in time.
func (c *claims) recordOutcome(inTime bool, subjects int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if inTime {
		c.backoff.reset()
		return
	}
	pause := c.backoff.fail(time.Now(), rand.Float64())
	c.node.logger.Log(event.ClaimsUnread, "subjects", subjects, "pause_ms", pause.Milliseconds())
}

// superseded reports whether another node made a claim with a higher fencing token.
func (c *claims) superseded(fence uint64) bool {
	superseded := false
	c.node.jobs.withLedger(func(state *ledger.Ledger) {
		newest := state.NewestClaim()
		superseded = newest.FencingToken > fence && newest.Holder != c.node.settings.Name
	})
	return superseded
}

// claimedRecently reports whether another node claimed a subject within the grace period.
// Calls of two nodes for the same subject must be at least that far apart.
func (c *claims) claimedRecently(subject string, now time.Time) bool {
	recent := false
	c.node.jobs.withLedger(func(state *ledger.Ledger) {
		last := state.LastClaimByOthersReadAt(subject, c.node.settings.Name)
		recent = !last.IsZero() && now.Sub(last) < c.node.settings.OrderGrace+ownership.OrderMargin
	})
	return recent
}
