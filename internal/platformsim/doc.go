// Package platformsim simulates the users' platform and runs complete clusters
// of real nodes against it, through the adapter in package platform, on a
// virtual clock.
//
// The store holds topics, keyed topics and consumer groups. Samplers stream
// events from a limited number of slots and load weights when ordered to;
// applications answer requests and score results; trainers, clients and job
// readers send requests. Faults are drawn from a seed. The checks use only what
// clients, samplers and the store observe on their connections, never the state
// of the nodes, and report violations under the names of the rules in
// docs/RULES.md.
//
//	go test ./internal/platformsim -run TestSeeds -first-seed=1 -seeds=200
package platformsim
