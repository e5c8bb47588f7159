package membership

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxUpdates limits the gossiped updates per heartbeat, in addition to the sender's
	// own.
	maxUpdates = 12
	// transmitFactor times log2 of the cluster size is how often each node transmits an
	// update.
	transmitFactor = 3
	// pauseFactor is the number of intervals without a tick after which this node considers
	// itself to have been paused.
	pauseFactor = 2
	// maxSeedProbes limits the probes to unknown addresses per tick.
	maxSeedProbes = 3
	// divergenceTimeout is how long two tables may differ before they are exchanged in
	// full.
	divergenceTimeout = 5 * time.Second
)

type memberEntry struct {
	member Member
	// since is when this node recorded the status.
	since time.Time
	// misses counts consecutive unanswered heartbeats.
	misses int
	// divergedSince is when this member's digest began to differ from that of this node, or
	// zero.
	divergedSince time.Time
}

// StateMachine is the membership state of one node. It is not safe for concurrent use.
type StateMachine struct {
	settings Settings
	self     Member
	random   *rand.Rand
	members  map[string]*memberEntry
	seeds    map[string]struct{}
	// expiring holds the ids with a status that times out: suspect and dead members.
	expiring map[string]struct{}
	// unknownSeeds are the seeds without a known live member.
	unknownSeeds []string
	seedsStale   bool
	// transmissionsLeft counts how often the update about a member is still to be sent.
	transmissionsLeft map[string]int
	hasUnsent         bool
	changes           []Change
	ring              []ringEntry
	ringStale         bool
	lastTick          time.Time
	digest            uint64
	digestValid       bool
	// changeCount counts stored updates and removals.
	changeCount uint64
}

type ringEntry struct {
	hash uint64
	id   string
}

// New returns the state of a node that knows only itself.
func New(settings Settings, self Member, random *rand.Rand, now time.Time) *StateMachine {
	self.Status = Alive
	self.Version = 1
	machine := &StateMachine{
		settings:          settings,
		self:              self,
		random:            random,
		members:           make(map[string]*memberEntry),
		seeds:             make(map[string]struct{}),
		transmissionsLeft: make(map[string]int),
		expiring:          make(map[string]struct{}),
		ringStale:         true,
		lastTick:          now,
	}
	machine.store(self, now)
	machine.changes = nil
	return machine
}

// Self returns the node's own entry.
func (m *StateMachine) Self() Member { return m.self }

// Members returns every known member ordered by id, dead ones included.
func (m *StateMachine) Members() []Member {
	members := make([]Member, 0, len(m.members))
	for _, id := range slices.Sorted(maps.Keys(m.members)) {
		members = append(members, m.members[id].member)
	}
	return members
}

// Changes returns a counter that changes whenever the members do.
func (m *StateMachine) Changes() uint64 { return m.changeCount }

// Get returns the member with the given id.
func (m *StateMachine) Get(id string) (Member, bool) {
	found, ok := m.members[id]
	if !ok {
		return Member{}, false
	}
	return found.member, true
}

// TakeChanges returns the status changes since the last call. A change of the node itself
// is a refutation, and its Previous is the status that others had assigned to it.
func (m *StateMachine) TakeChanges() []Change {
	changes := m.changes
	m.changes = nil
	return changes
}

// SetSeeds replaces the addresses at which other nodes may be found.
func (m *StateMachine) SetSeeds(addresses []string) {
	clear(m.seeds)
	for _, address := range addresses {
		if address != m.self.Address {
			m.seeds[address] = struct{}{}
		}
	}
	m.seedsStale = true
}

// Leave announces that this node accepts no new work.
func (m *StateMachine) Leave(now time.Time) {
	m.self.Version++
	m.self.Status = Leaving
	m.store(m.self, now)
}

// Depart marks this node as dead and returns the messages that announce it, to the members
// it monitors and a few more successors.
func (m *StateMachine) Depart(now time.Time) []Message {
	m.self.Version++
	m.self.Status = Dead
	m.store(m.self, now)
	var messages []Message
	for _, id := range m.successors(m.settings.Monitors + m.settings.GossipFanout) {
		messages = append(messages, m.newMessage(id))
	}
	return messages
}

// Tick advances timers and returns the heartbeats to send now.
func (m *StateMachine) Tick(now time.Time) []Message {
	if now.Sub(m.lastTick) > pauseFactor*m.settings.Interval {
		m.resetTimers(now)
	}
	m.lastTick = now
	m.expire(now)
	targets := m.targets()
	messages := make([]Message, 0, len(targets)+maxSeedProbes)
	for _, id := range targets {
		messages = append(messages, m.newMessage(id))
	}
	m.hasUnsent = false
	return append(messages, m.seedProbes()...)
}

// resetTimers clears the misses and suspicion timers that ran while this node was paused.
func (m *StateMachine) resetTimers(now time.Time) {
	for _, entry := range m.members {
		entry.misses = 0
		if entry.member.Status == Suspect {
			entry.since = now
		}
	}
}

func (m *StateMachine) expire(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.expiring)) {
		entry := m.members[id]
		age := now.Sub(entry.since)
		switch {
		case entry.member.Status == Suspect && age >= m.settings.SuspicionTimeout:
			dead := entry.member
			dead.Status = Dead
			m.store(dead, now)
		case entry.member.Status == Dead && age >= m.settings.TombstoneTimeout && id != m.self.ID:
			delete(m.members, id)
			delete(m.transmissionsLeft, id)
			delete(m.expiring, id)
			m.digestValid = false
			m.changeCount++
		}
	}
}

// targets returns the monitored successors and, if there are unsent updates, a few random
// members.
func (m *StateMachine) targets() []string {
	targets := m.successors(m.settings.Monitors)
	if m.hasUnsent {
		targets = m.addRandomMembers(targets)
	}
	return targets
}

// addRandomMembers appends up to GossipFanout random members that are not in targets yet.
func (m *StateMachine) addRandomMembers(targets []string) []string {
	m.refreshRing()
	for range m.settings.GossipFanout {
		if len(m.ring) == 0 {
			break
		}
		id := m.ring[m.random.IntN(len(m.ring))].id
		if id != m.self.ID && !slices.Contains(targets, id) {
			targets = append(targets, id)
		}
	}
	return targets
}

// HasUnsent reports whether updates have arrived that were not sent on yet.
func (m *StateMachine) HasUnsent() bool { return m.hasUnsent }

// Gossip returns messages that send new updates on before the next tick. They are not
// probes and carry no member id, so a lost one is not a miss.
func (m *StateMachine) Gossip() []Message {
	if !m.hasUnsent {
		return nil
	}
	m.hasUnsent = false
	var messages []Message
	for _, id := range m.addRandomMembers(nil) {
		messages = append(messages, Message{ToAddress: m.members[id].member.Address, Heartbeat: m.newHeartbeat()})
	}
	return messages
}

// successors returns the next members after this node on the hash ring.
func (m *StateMachine) successors(count int) []string {
	m.refreshRing()
	start, _ := slices.BinarySearchFunc(m.ring, xxhash.Sum64String(m.self.ID), func(entry ringEntry, hash uint64) int {
		return cmp.Compare(entry.hash, hash)
	})
	var found []string
	for step := 0; step < len(m.ring) && len(found) < count; step++ {
		id := m.ring[(start+step)%len(m.ring)].id
		if id != m.self.ID {
			found = append(found, id)
		}
	}
	return found
}

func (m *StateMachine) refreshRing() {
	if !m.ringStale {
		return
	}
	m.ringStale = false
	m.ring = m.ring[:0]
	for id, entry := range m.members {
		if entry.member.Status != Dead {
			m.ring = append(m.ring, ringEntry{hash: xxhash.Sum64String(id), id: id})
		}
	}
	slices.SortFunc(m.ring, func(a, b ringEntry) int { return cmp.Compare(a.hash, b.hash) })
}

func (m *StateMachine) seedProbes() []Message {
	m.refreshUnknownSeeds()
	unknown := m.unknownSeeds
	m.random.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	var messages []Message
	for _, address := range unknown[:min(len(unknown), maxSeedProbes)] {
		messages = append(messages, Message{ToAddress: address, Heartbeat: m.newHeartbeat()})
	}
	return messages
}

func (m *StateMachine) refreshUnknownSeeds() {
	if !m.seedsStale {
		return
	}
	m.seedsStale = false
	known := make(map[string]struct{}, len(m.members))
	for _, entry := range m.members {
		if entry.member.Status != Dead {
			known[entry.member.Address] = struct{}{}
		}
	}
	m.unknownSeeds = m.unknownSeeds[:0]
	for _, address := range slices.Sorted(maps.Keys(m.seeds)) {
		if _, ok := known[address]; !ok {
			m.unknownSeeds = append(m.unknownSeeds, address)
		}
	}
}

func (m *StateMachine) newMessage(id string) Message {
	return Message{ToID: id, ToAddress: m.members[id].member.Address, Heartbeat: m.newHeartbeat()}
}

// newHeartbeat returns a heartbeat with this node's own entry and the updates with the most
// transmissions left.
func (m *StateMachine) newHeartbeat() Heartbeat {
	heartbeat := Heartbeat{From: m.self.ID, Digest: m.tableDigest(), Updates: []Member{m.self}}
	for _, id := range m.nextToTransmit() {
		if id != m.self.ID {
			heartbeat.Updates = append(heartbeat.Updates, m.members[id].member)
		}
		m.transmissionsLeft[id]--
		if m.transmissionsLeft[id] <= 0 {
			delete(m.transmissionsLeft, id)
		}
	}
	return heartbeat
}

// nextToTransmit returns the ids of the updates with the most transmissions left, at most
// maxUpdates of them.
func (m *StateMachine) nextToTransmit() []string {
	if len(m.transmissionsLeft) == 0 {
		return nil
	}
	var selected []string
	for id := range m.transmissionsLeft {
		at, _ := slices.BinarySearchFunc(selected, id, func(a, b string) int {
			return cmp.Or(cmp.Compare(m.transmissionsLeft[b], m.transmissionsLeft[a]), cmp.Compare(a, b))
		})
		if at >= maxUpdates {
			continue
		}
		selected = slices.Insert(selected, at, id)
		selected = selected[:min(len(selected), maxUpdates)]
	}
	return selected
}

// HandleHeartbeat applies a probe and returns the acknowledgement. The acknowledgement
// holds the whole table if the sender sent its own in full or has diverged for too long.
func (m *StateMachine) HandleHeartbeat(now time.Time, heartbeat Heartbeat) Heartbeat {
	m.applyUpdates(now, heartbeat)
	reply := m.newHeartbeat()
	if heartbeat.Full || m.diverged(now, heartbeat) {
		reply.Full = true
		reply.Updates = m.Members()
	}
	return reply
}

// HandleAck applies the acknowledgement of a heartbeat and clears the misses of its sender.
func (m *StateMachine) HandleAck(now time.Time, heartbeat Heartbeat) {
	m.applyUpdates(now, heartbeat)
	if entry, ok := m.members[heartbeat.From]; ok {
		entry.misses = 0
	}
}

// diverged reports whether the sender's table has differed from that of this node for
// divergenceTimeout, and if so restarts the timeout.
func (m *StateMachine) diverged(now time.Time, heartbeat Heartbeat) bool {
	entry, ok := m.members[heartbeat.From]
	if !ok || heartbeat.Digest == m.tableDigest() {
		if ok {
			entry.divergedSince = time.Time{}
		}
		return false
	}
	if entry.divergedSince.IsZero() {
		entry.divergedSince = now
		return false
	}
	if now.Sub(entry.divergedSince) < divergenceTimeout {
		return false
	}
	entry.divergedSince = now
	return true
}

// HandleMiss records that a heartbeat to a member went unanswered. Misses do not count
// while this node itself is late with its ticks.
func (m *StateMachine) HandleMiss(now time.Time, id string) {
	entry, ok := m.members[id]
	if !ok || entry.member.Status == Dead || now.Sub(m.lastTick) > pauseFactor*m.settings.Interval {
		return
	}
	entry.misses++
	if entry.misses < m.settings.MissLimit || entry.member.Status == Suspect {
		return
	}
	suspect := entry.member
	suspect.Status = Suspect
	if entry.member.Status == Leaving {
		suspect.Status = Dead // a leaving node does not refute a suspicion
	}
	m.store(suspect, now)
}

func (m *StateMachine) applyUpdates(now time.Time, heartbeat Heartbeat) {
	for _, update := range heartbeat.Updates {
		if update.ID == m.self.ID {
			m.refute(now, update)
			continue
		}
		entry, ok := m.members[update.ID]
		if !ok && update.Status == Dead {
			continue // a dead member that was never known here needs no entry
		}
		if !ok || supersedes(update, entry.member) {
			m.store(update, now)
		}
	}
}

// refute answers a more severe update about this node with a higher version.
func (m *StateMachine) refute(now time.Time, update Member) {
	if !supersedes(update, m.self) {
		return
	}
	m.self.Version = update.Version + 1
	m.store(m.self, now)
	m.changes = append(m.changes, Change{Member: m.self, Previous: update.Status})
}

func (m *StateMachine) store(update Member, now time.Time) {
	m.changeCount++
	entry, ok := m.members[update.ID]
	var previous Status
	if ok {
		previous = entry.member.Status
		if previous == update.Status {
			entry.member = update
		} else {
			*entry = memberEntry{member: update, since: now}
		}
	} else {
		entry = &memberEntry{member: update, since: now}
		m.members[update.ID] = entry
	}
	m.transmissionsLeft[update.ID] = transmitFactor * bits.Len(uint(len(m.members)))
	if update.Status == Suspect || update.Status == Dead {
		m.expiring[update.ID] = struct{}{}
	} else {
		delete(m.expiring, update.ID)
	}
	m.hasUnsent = true
	m.digestValid = false
	if !ok || (previous == Dead) != (update.Status == Dead) {
		m.ringStale = true
		m.seedsStale = true
	}
	if previous != update.Status && update.ID != m.self.ID {
		m.changes = append(m.changes, Change{Member: update, Previous: previous})
	}
}

// tableDigest returns a hash of the live members that does not depend on their order.
func (m *StateMachine) tableDigest() uint64 {
	if m.digestValid {
		return m.digest
	}
	m.digest = 0
	var buffer []byte
	for id, entry := range m.members {
		if entry.member.Status == Dead {
			continue
		}
		buffer = append(buffer[:0], id...)
		buffer = binary.BigEndian.AppendUint64(buffer, entry.member.Version)
		buffer = append(buffer, byte(entry.member.Status))
		m.digest ^= xxhash.Sum64(buffer)
	}
	m.digestValid = true
	return m.digest
}
