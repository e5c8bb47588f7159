// Package shard assigns shards of the idempotency key space to replica groups of nodes.
//
// The assignment is a pure function of the sequence of roster changes in the log, so every
// node computes the same groups with the same generations. A group consists of the nodes
// with the highest rendezvous-hashing scores for the shard, in distinct zones as far as
// there are enough. So a roster change affects only the shards that the changed node held
// or now wins.
package shard

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
)

const (
	// Count is the number of shards. It is part of the protocol: all nodes must agree on
	// it.
	Count = 256
	// Replicas is the size of a full group.
	Replicas = 3
)

// Member is a node that may hold shards.
type Member struct {
	ID   string
	Zone string
}

// Group is the replica group of one shard.
type Group struct {
	// Generation is the roster epoch at which the group was formed.
	Generation uint64
	// Members are node ids: the best member of each zone by descending score, followed by
	// further ones by descending score if there are fewer zones than Replicas.
	Members []string
	// Former are the members of the generation before; nil for the first.
	Former []string
	// FormerGeneration is the generation of Former.
	FormerGeneration uint64
}

// Quorum returns the size of a majority of the members.
func Quorum(members []string) int { return len(members)/2 + 1 }

// Table holds the group of every shard and the roster from which the groups follow. It is
// not safe for concurrent use.
type Table struct {
	groups [Count]Group
	// zones maps the id of every member to its zone.
	zones map[string]string
}

// NewTable returns the table of an empty roster.
func NewTable() *Table { return &Table{zones: make(map[string]string)} }

// Clone returns an independent copy.
func (t *Table) Clone() *Table { return &Table{groups: t.groups, zones: maps.Clone(t.zones)} }

// Of returns the shard of a key.
func Of(key string) int { return int(xxhash.Sum64String(key) % Count) }

// Group returns the replica group of a shard.
func (t *Table) Group(shard int) Group { return t.groups[shard] }

// Join adds a member to the roster at an epoch, and to the groups in which it wins a place.
// Selecting among a group and the new member gives the same result as selecting among the
// whole roster, so the cost does not grow with the roster.
func (t *Table) Join(member Member, epoch uint64) {
	t.zones[member.ID] = member.Zone
	for shard := range t.groups {
		currentMembers := t.groups[shard].Members
		if !slices.Contains(currentMembers, member.ID) {
			t.updateGroup(shard, append(slices.Clone(currentMembers), member.ID), epoch)
		}
	}
}

// Leave removes a member from the roster at an epoch. The groups of the last member are
// kept, so that they remain known as former ones.
func (t *Table) Leave(id string, epoch uint64) {
	delete(t.zones, id)
	if len(t.zones) == 0 {
		return
	}
	remaining := slices.Sorted(maps.Keys(t.zones))
	for shard := range t.groups {
		if slices.Contains(t.groups[shard].Members, id) {
			t.updateGroup(shard, remaining, epoch)
		}
	}
}

// updateGroup forms a new group from the candidates if it differs from the current one.
func (t *Table) updateGroup(shard int, candidates []string, epoch uint64) {
	members := t.selectMembers(shard, candidates)
	current := &t.groups[shard]
	if slices.Equal(members, current.Members) {
		return
	}
	t.groups[shard] = Group{
		Generation: epoch, Members: members,
		Former: current.Members, FormerGeneration: current.Generation,
	}
}

type scoredMember struct {
	Member
	score uint64
}

// selectMembers returns the best candidates for a shard, in distinct zones first. It
// ignores candidates that have left the roster.
func (t *Table) selectMembers(shard int, candidates []string) []string {
	scored := make([]scoredMember, 0, len(candidates))
	for _, id := range candidates {
		if zone, ok := t.zones[id]; ok {
			scored = append(scored, scoredMember{Member{ID: id, Zone: zone}, score(shard, id)})
		}
	}
	slices.SortFunc(scored, func(a, b scoredMember) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID))
	})
	var members, zones []string
	for _, candidate := range scored {
		if len(members) < Replicas && !slices.Contains(zones, candidate.Zone) {
			members = append(members, candidate.ID)
			zones = append(zones, candidate.Zone)
		}
	}
	for _, candidate := range scored {
		if len(members) < Replicas && !slices.Contains(members, candidate.ID) {
			members = append(members, candidate.ID)
		}
	}
	return members
}

func score(shard int, id string) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(uint64(shard) + 1)
	digest.WriteString(id) // never fails
	var buffer [8]byte
	binary.BigEndian.PutUint64(buffer[:], digest.Sum64())
	return xxhash.Sum64(buffer[:])
}

// Export returns the groups as messages for a snapshot, ordered by shard.
func (t *Table) Export() []*pathbendv1.ShardState {
	states := make([]*pathbendv1.ShardState, 0, Count)
	for _, group := range t.groups {
		states = append(states, &pathbendv1.ShardState{
			Generation: group.Generation, Members: group.Members,
			Former: group.Former, FormerGeneration: group.FormerGeneration,
		})
	}
	return states
}

// Import returns the table that a snapshot contains, given the snapshot's roster.
func Import(states []*pathbendv1.ShardState, roster []Member) *Table {
	table := NewTable()
	for _, member := range roster {
		table.zones[member.ID] = member.Zone
	}
	for i, state := range states[:min(len(states), Count)] {
		table.groups[i] = Group{
			Generation: state.Generation, Members: state.Members,
			Former: state.Former, FormerGeneration: state.FormerGeneration,
		}
	}
	return table
}
