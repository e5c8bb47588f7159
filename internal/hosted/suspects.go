package hosted

import (
	"context"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/quarantine"
	"github.com/pathbend/pathbend/internal/result"
)

const (
	// tellPatience is how long a request waits until what its node knows of it is in the log
	// and read back: some 10 ms at a log next door. With a log that is slow or lost the node
	// goes on with what it knows (chosen: as long as the shortest objective).
	tellPatience = 150 * time.Millisecond
	// tellFor is how long a node tries to write it down all the same.
	tellFor = 30 * time.Second
	// keepInterval is how often the node that executes writes down anew what is held: the log
	// drops records after 300 s.
	keepInterval = 2 * time.Minute
	// heldPause bounds the pause between reward calls that are held back.
	heldPause = 5 * time.Second
)

// suspects are the requests and items under which back ends ended, as far as the log tells.
type suspects struct {
	node *Node
	// requests guards requests of clients and reward calls, items the runs of items.
	requests *quarantine.Guard
	items    *quarantine.Guard
	keptAt   time.Time
}

func newSuspects(n *Node) *suspects {
	s := &suspects{
		node:     n,
		requests: quarantine.NewGuard(quarantine.Requests(), n.logger),
		items:    quarantine.NewGuard(quarantine.Items(), n.logger),
	}
	s.requests.SetTeller(&suspectTeller{node: n})
	s.items.SetTeller(&suspectTeller{node: n, item: true})
	return s
}

// guard returns what guards requests, or items.
func (s *suspects) guard(item bool) *quarantine.Guard {
	if item {
		return s.items
	}
	return s.requests
}

// take takes in an entry of the ledger.
func (s *suspects) take(told *pathbendv1.SuspectRequest) error {
	record, err := quarantine.Decode(told)
	if err != nil {
		return err
	}
	s.guard(told.Item).Merge(record)
	return nil
}

// expire forgets what nothing was heard of for long.
func (s *suspects) expire() {
	s.requests.Expire()
	s.items.Expire()
}

// keep writes down anew what is held, so that nodes which start later read it too. The node
// that executes calls it.
func (s *suspects) keep(now time.Time) {
	if now.Sub(s.keptAt) < keepInterval {
		return
	}
	s.keptAt = now
	for _, item := range []bool{false, true} {
		for _, record := range s.guard(item).Held() {
			teller := &suspectTeller{node: s.node, item: item}
			go teller.write(record)
		}
	}
}

// suspectTeller tells the other nodes through the ledger, which all of them read. Ways
// weighed: a keyed topic of its own costs each node a read held open; calls from node to node
// reach no node that starts later, and at 420 nodes each end would be told 419 times. An entry
// is some 100 bytes, which each node reads beside the jobs.
type suspectTeller struct {
	node *Node
	item bool
}

// Tell implements quarantine.Teller.
func (t *suspectTeller) Tell(ctx context.Context, record quarantine.Record) {
	patience := tellPatience + t.node.log.Beyond()
	if t.node.jobs.follower.Health.Lost() {
		// It will not be read back in time.
		patience = 0
	}
	quarantine.TellWithin(ctx, patience, func() { t.write(record) })
}

// write appends a record to the ledger and reads it back.
func (t *suspectTeller) write(record quarantine.Record) {
	entry := &pathbendv1.LedgerEntry{Fact: &pathbendv1.LedgerEntry_Suspect{Suspect: quarantine.Encode(record, t.item)}}
	err := t.node.jobs.record(t.node.lifetime, tellFor, nil, entry)
	if err == nil {
		err = t.node.jobs.refresh(t.node.lifetime)
	}
	if err != nil && t.node.lifetime.Err() == nil {
		t.node.logger.Log(event.SuspectUntold, "digest", record.Digest.String(), "ends", len(record.Ended), "detail", err.Error())
	}
}

// itemDigest names an item: it keeps its id in all its runs, also in later jobs.
func itemDigest(itemID string) quarantine.Digest {
	return quarantine.Content{Caller: []string{"item"}, Path: itemID}.Digest()
}

// HeldUntil implements schedule.Holds.
func (s *suspects) HeldUntil(itemID string) time.Time {
	if s.items.Empty() {
		return time.Time{}
	}
	return s.items.HeldUntil(itemDigest(itemID))
}

// Suspect implements schedule.Holds. One end makes no suspect: when many samplers are lost at
// once, all that ran there would wait for a sampler each (87 items of a day, on 44 samplers).
func (s *suspects) Suspect(itemID string) bool {
	return !s.items.Empty() && s.items.Ends(itemDigest(itemID)) >= quarantine.Ends-1
}

// heldFor is how long a reward call waits after an error, if that says that it is held back.
func heldFor(err error) time.Duration {
	if !result.Is(err, result.RequestQuarantined) {
		return 0
	}
	return min(result.From(err).RetryAfter, heldPause)
}
