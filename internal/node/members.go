package node

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/membership"
	"github.com/pathbend/pathbend/internal/wait"
	"github.com/pathbend/pathbend/internal/weights"
)

// heartbeatTimeout bounds the wait for an acknowledgement.
const heartbeatTimeout = 450 * time.Millisecond

// newsRepeats is how many ticks a leaving endpoint is told to peers.
const newsRepeats = 6

// members drives the membership machine and the gossip that rides on it.
type members struct {
	node *Node

	mutex    sync.Mutex
	machine  *membership.Machine
	versions *weights.Versions
	// usableMembers is the answer of usable at the machine's change usableAt.
	usableMembers []membership.Member
	usableAt      uint64
	// leavingNews counts for each endpoint how often it is still to be told.
	leavingNews map[string]int
	// fresh wakes the spread loop.
	fresh chan struct{}
}

func newMembers(n *Node, random *rand.Rand) *members {
	self := membership.Member{
		ID: n.id, Address: n.settings.PeerAddress, HTTPAddress: n.settings.HTTPAddress, Zone: n.settings.Zone,
	}
	return &members{
		node:        n,
		machine:     membership.New(membership.DefaultSettings(), self, random, time.Now()),
		versions:    weights.NewVersions(),
		leavingNews: make(map[string]int),
		fresh:       make(chan struct{}, 1),
	}
}

func sortedKeys[V any](index map[string]V) []string { return slices.Sorted(maps.Keys(index)) }

// usable returns the members that take new work, this node included unless it
// leaves. The caller must not modify the slice.
func (m *members) usable() []membership.Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.usableAt != m.machine.Changes() {
		m.usableAt = m.machine.Changes()
		m.usableMembers = slices.DeleteFunc(m.machine.Members(), func(member membership.Member) bool { return !member.Usable() })
	}
	return m.usableMembers
}

func (m *members) usableCount() int { return len(m.usable()) }

// all returns every member, also leaving and dead ones.
func (m *members) all() []membership.Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.machine.Members()
}

func (m *members) get(id string) (membership.Member, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.machine.Get(id)
}

func (m *members) setSeeds(addresses []string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.machine.SetSeeds(addresses)
}

// raiseVersion records an announced version and reports whether it is news. A
// new version wakes the weight roller.
func (m *members) raiseVersion(key weights.ModelKey, version uint64) bool {
	m.mutex.Lock()
	raised := m.versions.Raise(key, version)
	m.mutex.Unlock()
	if raised {
		m.node.weights.wake()
	}
	return raised
}

func (m *members) version(key weights.ModelKey) uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.versions.Get(key)
}

func (m *members) announced() []weights.Announced {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.versions.All()
}

// spreadPause collects fresh statements before they are sent on.
const spreadPause = 50 * time.Millisecond

// spreadLoop sends fresh statements on without waiting for the next tick, so
// that the time until all nodes know grows little with their number.
func (m *members) spreadLoop(ctx context.Context) {
	for {
		select {
		case <-m.fresh:
		case <-ctx.Done():
			return
		}
		if !wait.For(ctx, spreadPause) {
			return
		}
		m.mutex.Lock()
		messages := m.machine.Spread()
		m.mutex.Unlock()
		m.sendAll(messages)
	}
}

// noteFresh wakes the spread loop if there is something to send on. The mutex
// is held.
func (m *members) noteFresh() {
	if !m.machine.Fresh() {
		return
	}
	select {
	case m.fresh <- struct{}{}:
	default:
	}
}

func (m *members) loop(ctx context.Context) {
	var beats conc.WaitGroup
	defer beats.Wait()
	beats.Go(func() { m.spreadLoop(ctx) })
	wait.Every(ctx, membership.DefaultSettings().Interval, func() {
		for _, message := range m.tick() {
			beats.Go(func() { m.send(ctx, message) })
		}
		m.logChanges()
	})
}

func (m *members) tick() []membership.Message {
	news := m.node.fleet.TakeNewlyLeaving()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for id := range m.leavingNews {
		m.leavingNews[id]--
		if m.leavingNews[id] <= 0 {
			delete(m.leavingNews, id)
		}
	}
	for _, id := range news {
		m.leavingNews[id] = newsRepeats
	}
	messages := m.machine.Tick(time.Now())
	m.noteFresh()
	return messages
}

func (m *members) send(ctx context.Context, message membership.Message) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	call := &pathbendv1.Envelope{Body: &pathbendv1.Envelope_Heartbeat{Heartbeat: m.encode(message.Heartbeat)}}
	reply, err := m.node.peers.Call(ctx, message.ToAddress, call)
	now := time.Now()
	if err != nil {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		m.machine.HandleMiss(now, message.ToID)
		m.noteFresh()
		return
	}
	m.takeIn(reply.GetHeartbeat())
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.machine.HandleAck(now, decodeHeartbeat(reply.GetHeartbeat()))
	m.noteFresh()
}

// handle answers a heartbeat of a peer.
func (m *members) handle(beat *pathbendv1.Heartbeat) *pathbendv1.Heartbeat {
	m.takeIn(beat)
	m.mutex.Lock()
	reply := m.machine.HandleHeartbeat(time.Now(), decodeHeartbeat(beat))
	m.noteFresh()
	m.mutex.Unlock()
	m.logChanges()
	return m.encode(reply)
}

// takeIn merges what rides on a heartbeat beside membership.
func (m *members) takeIn(beat *pathbendv1.Heartbeat) {
	for _, version := range beat.GetVersions() {
		m.raiseVersion(weights.ModelKey{Tenant: version.Tenant, Model: version.Model}, version.Version)
	}
	for _, leaving := range beat.GetLeaving() {
		m.node.fleet.MarkLeavingFromPeer(leaving.Id)
	}
}

func (m *members) logChanges() {
	m.mutex.Lock()
	changes := m.machine.TakeChanges()
	m.mutex.Unlock()
	numbers := map[membership.Status]event.Number{
		membership.Alive: event.MemberJoined, membership.Suspect: event.MemberSuspected,
		membership.Leaving: event.MemberLeaving, membership.Dead: event.MemberDead,
	}
	for _, change := range changes {
		if change.Member.ID == m.node.id {
			m.logRefutation(change)
			continue
		}
		m.node.logger.Log(numbers[change.Member.Status], "member", change.Member.ID, "zone", change.Member.Zone, "former", change.Former.String())
	}
}

func (m *members) logRefutation(change membership.Change) {
	if change.Former == membership.Dead {
		m.node.logger.Log(event.SelfDeclaredDead, "version", change.Member.Version)
	}
}

// leave announces the drain, at once to the neighbours.
func (m *members) leave() {
	m.mutex.Lock()
	m.machine.Leave(time.Now())
	messages := m.machine.Tick(time.Now())
	m.mutex.Unlock()
	m.sendAll(messages)
}

// depart announces the end of the process.
func (m *members) depart() {
	m.mutex.Lock()
	messages := m.machine.Depart(time.Now())
	m.mutex.Unlock()
	m.sendAll(messages)
}

// spread sends heartbeats at once, so that an announced version, which rides on
// them, does not wait for the next tick.
func (m *members) spread() {
	m.mutex.Lock()
	messages := m.machine.Tick(time.Now())
	m.mutex.Unlock()
	m.sendAll(messages)
}

func (m *members) sendAll(messages []membership.Message) {
	var beats conc.WaitGroup
	for _, message := range messages {
		beats.Go(func() { m.send(m.node.ctx, message) })
	}
	beats.Wait()
}

func (m *members) encode(beat membership.Heartbeat) *pathbendv1.Heartbeat {
	encoded := &pathbendv1.Heartbeat{From: beat.From, Digest: beat.Digest, Full: beat.Full}
	for _, member := range beat.Updates {
		encoded.Updates = append(encoded.Updates, &pathbendv1.Member{
			Id: member.ID, Address: member.Address, HttpAddress: member.HTTPAddress, Zone: member.Zone,
			Status: pathbendv1.MemberStatus(member.Status), Version: member.Version,
		})
	}
	if revision := m.node.current.Load(); revision != nil {
		encoded.ConfigRevision = revision.Number
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, announced := range m.versions.All() {
		encoded.Versions = append(encoded.Versions, &pathbendv1.ModelVersion{
			Tenant: announced.Tenant, Model: announced.Model, Version: announced.Version,
		})
	}
	for _, id := range sortedKeys(m.leavingNews) {
		encoded.Leaving = append(encoded.Leaving, &pathbendv1.LeavingEndpoint{Id: id})
	}
	return encoded
}

func decodeHeartbeat(encoded *pathbendv1.Heartbeat) membership.Heartbeat {
	beat := membership.Heartbeat{From: encoded.GetFrom(), Digest: encoded.GetDigest(), Full: encoded.GetFull()}
	for _, member := range encoded.GetUpdates() {
		status := membership.Status(member.Status)
		if status < membership.Alive || status > membership.Dead {
			continue
		}
		beat.Updates = append(beat.Updates, membership.Member{
			ID: member.Id, Address: member.Address, HTTPAddress: member.HttpAddress, Zone: member.Zone,
			Status: status, Version: member.Version,
		})
	}
	return beat
}

// owners ranks the members for a job: those that take new work first.
func (m *members) owners(jobKey string) []membership.Member {
	ranked := rank(jobKey, slices.DeleteFunc(m.all(), func(member membership.Member) bool {
		return member.Status == membership.Dead
	}))
	slices.SortStableFunc(ranked, func(a, b membership.Member) int {
		return cmp.Compare(ordinal(a), ordinal(b))
	})
	return ranked
}

func ordinal(member membership.Member) int {
	if member.Usable() {
		return 0
	}
	return 1
}

// PeerTraffic returns the bytes sent to and received from peers over the
// connections that this node opened.
func (n *Node) PeerTraffic() (sent, received int64) { return n.peers.Traffic() }

// Settled reports whether the node takes work, is on the roster, sees a number
// of nodes that take work, and holds the entries of all its shards.
func (n *Node) Settled(nodes int) bool {
	ready, member := n.replicas.readyShards()
	_, listed := n.roster()[n.id]
	return n.Ready() && listed && n.members.usableCount() >= nodes && ready == member
}

// Sees returns the status that this node holds of a member; empty if it does
// not know it.
func (n *Node) Sees(id string) string {
	member, ok := n.members.get(id)
	if !ok {
		return ""
	}
	return member.Status.String()
}

// CountDead counts the members that this node takes for dead, except those
// whose id begins with a name.
func (n *Node) CountDead(except string) int {
	count := 0
	for _, member := range n.members.all() {
		if member.Status == membership.Dead && (except == "" || !strings.HasPrefix(member.ID, except)) {
			count++
		}
	}
	return count
}
