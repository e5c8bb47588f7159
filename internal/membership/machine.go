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
	// maxUpdates bounds the statements on one heartbeat.
	maxUpdates = 12
	// transmitFactor times log2 of the cluster size is how often a statement
	// is sent on by each node.
	transmitFactor = 3
	// pauseFactor times the interval without a tick counts as a pause of this
	// node.
	pauseFactor = 2
	// maxSeedProbes bounds the probes to unknown addresses at one tick.
	maxSeedProbes = 3
	// divergenceLimit is how long two tables may differ before they are
	// exchanged whole.
	divergenceLimit = 5 * time.Second
)

type record struct {
	member Member
	// since is when the status was taken on here.
	since time.Time
	// misses counts unanswered heartbeats in a row.
	misses int
	// divergedSince is when this member's digest began to differ from ours.
	divergedSince time.Time
}

// Machine is the membership state of one node. It is not safe for concurrent
// use.
type Machine struct {
	settings Settings
	self     Member
	random   *rand.Rand
	members  map[string]*record
	seeds    map[string]struct{}
	// timed are the ids whose status runs out: suspects and the dead.
	timed map[string]struct{}
	// unknownSeeds are the seeds at which no live member is known.
	unknownSeeds []string
	seedsStale   bool
	// remaining counts how often a statement is still to be sent.
	remaining map[string]int
	fresh     bool
	changes   []Change
	ring      []ringEntry
	ringStale bool
	lastTick  time.Time
	digest    uint64
	hasDigest bool
	// changeCount counts stores and removals.
	changeCount uint64
}

type ringEntry struct {
	hash uint64
	id   string
}

// New returns the state of a node that knows only itself.
func New(settings Settings, self Member, random *rand.Rand, now time.Time) *Machine {
	self.Status = Alive
	self.Version = 1
	machine := &Machine{
		settings:  settings,
		self:      self,
		random:    random,
		members:   make(map[string]*record),
		seeds:     make(map[string]struct{}),
		remaining: make(map[string]int),
		timed:     make(map[string]struct{}),
		ringStale: true,
		lastTick:  now,
	}
	machine.store(self, now)
	machine.changes = nil
	return machine
}

// Self returns the node's own statement.
func (m *Machine) Self() Member { return m.self }

// Members returns every known member ordered by id, dead ones included.
func (m *Machine) Members() []Member {
	members := make([]Member, 0, len(m.members))
	for _, id := range slices.Sorted(maps.Keys(m.members)) {
		members = append(members, m.members[id].member)
	}
	return members
}

// Changes counts the changes of the table so far. The members are the same as
// long as it is.
func (m *Machine) Changes() uint64 { return m.changeCount }

// Get returns one member.
func (m *Machine) Get(id string) (Member, bool) {
	found, ok := m.members[id]
	if !ok {
		return Member{}, false
	}
	return found.member, true
}

// TakeChanges returns the status changes since the last call. A change of the
// node itself is a refutation; Former is what others held of it.
func (m *Machine) TakeChanges() []Change {
	changes := m.changes
	m.changes = nil
	return changes
}

// SetSeeds replaces the addresses at which other nodes may be found.
func (m *Machine) SetSeeds(addresses []string) {
	clear(m.seeds)
	for _, address := range addresses {
		if address != m.self.Address {
			m.seeds[address] = struct{}{}
		}
	}
	m.seedsStale = true
}

// Leave announces that this node takes no new work.
func (m *Machine) Leave(now time.Time) {
	m.self.Version++
	m.self.Status = Leaving
	m.store(m.self, now)
}

// Depart returns the messages that announce this node's end to its monitors.
func (m *Machine) Depart(now time.Time) []Message {
	m.self.Version++
	m.self.Status = Dead
	m.store(m.self, now)
	var messages []Message
	for _, id := range m.neighbours(m.settings.Monitors + m.settings.GossipFanout) {
		messages = append(messages, m.messageTo(id))
	}
	return messages
}

// Tick advances timers and returns the heartbeats to send now.
func (m *Machine) Tick(now time.Time) []Message {
	if now.Sub(m.lastTick) > pauseFactor*m.settings.Interval {
		m.forgiveMisses(now)
	}
	m.lastTick = now
	m.expire(now)
	targets := m.targets()
	messages := make([]Message, 0, len(targets)+maxSeedProbes)
	for _, id := range targets {
		messages = append(messages, m.messageTo(id))
	}
	m.fresh = false
	return append(messages, m.seedProbes()...)
}

// forgiveMisses restarts every timer that ran while this node was paused.
func (m *Machine) forgiveMisses(now time.Time) {
	for _, held := range m.members {
		held.misses = 0
		if held.member.Status == Suspect {
			held.since = now
		}
	}
}

func (m *Machine) expire(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.timed)) {
		held := m.members[id]
		age := now.Sub(held.since)
		switch {
		case held.member.Status == Suspect && age >= m.settings.SuspicionTimeout:
			dead := held.member
			dead.Status = Dead
			m.store(dead, now)
		case held.member.Status == Dead && age >= m.settings.TombstoneTimeout && id != m.self.ID:
			delete(m.members, id)
			delete(m.remaining, id)
			delete(m.timed, id)
			m.hasDigest = false
			m.changeCount++
		}
	}
}

// targets are the watched successors and, for fresh statements, a few more.
func (m *Machine) targets() []string {
	targets := m.neighbours(m.settings.Monitors)
	if m.fresh {
		targets = m.addRandom(targets)
	}
	return targets
}

// addRandom appends up to GossipFanout random members that are not there yet.
func (m *Machine) addRandom(targets []string) []string {
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

// Fresh reports whether a statement has come in that was not sent on yet.
func (m *Machine) Fresh() bool { return m.fresh }

// Spread returns messages that send fresh statements on before the next tick.
// They are no probes and name no member, so an unanswered one is no miss.
func (m *Machine) Spread() []Message {
	if !m.fresh {
		return nil
	}
	m.fresh = false
	var messages []Message
	for _, id := range m.addRandom(nil) {
		messages = append(messages, Message{ToAddress: m.members[id].member.Address, Heartbeat: m.heartbeat()})
	}
	return messages
}

// neighbours returns the next members after this node on the hash ring.
func (m *Machine) neighbours(count int) []string {
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

func (m *Machine) refreshRing() {
	if !m.ringStale {
		return
	}
	m.ringStale = false
	m.ring = m.ring[:0]
	for id, held := range m.members {
		if held.member.Status != Dead {
			m.ring = append(m.ring, ringEntry{hash: xxhash.Sum64String(id), id: id})
		}
	}
	slices.SortFunc(m.ring, func(a, b ringEntry) int { return cmp.Compare(a.hash, b.hash) })
}

func (m *Machine) seedProbes() []Message {
	m.refreshUnknownSeeds()
	unknown := m.unknownSeeds
	m.random.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	var messages []Message
	for _, address := range unknown[:min(len(unknown), maxSeedProbes)] {
		messages = append(messages, Message{ToAddress: address, Heartbeat: m.heartbeat()})
	}
	return messages
}

func (m *Machine) refreshUnknownSeeds() {
	if !m.seedsStale {
		return
	}
	m.seedsStale = false
	known := make(map[string]struct{}, len(m.members))
	for _, held := range m.members {
		if held.member.Status != Dead {
			known[held.member.Address] = struct{}{}
		}
	}
	m.unknownSeeds = m.unknownSeeds[:0]
	for _, address := range slices.Sorted(maps.Keys(m.seeds)) {
		if _, ok := known[address]; !ok {
			m.unknownSeeds = append(m.unknownSeeds, address)
		}
	}
}

func (m *Machine) messageTo(id string) Message {
	return Message{ToID: id, ToAddress: m.members[id].member.Address, Heartbeat: m.heartbeat()}
}

// heartbeat carries the node itself and the statements with the most
// transmissions left.
func (m *Machine) heartbeat() Heartbeat {
	beat := Heartbeat{From: m.self.ID, Digest: m.tableDigest(), Updates: []Member{m.self}}
	for _, id := range m.mostWanted() {
		if id != m.self.ID {
			beat.Updates = append(beat.Updates, m.members[id].member)
		}
		m.remaining[id]--
		if m.remaining[id] <= 0 {
			delete(m.remaining, id)
		}
	}
	return beat
}

// mostWanted returns the ids of the statements with the most transmissions
// left, at most maxUpdates of them.
func (m *Machine) mostWanted() []string {
	if len(m.remaining) == 0 {
		return nil
	}
	var wanted []string
	for id := range m.remaining {
		at, _ := slices.BinarySearchFunc(wanted, id, func(a, b string) int {
			return cmp.Or(cmp.Compare(m.remaining[b], m.remaining[a]), cmp.Compare(a, b))
		})
		if at >= maxUpdates {
			continue
		}
		wanted = slices.Insert(wanted, at, id)
		wanted = wanted[:min(len(wanted), maxUpdates)]
	}
	return wanted
}

// HandleHeartbeat applies a probe and returns the acknowledgement.
func (m *Machine) HandleHeartbeat(now time.Time, beat Heartbeat) Heartbeat {
	m.takeIn(now, beat)
	reply := m.heartbeat()
	if beat.Full || m.diverged(now, beat) {
		reply.Full = true
		reply.Updates = m.Members()
	}
	return reply
}

// HandleAck applies the acknowledgement of a heartbeat. It returns a further
// message if the peer sent its whole table and needs ours.
func (m *Machine) HandleAck(now time.Time, beat Heartbeat) {
	m.takeIn(now, beat)
	if held, ok := m.members[beat.From]; ok {
		held.misses = 0
	}
}

// diverged reports whether the sender's table has differed from ours for long.
func (m *Machine) diverged(now time.Time, beat Heartbeat) bool {
	held, ok := m.members[beat.From]
	if !ok || beat.Digest == m.tableDigest() {
		if ok {
			held.divergedSince = time.Time{}
		}
		return false
	}
	if held.divergedSince.IsZero() {
		held.divergedSince = now
		return false
	}
	if now.Sub(held.divergedSince) < divergenceLimit {
		return false
	}
	held.divergedSince = now
	return true
}

// HandleMiss records that a heartbeat to a member went unanswered.
func (m *Machine) HandleMiss(now time.Time, id string) {
	held, ok := m.members[id]
	if !ok || held.member.Status == Dead || now.Sub(m.lastTick) > pauseFactor*m.settings.Interval {
		return
	}
	held.misses++
	if held.misses < m.settings.MissLimit || held.member.Status == Suspect {
		return
	}
	suspect := held.member
	suspect.Status = Suspect
	if held.member.Status == Leaving {
		suspect.Status = Dead // a leaving node has no reason to refute
	}
	m.store(suspect, now)
}

func (m *Machine) takeIn(now time.Time, beat Heartbeat) {
	for _, statement := range beat.Updates {
		if statement.ID == m.self.ID {
			m.refute(now, statement)
			continue
		}
		held, ok := m.members[statement.ID]
		if !ok && statement.Status == Dead {
			continue // never known here, no need to learn of its end
		}
		if !ok || supersedes(statement, held.member) {
			m.store(statement, now)
		}
	}
}

// refute answers a graver statement about this node with a higher version.
func (m *Machine) refute(now time.Time, statement Member) {
	if !supersedes(statement, m.self) {
		return
	}
	m.self.Version = statement.Version + 1
	m.store(m.self, now)
	m.changes = append(m.changes, Change{Member: m.self, Former: statement.Status})
}

func (m *Machine) store(statement Member, now time.Time) {
	m.changeCount++
	held, ok := m.members[statement.ID]
	var former Status
	if ok {
		former = held.member.Status
		if former == statement.Status {
			held.member = statement
		} else {
			*held = record{member: statement, since: now}
		}
	} else {
		held = &record{member: statement, since: now}
		m.members[statement.ID] = held
	}
	m.remaining[statement.ID] = transmitFactor * bits.Len(uint(len(m.members)))
	if statement.Status == Suspect || statement.Status == Dead {
		m.timed[statement.ID] = struct{}{}
	} else {
		delete(m.timed, statement.ID)
	}
	m.fresh = true
	m.hasDigest = false
	if !ok || (former == Dead) != (statement.Status == Dead) {
		m.ringStale = true
		m.seedsStale = true
	}
	if former != statement.Status && statement.ID != m.self.ID {
		m.changes = append(m.changes, Change{Member: statement, Former: former})
	}
}

// tableDigest hashes the table independently of order.
func (m *Machine) tableDigest() uint64 {
	if m.hasDigest {
		return m.digest
	}
	m.digest = 0
	var buffer []byte
	for id, held := range m.members {
		if held.member.Status == Dead {
			continue
		}
		buffer = append(buffer[:0], id...)
		buffer = binary.BigEndian.AppendUint64(buffer, held.member.Version)
		buffer = append(buffer, byte(held.member.Status))
		m.digest ^= xxhash.Sum64(buffer)
	}
	m.hasDigest = true
	return m.digest
}
