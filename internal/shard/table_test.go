package shard

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func memberOf(index, zones int) Member {
	return Member{ID: fmt.Sprint("node-", index), Zone: fmt.Sprint("zone-", index%zones)}
}

// TestGroupsDependOnTheRosterAlone draws joins and leaves and compares every
// group with the choice among the whole roster.
func TestGroupsDependOnTheRosterAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		table := NewTable()
		for epoch := range rapid.IntRange(1, 25).Draw(t, "changes") {
			member := memberOf(rapid.IntRange(0, 9).Draw(t, "member"), zones)
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
				require.Equal(t, table.choose(index, all), table.Group(index).Members)
			}
		}
	})
}

func TestGroupsSpanZonesAndLoadIsEven(t *testing.T) {
	table := NewTable()
	const nodes = 42
	for i := range nodes {
		table.Join(memberOf(i, 7), uint64(i+1))
	}
	held := map[string]int{}
	for index := range Count {
		group := table.Group(index)
		require.Len(t, group.Members, Replicas)
		var zones []string
		for _, id := range group.Members {
			held[id]++
			require.NotContains(t, zones, table.zones[id])
			zones = append(zones, table.zones[id])
		}
	}
	for id, count := range held {
		require.Less(t, count, 4*Count*Replicas/nodes, id)
	}
}

func TestLeaveMovesOnlyTheLeaversShards(t *testing.T) {
	table := NewTable()
	for i := range 42 {
		table.Join(memberOf(i, 7), uint64(i+1))
	}
	before := table.Clone()
	table.Leave("node-5", 100)
	for index := range Count {
		had := slices.Contains(before.Group(index).Members, "node-5")
		require.Equal(t, had, table.Group(index).Generation == 100)
	}
}
