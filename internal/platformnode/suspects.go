package platformnode

import (
	"context"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/quarantine"
	"github.com/pathbend/pathbend/internal/result"
)

const (
	// suspectSyncWait is how long a request waits until its quarantine record is appended to the
	// log and read back, which takes some 10 ms with a nearby log. If the log is
	// slow or unreachable, the node continues with its local record after this time, which is
	// as long as the shortest latency objective.
	suspectSyncWait = 150 * time.Millisecond
	// suspectAppendTimeout is how long the append is retried in the background.
	suspectAppendTimeout = 30 * time.Second
	// republishInterval is how often the executing node appends the active records again, as the
	// log drops records after 300 s.
	republishInterval = 2 * time.Minute
	// maxQuarantineDelay is the maximum pause between attempts of a quarantined reward call.
	maxQuarantineDelay = 5 * time.Second
)

// suspects holds the requests and items during whose execution back ends crashed, and shares
// them with the other nodes through the log.
type suspects struct {
	node *Node
	// requests covers client requests and reward calls, items the runs of batch items.
	requests      *quarantine.Guard
	items         *quarantine.Guard
	republishedAt time.Time
}

func newSuspects(n *Node) *suspects {
	s := &suspects{
		node:     n,
		requests: quarantine.NewGuard(quarantine.RequestPolicy(), n.logger),
		items:    quarantine.NewGuard(quarantine.ItemPolicy(), n.logger),
	}
	s.requests.SetPublisher(&suspectPublisher{node: n})
	s.items.SetPublisher(&suspectPublisher{node: n, item: true})
	return s
}

// guard returns the guard of items, or that of requests.
func (s *suspects) guard(item bool) *quarantine.Guard {
	if item {
		return s.items
	}
	return s.requests
}

// merge adds an entry of the ledger. It returns an error if the entry is malformed.
func (s *suspects) merge(entry *pathbendv1.SuspectRequest) error {
	record, err := quarantine.Decode(entry)
	if err != nil {
		return err
	}
	s.guard(entry.Item).Merge(record)
	return nil
}

// expire removes records that have not been updated for long.
func (s *suspects) expire() {
	s.requests.Expire()
	s.items.Expire()
}

// republish appends the active records again every republishInterval, so that nodes that
// start later read them too. Only the executing node calls it.
func (s *suspects) republish(now time.Time) {
	if now.Sub(s.republishedAt) < republishInterval {
		return
	}
	s.republishedAt = now
	for _, item := range []bool{false, true} {
		for _, record := range s.guard(item).Quarantined() {
			publisher := &suspectPublisher{node: s.node, item: item}
			go publisher.write(record)
		}
	}
}

// suspectPublisher shares records with the other nodes through the ledger, which all of them
// read. An entry has some 100 bytes, which each node reads along with the jobs. The
// alternatives cost more: a separate keyed topic would need another long poll on each node,
// and calls between nodes would not reach nodes that start later and, with 420 nodes, would
// take 419 calls for each crashed back end.
type suspectPublisher struct {
	node *Node
	item bool
}

// Publish implements quarantine.Publisher.
func (p *suspectPublisher) Publish(ctx context.Context, record quarantine.Record) {
	timeout := suspectSyncWait + p.node.log.ExtraLatency()
	if p.node.jobs.follower.Health.Lost() {
		// The record would not be read back in time.
		timeout = 0
	}
	quarantine.RunWithin(ctx, timeout, func() { p.write(record) })
}

// write appends a record to the ledger and reads it back.
func (p *suspectPublisher) write(record quarantine.Record) {
	entry := &pathbendv1.LedgerEntry{Fact: &pathbendv1.LedgerEntry_Suspect{Suspect: quarantine.Encode(record, p.item)}}
	err := p.node.jobs.record(p.node.lifetime, suspectAppendTimeout, nil, entry)
	if err == nil {
		err = p.node.jobs.refresh(p.node.lifetime)
	}
	if err != nil && p.node.lifetime.Err() == nil {
		p.node.logger.Log(event.SuspectUntold, "digest", record.Digest.String(), "ends", len(record.CrashedBackEnds), "detail", err.Error())
	}
}

// itemDigest returns the digest that identifies an item. It is the same in all runs of the
// item, including those of later jobs, as the item keeps its id.
func itemDigest(itemID string) quarantine.Digest {
	return quarantine.Content{Caller: []string{"item"}, Path: itemID}.Digest()
}

// QuarantinedUntil implements schedule.Quarantine.
func (s *suspects) QuarantinedUntil(itemID string) time.Time {
	if s.items.Empty() {
		return time.Time{}
	}
	return s.items.QuarantinedUntil(itemDigest(itemID))
}

// Suspect implements schedule.Quarantine. A single crash does not make an item suspect: if
// many samplers are lost at once, every item that ran there would need a sampler of its own,
// for example 87 items that had run on 44 samplers within a day.
func (s *suspects) Suspect(itemID string) bool {
	return !s.items.Empty() && s.items.CrashCount(itemDigest(itemID)) >= quarantine.CrashLimit-1
}

// quarantineDelay returns how long a reward call must wait after an error, at most
// maxQuarantineDelay; 0 if the error does not say that the call is quarantined.
func quarantineDelay(err error) time.Duration {
	if !result.Is(err, result.RequestQuarantined) {
		return 0
	}
	return min(result.From(err).RetryAfter, maxQuarantineDelay)
}
