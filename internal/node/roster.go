package node

import (
	"context"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/logstore"
	"github.com/pathbend/pathbend/internal/membership"
	"github.com/pathbend/pathbend/internal/state"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// rosterInterval is how often the roster is compared with the membership.
	rosterInterval = time.Second
	// rosterGrace is how long a member must be dead before it is removed.
	rosterGrace = 10 * time.Second
	// appendPatience bounds the repeats of one append.
	appendPatience = 20 * time.Second
)

// rosterLoop joins the roster, removes dead members from it and appends
// snapshots, as far as this node is the one to do it.
func (n *Node) rosterLoop(ctx context.Context) {
	missing := make(map[string]time.Time)
	wait.Every(ctx, rosterInterval, func() {
		if !n.follower.CaughtUp() || n.draining.Load() {
			return
		}
		roster := n.roster()
		if _, joined := roster[n.id]; !joined {
			n.append(ctx, &pathbendv1.Record{Body: &pathbendv1.Record_NodeJoined{NodeJoined: &pathbendv1.NodeJoined{
				NodeId: n.id, Address: n.settings.PeerAddress, Zone: n.settings.Zone,
			}}})
			return
		}
		n.removeDead(ctx, roster, missing)
		if n.follower.SnapshotDue() && n.isFirst("snapshot") {
			n.appendSnapshot(ctx)
		}
	})
}

func (n *Node) roster() map[string]state.RosterMember {
	roster := make(map[string]state.RosterMember)
	n.follower.View(func(machine *state.Machine) {
		members, _ := machine.Roster()
		for _, member := range members {
			roster[member.ID] = member
		}
	})
	return roster
}

// isFirst reports whether this node is the first choice for a purpose.
func (n *Node) isFirst(purpose string) bool {
	first, ok := firstFor(purpose, n.members.usable())
	return ok && first.ID == n.id
}

// removeDead appends the leave of members that have been dead for long. missing
// remembers since when each is.
func (n *Node) removeDead(ctx context.Context, roster map[string]state.RosterMember, missing map[string]time.Time) {
	now := time.Now()
	for id := range roster {
		if member, ok := n.members.get(id); ok && member.Status != membership.Dead {
			delete(missing, id)
			continue
		}
		if _, ok := missing[id]; !ok {
			missing[id] = now
		}
	}
	for _, id := range sortedKeys(missing) {
		if _, listed := roster[id]; !listed {
			delete(missing, id)
			continue
		}
		if now.Sub(missing[id]) >= rosterGrace && n.isFirst("roster") {
			n.append(ctx, leftRecord(id))
		}
	}
}

func leftRecord(id string) *pathbendv1.Record {
	return &pathbendv1.Record{Body: &pathbendv1.Record_NodeLeft{NodeLeft: &pathbendv1.NodeLeft{NodeId: id}}}
}

// append appends a record under a fresh id and waits a while for its effect to
// be seen.
func (n *Node) append(ctx context.Context, record *pathbendv1.Record) {
	record.Id = n.NewID()
	ctx, cancel := context.WithTimeout(ctx, appendPatience)
	defer cancel()
	offset, err := logstore.AppendRecord(ctx, n.log, record)
	if err != nil {
		if n.ctx.Err() == nil {
			n.logger.Log(event.LogAppendFailed, "error", err.Error())
		}
		return
	}
	n.awaitOffset(ctx, offset)
}

// awaitOffset waits until the follower has applied an offset.
func (n *Node) awaitOffset(ctx context.Context, offset uint64) {
	const pollInterval = 10 * time.Millisecond
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		var next uint64
		n.follower.View(func(machine *state.Machine) { next = machine.Next() })
		if next > offset {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) appendSnapshot(ctx context.Context) {
	n.append(ctx, n.follower.EncodeSnapshot(n.NewID()))
	n.logger.Log(event.SnapshotAppended)
}

const leaveTimeout = 2 * time.Second

// leaveRoster takes the node off the roster and waits until the new members of
// its shards have fetched its entries, for as long as that is worth.
func (n *Node) leaveRoster() {
	if _, listed := n.roster()[n.id]; !listed {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, leaveTimeout)
	defer cancel()
	n.append(ctx, leftRecord(n.id))
	n.replicas.awaitExported(ctx)
}
