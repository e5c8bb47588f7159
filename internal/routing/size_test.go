package routing

import (
	"fmt"
	"testing"
)

// What a node's order of the endpoints costs, which is made anew at each that comes or goes:
// 3.2 ms of 2,222 when each comparison hashed, 1.1 ms now.
func BenchmarkPreferredOrder(b *testing.B) {
	for _, count := range []int{222, 2222} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			found := &pool{}
			for i := range count {
				found.endpoints = append(found.endpoints, &Endpoint{ID: fmt.Sprintf("i-%06d", i), Zone: fmt.Sprint("z", i%5)})
			}
			for b.Loop() {
				found.orders = nil
				found.preferredBy(Place{Node: "n", Zone: "z1"}, "z1")
			}
		})
	}
}

// What one changed entry of the list costs: 5.4 ms of 10,000 when all ids were sorted, 1.9 ms
// now.
func BenchmarkUpdate(b *testing.B) {
	for _, count := range []int{1000, 10000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var machines []Machine
			for i := range count {
				machines = append(machines, Machine{ID: fmt.Sprintf("i-%06d", i), Pool: "p", Address: "a"})
			}
			table := NewTable()
			table.Update(machines)
			for b.Loop() {
				table.Update(machines)
			}
		})
	}
}
