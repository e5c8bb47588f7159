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
			targets := map[string]uint64{"k": 2, "l": 2, "m": 2, "n": 2}
			for b.Loop() {
				roll := NewRoll(9)
				for model := range targets {
					roll.Allow(model, 1, 1)
				}
				roll.Next(time.Unix(100, 0), members, targets)
			}
		})
	}
}
