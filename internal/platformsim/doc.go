// Package platformsim stands in for the users' platform and runs whole clusters
// of real nodes, through the adapter in platform/, against it on a virtual
// clock.
//
// The store keeps topics, keyed topics and groups; samplers stream events in
// slots and change weights by order; applications answer and score; trainers,
// clients and lookers call. Faults are drawn from a seed. A judge rules on what
// clients, samplers and the store saw on their sockets, never on the nodes' own
// books, under the names of the users' rules (docs/RULES.md).
//
//	go test ./internal/platformsim -run TestSeeds -first-seed=1 -seeds=200
package platformsim
