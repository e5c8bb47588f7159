package hosted

import (
	"context"
	"math/rand/v2"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/duty"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/ownership"
)

const (
	// claimPatience bounds how long a claim waits for the log.
	claimPatience = 700 * time.Millisecond
	// claimLimit is how old a claim may be when its call is made.
	claimLimit = time.Second
)

// claims lets the holder of the jobs' partition, and no other node, make calls that only
// one node at a time may make: orders to samplers and duties towards the platform.
// Whoever is about to make one writes it down and reads the log up to that entry. The
// log puts the claims of two nodes that both take themselves for the holder in one
// order: the one with the lower fence that comes second finds the other's and gives its
// call up, and the one with the higher fence leaves the subject alone for a while that
// the other claimed before.
type claims struct {
	node *Node
}

// MayAct implements duty.Holder.
func (c *claims) MayAct(now time.Time) bool {
	_, ok := c.node.ownership.MayOrder(jobPartition, now)
	return ok
}

// Claim implements duty.Holder.
func (c *claims) Claim(ctx context.Context, subject string) (duty.Right, bool) {
	holder := c.node.settings.Name
	fence, ok := c.node.ownership.MayOrder(jobPartition, time.Now())
	if !ok {
		return duty.Right{}, false
	}
	began := clock.Mark()
	serial := rand.Uint64()
	entry := &pathbendv1.LedgerEntry{Fact: &pathbendv1.LedgerEntry_Claimed{Claimed: &pathbendv1.Claim{
		Subject: subject, Holder: holder, Fence: fence, Serial: serial,
	}}}
	readBack := func() bool {
		last, known := c.node.jobs.ledger.LastClaim(subject, holder)
		return known && last.Serial == serial
	}
	patience := claimPatience + c.node.log.Beyond()
	if err := c.node.jobs.record(ctx, patience, readBack, entry); err != nil {
		return duty.Right{}, false
	}
	if !c.node.jobs.awaitReadBack(ctx, patience, readBack) || began.Age() > claimLimit {
		return duty.Right{}, false
	}
	if c.superseded(fence) || c.recent(subject, time.Now()) {
		return duty.Right{}, false
	}
	// The share may have ended while the log was slow.
	fence, ok = c.node.ownership.MayOrder(jobPartition, time.Now())
	return duty.Right{Holder: holder, Fence: fence}, ok
}

// superseded reports whether another node made a claim under a higher fence.
func (c *claims) superseded(fence uint64) bool {
	superseded := false
	c.node.jobs.withLedger(func(known *ledger.Ledger) {
		newest := known.NewestClaim()
		superseded = newest.Fence > fence && newest.Holder != c.node.settings.Name
	})
	return superseded
}

// recent reports whether another node claimed a subject of late. Calls of two nodes
// about one subject must lie the grace apart.
func (c *claims) recent(subject string, now time.Time) bool {
	waits := false
	c.node.jobs.withLedger(func(known *ledger.Ledger) {
		last := known.LastClaimByOthers(subject, c.node.settings.Name)
		waits = !last.IsZero() && now.Sub(last) < c.node.settings.OrderGrace+ownership.OrderMargin
	})
	return waits
}
