package node

import (
	"context"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/quarantine"
)

// suspectPatience is how long a request waits until what its node knows of it is in the log
// and read back. With a log that is slow or lost the node goes on with what it knows.
const suspectPatience = 200 * time.Millisecond

// suspects guards requests under which back ends ended. What nodes know of them is in the
// stream that all nodes follow, and in its snapshots. Ways weighed: heartbeats, which without
// news of members go to three neighbours each, 70 s to the last of 420 nodes; a call to every
// node, which those that start later miss.
type suspects struct {
	node  *Node
	guard *quarantine.Guard
}

func newSuspects(n *Node) *suspects {
	s := &suspects{node: n, guard: quarantine.NewGuard(quarantine.Requests(), n.logger)}
	s.guard.SetTeller(s)
	return s
}

// Tell implements quarantine.Teller.
func (s *suspects) Tell(ctx context.Context, record quarantine.Record) {
	quarantine.TellWithin(ctx, suspectPatience, func() {
		s.node.appendRecord(s.node.ctx, &pathbendv1.Record{Body: &pathbendv1.Record_Suspect{Suspect: quarantine.Encode(record, false)}})
	})
}

// follow takes in what the log tells. It is called with the follower's lock held.
func (s *suspects) follow(told *quarantine.Book) {
	s.guard.Expire()
	for _, record := range told.All() {
		s.guard.Merge(record)
	}
}
