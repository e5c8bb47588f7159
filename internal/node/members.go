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

// heartbeatTimeout bounds the wait for the acknowledgement of a heartbeat.
const heartbeatTimeout = 450 * time.Millisecond

// leavingGossipTicks is the number of ticks for which heartbeats name a leaving endpoint.
const leavingGossipTicks = 6

// members runs the membership state machine over the network, and the gossip that its
// heartbeats carry: announced weight versions and leaving endpoints.
type members struct {
	node *Node

	mutex        sync.Mutex
	stateMachine *membership.StateMachine
	versions     *weights.Versions
	// cachedUsable is the result of usable as of the state machine's change number
	// cachedAtChange.
	cachedUsable   []membership.Member
	cachedAtChange uint64
	// leavingTicks is the number of ticks for which each leaving endpoint is still
	// gossiped, by endpoint id.
	leavingTicks map[string]int
	// gossipRequests wakes the gossip loop.
	gossipRequests chan struct{}
}

func newMembers(n *Node, random *rand.Rand) *members {
	self := membership.Member{
		ID: n.id, Address: n.settings.PeerAddress, HTTPAddress: n.settings.HTTPAddress, Zone: n.settings.Zone,
	}
	return &members{
		node:           n,
		stateMachine:   membership.New(membership.DefaultSettings(), self, random, time.Now()),
		versions:       weights.NewVersions(),
		leavingTicks:   make(map[string]int),
		gossipRequests: make(chan struct{}, 1),
	}
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](index map[string]V) []string { return slices.Sorted(maps.Keys(index)) }

// usable returns the members that take new work, including this node unless it is
// leaving. The caller must not modify the slice.
func (m *members) usable() []membership.Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.cachedAtChange != m.stateMachine.Changes() {
		m.cachedAtChange = m.stateMachine.Changes()
		m.cachedUsable = slices.DeleteFunc(m.stateMachine.Members(), func(member membership.Member) bool { return !member.Usable() })
	}
	return m.cachedUsable
}

func (m *members) usableCount() int { return len(m.usable()) }

// all returns all members, including leaving and dead ones.
func (m *members) all() []membership.Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.stateMachine.Members()
}

func (m *members) get(id string) (membership.Member, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.stateMachine.Get(id)
}

func (m *members) setSeeds(addresses []string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.stateMachine.SetSeeds(addresses)
}

// raiseVersion records an announced version and reports whether it is higher than the
// known one. A higher version triggers the weight updater.
func (m *members) raiseVersion(key weights.ModelKey, version uint64) bool {
	m.mutex.Lock()
	raised := m.versions.Raise(key, version)
	m.mutex.Unlock()
	if raised {
		m.node.weights.trigger()
	}
	return raised
}

// version returns the newest announced version of a model; 0 if there is none.
func (m *members) version(key weights.ModelKey) uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.versions.Get(key)
}

func (m *members) announced() []weights.AnnouncedVersion {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.versions.All()
}

// gossipDelay is the time for which updates are collected before they are sent on.
const gossipDelay = 50 * time.Millisecond

// gossipLoop sends updates on without waiting for the next tick, so that the time until
// all nodes have them grows little with the number of nodes.
func (m *members) gossipLoop(ctx context.Context) {
	for {
		select {
		case <-m.gossipRequests:
		case <-ctx.Done():
			return
		}
		if !wait.For(ctx, gossipDelay) {
			return
		}
		m.mutex.Lock()
		messages := m.stateMachine.Gossip()
		m.mutex.Unlock()
		m.sendAll(messages)
	}
}

// requestGossip wakes the gossip loop if there are unsent updates. The caller holds
// m.mutex.
func (m *members) requestGossip() {
	if !m.stateMachine.HasUnsent() {
		return
	}
	select {
	case m.gossipRequests <- struct{}{}:
	default:
	}
}

// loop sends heartbeats at each interval of the membership until ctx ends.
func (m *members) loop(ctx context.Context) {
	var sends conc.WaitGroup
	defer sends.Wait()
	sends.Go(func() { m.gossipLoop(ctx) })
	wait.Every(ctx, membership.DefaultSettings().Interval, func() {
		for _, message := range m.tick() {
			sends.Go(func() { m.send(ctx, message) })
		}
		m.logChanges()
	})
}

// tick advances the membership by one interval and returns the heartbeats to send.
func (m *members) tick() []membership.Message {
	leaving := m.node.fleet.TakeNewlyLeaving()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for id := range m.leavingTicks {
		m.leavingTicks[id]--
		if m.leavingTicks[id] <= 0 {
			delete(m.leavingTicks, id)
		}
	}
	for _, id := range leaving {
		m.leavingTicks[id] = leavingGossipTicks
	}
	messages := m.stateMachine.Tick(time.Now())
	m.requestGossip()
	return messages
}

// send sends one heartbeat and applies its acknowledgement, or records that it is missing.
func (m *members) send(ctx context.Context, message membership.Message) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	call := &pathbendv1.Envelope{Body: &pathbendv1.Envelope_Heartbeat{Heartbeat: m.encode(message.Heartbeat)}}
	reply, err := m.node.peers.Call(ctx, message.ToAddress, call)
	now := time.Now()
	if err != nil {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		m.stateMachine.HandleMiss(now, message.ToID)
		m.requestGossip()
		return
	}
	m.applyGossip(reply.GetHeartbeat())
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.stateMachine.HandleAck(now, decodeHeartbeat(reply.GetHeartbeat()))
	m.requestGossip()
}

// handle applies a peer's heartbeat and returns the acknowledgement.
func (m *members) handle(heartbeat *pathbendv1.Heartbeat) *pathbendv1.Heartbeat {
	m.applyGossip(heartbeat)
	m.mutex.Lock()
	reply := m.stateMachine.HandleHeartbeat(time.Now(), decodeHeartbeat(heartbeat))
	m.requestGossip()
	m.mutex.Unlock()
	m.logChanges()
	return m.encode(reply)
}

// applyGossip applies the announced versions and leaving endpoints that a heartbeat carries.
func (m *members) applyGossip(heartbeat *pathbendv1.Heartbeat) {
	for _, version := range heartbeat.GetVersions() {
		m.raiseVersion(weights.ModelKey{Tenant: version.Tenant, Model: version.Model}, version.Version)
	}
	for _, leaving := range heartbeat.GetLeaving() {
		m.node.fleet.MarkLeavingFromPeer(leaving.Id)
	}
}

// logChanges logs the changes of the membership since the last call.
func (m *members) logChanges() {
	m.mutex.Lock()
	changes := m.stateMachine.TakeChanges()
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
		m.node.logger.Log(numbers[change.Member.Status], "member", change.Member.ID, "zone", change.Member.Zone, "former", change.Previous.String())
	}
}

// logRefutation logs that peers declared this node dead, which it has refuted.
func (m *members) logRefutation(change membership.Change) {
	if change.Previous == membership.Dead {
		m.node.logger.Log(event.SelfDeclaredDead, "version", change.Member.Version)
	}
}

// leave marks this node as leaving and sends heartbeats to its neighbours at once.
func (m *members) leave() {
	m.mutex.Lock()
	m.stateMachine.Leave(time.Now())
	messages := m.stateMachine.Tick(time.Now())
	m.mutex.Unlock()
	m.sendAll(messages)
}

// depart tells peers that this process ends.
func (m *members) depart() {
	m.mutex.Lock()
	messages := m.stateMachine.Depart(time.Now())
	m.mutex.Unlock()
	m.sendAll(messages)
}

// gossipNow sends heartbeats at once, so that an announced version, which heartbeats
// carry, does not wait for the next tick.
func (m *members) gossipNow() {
	m.mutex.Lock()
	messages := m.stateMachine.Tick(time.Now())
	m.mutex.Unlock()
	m.sendAll(messages)
}

func (m *members) sendAll(messages []membership.Message) {
	var sends conc.WaitGroup
	for _, message := range messages {
		sends.Go(func() { m.send(m.node.ctx, message) })
	}
	sends.Wait()
}

// encode encodes a heartbeat and adds the configuration revision, the announced versions and
// the leaving endpoints.
func (m *members) encode(heartbeat membership.Heartbeat) *pathbendv1.Heartbeat {
	encoded := &pathbendv1.Heartbeat{From: heartbeat.From, Digest: heartbeat.Digest, Full: heartbeat.Full}
	for _, member := range heartbeat.Updates {
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
	for _, id := range sortedKeys(m.leavingTicks) {
		encoded.Leaving = append(encoded.Leaving, &pathbendv1.LeavingEndpoint{Id: id})
	}
	return encoded
}

// decodeHeartbeat decodes the membership part of a heartbeat. Updates with an unknown status
// are ignored.
func decodeHeartbeat(encoded *pathbendv1.Heartbeat) membership.Heartbeat {
	heartbeat := membership.Heartbeat{From: encoded.GetFrom(), Digest: encoded.GetDigest(), Full: encoded.GetFull()}
	for _, member := range encoded.GetUpdates() {
		status := membership.Status(member.Status)
		if status < membership.Alive || status > membership.Dead {
			continue
		}
		heartbeat.Updates = append(heartbeat.Updates, membership.Member{
			ID: member.Id, Address: member.Address, HTTPAddress: member.HttpAddress, Zone: member.Zone,
			Status: status, Version: member.Version,
		})
	}
	return heartbeat
}

// owners returns the members that are not dead in rank order for a job, those that take new
// work first.
func (m *members) owners(jobKey string) []membership.Member {
	ranked := rank(jobKey, slices.DeleteFunc(m.all(), func(member membership.Member) bool {
		return member.Status == membership.Dead
	}))
	slices.SortStableFunc(ranked, func(a, b membership.Member) int {
		return cmp.Compare(usabilityOrder(a), usabilityOrder(b))
	})
	return ranked
}

// usabilityOrder returns the sort key that puts usable members first.
func usabilityOrder(member membership.Member) int {
	if member.Usable() {
		return 0
	}
	return 1
}

// PeerTraffic returns the bytes sent to and received from peers over the
// connections that this node opened.
func (n *Node) PeerTraffic() (sent, received int64) { return n.peers.Traffic() }

// Converged reports whether this node takes new work, is on the roster, knows at least the
// given number of nodes that take new work, and is ready in all its shards.
func (n *Node) Converged(nodes int) bool {
	ready, member := n.replicas.readyShards()
	_, listed := n.roster()[n.id]
	return n.Ready() && listed && n.members.usableCount() >= nodes && ready == member
}

// MemberStatusOf returns the status of a member as known to this node, or the empty string if
// the member is unknown.
func (n *Node) MemberStatusOf(id string) string {
	member, ok := n.members.get(id)
	if !ok {
		return ""
	}
	return member.Status.String()
}

// CountDead returns the number of members that this node considers dead, without those
// whose id begins with except. An empty except excludes none.
func (n *Node) CountDead(except string) int {
	count := 0
	for _, member := range n.members.all() {
		if member.Status == membership.Dead && (except == "" || !strings.HasPrefix(member.ID, except)) {
			count++
		}
	}
	return count
}
