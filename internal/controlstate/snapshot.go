package controlstate

import (
	"slices"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/config"
	"github.com/pathbend/pathbend/internal/lease"
	"github.com/pathbend/pathbend/internal/quarantine"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/shard"
)

// Snapshot encodes the state after all records before Next.
func (m *Machine) Snapshot() *pathbendv1.Snapshot {
	snapshot := &pathbendv1.Snapshot{
		Covers:      m.next,
		RosterEpoch: m.rosterEpoch,
		RecentIds:   slices.Clone(m.appliedOrder),
		Leases:      m.leases.Export(),
		Shards:      m.shards.Export(),
	}
	members, _ := m.Roster()
	for _, member := range members {
		snapshot.Members = append(snapshot.Members, &pathbendv1.RosterMember{
			NodeId: member.ID, Address: member.Address, Zone: member.Zone,
		})
	}
	for i, revision := range m.revisions {
		encoded := &pathbendv1.RevisionState{
			Revision: revision.Number, Author: revision.Author, Message: revision.Message,
			PublishedUnixMs: revision.Published.UnixMilli(),
		}
		if i == len(m.revisions)-1 {
			encoded.Document = revision.Raw // earlier documents are only in the log
		}
		snapshot.Revisions = append(snapshot.Revisions, encoded)
	}
	for _, record := range m.suspects.All() {
		snapshot.Suspects = append(snapshot.Suspects, quarantine.Encode(record))
	}
	return snapshot
}

// Restore replaces the state by a snapshot. It ignores a snapshot that is not ahead of the state,
// so that the state never moves backwards. On an error the state is unchanged.
func (m *Machine) Restore(snapshot *pathbendv1.Snapshot) error {
	if snapshot.Covers <= m.next {
		return nil
	}
	revisions, err := decodeRevisions(snapshot.Revisions)
	if err != nil {
		return err
	}
	suspects, err := decodeSuspects(snapshot.Suspects)
	if err != nil {
		return err
	}
	m.suspects = suspects
	m.next = snapshot.Covers
	m.revisions = revisions
	m.rosterEpoch = snapshot.RosterEpoch
	m.leases = lease.Import(snapshot.Leases)
	clear(m.roster)
	var members []shard.Member
	for _, member := range snapshot.Members {
		members = append(members, shard.Member{ID: member.NodeId, Zone: member.Zone})
		m.roster[member.NodeId] = RosterMember{ID: member.NodeId, Address: member.Address, Zone: member.Zone}
	}
	m.shards = shard.Import(snapshot.Shards, members)
	clear(m.appliedIDs)
	m.appliedOrder = nil
	for _, id := range snapshot.RecentIds {
		m.markApplied(id)
	}
	return nil
}

func decodeSuspects(encoded []*pathbendv1.SuspectRequest) (quarantine.Registry, error) {
	var suspects quarantine.Registry
	for _, suspect := range encoded {
		record, err := quarantine.Decode(suspect)
		if err != nil {
			return suspects, err
		}
		suspects.Merge(record, record.ChangedAt)
	}
	return suspects, nil
}

func decodeRevisions(encoded []*pathbendv1.RevisionState) ([]Revision, error) {
	var revisions []Revision
	for i, item := range encoded {
		revision := Revision{
			Number: item.Revision, Raw: item.Document, Author: item.Author, Message: item.Message,
			Published: time.UnixMilli(item.PublishedUnixMs),
		}
		if i == len(encoded)-1 {
			document, err := config.Decode(item.Document)
			if err != nil {
				return nil, result.Wrap(result.RecordMalformed, err, "decode snapshot")
			}
			revision.Document = document
		}
		revisions = append(revisions, revision)
	}
	return revisions, nil
}
