package node

import (
	"context"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/quarantine"
)

// suspectAppendTimeout bounds the time for which a request waits until the record of its
// crashes is in the log and applied by this node. If the log is slow or unavailable, the node
// continues with its local records.
const suspectAppendTimeout = 200 * time.Millisecond

// suspects quarantines requests under which back ends crashed. The records of all nodes are
// shared through the control stream, which all nodes follow, and its snapshots. Heartbeats
// would take 70 s to reach the last of 420 nodes, as without changes of members each goes to
// three neighbours only. A call to every node would miss the nodes that start later.
type suspects struct {
	node  *Node
	guard *quarantine.Guard
}

func newSuspects(n *Node) *suspects {
	s := &suspects{node: n, guard: quarantine.NewGuard(quarantine.RequestPolicy(), n.logger)}
	s.guard.SetPublisher(s)
	return s
}

// Publish implements quarantine.Publisher. It appends a record to the log.
func (s *suspects) Publish(ctx context.Context, record quarantine.Record) {
	quarantine.RunWithin(ctx, suspectAppendTimeout, func() {
		s.node.appendRecord(s.node.ctx, &pathbendv1.Record{Body: &pathbendv1.Record_Suspect{Suspect: quarantine.Encode(record)}})
	})
}

// merge merges the records of the log into the guard. The caller holds the follower's mutex.
func (s *suspects) merge(records *quarantine.Registry) {
	s.guard.Expire()
	for _, record := range records.All() {
		s.guard.Merge(record)
	}
}
