package platformnode

import (
	"context"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/quarantine"
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
)

// suspects holds the client requests during whose execution back ends crashed, and shares them
// with the other nodes through the log. Items and their reward calls are never held responsible
// for a crash.
type suspects struct {
	node          *Node
	requests      *quarantine.Guard
	republishedAt time.Time
}

func newSuspects(n *Node) *suspects {
	s := &suspects{node: n, requests: quarantine.NewGuard(quarantine.RequestPolicy(), n.logger)}
	s.requests.SetPublisher(&suspectPublisher{node: n})
	return s
}

// merge adds an entry of the ledger. It returns an error if the entry is malformed. Entries of
// items, which nodes of earlier versions write, are ignored.
func (s *suspects) merge(entry *pathbendv1.SuspectRequest) error {
	if entry.Item {
		return nil
	}
	record, err := quarantine.Decode(entry)
	if err != nil {
		return err
	}
	s.requests.Merge(record)
	return nil
}

// expire removes records that have not been updated for long.
func (s *suspects) expire() { s.requests.Expire() }

// republish appends the active records again every republishInterval, so that nodes that
// start later read them too. Only the executing node calls it.
func (s *suspects) republish(now time.Time) {
	if now.Sub(s.republishedAt) < republishInterval {
		return
	}
	s.republishedAt = now
	for _, record := range s.requests.Quarantined() {
		publisher := &suspectPublisher{node: s.node}
		go publisher.write(record)
	}
}

// suspectPublisher shares records with the other nodes through the ledger, which all of them
// read. An entry has some 100 bytes, which each node reads along with the jobs. The
// alternatives cost more: a separate keyed topic would need another long poll on each node,
// and calls between nodes would not reach nodes that start later and, with 420 nodes, would
// take 419 calls for each crashed back end.
type suspectPublisher struct{ node *Node }

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
	entry := &pathbendv1.LedgerEntry{Fact: &pathbendv1.LedgerEntry_Suspect{Suspect: quarantine.Encode(record)}}
	err := p.node.jobs.record(p.node.lifetime, suspectAppendTimeout, nil, entry)
	if err == nil {
		err = p.node.jobs.refresh(p.node.lifetime)
	}
	if err != nil && p.node.lifetime.Err() == nil {
		p.node.logger.Log(event.SuspectUntold, "digest", record.Digest.String(), "ends", len(record.CrashedBackEnds), "detail", err.Error())
	}
}
