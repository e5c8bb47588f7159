package controlstate

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
	// maxRevisions bounds the configuration history in memory and in snapshots.
	maxRevisions = 20
	// maxAppliedIDs bounds the record ids that are kept to detect repeated appends.
	// Records that are repeated later than that fail their preconditions, which makes
	// them harmless as well.
	maxAppliedIDs = 4096
)

// Revision is one accepted configuration.
type Revision struct {
	// Number counts from 1.
	Number uint64
	// Document is nil for an earlier revision that was restored from a snapshot.
	Document  *config.Document
	Raw       []byte
	Author    string
	Message   string
	Published time.Time
}

// RosterMember is a node that has joined the roster.
type RosterMember struct {
	ID      string
	Address string
	Zone    string
}

// Outcome is the effect of applying a record.
type Outcome struct {
	// Changed is the part of the state that the record changed, PartNone if none.
	Changed Part
	// Err is set if the record was rejected; the state is unchanged.
	Err error
	// Duplicate is set if the record was applied before, or repeats what the state holds.
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
	// PartSuspects is the set of requests under which back ends crashed.
	PartSuspects
)

// Machine is the state machine. It is not safe for concurrent use.
type Machine struct {
	next      uint64
	revisions []Revision
	roster    map[string]RosterMember
	// rosterEpoch is the offset after the record that last changed the roster.
	rosterEpoch uint64
	leases      *lease.Table
	shards      *shard.Table
	suspects    quarantine.Registry
	// appliedIDs holds the latest record ids, and appliedOrder the same, oldest first.
	appliedIDs   map[string]struct{}
	appliedOrder []string
}

// NewMachine returns a machine that has applied no record.
func NewMachine() *Machine {
	return &Machine{
		roster:     make(map[string]RosterMember),
		leases:     lease.NewTable(),
		shards:     shard.NewTable(),
		appliedIDs: make(map[string]struct{}),
	}
}

// Next returns the offset of the first record that has not been applied.
func (m *Machine) Next() uint64 { return m.next }

// Revision returns the current configuration. Its Number is 0 if there is none.
func (m *Machine) Revision() Revision {
	if len(m.revisions) == 0 {
		return Revision{}
	}
	return m.revisions[len(m.revisions)-1]
}

// History returns the latest revisions, up to maxRevisions, oldest first.
func (m *Machine) History() []Revision { return slices.Clone(m.revisions) }

// Roster returns the members ordered by id, and the epoch: the offset after
// the record that last changed them.
func (m *Machine) Roster() ([]RosterMember, uint64) {
	members := make([]RosterMember, 0, len(m.roster))
	for _, id := range slices.Sorted(maps.Keys(m.roster)) {
		members = append(members, m.roster[id])
	}
	return members, m.rosterEpoch
}

// Leases returns the lease table. The caller must not modify it.
func (m *Machine) Leases() *lease.Table { return m.leases }

// Shards returns the table of replica groups. The caller must not modify it.
func (m *Machine) Shards() *shard.Table { return m.shards }

// Suspects returns the requests under which back ends crashed. The caller must not modify them.
func (m *Machine) Suspects() *quarantine.Registry { return &m.suspects }

// Apply applies one record. It skips entries below Next, so that callers may
// pass overlapping batches, and rejects an entry beyond Next, since a gap is a
// programming error of the caller.
func (m *Machine) Apply(entry logstore.Entry) Outcome {
	if entry.Offset < m.next {
		return Outcome{Duplicate: true}
	}
	if entry.Offset > m.next {
		return Outcome{Err: result.New(result.Internal, "gap in stream: got offset %d, want %d", entry.Offset, m.next)}
	}
	m.next = entry.Offset + 1
	record, err := logstore.DecodeRecord(entry.Data)
	if err != nil {
		return Outcome{Err: err}
	}
	if _, ok := m.appliedIDs[record.Id]; ok {
		return Outcome{Duplicate: true}
	}
	m.markApplied(record.Id)
	return m.applyRecord(entry.Offset, record)
}

// markApplied adds a record id to the applied ones, and drops the oldest beyond maxAppliedIDs.
func (m *Machine) markApplied(id string) {
	m.appliedIDs[id] = struct{}{}
	m.appliedOrder = append(m.appliedOrder, id)
	if len(m.appliedOrder) > maxAppliedIDs {
		delete(m.appliedIDs, m.appliedOrder[0])
		m.appliedOrder = m.appliedOrder[1:]
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
		return Outcome{} // a snapshot only repeats state that was already applied
	}
}

func leaseOutcome(err error) Outcome {
	if err != nil {
		return Outcome{Err: err}
	}
	return Outcome{Changed: PartLease}
}

// applySuspect uses the time in the record instead of the local clock, so that every node reaches
// the same state.
func (m *Machine) applySuspect(suspect *pathbendv1.SuspectRequest) Outcome {
	record, err := quarantine.Decode(suspect)
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
			"revision %d by %s (%q) was published before this one, which is based on revision %d",
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
	if len(m.revisions) > maxRevisions {
		m.revisions = slices.Clone(m.revisions[1:])
	}
	return Outcome{Changed: PartConfig}
}

func (m *Machine) applyJoin(offset uint64, joined *pathbendv1.NodeJoined) Outcome {
	m.roster[joined.NodeId] = RosterMember{ID: joined.NodeId, Address: joined.Address, Zone: joined.Zone}
	m.rosterEpoch = offset + 1
	m.shards.Join(shard.Member{ID: joined.NodeId, Zone: joined.Zone}, m.rosterEpoch)
	return Outcome{Changed: PartRoster}
}

func (m *Machine) applyLeave(offset uint64, left *pathbendv1.NodeLeft) Outcome {
	if _, ok := m.roster[left.NodeId]; !ok {
		return Outcome{Duplicate: true}
	}
	delete(m.roster, left.NodeId)
	m.rosterEpoch = offset + 1
	m.shards.Leave(left.NodeId, m.rosterEpoch)
	return Outcome{Changed: PartRoster}
}
