package weights

import (
	"fmt"
	"testing"
	"time"
)

// A new executor settles the replicas of the whole fleet at once before it starts any item.
func BenchmarkFirstRollOfALargeFleet(b *testing.B) {
	for _, count := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			members := membersOf(count, map[string]uint64{"k": 1, "l": 1, "m": 1, "n": 1})
			for i := range members {
				members[i].Slots = 8
			}
			fleet := indexed{Listed: members, byID: make(map[string]Member)}
			for _, member := range members {
				fleet.byID[member.ID] = member
			}
			targets := map[string]uint64{"k": 2, "l": 2, "m": 2, "n": 2}
			for b.Loop() {
				roll := NewRoll(9)
				for model := range targets {
					roll.Allow(model, 1, 1)
				}
				roll.Next(time.Unix(100, 0), fleet, targets)
			}
		})
	}
}

// indexed is a fleet that finds a member by its id, as an executor does.
type indexed struct {
	Listed
	byID map[string]Member
}

func (f indexed) Member(id string) (Member, bool) {
	member, known := f.byID[id]
	return member, known
}

// What a look costs whose replicas are settled, 20 times a second: 51 ms at 8,000 samplers
// before, when each settled all models again.
func BenchmarkNextOfASettledFleet(b *testing.B) {
	for _, count := range []int{100, 1000, 8000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			versions, targets, demand := make(map[string]uint64), make(map[string]uint64), make(map[string]int)
			for model := range 8 {
				name := fmt.Sprint("m", model)
				versions[name], targets[name], demand[name] = 1, 2, 128
			}
			members := membersOf(count, versions)
			fleet := indexed{Listed: members, byID: make(map[string]Member)}
			for i := range members {
				members[i].Slots = 6
				fleet.byID[members[i].ID] = members[i]
			}
			now := time.Unix(100, 0)
			roll := NewRoll(2)
			for model := range targets {
				roll.Allow(model, 1, 1)
			}
			roll.Want(demand)
			roll.Next(now, fleet, targets)
			for b.Loop() {
				now = now.Add(50 * time.Millisecond)
				roll.Next(now, fleet, targets)
			}
		})
	}
}
