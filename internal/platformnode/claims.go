package platformnode

import (
	"context"
	"math/rand/v2"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/exclusive"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/ownership"
)

const (
	// claimTimeout is the timeout of each log operation of a claim.
	claimTimeout = 700 * time.Millisecond
	// maxClaimAge is the maximum age of a claim when the call that it permits is made.
	maxClaimAge = time.Second
)

// claims ensures that only the holder of the job partition makes calls that a single node
// at a time may make: weight orders to samplers, and sampler orders and usage reports to the
// platform. Before such a call, a node appends a claim for its subject and reads the log up
// to that entry. If two
// nodes both consider themselves the holder, the log puts their claims in one order: a node
// with the lower fencing token that comes second sees the other's claim and cancels its
// call, and a node with the higher token waits for a grace period before it acts on a
// subject that the other has claimed.
type claims struct {
	node *Node
}

// IsHolder implements exclusive.Holder.
func (c *claims) IsHolder(now time.Time) bool {
	_, ok := c.node.ownership.OrderFencingToken(jobPartition, now)
	return ok
}

// AcquirePermit implements exclusive.Holder.
func (c *claims) AcquirePermit(ctx context.Context, subject string) (exclusive.Permit, bool) {
	holder := c.node.settings.Name
	fence, ok := c.node.ownership.OrderFencingToken(jobPartition, time.Now())
	if !ok {
		return exclusive.Permit{}, false
	}
	began := clock.CurrentMoment()
	serial := rand.Uint64()
	entry := &pathbendv1.LedgerEntry{Fact: &pathbendv1.LedgerEntry_Claimed{Claimed: &pathbendv1.Claim{
		Subject: subject, Holder: holder, Fence: fence, Serial: serial,
	}}}
	readBack := func() bool {
		last, ok := c.node.jobs.ledger.LastClaim(subject, holder)
		return ok && last.Serial == serial
	}
	timeout := claimTimeout + c.node.log.ExtraLatency()
	if err := c.node.jobs.record(ctx, timeout, readBack, entry); err != nil {
		return exclusive.Permit{}, false
	}
	if !c.node.jobs.awaitReadBack(ctx, timeout, readBack) || began.Age() > maxClaimAge {
		return exclusive.Permit{}, false
	}
	if c.superseded(fence) || c.claimedRecently(subject, time.Now()) {
		return exclusive.Permit{}, false
	}
	// The node may have lost the partition while the log was slow.
	fence, ok = c.node.ownership.OrderFencingToken(jobPartition, time.Now())
	return exclusive.Permit{Holder: holder, Fence: fence}, ok
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
