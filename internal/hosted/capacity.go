package hosted

import (
	"context"
	"math/rand/v2"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// announceInterval is how often a node repeats what it says of its machine;
	// the ledger forgets it after KeepJobs.
	announceInterval = 45 * time.Second
	// announceSpread is drawn on top, so that nodes do not announce together.
	announceSpread = 10 * time.Second
	// announceAttempt bounds one attempt to announce.
	announceAttempt = 3 * time.Second
)

// announce tells the other nodes this node's capacity, again and again.
func (n *Node) announce(ctx context.Context) {
	if n.settings.Millicores == 0 {
		return
	}
	entry := &pathbendv1.LedgerEntry{Fact: &pathbendv1.LedgerEntry_Announced{Announced: &pathbendv1.NodeCapacity{
		Node: n.settings.Name, Millicores: n.settings.Millicores,
	}}}
	for ctx.Err() == nil {
		// What could not be announced now is announced next time; until then the
		// node counts as one of unknown capacity.
		_ = n.jobs.record(ctx, announceAttempt, nil, entry)
		wait.For(ctx, announceInterval+rand.N(announceSpread))
	}
}

// Announced implements capacities.
func (b *jobBook) Announced() (announcements, bool) {
	if b.follower.Health.CurrentAt().IsZero() {
		return announcements{}, false
	}
	var announced announcements
	b.withLedger(func(known *ledger.Ledger) { announced.largest, announced.nodes = known.LargestMillicores() })
	announced.of = func(node string) uint64 {
		var millicores uint64
		b.withLedger(func(known *ledger.Ledger) { millicores = known.Millicores(node) })
		return millicores
	}
	return announced, true
}
