package state

import (
	"maps"
	"slices"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/config"
	"github.com/pathbend/pathbend/internal/lease"
	"github.com/pathbend/pathbend/internal/logstore"
	"github.com/pathbend/pathbend/internal/quarantine"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/shard"
)

const (
	// keptRevisions is the length of the history in memory and snapshots.
	keptRevisions = 20
	// keptRecordIDs bounds the record ids remembered against repeated appends.
	// Preconditions make later repeats harmless as well.
	keptRecordIDs = 4096
)

// Revision is one accepted configuration.
type Revision struct {
	Number    uint64
	Document  *config.Document
	Raw       []byte
	Author    string
	Message   string
	Published time.Time
}

// RosterMember is one node that the log admitted.
type RosterMember struct {
	ID      string
	Address string
	Zone    string
}

// Outcome tells what a record did.
type Outcome struct {
	// Changed names the part of the state that the record replaced.
	Changed Part
	// Err is set if the record was rejected; the state is unchanged.
	Err error
	// Duplicate is set if the record id was applied before.
	Duplicate bool
}

// Part is a part of the state.
type Part int

// Parts of the state.
const (
	PartNone Part = iota
	PartConfig
	PartRoster
	PartLease
	// PartSuspects are the requests under which back ends ended.
	PartSuspects
)

// Machine is the fold. It is not safe for concurrent use.
type Machine struct {
	next      uint64
	revisions []Revision
	roster    map[string]RosterMember
	epoch     uint64
	leases    *lease.Table
	shards    *shard.Table
	suspects  quarantine.Book
	seen      map[string]struct{}
	seenOrder []string
}

// NewMachine returns the state before the first record.
func NewMachine() *Machine {
	return &Machine{
		roster: make(map[string]RosterMember),
		leases: lease.NewTable(),
		shards: shard.NewTable(),
		seen:   make(map[string]struct{}),
	}
}

// Next is the offset of the first record not applied yet.
func (m *Machine) Next() uint64 { return m.next }

// Revision returns the configuration in force; Number is 0 if there is none.
func (m *Machine) Revision() Revision {
	if len(m.revisions) == 0 {
		return Revision{}
	}
	return m.revisions[len(m.revisions)-1]
}

// History returns the latest revisions, oldest first.
func (m *Machine) History() []Revision { return slices.Clone(m.revisions) }

// Roster returns the members ordered by id, and the epoch: the offset after
// the record that last changed them.
func (m *Machine) Roster() ([]RosterMember, uint64) {
	members := make([]RosterMember, 0, len(m.roster))
	for _, id := range slices.Sorted(maps.Keys(m.roster)) {
		members = append(members, m.roster[id])
	}
	return members, m.epoch
}

// Leases returns the lease table. The caller must not modify it.
func (m *Machine) Leases() *lease.Table { return m.leases }

// Shards returns the replica groups. The caller must not modify it.
func (m *Machine) Shards() *shard.Table { return m.shards }

// Suspects returns the requests under which back ends ended. The caller must not modify it.
func (m *Machine) Suspects() *quarantine.Book { return &m.suspects }

// Apply applies the record at an offset. Entries below Next are skipped, so a
// reader may hand over an overlapping batch; a gap is a programming error of
// the reader and rejected.
func (m *Machine) Apply(entry logstore.Entry) Outcome {
	if entry.Offset < m.next {
		return Outcome{Duplicate: true}
	}
	if entry.Offset > m.next {
		return Outcome{Err: result.New(result.Internal, "gap in stream: offset %d where %d was due", entry.Offset, m.next)}
	}
	m.next = entry.Offset + 1
	record, err := logstore.DecodeRecord(entry.Data)
	if err != nil {
		return Outcome{Err: err}
	}
	if _, ok := m.seen[record.Id]; ok {
		return Outcome{Duplicate: true}
	}
	m.remember(record.Id)
	return m.applyRecord(entry.Offset, record)
}

func (m *Machine) remember(id string) {
	m.seen[id] = struct{}{}
	m.seenOrder = append(m.seenOrder, id)
	if len(m.seenOrder) > keptRecordIDs {
		delete(m.seen, m.seenOrder[0])
		m.seenOrder = m.seenOrder[1:]
	}
}

func (m *Machine) applyRecord(offset uint64, record *pathbendv1.Record) Outcome {
	switch body := record.Body.(type) {
	case *pathbendv1.Record_ConfigPublish:
		return m.applyPublish(body.ConfigPublish)
	case *pathbendv1.Record_NodeJoined:
		return m.applyJoin(offset, body.NodeJoined)
	case *pathbendv1.Record_NodeLeft:
		return m.applyLeave(offset, body.NodeLeft)
	case *pathbendv1.Record_LeaseClaim:
		return leaseOutcome(m.leases.Claim(body.LeaseClaim, offset))
	case *pathbendv1.Record_LeaseRelease:
		return leaseOutcome(m.leases.Release(body.LeaseRelease))
	case *pathbendv1.Record_Suspect:
		return m.applySuspect(body.Suspect)
	default:
		return Outcome{} // a snapshot repeats state that a full reader has
	}
}

func leaseOutcome(err error) Outcome {
	if err != nil {
		return Outcome{Err: err}
	}
	return Outcome{Changed: PartLease}
}

// applySuspect takes its time from the record, so that every reader holds the same.
func (m *Machine) applySuspect(told *pathbendv1.SuspectRequest) Outcome {
	record, err := quarantine.Decode(told)
	if err != nil {
		return Outcome{Err: err}
	}
	m.suspects.Expire(record.ChangedAt)
	if !m.suspects.Merge(record, record.ChangedAt) {
		return Outcome{}
	}
	return Outcome{Changed: PartSuspects}
}

func (m *Machine) applyPublish(publish *pathbendv1.ConfigPublish) Outcome {
	current := m.Revision()
	if publish.BaseRevision != current.Number {
		return Outcome{Err: result.New(result.ConfigConflict,
			"revision %d by %s (%q) came before this publish, which was made from revision %d",
			current.Number, current.Author, current.Message, publish.BaseRevision)}
	}
	document, err := config.Decode(publish.Document)
	if err != nil {
		return Outcome{Err: err}
	}
	m.revisions = append(m.revisions, Revision{
		Number:    current.Number + 1,
		Document:  document,
		Raw:       publish.Document,
		Author:    publish.Author,
		Message:   publish.Message,
		Published: time.UnixMilli(publish.PublishedUnixMs),
	})
	if len(m.revisions) > keptRevisions {
		m.revisions = slices.Clone(m.revisions[1:])
	}
	return Outcome{Changed: PartConfig}
}

func (m *Machine) applyJoin(offset uint64, joined *pathbendv1.NodeJoined) Outcome {
	m.roster[joined.NodeId] = RosterMember{ID: joined.NodeId, Address: joined.Address, Zone: joined.Zone}
	m.epoch = offset + 1
	m.shards.Join(shard.Member{ID: joined.NodeId, Zone: joined.Zone}, m.epoch)
	return Outcome{Changed: PartRoster}
}

func (m *Machine) applyLeave(offset uint64, left *pathbendv1.NodeLeft) Outcome {
	if _, ok := m.roster[left.NodeId]; !ok {
		return Outcome{Duplicate: true}
	}
	delete(m.roster, left.NodeId)
	m.epoch = offset + 1
	m.shards.Leave(left.NodeId, m.epoch)
	return Outcome{Changed: PartRoster}
}
