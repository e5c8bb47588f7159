package routing

import (
	"fmt"
	"testing"
)

// BenchmarkPreferenceOrder builds a node's preference order, which is rebuilt whenever an
// endpoint joins or leaves. With 2,222 endpoints it takes 1.1 ms; it took 3.2 ms when each
// comparison computed the hashes.
func BenchmarkPreferenceOrder(b *testing.B) {
	for _, count := range []int{222, 2222} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			pool := &endpointPool{}
			for i := range count {
				pool.endpoints = append(pool.endpoints, &Endpoint{ID: fmt.Sprintf("i-%06d", i), Zone: fmt.Sprint("z", i%5)})
			}
			for b.Loop() {
				pool.orderByZone = nil
				pool.preferenceOrder(NodeLocation{Node: "n", Zone: "z1"}, "z1")
			}
		})
	}
}

// BenchmarkUpdate applies a machine list. With 10,000 machines it takes 1.9 ms; it took 5.4 ms
// when all ids were sorted.
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
