// Package node assembles one pathbend process. It starts the listeners and
// background loops, connects the packages that do no I/O to the network and the
// clock, and drains and stops the process in order.
//
//	node, err := node.New(settings, network.TCP{}, logger)
//	err = node.Start()
//	<-ctx.Done()
//	node.Drain(); node.Stop()
//
// Each file implements one role of a node: follow.go reads the log, members.go
// maintains the membership, endpoints.go polls engines, replicas.go stores
// idempotency keys, jobs.go routes rollout jobs to their owners, weights.go updates
// the weights of engines, peers.go answers calls of other nodes, admin.go serves
// operators.
package node
