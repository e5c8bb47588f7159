package shard

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func newMember(index, zones int) Member {
	return Member{ID: fmt.Sprint("node-", index), Zone: fmt.Sprint("zone-", index%zones)}
}

// TestGroupsDependOnTheRosterAlone applies random joins and leaves and compares every group
// with a selection among the whole roster.
func TestGroupsDependOnTheRosterAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		table := NewTable()
		for epoch := range rapid.IntRange(1, 25).Draw(t, "changes") {
			member := newMember(rapid.IntRange(0, 9).Draw(t, "member"), zones)
			if _, present := table.zones[member.ID]; present && len(table.zones) > 1 {
				table.Leave(member.ID, uint64(epoch+1))
			} else {
				table.Join(member, uint64(epoch+1))
			}
			all := make([]string, 0, len(table.zones))
			for id := range table.zones {
				all = append(all, id)
			}
			for index := range 32 {
				require.Equal(t, table.selectMembers(index, all), table.Group(index).Members)
			}
		}
	})
}

func TestGroupsSpanZonesAndShardsAreBalanced(t *testing.T) {
	table := NewTable()
	const nodes = 42
	for i := range nodes {
		table.Join(newMember(i, 7), uint64(i+1))
	}
	shardCounts := map[string]int{}
	for index := range Count {
		group := table.Group(index)
		require.Len(t, group.Members, Replicas)
		var zones []string
		for _, id := range group.Members {
			shardCounts[id]++
			require.NotContains(t, zones, table.zones[id])
			zones = append(zones, table.zones[id])
		}
	}
	for id, count := range shardCounts {
		require.Less(t, count, 4*Count*Replicas/nodes, id)
	}
}

func TestLeaveChangesOnlyGroupsOfTheLeavingMember(t *testing.T) {
	table := NewTable()
	for i := range 42 {
		table.Join(newMember(i, 7), uint64(i+1))
	}
	before := table.Clone()
	table.Leave("node-5", 100)
	for index := range Count {
		wasMember := slices.Contains(before.Group(index).Members, "node-5")
		require.Equal(t, wasMember, table.Group(index).Generation == 100)
	}
}
