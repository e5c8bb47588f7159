package node

import (
	"cmp"
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/controlstate"
	"github.com/pathbend/pathbend/internal/controlstream"
	"github.com/pathbend/pathbend/internal/logstore"
	"github.com/pathbend/pathbend/internal/membership"
	"github.com/pathbend/pathbend/internal/result"
)

const (
	// readersPerZone is the number of nodes of a zone that read the platform's log
	// and machine list directly. The others read through them.
	readersPerZone = 2
	// peerReadMargin is the time for a read from a peer beyond the wait that the
	// peer is asked for.
	peerReadMargin = 2 * time.Second
)

// rendezvousScore returns the rendezvous hash of a key and a member id.
func rendezvousScore(key, id string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	digest.WriteString(key) // never fails
	digest.WriteString("\n")
	digest.WriteString(id)
	var buffer [8]byte
	binary.BigEndian.PutUint64(buffer[:], digest.Sum64())
	return xxhash.Sum64(buffer[:])
}

// rank returns the members ordered by their rendezvous hash with a key, highest first.
// Equal hashes are ordered by id.
func rank(key string, members []membership.Member) []membership.Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(rendezvousScore(key, b.ID), rendezvousScore(key, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

// highestRanked returns the first member of rank without ordering the others, or false
// if there are no members.
func highestRanked(key string, members []membership.Member) (membership.Member, bool) {
	if len(members) == 0 {
		return membership.Member{}, false
	}
	return slices.MaxFunc(members, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(rendezvousScore(key, a.ID), rendezvousScore(key, b.ID)), cmp.Compare(b.ID, a.ID))
	}), true
}

// zoneReaders returns the nodes of this zone that read directly from the platform.
func (n *Node) zoneReaders() []membership.Member {
	var local []membership.Member
	for _, member := range n.members.usable() {
		if member.Zone == n.settings.Zone {
			local = append(local, member)
		}
	}
	ranked := rank("log-reader", local)
	return ranked[:min(len(ranked), readersPerZone)]
}

// isZoneReader reports whether this node is one of the zone's readers.
func (n *Node) isZoneReader() bool {
	return slices.ContainsFunc(n.zoneReaders(), func(member membership.Member) bool { return member.ID == n.id })
}

// Fetch implements controlstream.Source. The zone's readers read from the log and fall back to
// peers; other nodes read from the zone's readers and fall back to the log. A read from
// offset 0 always tries the log first.
func (n *Node) Fetch(ctx context.Context, from uint64, limit int, wait time.Duration) (controlstream.Update, error) {
	log := controlstream.LogSource{Reader: n.log}
	if from == 0 || n.isZoneReader() {
		update, err := log.Fetch(ctx, from, limit, wait)
		if err == nil {
			return update, nil
		}
		return n.fetchFromPeers(ctx, n.members.usable(), from, limit, wait, err)
	}
	update, err := n.fetchFromPeers(ctx, n.zoneReaders(), from, limit, wait, nil)
	if err == nil {
		return update, nil
	}
	return log.Fetch(ctx, from, limit, wait)
}

// maxPeersAsked limits the peers tried in one fetch.
const maxPeersAsked = 3

// fetchFromPeers fetches from the first candidate that answers. cause is returned if there
// is no candidate to ask; nil stands for a default error.
func (n *Node) fetchFromPeers(ctx context.Context, candidates []membership.Member, from uint64, limit int, wait time.Duration, cause error) (controlstream.Update, error) {
	lastErr := cause
	asked := 0
	for _, member := range rank(n.id, candidates) {
		if member.ID == n.id || asked == maxPeersAsked {
			continue
		}
		asked++
		update, err := n.fetchFromPeer(ctx, member, from, limit, wait)
		if err == nil {
			return update, nil
		}
		lastErr = err
	}
	if lastErr == nil {
		lastErr = result.New(result.PeerUnreached, "no peer to read from")
	}
	return controlstream.Update{}, lastErr
}

// fetchFromPeer fetches the control records that a peer has applied.
func (n *Node) fetchFromPeer(ctx context.Context, member membership.Member, from uint64, limit int, wait time.Duration) (controlstream.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+peerReadMargin)
	defer cancel()
	reply, err := n.peers.Call(ctx, member.Address, &pathbendv1.Envelope{Body: &pathbendv1.Envelope_ReadRecords{
		ReadRecords: &pathbendv1.ReadRecords{
			Stream: logstore.ControlStream, From: from, Max: uint32(limit), WaitMs: wait.Milliseconds(),
		},
	}})
	if err != nil {
		return controlstream.Update{}, err
	}
	return controlstream.DecodeUpdate(reply.GetRecordBatch())
}

// onStateChange applies a change of the shared state to this node. The caller holds the
// follower's mutex.
func (n *Node) onStateChange(part controlstate.Part, stateMachine *controlstate.Machine) {
	switch part {
	case controlstate.PartConfig:
		revision := stateMachine.Revision()
		if revision.Document == nil {
			return
		}
		n.current.Store(&revision)
		n.quotas.apply(revision.Document)
	case controlstate.PartRoster:
		n.replicas.applyRoster(stateMachine.Shards())
	case controlstate.PartSuspects:
		n.suspects.merge(stateMachine.Suspects())
	}
}
