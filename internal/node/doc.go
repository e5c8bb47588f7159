// Package node wires one pathbend process together: it starts the listeners
// and loops, connects the pure decision packages with sockets and time, and
// drains and stops in order.
//
//	node, err := node.New(settings, network.TCP{}, logger)
//	err = node.Start()
//	<-ctx.Done()
//	node.Drain(); node.Stop()
//
// The files follow the roles of a node: follow.go reads the log, members.go
// keeps the membership, endpoints.go polls engines, replicas.go holds
// idempotency keys, jobs.go owns rollout jobs, weights.go orders weights,
// peers.go answers other nodes, admin.go serves operators.
package node
