package node

import (
	"context"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/controlstate"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/logstore"
	"github.com/pathbend/pathbend/internal/membership"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// rosterInterval is the interval at which the roster is compared with the
	// membership.
	rosterInterval = time.Second
	// deadMemberGracePeriod is the time for which a member must be dead before it is
	// removed from the roster.
	deadMemberGracePeriod = 10 * time.Second
	// appendTimeout bounds one append, with its retries and the wait until the record
	// is applied.
	appendTimeout = 20 * time.Second
)

// rosterLoop adds this node to the roster. If this node ranks highest for the task, it also
// removes dead members from the roster and appends snapshots.
func (n *Node) rosterLoop(ctx context.Context) {
	deadSince := make(map[string]time.Time)
	wait.Every(ctx, rosterInterval, func() {
		if !n.follower.CaughtUp() || n.draining.Load() {
			return
		}
		roster := n.roster()
		if _, joined := roster[n.id]; !joined {
			n.appendRecord(ctx, &pathbendv1.Record{Body: &pathbendv1.Record_NodeJoined{NodeJoined: &pathbendv1.NodeJoined{
				NodeId: n.id, Address: n.settings.PeerAddress, Zone: n.settings.Zone,
			}}})
			return
		}
		n.removeDead(ctx, roster, deadSince)
		if n.follower.SnapshotDue() && n.ranksHighest("snapshot") {
			n.appendSnapshot(ctx)
		}
	})
}

// roster returns the members of the roster by id.
func (n *Node) roster() map[string]controlstate.RosterMember {
	roster := make(map[string]controlstate.RosterMember)
	n.follower.View(func(stateMachine *controlstate.Machine) {
		members, _ := stateMachine.Roster()
		for _, member := range members {
			roster[member.ID] = member
		}
	})
	return roster
}

// ranksHighest reports whether this node is the highest ranked usable member for a key.
func (n *Node) ranksHighest(key string) bool {
	first, ok := highestRanked(key, n.members.usable())
	return ok && first.ID == n.id
}

// removeDead removes members from the roster that have been dead or unknown for
// deadMemberGracePeriod. deadSince holds the time at which each was first seen so, and is
// kept between calls.
func (n *Node) removeDead(ctx context.Context, roster map[string]controlstate.RosterMember, deadSince map[string]time.Time) {
	now := time.Now()
	for id := range roster {
		if member, ok := n.members.get(id); ok && member.Status != membership.Dead {
			delete(deadSince, id)
			continue
		}
		if _, ok := deadSince[id]; !ok {
			deadSince[id] = now
		}
	}
	for _, id := range sortedKeys(deadSince) {
		if _, listed := roster[id]; !listed {
			delete(deadSince, id)
			continue
		}
		if now.Sub(deadSince[id]) >= deadMemberGracePeriod && n.ranksHighest("roster") {
			n.appendRecord(ctx, nodeLeftRecord(id))
		}
	}
}

// nodeLeftRecord returns a record that removes a node from the roster.
func nodeLeftRecord(id string) *pathbendv1.Record {
	return &pathbendv1.Record{Body: &pathbendv1.Record_NodeLeft{NodeLeft: &pathbendv1.NodeLeft{NodeId: id}}}
}

// appendRecord appends a record under a new id and waits until this node has applied it, for
// appendTimeout at most. A failure is logged.
func (n *Node) appendRecord(ctx context.Context, record *pathbendv1.Record) {
	record.Id = n.NewID()
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
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

// awaitOffset waits until the follower has applied the record at an offset or ctx ends.
func (n *Node) awaitOffset(ctx context.Context, offset uint64) {
	const pollInterval = 10 * time.Millisecond
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		var next uint64
		n.follower.View(func(stateMachine *controlstate.Machine) { next = stateMachine.Next() })
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

// appendSnapshot appends a snapshot of the shared state to the log.
func (n *Node) appendSnapshot(ctx context.Context) {
	n.appendRecord(ctx, n.follower.EncodeSnapshot(n.NewID()))
	n.logger.Log(event.SnapshotAppended)
}

// leaveTimeout bounds leaveRoster.
const leaveTimeout = 2 * time.Second

// leaveRoster removes this node from the roster and waits until the new members of its
// shards have fetched its entries, for leaveTimeout at most.
func (n *Node) leaveRoster() {
	if _, listed := n.roster()[n.id]; !listed {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, leaveTimeout)
	defer cancel()
	n.appendRecord(ctx, nodeLeftRecord(n.id))
	n.replicas.awaitExported(ctx)
}
