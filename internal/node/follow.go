package node

import (
	"cmp"
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/control"
	"github.com/pathbend/pathbend/internal/logstore"
	"github.com/pathbend/pathbend/internal/membership"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/state"
)

const (
	// readersPerZone is how many nodes of a zone read the platform's log and
	// machine list themselves.
	readersPerZone = 2
	peerReadMargin = 2 * time.Second
)

// rendezvousScore ranks a member for a purpose.
func rendezvousScore(purpose, id string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	digest.WriteString(purpose) // never fails
	digest.WriteString("\n")
	digest.WriteString(id)
	var buffer [8]byte
	binary.BigEndian.PutUint64(buffer[:], digest.Sum64())
	return xxhash.Sum64(buffer[:])
}

// rank orders members for a purpose, the first choice first.
func rank(purpose string, members []membership.Member) []membership.Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(rendezvousScore(purpose, b.ID), rendezvousScore(purpose, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

// firstFor returns the first choice for a purpose, which is the first of rank
// without ordering the others; false if there are no members.
func firstFor(purpose string, members []membership.Member) (membership.Member, bool) {
	if len(members) == 0 {
		return membership.Member{}, false
	}
	return slices.MaxFunc(members, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(rendezvousScore(purpose, a.ID), rendezvousScore(purpose, b.ID)), cmp.Compare(b.ID, a.ID))
	}), true
}

// zoneReaders are the nodes of this zone that read from the platform.
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

func (n *Node) isZoneReader() bool {
	return slices.ContainsFunc(n.zoneReaders(), func(member membership.Member) bool { return member.ID == n.id })
}

// Fetch implements control.Source. Designated readers read the log, others
// read through them; each falls back on the other way.
func (n *Node) Fetch(ctx context.Context, from uint64, limit int, wait time.Duration) (control.Update, error) {
	log := control.LogSource{Reader: n.log}
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

// maxPeersAsked bounds the peers tried in one fetch.
const maxPeersAsked = 3

func (n *Node) fetchFromPeers(ctx context.Context, candidates []membership.Member, from uint64, limit int, wait time.Duration, cause error) (control.Update, error) {
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
	return control.Update{}, lastErr
}

func (n *Node) fetchFromPeer(ctx context.Context, member membership.Member, from uint64, limit int, wait time.Duration) (control.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+peerReadMargin)
	defer cancel()
	reply, err := n.peers.Call(ctx, member.Address, &pathbendv1.Envelope{Body: &pathbendv1.Envelope_ReadRecords{
		ReadRecords: &pathbendv1.ReadRecords{
			Stream: logstore.ControlStream, From: from, Max: uint32(limit), WaitMs: wait.Milliseconds(),
		},
	}})
	if err != nil {
		return control.Update{}, err
	}
	return control.DecodeUpdate(reply.GetRecordBatch())
}

// onStateChange puts changes of the shared state in force. It runs with the
// follower's lock held.
func (n *Node) onStateChange(part state.Part, machine *state.Machine) {
	switch part {
	case state.PartConfig:
		revision := machine.Revision()
		if revision.Document == nil {
			return
		}
		n.current.Store(&revision)
		n.quotas.apply(revision.Document)
	case state.PartRoster:
		n.replicas.follow(machine.Shards())
	case state.PartSuspects:
		n.suspects.follow(machine.Suspects())
	}
}
